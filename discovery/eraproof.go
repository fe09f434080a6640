package discovery

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"github.com/fulmarfield/fulmarfield/platform"
	"github.com/fulmarfield/fulmarfield/store"
)

// agreeingDaemons is the number of daemons whose records have to show an era that the store has not shown, while the
// store does not respond, before that era is in force.
const agreeingDaemons = 2

// causeHeardEra means that other daemons state an era that the store has not shown. One page is read, which shows the
// era of the store.
const causeHeardEra readCause = "heard"

// errUnprovenEra means that records of another daemon belong to an era that the store has not shown.
var errUnprovenEra = errors.New("records of the other daemon belong to an era that the store has not shown")

// eraProof is what the era in force rests on. Syncer.mu protects it.
type eraProof struct {
	// isShown is set if a response of the store has shown the era in force. Otherwise only other daemons have, and
	// the next latest read of the store decides.
	isShown bool
	// adoptedAt is when the era came into force.
	adoptedAt time.Time
	// isDoubted is set after a response that may be stale had an older era than one that is not shown.
	isDoubted bool
	// witnesses holds, by address, the later eras that the records of other daemons have shown since the store last
	// responded.
	witnesses map[netip.Addr]store.Era
	// refutedAt is when the store last showed an older era than other daemons had stated.
	refutedAt time.Time
}

// eraResponse is what a response of the store says about its era.
type eraResponse struct {
	era     store.Era
	invalid string
	// latestSince is the time of the request if the response contains all earlier changes, the zero time otherwise.
	latestSince time.Time
}

// refutes reports whether a response contains all that happened before a statement of another daemon on a later era.
func (r eraResponse) refutes(statedAt time.Time) bool { return !r.latestSince.Before(statedAt) }

// checkEra evaluates the era of a response of the store, which failed if err is not nil, and returns the era as
// which the response counts and the error with which the caller goes on. A response that names no valid era counts as
// one of the era in force. An error for which the store may not have responded at all, with era 0, does not show an
// older era.
func (s *Syncer) checkEra(r eraResponse, err error) (store.Era, error) {
	s.mu.Lock()
	defer s.unlock()
	if err == nil {
		clear(s.proof.witnesses)
	}
	if r.invalid != "" {
		s.options.Counters.CountDrop("store_era_invalid")
		s.logRefusedEraLocked("response of the store names era " + r.invalid)
		if r.era = s.era; err == nil {
			s.endHeardErasLocked(r)
		}
		return s.era, err
	}
	isExpired := errors.Is(err, store.ErrExpired)
	if err == nil {
		s.endHeardErasLocked(r)
	}
	switch {
	case err != nil && !isExpired && r.era == 0:
	case r.era >= s.era:
		s.raiseEraLocked(r.era, true)
	case err == nil && !s.proof.isShown && r.refutes(s.proof.adoptedAt):
		s.refuteEraLocked(r.era)
	case err == nil || isExpired:
		if !s.proof.isShown {
			s.doubtEraLocked()
		}
		return r.era, s.refuseEraLocked(r.era, "response of the store")
	}
	return r.era, err
}

// doubtEraLocked requests a latest read of the store. The caller holds s.mu.
func (s *Syncer) doubtEraLocked() {
	s.proof.isDoubted = true
	for _, wake := range s.wake {
		notify(wake)
	}
}

// refuteEraLocked puts the era in force that the store has shown, instead of a later one that only other daemons have
// shown. The records stay in force until the kinds have been read again. The caller holds s.mu.
func (s *Syncer) refuteEraLocked(era store.Era) {
	s.options.Logger.Warn().Str("event", "store_era_refuted").Uint64("old", uint64(s.era)).Uint64("new", uint64(era)).Send()
	s.options.Counters.CountDrop("daemon_era_refuted")
	for _, k := range s.kinds {
		if k.freshness.fresherAdvertisement.Era > era {
			k.freshness.fresherAdvertisement = Advertisement{}
		}
	}
	s.proof.refutedAt = time.Now()
	s.setEraLocked(era, true)
}

// hearEraLocked keeps an advertisement of a later era than the one in force until the store shows its era. For a
// while after the store has refuted one, further ones are ignored: the lists that validate the records show the era
// as well. The caller holds s.mu.
func (s *Syncer) hearEraLocked(ad Advertisement) {
	k, now := s.kinds[ad.Kind], time.Now()
	wasRefuted := !s.proof.refutedAt.IsZero() && now.Sub(s.proof.refutedAt) < s.bound()
	if wasRefuted || s.proof.witnesses[ad.From] == ad.Era {
		s.options.Counters.CountDrop("advertisement_era_unproven")
		return
	}
	if !k.heard.From.IsValid() {
		k.heard, k.heardAt = ad, now
		notify(s.wake[ad.Kind])
	}
}

