// Package discovery keeps the catalog up to date from the store and from other daemons, and says
// how far it may be believed. It owns the copies of the store's records and their ages.
package discovery

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/fulmarfield/fulmarfield/catalog"
	"github.com/fulmarfield/fulmarfield/internal/wait"
	"github.com/fulmarfield/fulmarfield/platform"
	"github.com/fulmarfield/fulmarfield/store"
	"github.com/fulmarfield/fulmarfield/telemetry"
)

const (
	// watchWait is the length of a long poll, below the 30 s that the store takes. Watches only
	// tell of changes early; what they show is confirmed by lists.
	watchWait = 25 * time.Second
	// settle is the pause after changes, in which more of them gather into one call. It is
	// small against the seconds in which a change must hold.
	settle = 150 * time.Millisecond
	// minListInterval bounds the lists that packets can cause; a caller repeats its packet
	// after 200 ms and 600 ms.
	minListInterval = 300 * time.Millisecond
	// Back-off of calls that failed. The longest pause is half of the 2 s after an outage in
	// which lapsed upstreams come back. The first daemon that is served again tells the others.
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = time.Second
)

// Source lists the records that another daemon holds.
type Source interface {
	// ListRecords returns a list and when it was the newest. It returns an error when no
	// daemon gives one.
	ListRecords(ctx context.Context, kind store.Kind) (store.Listing, time.Time, error)
	// Daemons returns the number of other daemons that were heard lately.
	Daemons() int
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
	// lists counts complete lists, so that a watch notices one that came in between.
	lists int
	// answersSince is when the store began to answer after it had not, the zero time while it
	// does not answer.
	answersSince time.Time
	// spread is drawn anew after each confirmation.
	spread float64
}

// Follower keeps copies of the store's records. It implements inband.Belief. Its methods may be
// called concurrently.
type Follower struct {
	options Options
	source  Source
	// wake ends the wait for the next list early.
	wake map[store.Kind]chan struct{}
	// listed wakes the watch of a kind after a list.
	listed map[store.Kind]chan struct{}

	mu    sync.Mutex
	kinds map[store.Kind]*kindState
	// wanted asks for a list, whatever the age of the copy.
	wanted map[store.Kind]bool
	// onConfirmed is called without the lock after a confirmation by the store.
	onConfirmed func()
}

// Kinds are what a Follower follows.
func Kinds() []store.Kind {
	return []store.Kind{platform.KindConfiguration, platform.KindUpstreams}
}

// NewFollower returns a Follower that has read nothing.
func NewFollower(o Options) *Follower {
	f := &Follower{
		options: o, wake: map[store.Kind]chan struct{}{}, listed: map[store.Kind]chan struct{}{},
		kinds: map[store.Kind]*kindState{}, wanted: map[store.Kind]bool{},
	}
	for _, kind := range Kinds() {
		f.wake[kind] = make(chan struct{}, 1)
		f.listed[kind] = make(chan struct{}, 1)
		f.kinds[kind] = &kindState{mirror: newMirror()}
	}
	return f
}

// Join sets where records come from when the store does not answer, and what is called after
// the store confirmed a copy. It must be called before Run.
func (f *Follower) Join(source Source, onConfirmed func()) {
	f.source, f.onConfirmed = source, onConfirmed
}

// Run follows the store until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, kind := range Kinds() {
		group.Go(func() error { return f.keepConfirmed(ctx, kind) })
		group.Go(func() error { return f.watch(ctx, kind) })
	}
	return group.Wait()
}

// keepConfirmed lists a kind whenever nothing else has confirmed the copy for too long.
func (f *Follower) keepConfirmed(ctx context.Context, kind store.Kind) error {
	delays := newBackoff()
	for {
		if err := f.waitUntilDue(ctx, kind); err != nil {
			return err
		}
		err := f.listFromStore(ctx, kind)
		if err == nil {
			delays.Reset()
			continue
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		f.lost(kind, err)
		f.listFromDaemon(ctx, kind)
		if err := wait.For(ctx, delays.NextBackOff()); err != nil {
			return err
		}
	}
}

// waitUntilDue returns when a kind is to be listed.
func (f *Follower) waitUntilDue(ctx context.Context, kind store.Kind) error {
	for {
		f.mu.Lock()
		k := f.kinds[kind]
		until := time.Until(k.belief.readAt(f.options.Bound, k.spread))
		if f.wanted[kind] {
			until = 0
		}
		f.mu.Unlock()
		if until <= 0 {
			return nil
		}
		timer := time.NewTimer(until)
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-timer.C:
		case <-f.wake[kind]:
			timer.Stop()
		}
	}
}

