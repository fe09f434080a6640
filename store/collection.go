package store

import (
	"context"
	"errors"
	"time"
)

// ErrExpired means that the store no longer keeps the changes since a version. Only a new list
// shows the current records.
var ErrExpired = errors.New("change history has expired")

// Kind names a collection of records.
type Kind string

// Record is an object of a collection.
type Record struct {
	Name    string
	Version Version
	Body    []byte
	// Era is the era in which the record was read. Stores leave it to their reader.
	Era Era
}

// Position orders this version of the record among those of all eras.
func (r Record) Position() Position { return Position{r.Era, r.Version} }

// Listing is a list of all records of a kind. It is read in pages and is therefore no snapshot: the
// reader must watch for every change after AsOf, which is the version of the first page.
type Listing struct {
	Records []Record
	AsOf    Version
	// Era is the era of all its pages.
	Era Era
	// MayBeStale is set when any of its pages was read with AllowStale.
	MayBeStale bool
}

// Consistency is how current the response to a read must be.
type Consistency int

const (
	// Latest requires a response that contains every change acknowledged before the call.
	Latest Consistency = iota
	// AllowStale permits a response that is stale by seconds. Such a read is cheap and does not
	// count toward the rate limit.
	AllowStale
)

// Page is a part of a listing, ordered by name.
type Page struct {
	Records []Record
	AsOf    Version
	// Next is the name after which the next page begins; it is empty on the last page.
	Next string
	// Era is the era of the store at the response. It is also set with an error if the response that
	// caused the error named it.
	Era Era
	// InvalidEra is what the response says instead of a number, shortened; it is empty if it says no such thing.
	// Then Era has no meaning.
	InvalidEra string
}

// Change is a record that was written or, when Deleted is set, removed.
type Change struct {
	Record  Record
	Deleted bool
}

// Changes are the result of a watch. AsOf is the version from which the next watch continues;
// changes of other kinds raise it too.
type Changes struct {
	Changes []Change
	AsOf    Version
	// Era and InvalidEra are as in Page.
	Era        Era
	InvalidEra string
}

// Collections is a store that keeps records by kind. All methods may be called concurrently. They
// return errors that wrap the errors of this package or the error of the context.
type Collections interface {
	// ListPage returns the records of a kind whose names come after a name, as many as fit in a
	// page. It returns ErrRateLimited if the calls exceed the rate limit.
	ListPage(ctx context.Context, kind Kind, after string, consistency Consistency) (Page, error)
	// WatchKind waits at most wait for changes after a version. It returns ErrExpired if the
	// version is too old. A result without changes is no evidence that there were none.
	WatchKind(ctx context.Context, kind Kind, after Version, wait time.Duration) (Changes, error)
}
