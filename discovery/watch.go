package discovery

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/fulmarfield/fulmarfield/internal/wait"
	"github.com/fulmarfield/fulmarfield/store"
)

// watch takes over changes as the store tells of them. An answer without changes proves nothing:
// while the store drops its history, watches miss changes. A broken watch asks for no list either,
// since the copy is confirmed or read in good time anyway.
func (f *Follower) watch(ctx context.Context, kind store.Kind) error {
	delays := newBackoff()
	for {
		f.mu.Lock()
		after, isKnown := f.kinds[kind].mirror.asOf, f.kinds[kind].isKnown()
		f.mu.Unlock()
		if !isKnown {
			if err := f.waitForAdvance(ctx, kind); err != nil {
				return err
			}
			continue
		}
		wasOpen := f.breaker.isOpen()
		if wasOpen && !f.breaker.allows(time.Now()) {
			if err := wait.For(ctx, openPoll); err != nil {
				return err
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
			if err := wait.For(ctx, delays.NextBackOff()); err != nil {
				return err
			}
		default:
			delays.Reset()
			f.answered()
			if f.tookChanges(kind, c) == 0 {
				continue
			}
			// More changes gather meanwhile.
			least := time.Duration(settleShare * float64(f.options.Bound))
			if err := wait.For(ctx, least+rand.N(least)); err != nil {
				return err
			}
		}
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

// tookChanges puts in force what a watch showed, and returns the number of changes.
func (f *Follower) tookChanges(kind store.Kind, c store.Changes) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.kinds[kind]
	news := k.mirror.apply(c, time.Now())
	if len(news) > 0 {
		f.apply(kind, news, false, true)
	}
	return len(news)
}
