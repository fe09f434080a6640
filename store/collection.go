package store

import (
	"context"
	"errors"
	"time"
)

// ErrExpired means that the changes since a version are not kept any more; only a new list
// shows what is there.
var ErrExpired = errors.New("history of changes is gone")

// Kind names a collection of records.
type Kind string

// Record is an object of a collection.
type Record struct {
	Name    string
	Version Version
	Body    []byte
}

// Listing is all records of a kind. It is read in pages, so that it is no snapshot: every change
// after AsOf, which is that of the first page, must be watched for.
type Listing struct {
	Records []Record
	AsOf    Version
	// MayLag is set when a part of it was read with Lagging.
	MayLag bool
}

// Consistency is how new the answer to a read must be.
type Consistency int

const (
	// Newest is an answer with every change that was acknowledged before the call.
	Newest Consistency = iota
	// Lagging is an answer that may be seconds old. It is cheap and does not count toward the
	// rate of calls.
	Lagging
)

// Page is a part of a listing, in the order of names.
type Page struct {
	Records []Record
	AsOf    Version
	// Next is the name after which the next page begins, "" after the last page.
	Next string
}

// Change is a record that was written or, when Deleted is set, removed.
type Change struct {
	Record  Record
	Deleted bool
}

// Changes are what a watch returned. AsOf is the version to go on from; other kinds' changes
// raise it too.
type Changes struct {
	Changes []Change
	AsOf    Version
}

// Collections is a store that keeps records by kind. All methods may be called concurrently;
// they return errors that wrap the errors of this package, or the context's.
type Collections interface {
	// ListPage returns the records of a kind whose names come after a name, as many as fit. It
	// returns ErrRateLimited when too many calls are made.
	ListPage(ctx context.Context, kind Kind, after string, consistency Consistency) (Page, error)
	// WatchKind waits at most wait for changes after a version. It returns ErrExpired when
	// the version is too old. No changes are not proof that there were none.
	WatchKind(ctx context.Context, kind Kind, after Version, wait time.Duration) (Changes, error)
}
