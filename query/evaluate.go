package query

import (
	"errors"
	"fmt"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/config"
	"github.com/fulmarfield/fulmarfield/internal/lineerror"
	"github.com/fulmarfield/fulmarfield/request"
)

// Unknown stands in a cell whose value no daemon that answered could give.
const Unknown = "unknown"

// ErrNotDeclared reports a name that the configuration does not have.
var ErrNotDeclared = errors.New("not declared")

// Facts are what a query is evaluated over.
type Facts struct {
	Snapshot *config.Snapshot
	// Statuses of the daemons that answered.
	Statuses []*pb.StatusResponse
	// Missing are the daemons that did not answer.
	Missing []string
	Now     time.Time
	// Route is the view of the answering daemon on a flow, set for a route query. The flow's
	// owner explains it in its status.
	Route *pb.RouteExplanation
	// Changes is set for queries of the history.
	Changes *ChangeFacts
	// Blockers is set for a drain query at the daemon that holds the upstream's admission.
	Blockers []request.Blocker
}

// NameError reports a name that the configuration does not have. It wraps ErrNotDeclared.
type NameError struct {
	Kind     string
	Name     string
	Declared []string
}

// Error names the kind and the name.
func (e *NameError) Error() string { return fmt.Sprintf("%s %q is %v", e.Kind, e.Name, ErrNotDeclared) }

// Unwrap returns ErrNotDeclared.
func (e *NameError) Unwrap() error { return ErrNotDeclared }

// Locate says where in the line an error of Evaluate is and what is allowed there.
func Locate(line string, err error) error {
	var name *NameError
	if !errors.As(err, &name) {
		return err
	}
	return lineerror.AtWord(line, name.Name, err, name.Declared)
}

// Caller returns the caller whose flows the query needs from the daemons, or "".
func (q *Query) Caller() string {
	switch {
	case q.Flows != nil:
		return q.Flows.Caller
	case q.Route != nil:
		return q.Route.Caller
	}
	return ""
}

// Evaluate answers the query. It returns ErrNotDeclared for an unknown service or upstream.
func (q *Query) Evaluate(f Facts) (*pb.Table, error) {
	switch {
	case q.Services:
		return services(f), nil
	case q.Upstreams != nil:
		return upstreams(f, q.Upstreams.Service)
	case q.Daemons:
		return daemons(f), nil
	case q.Connections != nil:
		return connections(f, q.Connections.Service)
	case q.Flows != nil:
		return flows(f), nil
	case q.Route != nil:
		return route(f, q.Route)
	case q.Refusals:
		return counters(f, "refusal."), nil
	case q.Retries:
		return counters(f, "retry."), nil
	case q.Drops:
		return counters(f, "drop."), nil
	case q.Drain != nil:
		return drain(f, q.Drain.Upstream)
	case q.History:
		return history(f), nil
	default:
		return change(f, q.Change.ID), nil
	}
}

func row(cells ...string) *pb.Row { return &pb.Row{Cells: cells} }

func number[T ~int | ~int64 | ~uint32 | ~uint64](n T) string { return strconv.FormatInt(int64(n), 10) }

func services(f Facts) *pb.Table {
	t := &pb.Table{Columns: []string{"service", "address", "aim", "active", "draining", "flows"}}
	for _, s := range f.Snapshot.Services() {
		active, draining := 0, 0
		for _, u := range s.GetUpstreams() {
			if u.GetState() == pb.DeclaredState_DECLARED_STATE_DRAINING {
				draining++
			} else {
				active++
			}
		}
		total := uint64(0)
		for _, status := range f.Statuses {
			for _, u := range status.GetUpstreams() {
				if u.GetService() == s.GetNumber() {
					total += uint64(u.GetFlows())
				}
			}
		}
		t.Rows = append(t.Rows, row(s.GetName(), s.GetAddress(), enumName(s.GetAim().String(), "AIM_"),
			number(active), number(draining), atLeast(f, total)))
	}
	return t
}

// atLeast marks a sum as a lower bound when daemons are missing from it.
func atLeast(f Facts, n uint64) string {
	if len(f.Missing) > 0 {
		return "at least " + number(n)
	}
	return number(n)
}

func upstreams(f Facts, service string) (*pb.Table, error) {
	selected, err := selectServices(f, service)
	if err != nil {
		return nil, err
	}
	t := &pb.Table{Columns: []string{"upstream", "service", "zone", "address", "slots", "declared", "state", "flows", "in progress", "queued"}}
	for _, s := range selected {
		for _, u := range s.GetUpstreams() {
			known := summarize(f, u.GetNumber())
			t.Rows = append(t.Rows, row(u.GetName(), s.GetName(), u.GetZone(), u.GetAddress(), number(u.GetSlots()),
				enumName(u.GetState().String(), "DECLARED_STATE_"), known.state, atLeast(f, known.flows), known.inProgress, known.queued))
		}
	}
	return t, nil
}

type upstreamSummary struct {
	state, inProgress, queued string
	flows                     uint64
	// work is in progress and waiting is queued at the daemons that answered.
	work, waiting uint64
	holder        string
}

