package query

import (
	"fmt"
	"strings"
	"time"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/telemetry"
)

// ownerUnavailable is the text of a value that only the flow's owner can provide.
const ownerUnavailable = Unknown + ": the flow owner cannot be asked"

// Service returns the service that a route query names, or "".
func (q *Query) Service() string {
	if q.Route != nil {
		return q.Route.Service
	}
	return ""
}

// routeTable lists the routing steps of a packet of the flow: service, partition and its holder,
// bucket, record, admission.
func routeTable(in Input, q *Route) (*pb.Table, error) {
	selected, err := selectServices(in, q.Service)
	if err != nil {
		return nil, err
	}
	service := selected[0]
	t := &pb.Table{Columns: []string{"step", "answer"}}
	add := func(step, format string, args ...any) {
		t.Rows = append(t.Rows, row(step, fmt.Sprintf(format, args...)))
	}
	add("service", "%s at %s", service.GetName(), service.GetAddress())
	if in.Route == nil {
		add("flow owner", Unknown)
		return t, nil
	}
	owners, route := partitionOwners(in)
	add("flow owner", "%s", ownerText(in, owners))
	if route == nil {
		add("bucket", "%d, upstream %s", in.Route.GetBucket(), ownerUnavailable)
		add("record", ownerUnavailable)
		add("next packet", ownerUnavailable)
		return t, nil
	}
	add("bucket", "%d, %s", route.GetBucket(), bucketText(in, route))
	add("record", "%s", recordText(in, route))
	if hasRecord(route) {
		add("next packet", "%s", nextPacketText(in, route))
	} else if route.GetCause() != pb.RouteCause_ROUTE_CAUSE_WAITING {
		add("new flow", "%s", newFlowText(in, route))
		add("open flow", "%s", openFlowText(in, route))
	}
	if upstream := max(route.GetUpstream(), route.GetOpens()); upstream != 0 {
		if hasRecord(route) || route.GetUpstream() == 0 || route.GetUpstream() == route.GetOpens() {
			add("admission", "%s", admissionText(in, upstream))
		}
	}
	return t, nil
}

// partitionOwners returns the daemons whose statuses report that they hold the flow's partition, and
// the route that one of them reports: the daemon that the evaluating daemon forwards packets to, or
// otherwise the first. Shortly after a network partition is healed there may be two such daemons.
func partitionOwners(in Input) (owners []string, route *pb.RouteExplanation) {
	for _, s := range in.Statuses {
		e := s.GetRoute()
		switch e.GetCause() {
		case pb.RouteCause_ROUTE_CAUSE_UNSPECIFIED, pb.RouteCause_ROUTE_CAUSE_UNKNOWN_SERVICE, pb.RouteCause_ROUTE_CAUSE_NOT_HELD:
			continue
		}
		owners = append(owners, s.GetDaemon())
		if route == nil || s.GetDaemon() == in.Route.GetOwner() {
			route = e
		}
	}
	return owners, route
}

// ownerText names the flow's owner, or the reason why the owner is unknown.
func ownerText(in Input, owners []string) string {
	partition, expected := in.Route.GetPartition(), in.Route.GetOwner()
	switch {
	case len(owners) == 1:
		return fmt.Sprintf("%s, which holds partition %d", owners[0], partition)
	case len(owners) > 1:
		return fmt.Sprintf("%s, which all hold partition %d until their records are merged", strings.Join(owners, " and "), partition)
	case expected == "":
		return Unknown
	case hasResponded(in, expected):
		return fmt.Sprintf("%s, which does not hold partition %d yet", expected, partition)
	default:
		return expected + ", which did not answer"
	}
}

// hasResponded reports whether the daemon responded to the status request.
func hasResponded(in Input, daemon string) bool {
	for _, s := range in.Statuses {
		if s.GetDaemon() == daemon {
			return true
		}
	}
	return false
}

func bucketText(in Input, route *pb.RouteExplanation) string {
	if route.GetBucketUpstream() == 0 {
		return "no upstream"
	}
	stable := "changed within the idle limit"
	if route.GetBucketStable() {
		stable = "stable"
	}
	return fmt.Sprintf("upstream %s, %s", upstreamName(in, route.GetBucketUpstream()), stable)
}

// hasRecord reports whether the owner has a record of the flow.
func hasRecord(route *pb.RouteExplanation) bool {
	switch route.GetCause() {
	case pb.RouteCause_ROUTE_CAUSE_RECORD, pb.RouteCause_ROUTE_CAUSE_EXCEPTION, pb.RouteCause_ROUTE_CAUSE_CLOSED:
		return true
	default:
		return false
	}
}

func recordText(in Input, route *pb.RouteExplanation) string {
	kind := "on its bucket's upstream"
	switch route.GetCause() {
	case pb.RouteCause_ROUTE_CAUSE_WAITING:
		return "none yet; asked: " + strings.Join(route.GetQueried(), ", ")
	case pb.RouteCause_ROUTE_CAUSE_EXCEPTION:
		kind = "exception"
	case pb.RouteCause_ROUTE_CAUSE_CLOSED:
		kind = "closed a short while ago"
	case pb.RouteCause_ROUTE_CAUSE_RECORD:
	default:
		return "none"
	}
	idle := time.Duration(route.GetIdleMs()) * time.Millisecond
	return fmt.Sprintf("on %s, %s, idle for %s", upstreamName(in, route.GetUpstream()), kind, idle.Round(time.Second))
}

func nextPacketText(in Input, route *pb.RouteExplanation) string {
	if route.GetResetReason() != pb.Reason_REASON_UNSPECIFIED {
		return "is answered by a reset: " + telemetry.ReasonName(route.GetResetReason())
	}
	return "goes to " + upstreamName(in, route.GetUpstream())
}

// newFlowText describes where an OPEN is sent under the current state and load.
func newFlowText(in Input, route *pb.RouteExplanation) string {
	switch route.GetOpens() {
	case 0:
		return "is refused: the service has no active upstream"
	case route.GetBucketUpstream():
		return "opens on " + upstreamName(in, route.GetOpens()) + ", its bucket's upstream"
	default:
		return fmt.Sprintf("opens on %s, an exception, by the state or load of %s", upstreamName(in, route.GetOpens()), upstreamName(in, route.GetBucketUpstream()))
	}
}

// openFlowText describes how the owner handles a packet of an open flow that it has no record of.
func openFlowText(in Input, route *pb.RouteExplanation) string {
	switch {
	case route.GetUpstream() != 0:
		return "goes to " + upstreamName(in, route.GetUpstream()) + ", by the table"
	case len(route.GetQueried()) > 0:
		return strings.Join(route.GetQueried(), ", ") + " are asked for its record"
	default:
		return "is answered by a reset: no daemon can be asked for its record"
	}
}

func admissionText(in Input, upstream uint32) string {
	summary := summarize(in, upstream)
	return fmt.Sprintf("%s; %s requests in progress, %s queued", summary.holder, summary.inProgress, summary.queued)
}

func upstreamName(in Input, upstream uint32) string {
	u, _, _, ok := in.Snapshot.Upstream(upstream)
	if !ok {
		return Unknown
	}
	return u.GetName()
}
