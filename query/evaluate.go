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

// Unknown is the text of a cell whose value none of the daemons that responded could provide.
const Unknown = "unknown"

// ErrNotDeclared reports a name that is not in the configuration.
var ErrNotDeclared = errors.New("not declared")

// Input is the state that a query is evaluated against.
type Input struct {
	Snapshot *config.Snapshot
	// Statuses are the statuses of the daemons that responded.
	Statuses []*pb.StatusResponse
	// Missing are the names of the daemons that did not respond.
	Missing []string
	Now     time.Time
	// Route is the route of the flow as the daemon that evaluates the query sees it; it is set for a
	// route query. The explanation of the flow's owner is in the owner's status.
	Route *pb.RouteExplanation
	// Changes is set if NeedsHistory reports true.
	Changes *ChangeHistory
	// Blockers is set for a drain query if the evaluating daemon holds the upstream's admission.
	Blockers []request.Blocker
}

// NameError reports a name that is not in the configuration, with the declared ones. It wraps
// ErrNotDeclared.
type NameError struct {
	Kind     string
	Name     string
	Declared []string
}

// Error returns a text with the kind and the name.
func (e *NameError) Error() string { return fmt.Sprintf("%s %q is %v", e.Kind, e.Name, ErrNotDeclared) }

// Unwrap returns ErrNotDeclared.
func (e *NameError) Unwrap() error { return ErrNotDeclared }

// Locate adds to an error of Evaluate the column of the undeclared name in the line and the names
// that are declared. It returns other errors unchanged.
func Locate(line string, err error) error {
	var name *NameError
	if !errors.As(err, &name) {
		return err
	}
	return lineerror.AtWord(line, name.Name, err, name.Declared)
}

// Caller returns the caller whose flows the daemons' statuses have to include, or "".
func (q *Query) Caller() string {
	switch {
	case q.Flows != nil:
		return q.Flows.Caller
	case q.Route != nil:
		return q.Route.Caller
	}
	return ""
}

// Evaluate returns the table that answers the query. It returns ErrNotDeclared for a service or an
// upstream that is not in the configuration.
func (q *Query) Evaluate(in Input) (*pb.Table, error) {
	switch {
	case q.Services:
		return servicesTable(in), nil
	case q.Upstreams != nil:
		return upstreamsTable(in, q.Upstreams.Service)
	case q.Daemons:
		return daemonsTable(in), nil
	case q.Connections != nil:
		return connectionsTable(in, q.Connections.Service)
	case q.Flows != nil:
		return flowsTable(in), nil
	case q.Route != nil:
		return routeTable(in, q.Route)
	case q.Refusals:
		return countersTable(in, "refusal."), nil
	case q.Retries:
		return countersTable(in, "retry."), nil
	case q.Drops:
		return countersTable(in, "drop."), nil
	case q.Drain != nil:
		return drainTable(in, q.Drain.Upstream)
	case q.History:
		return historyTable(in), nil
	default:
		return changeTable(in, q.Change.ID), nil
	}
}

func row(cells ...string) *pb.Row { return &pb.Row{Cells: cells} }

func itoa[T ~int | ~int64 | ~uint32 | ~uint64](n T) string { return strconv.FormatInt(int64(n), 10) }

func servicesTable(in Input) *pb.Table {
	t := &pb.Table{Columns: []string{"service", "address", "aim", "active", "draining", "flows"}}
	for _, s := range in.Snapshot.Services() {
		active, draining := 0, 0
		for _, u := range s.GetUpstreams() {
			if u.GetState() == pb.DeclaredState_DECLARED_STATE_DRAINING {
				draining++
			} else {
				active++
			}
		}
		total := uint64(0)
		for _, status := range in.Statuses {
			for _, u := range status.GetUpstreams() {
				if u.GetService() == s.GetNumber() {
					total += uint64(u.GetFlows())
				}
			}
		}
		t.Rows = append(t.Rows, row(s.GetName(), s.GetAddress(), enumName(s.GetAim().String(), "AIM_"),
			itoa(active), itoa(draining), formatSum(in, total)))
	}
	return t
}

// formatSum formats a sum over daemons; it marks the sum as a lower bound if daemons are missing.
func formatSum(in Input, n uint64) string {
	if len(in.Missing) > 0 {
		return "at least " + itoa(n)
	}
	return itoa(n)
}

func upstreamsTable(in Input, service string) (*pb.Table, error) {
	selected, err := selectServices(in, service)
	if err != nil {
		return nil, err
	}
	t := &pb.Table{Columns: []string{"upstream", "service", "zone", "address", "slots", "declared", "state", "flows", "in progress", "queued"}}
	for _, s := range selected {
		for _, u := range s.GetUpstreams() {
			summary := summarize(in, u.GetNumber())
			t.Rows = append(t.Rows, row(u.GetName(), s.GetName(), u.GetZone(), u.GetAddress(), itoa(u.GetSlots()),
				enumName(u.GetState().String(), "DECLARED_STATE_"), summary.state, formatSum(in, summary.flows), summary.inProgress, summary.queued))
		}
	}
	return t, nil
}

// upstreamSummary is the state of one upstream, merged from the daemons' statuses.
type upstreamSummary struct {
	state, inProgress, queued string
	flows                     uint64
	// numInProgress and numQueued count the requests at the daemons that responded and hold the
	// admission.
	numInProgress, numQueued uint64
	holder                   string
}