// summarize merges the statuses of one upstream. Work in progress is known only to the holder
// of its admission. For a while after a cut there are two holders, and a daemon that did not
// answer may be one, so that what the others have in progress is a lower bound.
func summarize(f Facts, upstream uint32) upstreamSummary {
	s := upstreamSummary{state: Unknown, inProgress: Unknown, queued: Unknown, holder: Unknown}
	var states, holders []string
	for _, status := range f.Statuses {
		for _, u := range status.GetUpstreams() {
			if u.GetUpstream() != upstream {
				continue
			}
			s.flows += uint64(u.GetFlows())
			if !u.GetAdmissionHeld() {
				continue
			}
			if state := enumName(u.GetState().String(), "UPSTREAM_STATE_"); !slices.Contains(states, state) {
				states = append(states, state)
			}
			holders = append(holders, status.GetDaemon())
			s.work += uint64(u.GetInProgress())
			s.waiting += uint64(u.GetQueued())
		}
	}
	if len(holders) > 0 {
		s.state, s.holder = strings.Join(states, " or "), strings.Join(holders, " and ")
		s.inProgress, s.queued = atLeast(f, s.work), atLeast(f, s.waiting)
	}
	return s
}

func daemons(f Facts) *pb.Table {
	t := &pb.Table{Columns: []string{"daemon", "zone", "state", "generation", "age", "flows", "resources", "platform"}}
	for _, s := range f.Statuses {
		platform := "unreachable"
		if s.GetPlatformReachable() {
			platform = "reachable"
		}
		age := time.Duration(s.GetGenerationAgeMs()) * time.Millisecond
		t.Rows = append(t.Rows, row(s.GetDaemon(), s.GetZone(), daemonState(f, s), number(s.GetGeneration()),
			age.Round(time.Second).String(), number(s.GetFlowCount()), number(s.GetResourcesHeld()), platform))
	}
	for _, m := range f.Missing {
		t.Rows = append(t.Rows, row(m, Unknown, "no answer", Unknown, Unknown, Unknown, Unknown, Unknown))
	}
	return t
}

// daemonState tells a daemon that is being handed over from one that has nothing left, and one
// that left by itself from one that the configuration drains.
func daemonState(f Facts, s *pb.StatusResponse) string {
	if !s.GetLeaving() {
		return "serving"
	}
	for _, d := range f.Snapshot.Proto.GetDaemons() {
		if d.GetName() != s.GetDaemon() || d.GetState() != pb.DeclaredState_DECLARED_STATE_DRAINING {
			continue
		}
		if s.GetResourcesHeld() == 0 {
			return "drained"
		}
		return "draining"
	}
	return "leaving"
}

func connections(f Facts, service string) (*pb.Table, error) {
	selected, err := selectServices(f, service)
	if err != nil {
		return nil, err
	}
	t := &pb.Table{Columns: []string{"service", "flows", "largest over mean", "in progress", "queued"}}
	for _, s := range selected {
		total, largest, work, waiting, held := uint64(0), uint64(0), uint64(0), uint64(0), true
		for _, u := range s.GetUpstreams() {
			known := summarize(f, u.GetNumber())
			total += known.flows
			largest = max(largest, known.flows)
			work += known.work
			waiting += known.waiting
			held = held && known.holder != Unknown
		}
		progress, queued, spread := atLeast(f, work), atLeast(f, waiting), ratio(largest, total, len(s.GetUpstreams()))
		if !held {
			progress, queued = "at least "+number(work), "at least "+number(waiting)
		}
		if len(f.Missing) > 0 {
			spread = Unknown // The flows of the missing daemons may even the others out.
		}
		t.Rows = append(t.Rows, row(s.GetName(), atLeast(f, total), spread, progress, queued))
	}
	return t, nil
}

func ratio(largest, total uint64, n int) string {
	if total == 0 || n == 0 {
		return Unknown
	}
	return fmt.Sprintf("%.2f", float64(largest)*float64(n)/float64(total))
}

func flows(f Facts) *pb.Table {
	t := &pb.Table{Columns: []string{"caller", "service", "upstream", "owner", "on", "idle"}}
	for _, s := range f.Statuses {
		for _, r := range s.GetFlows() {
			t.Rows = append(t.Rows, flowRow(f, s.GetDaemon(), r))
		}
	}
	return t
}

func counters(f Facts, prefix string) *pb.Table {
	t := &pb.Table{Columns: []string{"reason", "count"}}
	sums := map[string]uint64{}
	for _, s := range f.Statuses {
		for name, n := range s.GetCounters() {
			if reason, ok := strings.CutPrefix(name, prefix); ok {
				sums[reason] += uint64(n)
			}
		}
	}
	names := make([]string, 0, len(sums))
	for name := range sums {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		t.Rows = append(t.Rows, row(name, atLeast(f, sums[name])))
	}
	return t
}

func selectServices(f Facts, name string) ([]*pb.Service, error) {
	if name == "" {
		return f.Snapshot.Services(), nil
	}
	names := make([]string, 0, len(f.Snapshot.Services()))
	for _, s := range f.Snapshot.Services() {
		if s.GetName() == name {
			return []*pb.Service{s}, nil
		}
		names = append(names, s.GetName())
	}
	return nil, &NameError{Kind: "service", Name: name, Declared: names}
}

func enumName(name, prefix string) string {
	return strings.ToLower(strings.TrimPrefix(name, prefix))
}
