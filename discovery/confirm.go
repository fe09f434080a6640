package discovery

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/fulmarfield/fulmarfield/internal/wait"
	"github.com/fulmarfield/fulmarfield/store"
)

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
