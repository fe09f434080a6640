package query

import (
	"fmt"
	"time"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/wire"
)

// flowRow returns the table row of a flow. The parameter owner is the daemon that has the record.
func flowRow(in Input, owner string, record *pb.FlowRecord) *pb.Row {
	name, service := Unknown, Unknown
	if u, s, _, ok := in.Snapshot.Upstream(record.GetUpstream()); ok {
		name, service = u.GetName(), s.GetName()
	}
	placement := "bucket"
	if record.GetException() {
		placement = "exception"
	}
	idle := time.Duration(record.GetIdleMs()) * time.Millisecond
	return row(wire.FlowKeyFromProto(record.GetFlow()).Caller().String(), service, name, owner, placement, idle.Round(time.Second).String())
}

// drainTable returns the progress of the drain of an upstream: what is left on it and what the drain
// waits for. It returns a *NameError for an upstream that is not declared.
func drainTable(in Input, name string) (*pb.Table, error) {
	var names []string
	for _, s := range in.Snapshot.Services() {
		for _, u := range s.GetUpstreams() {
			if u.GetName() == name {
				return upstreamDrainTable(in, s, u), nil
			}
			names = append(names, u.GetName())
		}
	}
	return nil, &NameError{Kind: "upstream", Name: name, Declared: names}
}

func upstreamDrainTable(in Input, service *pb.Service, u *pb.Upstream) *pb.Table {
	summary := summarize(in, u.GetNumber())
	t := &pb.Table{Columns: []string{"what", "value"}}
	since := "not draining"
	if u.GetState() == pb.DeclaredState_DECLARED_STATE_DRAINING {
		started := time.UnixMilli(u.GetDrainingSinceMs())
		since = in.Now.Sub(started).Round(time.Second).String()
	}
	t.Rows = append(t.Rows,
		row("draining for", since),
		row("established flows", formatSum(in, summary.flows)),
		row("requests in progress", summary.inProgress),
		row("requests queued", summary.queued),
		row("admission held by", summary.holder))
	t.Rows = append(t.Rows, drainBlockerRows(in, service, u)...)
	return t
}

// drainBlockerRows returns a row for each request that the drain waits for, if this daemon holds the
// upstream's admission, and a row with the time until the remaining flows are ended.
func drainBlockerRows(in Input, service *pb.Service, u *pb.Upstream) []*pb.Row {
	var rows []*pb.Row
	for _, b := range in.Blockers {
		state := "in progress"
		if b.Queued {
			state = "queued"
		}
		rows = append(rows, row("blocked by", fmt.Sprintf("request %d of %s, %s for %s, %s to its deadline", b.RequestID,
			b.Flow.Caller(), state, b.Age.Round(time.Millisecond), b.Remaining.Round(time.Millisecond))))
	}
	limit := time.Duration(service.GetLimits().GetDrainLimitMs()) * time.Millisecond
	if u.GetState() == pb.DeclaredState_DECLARED_STATE_DRAINING && limit > 0 {
		ends := time.UnixMilli(u.GetDrainingSinceMs()).Add(limit).Sub(in.Now)
		rows = append(rows, row("flows end in", max(0, ends).Round(time.Second).String()))
	}
	return rows
}
