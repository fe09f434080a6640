package query

import (
	"fmt"
	"time"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/wire"
)

func flowRow(f Facts, owner string, r *pb.FlowRecord) *pb.Row {
	name, service := Unknown, Unknown
	if u, s, _, ok := f.Snapshot.Upstream(r.GetUpstream()); ok {
		name, service = u.GetName(), s.GetName()
	}
	on := "bucket"
	if r.GetException() {
		on = "exception"
	}
	idle := time.Duration(r.GetIdleMs()) * time.Millisecond
	return row(wire.FlowKeyFromProto(r.GetFlow()).Caller().String(), service, name, owner, on, idle.Round(time.Second).String())
}

// drain lists what keeps a draining upstream from being empty.
func drain(f Facts, name string) (*pb.Table, error) {
	var names []string
	for _, s := range f.Snapshot.Services() {
		for _, u := range s.GetUpstreams() {
			if u.GetName() == name {
				return drainOf(f, s, u), nil
			}
			names = append(names, u.GetName())
		}
	}
	return nil, &NameError{Kind: "upstream", Name: name, Declared: names}
}

func drainOf(f Facts, service *pb.Service, u *pb.Upstream) *pb.Table {
	known := summarize(f, u.GetNumber())
	t := &pb.Table{Columns: []string{"what", "value"}}
	since := "not draining"
	if u.GetState() == pb.DeclaredState_DECLARED_STATE_DRAINING {
		started := time.UnixMilli(u.GetDrainingSinceMs())
		since = f.Now.Sub(started).Round(time.Second).String()
	}
	t.Rows = append(t.Rows,
		row("draining for", since),
		row("established flows", atLeast(f, known.flows)),
		row("requests in progress", known.inProgress),
		row("requests queued", known.queued),
		row("admission held by", known.holder))
	t.Rows = append(t.Rows, blockers(f, service, u)...)
	return t
}

// blockers lists the requests that the drain waits for, when this daemon holds the upstream's
// admission, and says when the flows that remain are ended.
func blockers(f Facts, service *pb.Service, u *pb.Upstream) []*pb.Row {
	var rows []*pb.Row
	for _, b := range f.Blockers {
		state := "in progress"
		if b.Queued {
			state = "queued"
		}
		rows = append(rows, row("blocked by", fmt.Sprintf("request %d of %s, %s for %s, %s to its deadline", b.RequestID,
			b.Flow.Caller(), state, b.Age.Round(time.Millisecond), b.Remaining.Round(time.Millisecond))))
	}
	limit := time.Duration(service.GetLimits().GetDrainLimitMs()) * time.Millisecond
	if u.GetState() == pb.DeclaredState_DECLARED_STATE_DRAINING && limit > 0 {
		ends := time.UnixMilli(u.GetDrainingSinceMs()).Add(limit).Sub(f.Now)
		rows = append(rows, row("flows end in", max(0, ends).Round(time.Second).String()))
	}
	return rows
}