func newBackoff() *backoff.ExponentialBackOff {
	return &backoff.ExponentialBackOff{
		InitialInterval: firstBackoff, RandomizationFactor: backoff.DefaultRandomizationFactor,
		Multiplier: 2, MaxInterval: maxBackoff,
	}
}

func (f *Follower) listFromStore(ctx context.Context, kind store.Kind) error {
	f.mu.Lock()
	f.wanted[kind] = false
	f.mu.Unlock()
	began := time.Now()
	l, err := f.options.Store.ListKind(ctx, kind)
	if err != nil {
		return err
	}
	f.took(kind, l, began, true)
	if f.onConfirmed != nil {
		f.onConfirmed()
	}
	return nil
}

// listFromDaemon asks another daemon, so that one which the store refuses is not left behind.
func (f *Follower) listFromDaemon(ctx context.Context, kind store.Kind) {
	if f.source == nil {
		return
	}
	l, at, err := f.source.ListRecords(ctx, kind)
	if err != nil {
		f.options.Counters.Count("retry.daemon_list")
		f.options.Logger.Debug().Str("event", "daemon_list_failed").Str("kind", string(kind)).Err(err).Send()
		return
	}
	f.mu.Lock()
	k := f.kinds[kind]
	isNewer := at.After(k.belief.confirmedAt) && l.AsOf >= k.mirror.asOf
	f.mu.Unlock()
	if isNewer {
		f.took(kind, l, at, false)
	}
}

// took puts a complete list in force that was the newest at a time.
func (f *Follower) took(kind store.Kind, l store.Listing, at time.Time, fromStore bool) {
	f.mu.Lock()
	k := f.kinds[kind]
	isFirst := k.lists == 0
	k.lists++
	k.belief.tookList(at, fromStore)
	k.spread = spread(rand.Float64(), f.daemons())
	regained := fromStore && k.answersSince.IsZero()
	if regained {
		k.answersSince = time.Now()
	}
	f.apply(kind, k.mirror.replace(l), isFirst, fromStore)
	f.mu.Unlock()
	if regained {
		f.options.Logger.Info().Str("event", "store_regained").Str("kind", string(kind)).Send()
	}
	notify(f.listed[kind])
}

func (f *Follower) daemons() int {
	if f.source == nil {
		return 0
	}
	return f.source.Daemons()
}

// lost notes that the store does not answer.
func (f *Follower) lost(kind store.Kind, err error) {
	f.options.Counters.Count("retry.store_" + string(kind))
	f.mu.Lock()
	k := f.kinds[kind]
	isNews := !k.answersSince.IsZero() || k.lists == 0
	k.answersSince = time.Time{}
	age := time.Since(k.belief.confirmedAt)
	f.mu.Unlock()
	if isNews {
		f.options.Logger.Warn().Str("event", "store_lost").Str("kind", string(kind)).
			Dur("confirmed_ago_ms", age).Err(err).Send()
	}
}

// watch takes over changes as the store tells of them. An answer without changes proves nothing:
// while the store drops its history, watches miss changes.
func (f *Follower) watch(ctx context.Context, kind store.Kind) error {
	delays := newBackoff()
	isBroken := false
	for {
		f.mu.Lock()
		after, lists := f.kinds[kind].mirror.asOf, f.kinds[kind].lists
		f.mu.Unlock()
		if lists == 0 {
			if err := f.waitForList(ctx, kind); err != nil {
				return err
			}
			continue
		}
		c, err := f.options.Store.WatchKind(ctx, kind, after, watchWait)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		// Changes may have been missed when a watch breaks off, and until it works again.
		if isBroken != (err != nil) || errors.Is(err, store.ErrExpired) {
			f.want(kind)
		}
		isBroken = err != nil
		pause := time.Duration(0)
		if isBroken {
			f.options.Counters.Count("retry.watch_" + string(kind))
			f.options.Logger.Debug().Str("event", "watch_ended").Str("kind", string(kind)).Err(err).Send()
			pause = delays.NextBackOff()
		} else {
			delays.Reset()
			if f.tookChanges(kind, c, lists) > 0 {
				pause = settle + rand.N(settle)
			}
		}
		if err := wait.For(ctx, pause); err != nil {
			return err
		}
	}
}

