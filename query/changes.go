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
	for _, s := range f.Snapshot.Services() {
		for _, u := range s.GetUpstreams() {
			if u.GetName() == name {
				return drainOf(f, u), nil
			}
		}
	}
	return nil, fmt.Errorf("upstream %q is %w", name, ErrNotDeclared)
}

func drainOf(f Facts, u *pb.Upstream) *pb.Table {
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
	return t
}

func history(f Facts) *pb.Table {
	t := &pb.Table{Columns: []string{"generation", "change id", "author", "committed", "summary"}}
	for _, c := range f.Snapshot.Proto.GetHistory() {
		t.Rows = append(t.Rows, changeRow(c))
	}
	return t
}

func changeRow(c *pb.ChangeRecord) *pb.Row {
	at := time.UnixMilli(c.GetCommittedAtMs()).UTC().Format(time.RFC3339)
	return row(number(c.GetGeneration()), c.GetChangeId(), c.GetAuthor(), at, c.GetSummary())
}

// change looks a change id up in the configuration in force. An id that is not there may have
// been committed after this generation, so it is unknown rather than not committed.
func change(f Facts, id string) *pb.Table {
	t := &pb.Table{Columns: []string{"change id", "outcome", "generation", "author", "summary"}}
	for _, c := range f.Snapshot.Proto.GetHistory() {
		if c.GetChangeId() == id {
			t.Rows = append(t.Rows, row(id, "committed", number(c.GetGeneration()), c.GetAuthor(), c.GetSummary()))
			return t
		}
	}
	t.Rows = append(t.Rows, row(id, Unknown, Unknown, Unknown,
		fmt.Sprintf("not in the history up to generation %d", f.Snapshot.Generation())))
	return t
}
