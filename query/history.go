package query

import (
	"fmt"
	"time"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/config/declaration"
)

// ChangeFacts are the change records that an answer rests on.
type ChangeFacts struct {
	// Records, newest first.
	Records []*pb.ChangeRecord
	// FromStore is false when the store could not be read; the records are then the few that
	// the daemon's configuration carries.
	FromStore bool
}

// NeedsHistory reports whether the query asks for change records.
func (q *Query) NeedsHistory() bool { return q.History || q.Change != nil }

// changes returns the records of the facts, or those of the configuration in force.
func (f Facts) changes() ChangeFacts {
	if f.Changes != nil {
		return *f.Changes
	}
	return ChangeFacts{Records: f.Snapshot.Proto.GetHistory()}
}

// history lists the changes and says where each was read: the store has the last 256, a daemon
// the last few.
func history(f Facts) *pb.Table {
	t := &pb.Table{Columns: []string{"generation", "change id", "author", "committed", "summary", "read from"}}
	changes := f.changes()
	source := "daemon"
	if changes.FromStore {
		source = "store"
	}
	for _, c := range changes.Records {
		at := time.UnixMilli(c.GetCommittedAtMs()).UTC().Format(time.RFC3339)
		t.Rows = append(t.Rows, row(number(c.GetGeneration()), c.GetChangeId(), c.GetAuthor(), at, c.GetSummary(), source))
	}
	return t
}

// change looks a change id up. An id that the store's history does not have was not committed
// when the store was read, unless the history is full and may have forgotten it. Without the
// store an id that is not found is unknown.
func change(f Facts, id string) *pb.Table {
	t := &pb.Table{Columns: []string{"change id", "outcome", "generation", "author", "summary"}}
	changes := f.changes()
	newest := uint64(0)
	for _, c := range changes.Records {
		newest = max(newest, c.GetGeneration())
		if c.GetChangeId() == id {
			t.Rows = append(t.Rows, row(id, "committed", number(c.GetGeneration()), c.GetAuthor(), c.GetSummary()))
			return t
		}
	}
	switch {
	case !changes.FromStore:
		t.Rows = append(t.Rows, row(id, Unknown, Unknown, Unknown,
			fmt.Sprintf("the store cannot be read; not among the %d changes that this daemon has, up to generation %d", len(changes.Records), f.Snapshot.Generation())))
	case len(changes.Records) >= declaration.MaxHistory:
		t.Rows = append(t.Rows, row(id, Unknown, Unknown, Unknown,
			fmt.Sprintf("not among the last %d changes in the store, up to generation %d", len(changes.Records), newest)))
	default:
		t.Rows = append(t.Rows, row(id, "not committed", Unknown, Unknown,
			fmt.Sprintf("not in the store when it was read, at generation %d", newest)))
	}
	return t
}
