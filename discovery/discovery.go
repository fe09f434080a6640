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
	// settleShare is the least pause after changes, in which more of them gather into one call, as
	// a share of the time in which a change must hold. The longest is twice as long.
	settleShare = 0.12
	// firstHeardWait is how long a starting daemon waits for others, some times the way between
	// zones, and firstRecordsWait for the records of one.
	firstHeardWait   = 5 * time.Millisecond
	firstRecordsWait = 40 * time.Millisecond
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
	// spread is drawn anew after each confirmation.
	spread float64
}

// Follower keeps copies of the store's records. It implements inband.Belief. Its methods may be
// called concurrently.
type Follower struct {
	options Options
	source  Source
	breaker breaker
	// wake ends the wait for the next list early.
	wake map[store.Kind]chan struct{}
	// advanced wakes the watch of a kind when the version of the copy has risen, behind ends its
	// pause when another daemon knows more.
	advanced, behind map[store.Kind]chan struct{}

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
		options: o, wake: map[store.Kind]chan struct{}{}, advanced: map[store.Kind]chan struct{}{},
		behind: map[store.Kind]chan struct{}{}, kinds: map[store.Kind]*kindState{}, wanted: map[store.Kind]bool{},
	}
	for _, kind := range Kinds() {
		f.wake[kind] = make(chan struct{}, 1)
		f.advanced[kind] = make(chan struct{}, 1)
		f.behind[kind] = make(chan struct{}, 1)
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
		group.Go(func() error {
			f.learnFirst(ctx, kind)
			return f.keepConfirmed(ctx, kind)
		})
		group.Go(func() error { return f.watch(ctx, kind) })
	}
	return group.Wait()
}

// learnFirst asks another daemon for its records before the store is asked, so that a daemon that
// starts alone among others costs no calls. When all start at once, nobody is heard in time.
func (f *Follower) learnFirst(ctx context.Context, kind store.Kind) {
	if f.source == nil {
		return
	}
	for end := time.Now().Add(firstHeardWait); f.daemons() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) || ctx.Err() != nil {
			return
		}
	}
	ctx, cancel := context.WithTimeout(ctx, firstRecordsWait)
	defer cancel()
	f.listFromDaemon(ctx, kind)
}

// keepConfirmed lists a kind whenever nothing else has confirmed the copy for too long. While the
// store does not answer, it asks a daemon that knows more.
func (f *Follower) keepConfirmed(ctx context.Context, kind store.Kind) error {
	delays := newBackoff()
	for {
		if err := f.waitUntilDue(ctx, kind); err != nil {
			return err
		}
		if f.breaker.allows(time.Now()) {
			err := f.listFromStore(ctx, kind)
			if err == nil {
				delays.Reset()
				continue
			}
			if ctx.Err() != nil {
				return ctx.Err()
			}
			f.lost(kind, err)
		}
		if f.isBehind(kind) {
			f.listFromDaemon(ctx, kind)
		}
		if err := wait.For(ctx, delays.NextBackOff()); err != nil {
			return err
		}
	}
}

// isBehind reports whether another daemon may have newer records.
func (f *Follower) isBehind(kind store.Kind) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.kinds[kind]
	return k.lists == 0 || !k.belief.differsSince.IsZero()
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
	l, err := f.list(ctx, kind)
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
	f.apply(kind, k.mirror.replace(l), isFirst, fromStore)
	f.mu.Unlock()
	if fromStore {
		f.answered()
	}
	notify(f.advanced[kind])
}

func (f *Follower) daemons() int {
	if f.source == nil {
		return 0
	}
	return f.source.Daemons()
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

// watch takes over changes as the store tells of them. An answer without changes proves nothing:
// while the store drops its history, watches miss changes. A broken watch asks for no list either,
// since the copy is confirmed or read in good time anyway.
func (f *Follower) watch(ctx context.Context, kind store.Kind) error {
	delays := newBackoff()
	for {
		f.mu.Lock()
		after, lists := f.kinds[kind].mirror.asOf, f.kinds[kind].lists
		f.mu.Unlock()
		if lists == 0 {
			if err := f.waitForAdvance(ctx, kind); err != nil {
				return err
			}
			continue
		}
		wasOpen := f.breaker.isOpen()
		if wasOpen && !f.breaker.allows(time.Now()) {
			f.pause(ctx, kind, openPoll)
			if ctx.Err() != nil {
				return ctx.Err()
			}
			continue
		}
		c, err := f.options.Store.WatchKind(ctx, kind, after, watchWait)
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case errors.Is(err, store.ErrExpired):
			f.options.Counters.Count("retry.watch_expired")
			if err := f.waitForAdvance(ctx, kind); err != nil {
				return err
			}
		case err != nil:
			f.options.Counters.Count("retry.watch_" + string(kind))
			f.options.Logger.Debug().Str("event", "watch_ended").Str("kind", string(kind)).Err(err).Send()
			if wasOpen {
				f.lost(kind, err)
			}
			f.pause(ctx, kind, delays.NextBackOff())
		default:
			delays.Reset()
			f.answered()
			if f.tookChanges(kind, c, lists) > 0 {
				f.settle(ctx, kind)
			}
		}
	}
}

// settle waits for more changes, or until another daemon knows more.
func (f *Follower) settle(ctx context.Context, kind store.Kind) {
	select {
	case <-f.behind[kind]: // It knew more before the changes that were just taken over.
	default:
	}
	least := time.Duration(settleShare * float64(f.options.Bound))
	f.pause(ctx, kind, least+rand.N(least))
}

// pause waits for a time that ends early when another daemon knows more.
func (f *Follower) pause(ctx context.Context, kind store.Kind, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-f.behind[kind]:
	}
}

// waitForAdvance waits for a list, or for a daemon with the same records that knows them of a
// later version.
func (f *Follower) waitForAdvance(ctx context.Context, kind store.Kind) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-f.advanced[kind]:
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
	before, differs, asOf := k.belief.confirmedAt, k.belief.differsSince, k.mirror.asOf
	k.belief.tookClaim(c, k.mirror, time.Now())
	if k.mirror.asOf > asOf {
		notify(f.advanced[c.Kind])
	}
	if !k.belief.differsSince.Equal(differs) {
		notify(f.wake[c.Kind])
		notify(f.behind[c.Kind])
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
	answersSince := f.breaker.answering()
	if answersSince.IsZero() {
		return false
	}
	listed := k.belief.listedAt
	if listed.After(t) && listed.Sub(answersSince) >= catalog.LapseGrace {
		return true
	}
	if min(time.Since(listed), time.Since(answersSince)-catalog.LapseGrace) >= minListInterval {
		f.wantLocked(platform.KindUpstreams)
	}
	return false
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
