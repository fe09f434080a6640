package discovery

import (
	"sync"
	"time"

	"github.com/fulmarfield/fulmarfield/store"
)

// proof says how an answer of the store bears on what is known of a kind.
type proof uint8

const (
	// proofNone means that the answer shows nothing; only a list does.
	proofNone proof = iota
	// proofCurrent means that what is known was current when the call began.
	proofCurrent
	// proofRead means that the kind must be listed: changes may have been missed.
	proofRead
)

// belief is what one daemon knows of the age of its state. Its methods may be called
// concurrently.
type belief struct {
	mu sync.Mutex
	// newest is the latest version of any record that any list or watch has shown.
	newest store.Version
	// asOf is the version up to which each kind is known, confirmed the begin of the last call
	// that proved it current, listed the begin of the last complete list.
	asOf      map[store.Kind]store.Version
	confirmed map[store.Kind]time.Time
	listed    map[store.Kind]time.Time
	// answersSince is when the store began to answer after it had not.
	answersSince map[store.Kind]time.Time
}

func newBelief() *belief {
	return &belief{
		asOf: map[store.Kind]store.Version{}, confirmed: map[store.Kind]time.Time{}, listed: map[store.Kind]time.Time{},
		answersSince: map[store.Kind]time.Time{},
	}
}

// tookList notes a complete list whose call began at a time.
func (b *belief) tookList(kind store.Kind, l store.Listing, began time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.asOf[kind], b.confirmed[kind], b.listed[kind] = l.AsOf, began, began
	b.newest = max(b.newest, l.AsOf)
}

// tookChanges judges the answer of a watch. A watch that shows nothing proves nothing while the
// store's counter has moved beyond every change that was shown: while the store drops its history
// it leaves changes out.
func (b *belief) tookChanges(kind store.Kind, c store.Changes, ended time.Time) proof {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, change := range c.Changes {
		b.newest = max(b.newest, change.Record.Version)
	}
	previous := b.asOf[kind]
	b.asOf[kind] = max(previous, c.AsOf)
	switch {
	case len(c.Changes) > 0:
		b.newest = max(b.newest, c.AsOf)
		b.confirmed[kind] = ended
		return proofCurrent
	case c.AsOf <= b.newest:
		b.confirmed[kind] = ended
		return proofCurrent
	default:
		return proofRead
	}
}

// confirmedAt returns when a kind was last proved current.
func (b *belief) confirmedAt(kind store.Kind) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.confirmed[kind]
}

// regained notes that the store answers again, or for the first time.
func (b *belief) regained(kind store.Kind, at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.answersSince[kind] = at
}

// listedAt returns when the last complete list of a kind began, and since when the store has
// answered for the kind.
func (b *belief) listedAt(kind store.Kind) (listed, answersSince time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.listed[kind], b.answersSince[kind]
}
