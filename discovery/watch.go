package discovery

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/fulmarfield/fulmarfield/store"
)

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
