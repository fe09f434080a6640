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
	// watcherRoleDelay is the time that the membership view gets to fill at the start. A daemon that
	// sees only itself would become a watcher, and all daemons of a restarted fleet would read the
	// whole configuration from the store at once.
	watcherRoleDelay = time.Second
	// watcherRoleInterval is the interval at which a daemon determines from the view whether it is a
	// watcher.
	watcherRoleInterval = 500 * time.Millisecond
	// Back-off of a watcher whose calls to the store fail, and of polls. After an outage, a change is
	// delayed by the maximum of 10 s at most.
	firstStoreBackoff = 250 * time.Millisecond
	maxStoreBackoff   = 10 * time.Second
	// pollDelay is the time that a daemon waits for pushes and pulls before it polls the store.
	pollDelay = 3 * time.Second
	// minWatchDuration is the duration below which a long poll without a change counts as failed. A
	// store that responds at once without a change would otherwise be called in a tight loop.
	minWatchDuration = time.Second
	// loadTimeout limits the time to read a configuration from the store.
	loadTimeout = 10 * time.Second
)

var (
	errShortWatch = errors.New("watch ended at once without a change")
	errRoleEnded  = errors.New("watcher role ended")
)

// runWatcherRole watches the store whenever this daemon is a watcher of its zone.
func (r *Relay) runWatcherRole(ctx context.Context) error {
	if err := wait.For(ctx, watcherRoleDelay); err != nil {
		return err
	}
	for {
		if r.shouldWatch() {
			if err := r.watchUntilRoleEnds(ctx); err != nil {
				return err
			}
		}
		if err := wait.For(ctx, watcherRoleInterval); err != nil {
			return err
		}
	}
}

// shouldWatch reports whether the current view makes this daemon a watcher.
func (r *Relay) shouldWatch() bool {
	return isWatcher(r.options.Viewer.View(), r.options.Zone, r.options.Self)
}

// watchUntilRoleEnds watches the store until this daemon is no longer a watcher. It returns an error
// only if the context ends first.
func (r *Relay) watchUntilRoleEnds(ctx context.Context) error {
	r.setWatching(true)
	defer r.setWatching(false)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		for r.shouldWatch() {
			if err := wait.For(ctx, watcherRoleInterval); err != nil {
				return err
			}
		}
		return errRoleEnded
	})
	group.Go(func() error {
		r.watchHead(ctx)
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

// watchHead waits for new versions of the head and puts them in force, until the context ends.
func (r *Relay) watchHead(ctx context.Context) {
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

// watchOnce makes one long poll and returns the version that the next long poll starts after.
func (r *Relay) watchOnce(ctx context.Context, after store.Version) (store.Version, error) {
	start := time.Now()
	o, changed, err := r.options.Store.Watch(ctx, commit.HeadKey, after)
	if ctx.Err() != nil {
		return after, ctx.Err()
	}
	r.recordStoreCall(err)
	if err == nil && !changed && time.Since(start) < minWatchDuration {
		return after, errShortWatch
	}
	if err != nil || !changed {
		return after, err
	}
	loadCtx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	c, err := r.loader.LoadFromHead(loadCtx, o)
	if err != nil {
		// The earlier version makes the next long poll, after the back-off, return the same head
		// again.
		return after, err
	}
	if r.install(c, "store") {
		r.pushSignal.notify()
	} else if c.GetGeneration() < r.Current().Generation() {
		// The store was restored from an earlier state, or a peer's push was faster than the watch.
		r.options.Counters.CountDrop("config_older_generation")
	}
	return o.Version, nil
}

// pollLoop polls the store while this daemon is behind and neither pushes nor pulls have brought it up
// to date. It also polls once after the start. The delay gives peers time to respond first, so that only
// few daemons of a restarted fleet read more than the head from the store.
func (r *Relay) pollLoop(ctx context.Context) error {
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
		r.pollStore(ctx)
	}
}

// pollStore reads the configuration from the store if it is newer than the one in force.
func (r *Relay) pollStore(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	c, err := r.loader.LoadIfNewer(ctx, r.Current().Generation())
	r.recordStoreCall(err)
	if err == nil && c != nil {
		r.install(c, "store")
	}
}

// isBehind reports whether this daemon has no configuration, or a peer has advertised a newer one.
func (r *Relay) isBehind() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	generation := r.current.Load().Generation()
	return generation == 0 || r.newestAdvertised > generation
}

func newStoreBackoff() *backoff.ExponentialBackOff {
	return &backoff.ExponentialBackOff{
		InitialInterval: firstStoreBackoff, RandomizationFactor: backoff.DefaultRandomizationFactor,
		Multiplier: 2, MaxInterval: maxStoreBackoff,
	}
}