// endHeardErasLocked drops advertisements of eras that a response refutes. The caller holds s.mu.
func (s *Syncer) endHeardErasLocked(r eraResponse) {
	for _, k := range s.kinds {
		if k.heard.From.IsValid() && k.heard.Era > max(r.era, s.era) && r.refutes(k.heardAt) {
			s.options.Counters.CountDrop("daemon_era_refuted")
			k.heard, s.proof.refutedAt = Advertisement{}, time.Now()
		}
	}
}

// heardDueLocked returns when the store has to be asked for its era, the zero time if it needs not. While the store
// does not respond, the records of daemons are read at once. The caller holds s.mu.
func (s *Syncer) heardDueLocked(k *kindState) (at time.Time, isDue bool) {
	switch {
	case s.proof.isDoubted:
		return time.Time{}, true
	case !k.heard.From.IsValid():
		return time.Time{}, false
	case s.breaker.isOpen():
		return k.heardAt, true
	default:
		return k.heardAt.Add(time.Duration(float64(s.bound()) * jitterShare * k.jitter)), true
	}
}

// confirmEra reads a page of a kind, which shows the era of the store. If the store does not respond, it reads the
// records of the daemon that states a later era: they are applied if enough daemons agree on that era.
func (s *Syncer) confirmEra(ctx context.Context, kind store.Kind) error {
	s.mu.Lock()
	from := s.kinds[kind].heard.From
	s.proof.isDoubted = false
	s.unlock()
	err := errNoFresherDaemon
	if s.breaker.allows(time.Now()) {
		s.options.Counters.Count("store.list." + string(causeHeardEra))
		if _, err = s.readPage(ctx, kind, "", store.Latest); err == nil {
			s.recordSuccess()
		}
		if err == nil || ctx.Err() != nil || errors.Is(err, store.ErrRateLimited) || isEraError(err) {
			return err
		}
		s.recordFailure(kind, err)
	}
	if !from.IsValid() {
		return err
	}
	err = s.listFromDaemon(ctx, kind, from)
	s.mu.Lock()
	if k := s.kinds[kind]; k.heard.From == from {
		k.heard = Advertisement{}
	}
	s.unlock()
	return err
}

// hasProvenEra reports whether records of another daemon may be applied: they belong to no later era than the one in
// force, or to one on which enough daemons agree while the store does not respond. A daemon that starts adopts the era
// of the first records; the first latest read of the store corrects it.
func (s *Syncer) hasProvenEra(rs RecordSet) bool {
	s.mu.Lock()
	defer s.unlock()
	if rs.Era <= s.era || s.isEmptyLocked() {
		return true
	}
	s.options.Counters.CountDrop("daemon_era_unproven")
	if !rs.From.IsValid() || !s.breaker.isOpen() {
		return false
	}
	if s.proof.witnesses == nil {
		s.proof.witnesses = map[netip.Addr]store.Era{}
	}
	s.proof.witnesses[rs.From] = rs.Era
	agreeing := 0
	for _, era := range s.proof.witnesses {
		if era == rs.Era {
			agreeing++
		}
	}
	return agreeing >= agreeingDaemons
}

// isEmptyLocked reports whether this process has no records, and no response of the store. The caller holds s.mu.
func (s *Syncer) isEmptyLocked() bool {
	for _, k := range s.kinds {
		if k.isLoaded() {
			return false
		}
	}
	return !s.proof.isShown
}

// raiseEraLocked records an era of the store. isShown is set if the store has shown it. The caller holds s.mu.
func (s *Syncer) raiseEraLocked(era store.Era, isShown bool) {
	switch {
	case era > s.era:
		s.options.Counters.Count("store.era_seen")
		s.setEraLocked(era, isShown)
	case era == s.era && isShown:
		s.proof.isShown, s.proof.isDoubted = true, false
	}
}

// setEraLocked puts an era in force. The cached records of all kinds belong to an era that is over: they stay in
// force, but prove nothing any more until the kind has been read again. The caller holds s.mu.
func (s *Syncer) setEraLocked(era store.Era, isShown bool) {
	s.era = era
	s.proof.isShown, s.proof.adoptedAt, s.proof.isDoubted = isShown, time.Now(), false
	clear(s.proof.witnesses)
	s.options.Catalog.BeginEra(s.kinds[platform.KindUpstreams].freshness.validatedAt)
	for kind, k := range s.kinds {
		k.freshness.isEraOver, k.freshness.eraOverAt = false, time.Time{}
		if k.isLoaded() && k.recordCache.era != era {
			k.freshness.isEraOver, k.freshness.eraOverAt = true, time.Now()
		}
		if k.heard.Era == era && k.heard.From.IsValid() {
			k.freshness.fresherAdvertisement = k.heard
		}
		if k.heard.Era <= era {
			k.heard = Advertisement{}
		}
		notify(s.wake[kind])
	}
}
