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

// fetchInitialRecords reads the records of another daemon before the store is read, so that a
// single daemon that joins a running fleet causes no call to the store. When all daemons start at
// once, it returns without records, since no other daemon is reachable in time.
func (s *Syncer) fetchInitialRecords(ctx context.Context, kind store.Kind) {
	if s.peers == nil {
		return
	}
	for end := time.Now().Add(daemonDiscoveryTimeout); s.daemonCount() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) || ctx.Err() != nil {
			return
		}
	}
	ctx, cancel := context.WithTimeout(ctx, initialRecordsTimeout)
	defer cancel()
	if err := s.listFromDaemon(ctx, kind, netip.Addr{}); err != nil {
		s.options.Counters.Count("retry.first_records")
	}
}

// revalidateLoop reads a kind whenever its cached records have not been validated for too long:
// from a daemon with fresher records if there is one, otherwise from the store.
func (s *Syncer) revalidateLoop(ctx context.Context, kind store.Kind) error {
	delays := newBackoff()
	for {
		cause, err := s.waitUntilDue(ctx, kind)
		if err != nil {
			return err
		}
		if err := s.refresh(ctx, kind, cause); err == nil {
			delays.Reset()
			continue
		}
		if err := wait.For(ctx, delays.NextBackOff()); err != nil {
			return err
		}
	}
}

// refresh reads the current records of a kind. It returns an error if neither the store nor another
// daemon returned them.
func (s *Syncer) refresh(ctx context.Context, kind store.Kind, cause readCause) error {
	if cause == causeHeardEra {
		return s.confirmEra(ctx, kind)
	}
	mayYield := cause == causeStale
	if from := s.fresherDaemon(kind); from.IsValid() && cause != causeRequested {
		mayYield = false
		err := s.listFromDaemon(ctx, kind, from)
		if err == nil || ctx.Err() != nil {
			return err
		}
		s.mu.Lock()
		s.kinds[kind].freshness.fresherAdvertisement = Advertisement{}
		s.unlock()
	}
	if s.breaker.allows(time.Now()) {
		err := s.listFromStore(ctx, kind, cause, mayYield)
		if err == nil || ctx.Err() != nil {
			return err
		}
		if errors.Is(err, errListSuperseded) {
			s.options.Counters.Count("store.list_superseded")
			return nil
		}
		if !errors.Is(err, store.ErrRateLimited) && !isEraError(err) {
			s.recordFailure(kind, err)
		}
	}
	if !s.isBehind(kind) {
		return errNoFresherDaemon
	}
	return s.listFromDaemon(ctx, kind, netip.Addr{})
}

// errNoFresherDaemon means that the store does not respond and that no other daemon is known to
// have fresher records.
var errNoFresherDaemon = errors.New("no other daemon is known to have fresher records")

// errListSuperseded means that a list was given up between two of its pages, because another daemon has validated the
// cached records meanwhile or has fresher ones.
var errListSuperseded = errors.New("another daemon has listed meanwhile")

// needsList reports whether the cached records of a kind must still be listed because of their age.
func (s *Syncer) needsList(kind store.Kind) bool {
	s.mu.Lock()
	defer s.unlock()
	k := s.kinds[kind]
	at, cause := k.freshness.nextRead(s.bound(), k.jitter)
	return cause == causeStale && !at.After(time.Now()) || s.listRequested[kind].Load()
}

// fresherDaemon returns a daemon whose records were validated later, or the zero address if none is
// known.
func (s *Syncer) fresherDaemon(kind store.Kind) netip.Addr {
	s.mu.Lock()
	defer s.unlock()
	return s.kinds[kind].freshness.fresherAdvertisement.From
}

// isBehind reports whether another daemon may have fresher records.
func (s *Syncer) isBehind(kind store.Kind) bool {
	s.mu.Lock()
	defer s.unlock()
	k := s.kinds[kind]
	return k.freshness.validatedAt.IsZero() || k.freshness.isEraOver || k.freshness.fresherAdvertisement.From.IsValid()
}

