package query

import (
	"fmt"
	"strings"
	"time"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/telemetry"
)

// cannotBeAsked stands where only the flow's owner knows.
const cannotBeAsked = Unknown + ": the flow owner cannot be asked"

// Service returns the service whose address a route query needs, or "".
func (q *Query) Service() string {
	if q.Route != nil {
		return q.Route.Service
	}
	return ""
}

// route lists the steps that a packet of the flow takes: service, partition and its holder,
// bucket, record, admission.
func route(f Facts, q *Route) (*pb.Table, error) {
	selected, err := selectServices(f, q.Service)
	if err != nil {
		return nil, err
	}
	service := selected[0]
	t := &pb.Table{Columns: []string{"step", "answer"}}
	add := func(step, format string, args ...any) {
		t.Rows = append(t.Rows, row(step, fmt.Sprintf(format, args...)))
	}
	add("service", "%s at %s", service.GetName(), service.GetAddress())
	if f.Route == nil {
		add("flow owner", Unknown)
		return t, nil
	}
	owners, r := ownersOf(f)
	add("flow owner", "%s", ownerText(f, owners))
	if r == nil {
		add("bucket", "%d, upstream %s", f.Route.GetBucket(), cannotBeAsked)
		add("record", cannotBeAsked)
		add("next packet", cannotBeAsked)
		return t, nil
	}
	add("bucket", "%d, %s", r.GetBucket(), bucketText(f, r))
	add("record", "%s", recordText(f, r))
	if hasRecord(r) {
		add("next packet", "%s", nextPacket(f, r))
	} else if r.GetCause() != pb.RouteCause_ROUTE_CAUSE_WAITING {
		add("new flow", "%s", newFlow(f, r))
		add("open flow", "%s", openFlow(f, r))
	}
	if upstream := max(r.GetUpstream(), r.GetOpens()); upstream != 0 {
		if hasRecord(r) || r.GetUpstream() == 0 || r.GetUpstream() == r.GetOpens() {
			add("admission", "%s", admissionText(f, upstream))
		}
	}
	return t, nil
}

// ownersOf returns the daemons that hold the flow's partition by their own answers, and the
// explanation of the one that the answering daemon sends packets to, or else of the first.
// There are two for a while after a cut is healed.
func ownersOf(f Facts) (owners []string, r *pb.RouteExplanation) {
	for _, s := range f.Statuses {
		e := s.GetRoute()
		switch e.GetCause() {
		case pb.RouteCause_ROUTE_CAUSE_UNSPECIFIED, pb.RouteCause_ROUTE_CAUSE_UNKNOWN_SERVICE, pb.RouteCause_ROUTE_CAUSE_NOT_HELD:
			continue
		}
		owners = append(owners, s.GetDaemon())
		if r == nil || s.GetDaemon() == f.Route.GetOwner() {
			r = e
		}
	}
	return owners, r
}

func ownerText(f Facts, owners []string) string {
	partition, expected := f.Route.GetPartition(), f.Route.GetOwner()
	switch {
	case len(owners) == 1:
		return fmt.Sprintf("%s, which holds partition %d", owners[0], partition)
	case len(owners) > 1:
		return fmt.Sprintf("%s, which all hold partition %d until their records are merged", strings.Join(owners, " and "), partition)
	case expected == "":
		return Unknown
	case heardFrom(f, expected):
		return fmt.Sprintf("%s, which does not hold partition %d yet", expected, partition)
	default:
		return expected + ", which did not answer"
	}
}

func heardFrom(f Facts, daemon string) bool {
	for _, s := range f.Statuses {
		if s.GetDaemon() == daemon {
			return true
		}
	}
	return false
}

func bucketText(f Facts, r *pb.RouteExplanation) string {
	if r.GetBucketUpstream() == 0 {
		return "no upstream"
	}
	stable := "changed within the idle limit"
	if r.GetBucketStable() {
		stable = "stable"
	}
	return fmt.Sprintf("upstream %s, %s", upstreamName(f, r.GetBucketUpstream()), stable)
}

// hasRecord reports whether the owner has a record of the flow.
func hasRecord(r *pb.RouteExplanation) bool {
	switch r.GetCause() {
	case pb.RouteCause_ROUTE_CAUSE_RECORD, pb.RouteCause_ROUTE_CAUSE_EXCEPTION, pb.RouteCause_ROUTE_CAUSE_CLOSED:
		return true
	default:
		return false
	}
}

func recordText(f Facts, r *pb.RouteExplanation) string {
	kind := "on its bucket's upstream"
	switch r.GetCause() {
	case pb.RouteCause_ROUTE_CAUSE_WAITING:
		return "none yet; asked: " + strings.Join(r.GetQueried(), ", ")
	case pb.RouteCause_ROUTE_CAUSE_EXCEPTION:
		kind = "exception"
	case pb.RouteCause_ROUTE_CAUSE_CLOSED:
		kind = "closed a short while ago"
	case pb.RouteCause_ROUTE_CAUSE_RECORD:
	default:
		return "none"
	}
	idle := time.Duration(r.GetIdleMs()) * time.Millisecond
	return fmt.Sprintf("on %s, %s, idle for %s", upstreamName(f, r.GetUpstream()), kind, idle.Round(time.Second))
}

func nextPacket(f Facts, r *pb.RouteExplanation) string {
	if r.GetResetReason() != pb.Reason_REASON_UNSPECIFIED {
		return "is answered by a reset: " + telemetry.ReasonName(r.GetResetReason())
	}
	return "goes to " + upstreamName(f, r.GetUpstream())
}

// newFlow tells where an OPEN goes by the state and load of this moment.
func newFlow(f Facts, r *pb.RouteExplanation) string {
	switch r.GetOpens() {
	case 0:
		return "is refused: the service has no active upstream"
	case r.GetBucketUpstream():
		return "opens on " + upstreamName(f, r.GetOpens()) + ", its bucket's upstream"
	default:
		return fmt.Sprintf("opens on %s, an exception, by the state or load of %s", upstreamName(f, r.GetOpens()), upstreamName(f, r.GetBucketUpstream()))
	}
}

// openFlow tells what a packet of an open flow meets for which the owner has no record.
func openFlow(f Facts, r *pb.RouteExplanation) string {
	switch {
	case r.GetUpstream() != 0:
		return "goes to " + upstreamName(f, r.GetUpstream()) + ", by the table"
	case len(r.GetQueried()) > 0:
		return strings.Join(r.GetQueried(), ", ") + " are asked for its record"
	default:
		return "is answered by a reset: no daemon can be asked for its record"
	}
}

func admissionText(f Facts, upstream uint32) string {
	known := summarize(f, upstream)
	return fmt.Sprintf("%s; %s requests in progress, %s queued", known.holder, known.inProgress, known.queued)
}

func upstreamName(f Facts, upstream uint32) string {
	u, _, _, ok := f.Snapshot.Upstream(upstream)
	if !ok {
		return Unknown
	}
	return u.GetName()
}
