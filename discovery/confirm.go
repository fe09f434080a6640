package discovery

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
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
	if err := f.listFromDaemon(ctx, kind, netip.Addr{}); err != nil {
		f.options.Counters.Count("retry.first_records")
	}
}

// keepConfirmed reads a kind whenever nothing else has confirmed the copy for too long: from a daemon
// whose records were confirmed lately, else from the store.
func (f *Follower) keepConfirmed(ctx context.Context, kind store.Kind) error {
	delays := newBackoff()
	for {
		why, err := f.waitUntilDue(ctx, kind)
		if err != nil {
			return err
		}
		if err := f.read(ctx, kind, why); err == nil {
			delays.Reset()
			continue
		}
		if err := wait.For(ctx, delays.NextBackOff()); err != nil {
			return err
		}
	}
}

// read brings the copy of a kind up to date, or returns why nobody could.
func (f *Follower) read(ctx context.Context, kind store.Kind, why cause) error {
	if from := f.sourceOf(kind); from.IsValid() && why != causeWanted {
		err := f.listFromDaemon(ctx, kind, from)
		if err == nil || ctx.Err() != nil {
			return err
		}
		f.mu.Lock()
		f.kinds[kind].belief.better = Claim{}
		f.mu.Unlock()
	}
	if f.breaker.allows(time.Now()) {
		err := f.listFromStore(ctx, kind, why)
		if err == nil || ctx.Err() != nil {
			return err
		}
		if !errors.Is(err, store.ErrRateLimited) {
			f.lost(kind, err)
		}
	}
	if !f.isBehind(kind) {
		return errNobodyKnowsMore
	}
	return f.listFromDaemon(ctx, kind, netip.Addr{})
}

// errNobodyKnowsMore means that the store does not answer and that no other daemon is known to have
// newer records.
var errNobodyKnowsMore = errors.New("no other daemon is known to have newer records")

// sourceOf returns a daemon whose records were confirmed later, the zero address if none is known.
func (f *Follower) sourceOf(kind store.Kind) netip.Addr {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.kinds[kind].belief.better.From
}

// isBehind reports whether another daemon may have newer records.
func (f *Follower) isBehind(kind store.Kind) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.kinds[kind]
	return k.belief.confirmedAt.IsZero() || k.belief.better.From.IsValid()
}

// waitUntilDue returns when a kind is to be listed, and why.
func (f *Follower) waitUntilDue(ctx context.Context, kind store.Kind) (cause, error) {
	for {
		f.mu.Lock()
		k := f.kinds[kind]
		at, why := k.belief.readAt(f.options.Bound, k.spread)
		if f.wanted[kind] {
			at, why = time.Time{}, causeWanted
		}
		if !k.isKnown() {
			at, why = time.Time{}, causeFirst
		}
		f.mu.Unlock()
		until := time.Until(at)
		if until <= 0 {
			return why, nil
		}
		timer := time.NewTimer(until)
		select {
		case <-ctx.Done():
			timer.Stop()
			return why, ctx.Err()
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

func (f *Follower) listFromStore(ctx context.Context, kind store.Kind, why cause) error {
	f.mu.Lock()
	f.wanted[kind] = false
	confirmedAt := f.kinds[kind].belief.confirmedAt
	f.mu.Unlock()
	f.options.Counters.Count("store.list." + string(why))
	began := time.Now()
	l, err := f.list(ctx, kind, why)
	if err != nil {
		return err
	}
	f.options.Logger.Info().Str("event", "store_listed").Str("kind", string(kind)).Str("cause", string(why)).
		Uint64("version", uint64(l.AsOf)).Int("records", len(l.Records)).Bool("may_lag", l.MayBeStale).
		Dur("took_ms", time.Since(began)).Dur("age_ms", sinceIfKnown(began, confirmedAt)).Send()
	f.answered()
	if l.MayBeStale {
		f.tookUnproven(kind, l)
		return nil
	}
	f.took(kind, Part{AsOf: l.AsOf, Buckets: allBuckets(), Records: l.Records, ConfirmedAt: began}, true)
	return nil
}

// sinceIfKnown returns the time from one moment to a later one, and none from the zero time.
func sinceIfKnown(later, earlier time.Time) time.Duration {
	if earlier.IsZero() {
		return 0
	}
	return later.Sub(earlier)
}

// errNotNewer means that another daemon's records were confirmed no later than the copy.
var errNotNewer = errors.New("the records of the other daemon are no newer")

// listFromDaemon takes what differs from another daemon, from any if the address is zero. So the store
// has few calls, and a daemon which it refuses is not left behind.
func (f *Follower) listFromDaemon(ctx context.Context, kind store.Kind, from netip.Addr) error {
	if f.source == nil {
		return errNobodyKnowsMore
	}
	f.mu.Lock()
	digests := f.kinds[kind].mirror.buckets
	f.mu.Unlock()
	began := time.Now()
	p, err := f.source.ListRecords(ctx, kind, from, digests[:])
	if err != nil {
		f.options.Counters.Count("retry.daemon_list")
		f.options.Logger.Info().Str("event", "daemon_list_failed").Str("kind", string(kind)).Err(err).Send()
		return err
	}
	confirmedAt := f.ConfirmedAt(kind)
	if !p.ConfirmedAt.After(confirmedAt) {
		f.options.Counters.Count("retry.daemon_list_old")
		return errNotNewer
	}
	f.options.Logger.Info().Str("event", "daemon_listed").Str("kind", string(kind)).Stringer("from", from).
		Uint64("version", uint64(p.AsOf)).Int("buckets", len(p.Buckets)).Int("records", len(p.Records)).
		Dur("took_ms", time.Since(began)).Dur("age_ms", sinceIfKnown(began, confirmedAt)).
		Dur("its_age_ms", time.Since(p.ConfirmedAt)).Send()
	f.took(kind, p, false)
	return nil
}

// took puts records in force that were the newest at a time, and tells others.
func (f *Follower) took(kind store.Kind, p Part, fromStore bool) {
	f.mu.Lock()
	k := f.kinds[kind]
	isFirst := !k.isKnown()
	k.belief.tookList(p.ConfirmedAt)
	if fromStore {
		k.belief.listedAt = p.ConfirmedAt
	}
	k.spread = spread(rand.Float64(), f.daemons())
	f.apply(kind, k.mirror.merge(p, time.Now()), isFirst, fromStore)
	k.mirror.forgetRemoved(p.ConfirmedAt)
	f.mu.Unlock()
	notify(f.advanced[kind])
	if f.onConfirmed != nil {
		f.onConfirmed()
	}
}

// tookUnproven puts records in force that may be seconds old. It is called only while a kind is not
// known. Nothing is taken for gone until the copy is confirmed.
func (f *Follower) tookUnproven(kind store.Kind, l store.Listing) {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.kinds[kind]
	if k.isKnown() {
		return
	}
	k.belief.unprovenSince = time.Now()
	k.spread = spread(rand.Float64(), startingDaemons)
	f.apply(kind, k.mirror.merge(Part{Records: l.Records}, time.Now()), true, true)
	k.mirror.asOf = l.AsOf
	notify(f.advanced[kind])
}

func (f *Follower) daemons() int {
	if f.source == nil {
		return 0
	}
	return f.source.Daemons()
}
