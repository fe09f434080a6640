// Package discovery keeps the catalog up to date from the store and says how far it may be
// believed. It owns the versions and ages of what was read.
package discovery

import (
	"context"
	"errors"
	"math/rand/v2"
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
	// watchWait is the length of a long poll. With the time-out of a dead connection and the
	// list after it, a change is known within the 3 s that configurations and drains have,
	// beginning with the 4 s for which a store must be calm.
	watchWait = 20 * time.Second
	// settle is the pause after changes, in which more of them gather into one call. It is
	// small against the 3 s in which a change must hold.
	settle = 150 * time.Millisecond
	// minListInterval bounds the lists that packets can cause; a caller repeats its packet
	// after 200 ms and 600 ms.
	minListInterval = 300 * time.Millisecond
	// Back-off of calls that failed. The longest pause leaves a quarter of the 2 s after an
	// outage in which lapsed upstreams come back.
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = 500 * time.Millisecond
)

// Options are what a Follower works with.
type Options struct {
	Store    store.Collections
	Catalog  *catalog.Catalog
	Counters *telemetry.Counters
	Logger   zerolog.Logger
}

// Follower reads configuration and upstreams from the store. It implements inband.Belief.
type Follower struct {
	options Options
	belief  *belief
	// wanted asks for a list of a kind before its next watch.
	wanted map[store.Kind]chan struct{}
}

// NewFollower returns a Follower that has read nothing.
func NewFollower(o Options) *Follower {
	f := &Follower{options: o, belief: newBelief(), wanted: map[store.Kind]chan struct{}{}}
	for _, kind := range []store.Kind{platform.KindConfiguration, platform.KindUpstreams} {
		f.wanted[kind] = make(chan struct{}, 1)
	}
	return f
}

// Run follows the store until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return f.follow(ctx, platform.KindConfiguration) })
	group.Go(func() error { return f.follow(ctx, platform.KindUpstreams) })
	return group.Wait()
}

// ConfigConfirmedAt returns when the configuration was last known to be the newest.
func (f *Follower) ConfigConfirmedAt() time.Time {
	return f.belief.confirmedAt(platform.KindConfiguration)
}

// UpstreamsConfirmedAt returns when the upstreams were last known to be complete.
func (f *Follower) UpstreamsConfirmedAt() time.Time {
	return f.belief.confirmedAt(platform.KindUpstreams)
}

// UpstreamsListedSince reports whether a complete list of upstreams was begun after t and long
// enough after the store's return for lapsed entries to be back. It asks for one if not.
func (f *Follower) UpstreamsListedSince(t time.Time) bool {
	listed, regained := f.belief.listedAt(platform.KindUpstreams)
	if listed.After(t) && listed.Sub(regained) >= catalog.LapseGrace {
		return true
	}
	if since := min(time.Since(listed), time.Since(regained)-catalog.LapseGrace); since >= minListInterval {
		f.want(platform.KindUpstreams)
	}
	return false
}

func (f *Follower) want(kind store.Kind) {
	select {
	case f.wanted[kind] <- struct{}{}:
	default: // A list is wanted already.
	}
}

// follow lists a kind, then watches it for as long as the answers can be believed.
func (f *Follower) follow(ctx context.Context, kind store.Kind) error {
	delays := newBackoff()
	isUp := false
	for ctx.Err() == nil {
		err := f.list(ctx, kind)
		for err == nil {
			if !isUp {
				isUp = true
				f.belief.regained(kind, time.Now())
				f.options.Logger.Info().Str("event", "store_regained").Str("kind", string(kind)).Send()
			}
			delays.Reset()
			err = f.watch(ctx, kind)
		}
		if ctx.Err() != nil {
			break
		}
		if errors.Is(err, errListWanted) || errors.Is(err, store.ErrExpired) {
			f.options.Counters.Count("retry.store_list")
			f.options.Logger.Info().Str("event", "store_list").Str("kind", string(kind)).Str("reason", err.Error()).Send()
			continue
		}
		if isUp {
			isUp = false
			f.options.Logger.Warn().Str("event", "store_lost").Str("kind", string(kind)).
				Dur("confirmed_ago_ms", time.Since(f.belief.confirmedAt(kind))).Err(err).Send()
		}
		f.options.Counters.Count("retry.store_" + string(kind))
		if err := wait.For(ctx, delays.NextBackOff()); err != nil {
			return err
		}
	}
	return ctx.Err()
}

func newBackoff() *backoff.ExponentialBackOff {
	return &backoff.ExponentialBackOff{
		InitialInterval: firstBackoff, RandomizationFactor: backoff.DefaultRandomizationFactor,
		Multiplier: 2, MaxInterval: maxBackoff,
	}
}

// errListWanted means that the changes shown by a watch may not be all.
var errListWanted = errors.New("changes may have been missed")

func (f *Follower) list(ctx context.Context, kind store.Kind) error {
	select {
	case <-f.wanted[kind]:
	default:
	}
	began := time.Now()
	l, err := f.options.Store.ListKind(ctx, kind)
	if err != nil {
		return err
	}
	f.belief.tookList(kind, l, began)
	f.applyList(kind, l)
	return nil
}

func (f *Follower) watch(ctx context.Context, kind store.Kind) error {
	f.belief.mu.Lock()
	after := f.belief.asOf[kind]
	f.belief.mu.Unlock()
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	wanted := make(chan bool, 1)
	go func() {
		select {
		case <-f.wanted[kind]:
			wanted <- true
			cancel()
		case <-callCtx.Done():
			wanted <- false
		}
	}()
	c, err := f.options.Store.WatchKind(callCtx, kind, after, watchWait)
	cancel()
	if <-wanted {
		return errListWanted
	}
	if err != nil {
		return err
	}
	verdict := f.belief.tookChanges(kind, c, time.Now())
	f.applyChanges(kind, c)
	if verdict == proofRead {
		return errListWanted
	}
	if len(c.Changes) > 0 {
		return wait.For(ctx, settle+rand.N(settle))
	}
	return nil
}
