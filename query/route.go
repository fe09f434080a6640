package query

import (
	"fmt"
	"time"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/steering"
	"github.com/fulmarfield/fulmarfield/wire"
)

// RouteFacts are what the answering daemon knows of one flow's way.
type RouteFacts struct {
	// Explanation is complete only when this daemon holds the flow's partition.
	steering.Explanation
	// Owner holds the partition by this daemon's view; empty when it is not known.
	Owner string
}

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
	r := f.Route
	if r == nil {
		add("flow owner", Unknown)
		return t, nil
	}
	owner := r.Owner
	if owner == "" {
		owner = Unknown
	}
	add("flow owner", "%s, which holds partition %d", owner, r.Partition)
	add("bucket", "%d, %s", r.Bucket, bucketText(f, r))
	record, holder := recordOf(f, service, r)
	add("record", "%s", recordText(f, r, record, holder))
	upstream := r.Upstream
	if record != nil {
		upstream = record.GetUpstream()
	}
	add("next packet", "%s", destination(f, r, upstream))
	if upstream != 0 {
		known := summarize(f, upstream)
		add("admission", "%s; %s requests in progress, %s queued", known.holder, known.inProgress, known.queued)
	}
	return t, nil
}

func isHolder(r *RouteFacts) bool {
	return r.Cause != steering.CauseNotHeld && r.Cause != steering.CauseUnknownService
}

// bucketText tells the bucket's upstream, which only the holder of the partition looks up.
func bucketText(f Facts, r *RouteFacts) string {
	if !isHolder(r) {
		return "upstream " + Unknown + " here"
	}
	stable := "changed within the idle limit"
	if r.BucketStable {
		stable = "stable"
	}
	return fmt.Sprintf("upstream %s, %s", upstreamName(f, r.BucketUpstream), stable)
}

// recordOf returns the flow's record from the daemon that has it.
func recordOf(f Facts, service *pb.Service, r *RouteFacts) (record *pb.FlowRecord, holder string) {
	for _, s := range f.Statuses {
		for _, flow := range s.GetFlows() {
			if flow.GetService() == service.GetNumber() && wire.FlowKeyFromProto(flow.GetFlow()) == r.Flow {
				return flow, s.GetDaemon()
			}
		}
	}
	return nil, ""
}

func recordText(f Facts, r *RouteFacts, record *pb.FlowRecord, holder string) string {
	if record != nil {
		kind := "on its bucket's upstream"
		if record.GetException() {
			kind = "exception"
		}
		idle := time.Duration(record.GetIdleMs()) * time.Millisecond
		return fmt.Sprintf("on %s, %s, idle for %s, at %s", upstreamName(f, record.GetUpstream()), kind, idle.Round(time.Second), holder)
	}
	switch r.Cause {
	case steering.CauseClosed:
		return "closed a short while ago"
	case steering.CauseWaiting:
		return "none; other daemons are being asked"
	}
	if isHolder(r) || heardFrom(f, r.Owner) {
		return "none"
	}
	return Unknown + ": the flow owner did not answer"
}

func heardFrom(f Facts, daemon string) bool {
	for _, s := range f.Statuses {
		if s.GetDaemon() == daemon {
			return true
		}
	}
	return false
}

func destination(f Facts, r *RouteFacts, upstream uint32) string {
	switch {
	case upstream != 0:
		return "goes to " + upstreamName(f, upstream)
	case r.Cause == steering.CauseNoUpstream:
		return "is refused: the service has no active upstream"
	case r.Cause == steering.CauseUnstableBucket:
		return "opens a flow on " + upstreamName(f, r.BucketUpstream) + "; of an open flow, other daemons are asked for the record"
	default:
		return Unknown
	}
}

func upstreamName(f Facts, upstream uint32) string {
	u, _, _, ok := f.Snapshot.Upstream(upstream)
	if !ok {
		return Unknown
	}
	return u.GetName()
}
