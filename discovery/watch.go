package discovery

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/fulmarfield/fulmarfield/internal/wait"
	"github.com/fulmarfield/fulmarfield/store"
)

// watch applies changes as the store delivers them. A response without changes does not validate
// the cached records, since watches miss changes while the store drops its history. A failed watch
// does not request a list, since the records are validated or read again within the propagation
// bound in any case.
func (s *Syncer) watch(ctx context.Context, kind store.Kind) error {
	delays := s.newWatchBackoff()
	isFailing := false
	for {
		after, era, isLoaded := s.watchPosition(kind)
		if !isLoaded {
			if err := s.waitForAdvance(ctx, kind); err != nil {
				return err
			}
			continue
		}
		wasOpen := s.breaker.isOpen()
		if wasOpen && !s.breaker.allows(time.Now()) {
			if err := wait.For(ctx, breakerPollInterval); err != nil {
				return err
			}
			continue
		}
		c, err := s.readChanges(ctx, kind, after, era)
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case errors.Is(err, store.ErrExpired), isEraError(err):
			if err := s.waitAfterRefusal(ctx, kind, err, c.Era > era, delays); err != nil {
				return err
			}
		case err != nil:
			s.options.Counters.Count("retry.watch_" + string(kind))
			s.options.Logger.Debug().Str("event", "watch_ended").Str("kind", string(kind)).Err(err).Send()
			if wasOpen {
				s.recordFailure(kind, err)
			}
			if !isFailing {
				isFailing = true
				s.recordUnavailable()
			}
			delays.MaxInterval = maxPause(s.daemonCount())
			if err := wait.For(ctx, delays.NextBackOff()); err != nil {
				return err
			}
		default:
			delays.Reset()
			isFailing = false
			s.recordSuccess()
			if s.applyChanges(kind, c) == 0 {
				continue
			}
			// Further changes accumulate during this delay.
			least := batchDelay(s.bound(), s.daemonCount())
			if err := wait.For(ctx, least+rand.N(least)); err != nil {
				return err
			}
		}
	}
}

// batchDelay returns the least delay after a watch has delivered changes. It grows with the fleet: all its
// daemons watch, and what one of them misses meanwhile it gets with the next list that any of them makes.
func batchDelay(bound time.Duration, daemons int) time.Duration {
	share := min(minBatchDelayShare*(1+float64(daemons)/batchDelayDaemons), maxBatchDelayShare)
	return time.Duration(share * float64(bound))
}

// watchPosition returns the version after which a kind has to be watched, with its era, and whether records are
// cached that are not of an era that is over.
func (s *Syncer) watchPosition(kind store.Kind) (after store.Version, era store.Era, isLoaded bool) {
	s.mu.Lock()
	defer s.unlock()
	k := s.kinds[kind]
	return k.recordCache.asOf, k.recordCache.era, k.isLoaded() && !k.freshness.isEraOver
}

// waitAfterRefusal waits until a kind can be watched again after a response that is no outage: the store does not
// have the history, or the response belongs to another era or names no valid one. If the era is a newer one, the
// watch waits for the list of that era.
func (s *Syncer) waitAfterRefusal(ctx context.Context, kind store.Kind, err error, isNewer bool, delays *backoff.ExponentialBackOff) error {
	switch {
	case errors.Is(err, store.ErrExpired):
		s.options.Counters.Count("retry.watch_expired")
		return s.waitForAdvance(ctx, kind)
	case isNewer: // The list of that era follows.
		return nil
	default: // A replica lags.
		s.options.Counters.Count("retry.watch_other_era")
		return wait.For(ctx, delays.NextBackOff())
	}
}

// newWatchBackoff returns the back-off after failed watches. It is as long as the pauses between other failed
// calls, since a watch only delivers changes early: when the store refuses some VMs of a large fleet for
// seconds, the retries of their watches would be most of the fleet's calls.
func (s *Syncer) newWatchBackoff() *backoff.ExponentialBackOff {
	longest := maxPause(s.daemonCount())
	return &backoff.ExponentialBackOff{
		InitialInterval:     time.Duration(initialPauseShare * float64(longest)),
		RandomizationFactor: backoff.DefaultRandomizationFactor, Multiplier: 2, MaxInterval: longest,
	}
}

// waitForAdvance waits until the version of the cached records increases: by a list, or by the
// advertisement of a daemon with the same records at a later version.
func (s *Syncer) waitForAdvance(ctx context.Context, kind store.Kind) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-s.advanced[kind]:
		return nil
	}
}

// applyChanges applies the changes that a watch delivered, and returns the number of changes
// that were not cached yet.
func (s *Syncer) applyChanges(kind store.Kind, c store.Changes) int {
	s.mu.Lock()
	defer s.unlock()
	k := s.kinds[kind]
	if c.Era != k.recordCache.era {
		return 0
	}
	applied := k.recordCache.apply(c, time.Now())
	if len(applied) > 0 {
		s.apply(kind, applied, false, true)
	}
	return len(applied)
}
