package relay

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
	"golang.org/x/sync/errgroup"

	"github.com/fulmarfield/fulmarfield/config/commit"
	"github.com/fulmarfield/fulmarfield/internal/wait"
	"github.com/fulmarfield/fulmarfield/store"
)

const (
	// roleDelay lets the view fill at the start. A daemon that sees only itself would take
	// the role, and a restarted fleet would read everything from the store at once.
	roleDelay = time.Second
	// roleInterval is how often the view is looked at for the watcher role.
	roleInterval = 500 * time.Millisecond
	// Back-off of a watcher whose store does not answer, and of polls. 10 s of it delays a
	// change by at most that after an outage.
	firstStoreBackoff = 250 * time.Millisecond
	maxStoreBackoff   = 10 * time.Second
	// pollDelay is the time that pushes and peers get before a daemon asks the store itself.
	pollDelay = 3 * time.Second
	// minWatchTime is the shortest long poll that counts as one. A store that answers at
	// once without a change would otherwise be asked in a tight loop.
	minWatchTime = time.Second
	// loadTimeout bounds the read of a configuration from the store.
	loadTimeout = 10 * time.Second
)

var (
	errShortWatch = errors.New("watch ended at once without a change")
	errRoleEnded  = errors.New("watcher role ended")
)

// keepRole runs the watch while this daemon is a watcher of its zone.
func (r *Relay) keepRole(ctx context.Context) error {
	if err := wait.For(ctx, roleDelay); err != nil {
		return err
	}
	for {
		if r.shouldWatch() {
			if err := r.watchWhileRanked(ctx); err != nil {
				return err
			}
		}
		if err := wait.For(ctx, roleInterval); err != nil {
			return err
		}
	}
}

func (r *Relay) shouldWatch() bool {
	return isWatcher(r.options.Viewer.View(), r.options.Zone, r.options.Self)
}

// watchWhileRanked watches until the role ends, or returns the context's error.
func (r *Relay) watchWhileRanked(ctx context.Context) error {
	r.setWatching(true)
	defer r.setWatching(false)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		for r.shouldWatch() {
			if err := wait.For(ctx, roleInterval); err != nil {
				return err
			}
		}
		return errRoleEnded
	})
	group.Go(func() error {
		r.watch(ctx)
		return nil
	})
	if err := group.Wait(); !errors.Is(err, errRoleEnded) {
		return err
	}
	return nil
}

func (r *Relay) setWatching(on bool) {
	r.mu.Lock()
	r.watching = on
	r.mu.Unlock()
	event := "watch_ended"
	if on {
		event = "watch_began"
	}
	r.options.Logger.Info().Str("event", event).Str("zone", r.options.Zone).Send()
}

// watch waits for later versions of the head and puts them in force, until the context ends.
func (r *Relay) watch(ctx context.Context) {
	delays := newStoreBackoff()
	var after store.Version
	for ctx.Err() == nil {
		version, err := r.watchOnce(ctx, after)
		if err == nil {
			after = version
			delays.Reset()
			continue
		}
		if errors.Is(err, store.ErrNotFound) {
			after = 0
		}
		r.options.Counters.Count("retry.config_watch")
		if wait.For(ctx, delays.NextBackOff()) != nil {
			return
		}
	}
}

// watchOnce makes one long poll and returns the version to go on from.
func (r *Relay) watchOnce(ctx context.Context, after store.Version) (store.Version, error) {
	began := time.Now()
	o, changed, err := r.options.Store.Watch(ctx, commit.HeadKey, after)
	if ctx.Err() != nil {
		return after, ctx.Err()
	}
	r.called(err)
	if err == nil && !changed && time.Since(began) < minWatchTime {
		return after, errShortWatch
	}
	if err != nil || !changed {
		return after, err
	}
	loadCtx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	c, err := r.loader.LoadFromHead(loadCtx, o)
	if err != nil {
		// The version stays behind, so that the same head is read again after the back-off.
		return after, err
	}
	if r.install(c, "store") {
		r.push.notify()
	} else if c.GetGeneration() < r.Current().Generation() {
		// A restored store, or a watcher that a peer's push overtook.
		r.options.Counters.Drop("config_older_generation")
	}
	return o.Version, nil
}

// keepPolling asks the store when this daemon is behind and neither pushes nor pulls helped.
// It also asks once after the start; the delay lets peers answer first, so that only few
// daemons of a restarted fleet read more than the head from the store.
func (r *Relay) keepPolling(ctx context.Context) error {
	delays := newStoreBackoff()
	for first := true; ; first = false {
		if err := wait.For(ctx, pollDelay+delays.NextBackOff()); err != nil {
			return err
		}
		if r.IsWatcher() || !first && !r.isBehind() {
			delays.Reset()
			continue
		}
		r.options.Counters.Count("retry.config_poll")
		r.poll(ctx)
	}
}

func (r *Relay) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	c, err := r.loader.LoadIfNewer(ctx, r.Current().Generation())
	r.called(err)
	if err == nil && c != nil {
		r.install(c, "store")
	}
}

// isBehind reports whether this daemon has no configuration, or knows of a newer one.
func (r *Relay) isBehind() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	generation := r.current.Load().Generation()
	return generation == 0 || r.newest > generation
}

func newStoreBackoff() *backoff.ExponentialBackOff {
	return &backoff.ExponentialBackOff{
		InitialInterval: firstStoreBackoff, RandomizationFactor: backoff.DefaultRandomizationFactor,
		Multiplier: 2, MaxInterval: maxStoreBackoff,
	}
}