// summarize merges the statuses of one upstream. Only the holder of its admission reports its requests
// in progress. Shortly after a network partition is healed there may be two holders, and a daemon that
// did not respond may be one of them, so that the sum over the others is a lower bound.
func summarize(in Input, upstream uint32) upstreamSummary {
	s := upstreamSummary{state: Unknown, inProgress: Unknown, queued: Unknown, holder: Unknown}
	var states, holders []string
	for _, status := range in.Statuses {
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
			s.numInProgress += uint64(u.GetInProgress())
			s.numQueued += uint64(u.GetQueued())
		}
	}
	if len(holders) > 0 {
		s.state, s.holder = strings.Join(states, " or "), strings.Join(holders, " and ")
		s.inProgress, s.queued = formatSum(in, s.numInProgress), formatSum(in, s.numQueued)
	}
	return s
}

func daemonsTable(in Input) *pb.Table {
	t := &pb.Table{Columns: []string{"daemon", "zone", "state", "generation", "age", "flows", "resources", "platform"}}
	for _, s := range in.Statuses {
		platform := "unreachable"
		if s.GetPlatformReachable() {
			platform = "reachable"
		}
		age := time.Duration(s.GetGenerationAgeMs()) * time.Millisecond
		t.Rows = append(t.Rows, row(s.GetDaemon(), s.GetZone(), daemonState(in, s), itoa(s.GetGeneration()),
			age.Round(time.Second).String(), itoa(s.GetFlowCount()), itoa(s.GetResourcesHeld()), platform))
	}
	for _, m := range in.Missing {
		t.Rows = append(t.Rows, row(m, Unknown, "no answer", Unknown, Unknown, Unknown, Unknown, Unknown))
	}
	return t
}

// daemonState returns the state of a daemon: "draining" while a daemon drained by the configuration
// hands over its resources, "drained" when it holds none, and "leaving" if the daemon leaves for
// another reason, such as a shutdown.
func daemonState(in Input, s *pb.StatusResponse) string {
	if !s.GetLeaving() {
		return "serving"
	}
	for _, d := range in.Snapshot.Proto.GetDaemons() {
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

func connectionsTable(in Input, service string) (*pb.Table, error) {
	selected, err := selectServices(in, service)
	if err != nil {
		return nil, err
	}
	t := &pb.Table{Columns: []string{"service", "flows", "largest over mean", "in progress", "queued"}}
	for _, s := range selected {
		total, largest, numInProgress, numQueued, allHeld := uint64(0), uint64(0), uint64(0), uint64(0), true
		for _, u := range s.GetUpstreams() {
			summary := summarize(in, u.GetNumber())
			total += summary.flows
			largest = max(largest, summary.flows)
			numInProgress += summary.numInProgress
			numQueued += summary.numQueued
			allHeld = allHeld && summary.holder != Unknown
		}
		inProgress, queued, spread := formatSum(in, numInProgress), formatSum(in, numQueued), imbalance(largest, total, len(s.GetUpstreams()))
		if !allHeld {
			inProgress, queued = "at least "+itoa(numInProgress), "at least "+itoa(numQueued)
		}
		if len(in.Missing) > 0 {
			spread = Unknown // The flows of the missing daemons may offset the imbalance of the others.
		}
		t.Rows = append(t.Rows, row(s.GetName(), formatSum(in, total), spread, inProgress, queued))
	}
	return t, nil
}

// imbalance returns the ratio of the largest number of flows to the mean over n upstreams.
func imbalance(largest, total uint64, n int) string {
	if total == 0 || n == 0 {
		return Unknown
	}
	return fmt.Sprintf("%.2f", float64(largest)*float64(n)/float64(total))
}

func flowsTable(in Input) *pb.Table {
	t := &pb.Table{Columns: []string{"caller", "service", "upstream", "owner", "on", "idle"}}
	for _, s := range in.Statuses {
		for _, r := range s.GetFlows() {
			t.Rows = append(t.Rows, flowRow(in, s.GetDaemon(), r))
		}
	}
	return t
}

// countersTable sums each counter whose name has the prefix over the daemons.
func countersTable(in Input, prefix string) *pb.Table {
	t := &pb.Table{Columns: []string{"reason", "count"}}
	sums := map[string]uint64{}
	for _, s := range in.Statuses {
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
		t.Rows = append(t.Rows, row(name, formatSum(in, sums[name])))
	}
	return t
}

// selectServices returns the service with the given name, or all services if the name is empty. It
// returns a *NameError for a service that is not declared.
func selectServices(in Input, name string) ([]*pb.Service, error) {
	if name == "" {
		return in.Snapshot.Services(), nil
	}
	names := make([]string, 0, len(in.Snapshot.Services()))
	for _, s := range in.Snapshot.Services() {
		if s.GetName() == name {
			return []*pb.Service{s}, nil
		}
		names = append(names, s.GetName())
	}
	return nil, &NameError{Kind: "service", Name: name, Declared: names}
}

// enumName returns the name of an enum value in lower case without its prefix.
func enumName(name, prefix string) string {
	return strings.ToLower(strings.TrimPrefix(name, prefix))
}