// waitUntilDue waits until a kind must be read, and returns why.
func (s *Syncer) waitUntilDue(ctx context.Context, kind store.Kind) (readCause, error) {
	for {
		s.mu.Lock()
		s.accountSuspensionLocked()
		k := s.kinds[kind]
		at, cause := k.freshness.nextRead(s.bound(), k.jitter)
		if s.listRequested[kind].Load() {
			at, cause = time.Time{}, causeRequested
		}
		if !k.isLoaded() {
			at, cause = time.Time{}, causeInitial
		}
		if due, isDue := s.heardDueLocked(k); isDue && (due.Before(at) || !due.After(time.Now())) {
			// Also if a read is overdue: while the store does not respond, it would be tried again and again instead.
			at, cause = due, causeHeardEra
		}
		s.unlock()
		until := time.Until(at)
		if until <= 0 {
			return cause, nil
		}
		timer := time.NewTimer(until)
		select {
		case <-ctx.Done():
			timer.Stop()
			return cause, ctx.Err()
		case <-timer.C:
		case <-s.wake[kind]:
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

// listFromStore reads all records of a kind from the store and applies them. If it may yield, it returns
// errListSuperseded once the records need no list any more.
func (s *Syncer) listFromStore(ctx context.Context, kind store.Kind, cause readCause, mayYield bool) error {
	s.mu.Lock()
	s.listRequested[kind].Store(false)
	validatedAt := s.kinds[kind].freshness.validatedAt
	suspended := s.accountSuspensionLocked()
	s.unlock()
	s.options.Counters.Count("store.list." + string(cause))
	began := time.Now()
	l, err := s.list(ctx, kind, cause, mayYield)
	if err != nil {
		return err
	}
	s.options.Logger.Info().Str("event", "store_listed").Str("kind", string(kind)).Str("cause", string(cause)).
		Uint64("era", uint64(l.Era)).Uint64("version", uint64(l.AsOf)).Int("records", len(l.Records)).Bool("may_lag", l.MayBeStale).
		Dur("took_ms", time.Since(began)).Dur("age_ms", sinceIfKnown(began, validatedAt)).Send()
	s.recordSuccess()
	if l.MayBeStale {
		s.applyUnvalidated(kind, l)
		return nil
	}
	s.applyRecordSet(kind, RecordSet{AsOf: l.AsOf, Era: l.Era, Buckets: allBuckets(), Records: l.Records, ValidatedAt: began.Add(suspended - s.AccountSuspension())}, true)
	return nil
}

// sinceIfKnown returns the time from earlier to later, or 0 if earlier is the zero time.
func sinceIfKnown(later, earlier time.Time) time.Duration {
	if earlier.IsZero() {
		return 0
	}
	return later.Sub(earlier)
}

// errNotFresher means that another daemon's records were validated no later than the cached ones.
var errNotFresher = errors.New("records of the other daemon are not fresher than the cached ones")

// listFromDaemon reads the records that differ from another daemon, from any daemon if the address
// is the zero value. This keeps the number of store calls low, and updates a daemon that the store
// refuses to serve.
func (s *Syncer) listFromDaemon(ctx context.Context, kind store.Kind, from netip.Addr) error {
	if s.peers == nil {
		return errNoFresherDaemon
	}
	s.mu.Lock()
	digests := s.kinds[kind].recordCache.buckets
	suspended := s.accountSuspensionLocked()
	s.unlock()
	began := time.Now()
	rs, err := s.peers.ListRecords(ctx, kind, from, digests[:])
	if err != nil {
		s.options.Counters.Count("retry.daemon_list")
		s.options.Logger.Info().Str("event", "daemon_list_failed").Str("kind", string(kind)).Err(err).Send()
		return err
	}
	rs.ValidatedAt = rs.ValidatedAt.Add(suspended - s.AccountSuspension())
	if from.IsValid() {
		rs.From = from
	}
	if !s.hasProvenEra(rs) {
		return errUnprovenEra
	}
	validatedAt := s.ValidatedAt(kind)
	if rs.Era < s.Era() {
		s.options.Counters.Count("retry.daemon_list_older_era")
		return errNotFresher
	}
	if s.adoptKept(kind, rs) && !rs.ValidatedAt.After(validatedAt) {
		return nil
	}
	if rs.Era == s.cachedEra(kind) && !rs.ValidatedAt.After(validatedAt) {
		s.options.Counters.Count("retry.daemon_list_old")
		return errNotFresher
	}
	s.options.Logger.Info().Str("event", "daemon_listed").Str("kind", string(kind)).Stringer("from", from).
		Uint64("version", uint64(rs.AsOf)).Int("buckets", len(rs.Buckets)).Int("records", len(rs.Records)).
		Dur("took_ms", time.Since(began)).Dur("age_ms", sinceIfKnown(began, validatedAt)).
		Dur("its_age_ms", time.Since(rs.ValidatedAt)).Send()
	s.applyRecordSet(kind, rs, false)
	return nil
}

// applyRecordSet applies records that were the latest at a time, and notifies the other daemons.
func (s *Syncer) applyRecordSet(kind store.Kind, rs RecordSet, fromStore bool) {
	daemons := s.daemonCount()
	s.mu.Lock()
	k := s.kinds[kind]
	isFirst := !k.isLoaded()
	s.raiseEraLocked(rs.Era, fromStore)
	if rs.Era < s.era {
		_ = s.refuseEraLocked(rs.Era, "records") // Counted and logged; the records are read again.
		s.unlock()
		return
	}
	s.endOutageLocked(kind, rs.ValidatedAt)
	changes := s.mergeLocked(kind, rs)
	k.freshness.recordList(rs.ValidatedAt, rs.From)
	if fromStore {
		k.freshness.listedAt = rs.ValidatedAt
		k.freshness.lacksKept = k.freshness.lacksKept || isFirst && rs.Era != 0
	}
	k.jitter = jitter(rand.Float64(), daemons)
	s.apply(kind, changes, isFirst, fromStore)
	s.endGraceLocked(kind)
	k.recordCache.purgeTombstones(rs.ValidatedAt)
	s.unlock()
	notify(s.advanced[kind])
	if s.onValidated != nil {
		s.onValidated()
	}
}

// applyUnvalidated applies records that may be stale by seconds. It has an effect only while no
// records of the kind are cached. No upstream counts as deregistered until the records are
// validated.
func (s *Syncer) applyUnvalidated(kind store.Kind, l store.Listing) {
	s.mu.Lock()
	defer s.unlock()
	k := s.kinds[kind]
	if k.isLoaded() || l.Era < s.era {
		return
	}
	k.recordCache.era, k.freshness.era = l.Era, l.Era
	k.freshness.unvalidatedSince, k.freshness.lacksKept = time.Now(), l.Era != 0
	k.jitter = jitter(rand.Float64(), assumedFleetSize)
	s.apply(kind, k.recordCache.merge(RecordSet{Era: l.Era, Records: l.Records}, time.Now()), true, true)
	k.recordCache.asOf = l.AsOf
	notify(s.advanced[kind])
}

func (s *Syncer) daemonCount() int {
	if s.peers == nil {
		return 0
	}
	return s.peers.DaemonCount()
}
