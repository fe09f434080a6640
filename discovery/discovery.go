// Package discovery keeps the catalog up to date from the store and from other daemons, and says
// how far it may be believed. It owns the copies of the store's records and their ages.
package discovery

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/fulmarfield/fulmarfield/catalog"
	"github.com/fulmarfield/fulmarfield/platform"
	"github.com/fulmarfield/fulmarfield/store"
	"github.com/fulmarfield/fulmarfield/telemetry"
)

const (
	// watchWait is the length of a long poll, below the 30 s that the store takes. Watches only
	// tell of changes early; what they show is confirmed by lists.
	watchWait = 25 * time.Second
	// settleShare is the least pause after changes, in which more of them gather into one call, as
	// a share of the time in which a change must hold. The longest is twice as long.
	settleShare = 0.12
	// firstHeardWait is how long a starting daemon waits for others, some times the way between
	// zones, and firstRecordsWait for the records of one.
	firstHeardWait   = 5 * time.Millisecond
	firstRecordsWait = 40 * time.Millisecond
	// startingDaemons is how many others a daemon that has heard none assumes to start with it, so
	// that few read the store when no seed answers: as many as it can come to know.
	startingDaemons = 64
	// minListInterval bounds the lists that packets can cause; a caller repeats its packet
	// after 200 ms and 600 ms.
	minListInterval = 300 * time.Millisecond
	// Back-off of watches that broke off, and of calls to other daemons.
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = time.Second
	// openPoll is how often a watch looks whether the store answers again.
	openPoll = 100 * time.Millisecond
)

// Source lists the records that another daemon holds.
type Source interface {
	// ListRecords returns those parts of a daemon's copy that differ from the digests. The zero
	// address stands for any daemon. It returns an error when none gives its records.
	ListRecords(ctx context.Context, kind store.Kind, from netip.Addr, digests []uint64) (Part, error)
	// Daemons returns the number of other daemons that were heard lately.
	Daemons() int
	// IsSeed reports whether the others are told of this daemon in their settings, or nobody is.
	IsSeed() bool
}

// Options are what a Follower works with.
type Options struct {
	Store    store.Collections
	Catalog  *catalog.Catalog
	Counters *telemetry.Counters
	Logger   zerolog.Logger
	// Bound is the time in which a change must be in force on this daemon.
	Bound time.Duration
}

// kindState is all that is known of one kind.
type kindState struct {
	mirror *mirror
	belief belief
	// spread is drawn anew after each confirmation.
	spread float64
}

// isKnown reports whether there is a copy, proved or not.
func (k *kindState) isKnown() bool {
	return !k.belief.confirmedAt.IsZero() || !k.belief.unprovenSince.IsZero()
}

// Follower keeps copies of the store's records. It implements inband.Belief. Its methods may be
// called concurrently.
type Follower struct {
	options Options
	source  Source
	breaker breaker
	// wake ends the wait for the next list early.
	wake map[store.Kind]chan struct{}
	// advanced wakes the watch of a kind when the version of the copy has risen.
	advanced map[store.Kind]chan struct{}

	mu    sync.Mutex
	kinds map[store.Kind]*kindState
	// wanted asks for a list, whatever the age of the copy.
	wanted map[store.Kind]bool
	// onConfirmed is called without the lock after the copy was confirmed by a list.
	onConfirmed func()
}

// Kinds are what a Follower follows.
func Kinds() []store.Kind {
	return []store.Kind{platform.KindConfiguration, platform.KindUpstreams}
}

// NewFollower returns a Follower that has read nothing.
func NewFollower(o Options) *Follower {
	f := &Follower{
		options: o, wake: map[store.Kind]chan struct{}{}, advanced: map[store.Kind]chan struct{}{},
		kinds: map[store.Kind]*kindState{}, wanted: map[store.Kind]bool{},
	}
	for _, kind := range Kinds() {
		f.wake[kind] = make(chan struct{}, 1)
		f.advanced[kind] = make(chan struct{}, 1)
		f.kinds[kind] = &kindState{mirror: newMirror()}
	}
	return f
}

// Join sets where records come from when the store does not answer, and what is called after
// a list confirmed a copy. It must be called before Run.
func (f *Follower) Join(source Source, onConfirmed func()) {
	f.source, f.onConfirmed = source, onConfirmed
}

// Run follows the store until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, kind := range Kinds() {
		group.Go(func() error {
			f.learnFirst(ctx, kind)
			return f.keepConfirmed(ctx, kind)
		})
		group.Go(func() error { return f.watch(ctx, kind) })
	}
	return group.Wait()
}

// answered notes that the store answers.
func (f *Follower) answered() {
	if f.breaker.answered(time.Now()) {
		f.options.Logger.Info().Str("event", "store_regained").Send()
	}
}

// lost notes that the store does not answer.
func (f *Follower) lost(kind store.Kind, err error) {
	f.options.Counters.Count("retry.store_" + string(kind))
	if f.breaker.failed(time.Now(), f.daemons()) {
		f.options.Logger.Warn().Str("event", "store_lost").Str("kind", string(kind)).
			Dur("confirmed_ago_ms", time.Since(f.ConfirmedAt(kind))).Err(err).Send()
	}
}

// wantLocked asks for a list of a kind now.
func (f *Follower) wantLocked(kind store.Kind) {
	f.wanted[kind] = true
	notify(f.wake[kind])
}

// notify wakes the one that waits, now or at its next wait.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default: // It has been woken already.
	}
}
