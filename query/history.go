package query

import (
	"fmt"
	"time"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/config/declaration"
)

// ChangeHistory holds the change records that a query is evaluated against.
type ChangeHistory struct {
	// Records are the change records, newest first.
	Records []*pb.ChangeRecord
	// FromStore is false if the store could not be read; Records are then the few most recent ones
	// that are part of the daemon's configuration.
	FromStore bool
}

// NeedsHistory reports whether the query needs change records.
func (q *Query) NeedsHistory() bool { return q.History || q.Change != nil }

// changes returns the change records of the input or, without those, the ones in the configuration.
func (in Input) changes() ChangeHistory {
	if in.Changes != nil {
		return *in.Changes
	}
	return ChangeHistory{Records: in.Snapshot.Proto.GetHistory()}
}

// historyTable lists the changes and the source that they were read from: the store keeps the last
// 256, a daemon only the last few.
func historyTable(in Input) *pb.Table {
	t := &pb.Table{Columns: []string{"generation", "change id", "author", "committed", "summary", "read from"}}
	changes := in.changes()
	source := "daemon"
	if changes.FromStore {
		source = "store"
	}
	for _, c := range changes.Records {
		at := time.UnixMilli(c.GetCommittedAtMs()).UTC().Format(time.RFC3339)
		t.Rows = append(t.Rows, row(itoa(c.GetGeneration()), c.GetChangeId(), c.GetAuthor(), at, c.GetSummary(), source))
	}
	return t
}

// changeTable looks up a change id. An id that is not in the store's history was not committed when
// the store was read, unless the history is full and may have dropped the id. If the store cannot be
// read, the outcome of an id that is not found is unknown.
func changeTable(in Input, id string) *pb.Table {
	t := &pb.Table{Columns: []string{"change id", "outcome", "generation", "author", "summary"}}
	changes := in.changes()
	newestGeneration := uint64(0)
	for _, c := range changes.Records {
		newestGeneration = max(newestGeneration, c.GetGeneration())
		if c.GetChangeId() == id {
			t.Rows = append(t.Rows, row(id, "committed", itoa(c.GetGeneration()), c.GetAuthor(), c.GetSummary()))
			return t
		}
	}
	switch {
	case !changes.FromStore:
		t.Rows = append(t.Rows, row(id, Unknown, Unknown, Unknown,
			fmt.Sprintf("the store cannot be read; not among the %d changes that this daemon has, up to generation %d", len(changes.Records), in.Snapshot.Generation())))
	case len(changes.Records) >= declaration.MaxHistory:
		t.Rows = append(t.Rows, row(id, Unknown, Unknown, Unknown,
			fmt.Sprintf("not among the last %d changes in the store, up to generation %d", len(changes.Records), newestGeneration)))
	default:
		t.Rows = append(t.Rows, row(id, "not committed", Unknown, Unknown,
			fmt.Sprintf("not in the store when it was read, at generation %d", newestGeneration)))
	}
	return t
}