func (f *Follower) waitForList(ctx context.Context, kind store.Kind) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-f.listed[kind]:
		return nil
	}
}

// tookChanges puts in force what a watch showed that was begun after the given number of lists,
// and returns the number of changes.
func (f *Follower) tookChanges(kind store.Kind, c store.Changes, lists int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.kinds[kind]
	if k.lists != lists {
		// A list has shown these changes already, unless the watch saw further than it.
		if c.AsOf > k.mirror.asOf && len(c.Changes) > 0 {
			f.wantLocked(kind)
		}
		return 0
	}
	news := k.mirror.apply(c)
	if len(news) > 0 {
		k.belief.changed()
		f.apply(kind, news, false, true)
	}
	return len(news)
}

// TookClaim takes into account what another daemon says of its records. It reports whether the
// age of the copy fell by at least the given time, so that others should hear of it.
func (f *Follower) TookClaim(c Claim, news time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.kinds[c.Kind]
	if k == nil || k.lists == 0 {
		return false
	}
	before, differs := k.belief.confirmedAt, k.belief.differsSince
	k.belief.tookClaim(c, k.mirror, time.Now())
	if !k.belief.differsSince.Equal(differs) {
		notify(f.wake[c.Kind])
	}
	if k.belief.confirmedAt.Sub(before) < news {
		return false
	}
	k.spread = spread(rand.Float64(), f.daemons())
	return true
}

// Claims returns what this daemon can say of its copies.
func (f *Follower) Claims() []Claim {
	f.mu.Lock()
	defer f.mu.Unlock()
	var claims []Claim
	for _, kind := range Kinds() {
		if k := f.kinds[kind]; k.lists > 0 {
			claims = append(claims, Claim{Kind: kind, Digest: k.mirror.digest, AsOf: k.mirror.asOf, ConfirmedAt: k.belief.confirmedAt})
		}
	}
	return claims
}

// ErrNotKnown means that the records of a kind were never read.
var ErrNotKnown = errors.New("records are not known yet")

// Records returns the copy of a kind and when it was the newest, or ErrNotKnown.
func (f *Follower) Records(kind store.Kind) (store.Listing, time.Time, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.kinds[kind]
	if k == nil || k.lists == 0 {
		return store.Listing{}, time.Time{}, fmt.Errorf("%s: %w", kind, ErrNotKnown)
	}
	l := store.Listing{AsOf: k.mirror.asOf}
	for _, r := range k.mirror.records {
		l.Records = append(l.Records, r)
	}
	return l, k.belief.confirmedAt, nil
}

// ConfirmedAt returns when a kind was last known to be the newest.
func (f *Follower) ConfirmedAt(kind store.Kind) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.kinds[kind].belief.confirmedAt
}

// ConfigConfirmedAt returns when the configuration was last known to be the newest.
func (f *Follower) ConfigConfirmedAt() time.Time { return f.ConfirmedAt(platform.KindConfiguration) }

// UpstreamsListedSince reports whether a complete list of upstreams was begun after t and long
// enough after the store's return for lapsed entries to be back. It asks for one if not.
func (f *Follower) UpstreamsListedSince(t time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.kinds[platform.KindUpstreams]
	if k.answersSince.IsZero() {
		return false
	}
	listed := k.belief.listedAt
	if listed.After(t) && listed.Sub(k.answersSince) >= catalog.LapseGrace {
		return true
	}
	if min(time.Since(listed), time.Since(k.answersSince)-catalog.LapseGrace) >= minListInterval {
		f.wantLocked(platform.KindUpstreams)
	}
	return false
}

// want asks for a list of a kind now.
func (f *Follower) want(kind store.Kind) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.wantLocked(kind)
}

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
