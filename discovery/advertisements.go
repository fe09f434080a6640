package discovery

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/fulmarfield/fulmarfield/catalog"
	"github.com/fulmarfield/fulmarfield/platform"
	"github.com/fulmarfield/fulmarfield/store"
)

// Effect is what an advertisement of another daemon did, or would do.
type Effect uint8

// Effects of an advertisement.
const (
	EffectNone Effect = iota
	// EffectFresher means that the cached records became fresher by so much that the caller should notify other daemons.
	EffectFresher
	// EffectAsk means that they may become so by a dated advertisement: the caller should ask the other daemon for one.
	EffectAsk
)

// HandleAdvertisement evaluates an advertisement of another daemon and returns its effect.
func (s *Syncer) HandleAdvertisement(ad Advertisement) Effect {
	daemons := s.daemonCount()
	s.mu.Lock()
	defer s.unlock()
	s.accountSuspensionLocked()
	k := s.kinds[ad.Kind]
	if k == nil || !k.isLoaded() {
		return EffectNone
	}
	if ad.Era < s.era {
		s.options.Counters.CountDrop("advertisement_older_era")
		return EffectNone
	}
	if ad.Era > s.era {
		s.hearEraLocked(ad)
		return EffectNone
	}
	before, asOf := k.freshness.validatedAt, k.recordCache.asOf
	isEqual := ad.Era == k.recordCache.era && ad.Digest == k.recordCache.digest()
	if isEqual && ad.IsDated {
		s.endOutageLocked(ad.Kind, ad.ValidatedAt)
	}
	k.freshness.handleAdvertisement(ad, k.recordCache)
	if k.recordCache.asOf > asOf {
		notify(s.advanced[ad.Kind])
	}
	if k.freshness.fresherAdvertisement.From.IsValid() {
		notify(s.wake[ad.Kind])
	}
	if k.freshness.validatedAt.After(before) {
		s.endGraceLocked(ad.Kind)
	}
	switch {
	case isEqual && !ad.IsDated && ad.ValidatedAt.Sub(before) >= minFreshnessGain:
		if k.freshness.askedAt.IsZero() {
			k.freshness.askedAt = time.Now()
		}
		return EffectAsk
	case k.freshness.validatedAt.Sub(before) < minFreshnessGain:
		return EffectNone
	}
	k.recordCache.purgeTombstones(k.freshness.validatedAt)
	k.jitter = jitter(rand.Float64(), daemons)
	return EffectFresher
}

// Advertisements returns an advertisement for each kind whose cached records are validated.
func (s *Syncer) Advertisements() []Advertisement {
	s.mu.Lock()
	defer s.unlock()
	s.accountSuspensionLocked()
	var advertisements []Advertisement
	for _, kind := range s.Kinds() {
		if k := s.kinds[kind]; !k.freshness.validatedAt.IsZero() && !k.freshness.isEraOver {
			advertisements = append(advertisements, Advertisement{
				Kind: kind, Era: k.recordCache.era, Digest: k.recordCache.digest(), AsOf: k.recordCache.asOf,
				ValidatedVersion: k.recordCache.validatedVersion, ValidatedAt: k.freshness.validatedAt,
			})
		}
	}
	return advertisements
}

// ErrNotValidated means that no records of a kind are cached, or that they are not validated yet in the present
// era of the store.
var ErrNotValidated = errors.New("records are not known yet")

// Records returns the cached records of those buckets whose digests differ from the given ones, or
// all records if no digests are given. It returns ErrNotValidated if there are no validated
// records.
func (s *Syncer) Records(kind store.Kind, digests []uint64) (RecordSet, error) {
	s.mu.Lock()
	defer s.unlock()
	s.accountSuspensionLocked()
	k := s.kinds[kind]
	if k == nil || k.freshness.validatedAt.IsZero() || k.freshness.isEraOver {
		return RecordSet{}, fmt.Errorf("%s: %w", kind, ErrNotValidated)
	}
	rs := k.recordCache.delta(digests)
	rs.ValidatedAt, rs.EraSince = k.freshness.validatedAt, k.freshness.eraSince
	return rs, nil
}

// ValidatedAt returns when the records of a kind were last known to be the latest.
func (s *Syncer) ValidatedAt(kind store.Kind) time.Time {
	return s.published[kind].Load().validatedAt
}

// ConfigValidatedAt returns when the configuration was last known to be the latest.
func (s *Syncer) ConfigValidatedAt() time.Time { return s.ValidatedAt(platform.KindConfiguration) }

// UpstreamsValidatedAt returns when the upstreams were last known to be the latest.
func (s *Syncer) UpstreamsValidatedAt() time.Time { return s.ValidatedAt(platform.KindUpstreams) }

// ValidatedBy returns what last showed that the cached records of a kind were the latest.
func (s *Syncer) ValidatedBy(kind store.Kind) Validation { return s.published[kind].Load().validatedBy }

// ConfigValidatedSince reports whether the configuration was certainly the latest at some time after t, and late
// enough in the present era of the store for the operator to have written it again. While a configuration of an
// earlier era is in force instead of the listed one, no list shows what it lacks. It causes no read: within the
// propagation bound every configuration is validated again.
func (s *Syncer) ConfigValidatedSince(t time.Time) bool {
	known := s.published[platform.KindConfiguration].Load()
	return known.wasValidatedAfter(t) && known.hasSettled() && known.kept == 0 && !known.isOverridden
}

// UpstreamsListedSince reports whether the upstreams were validated after t, and late enough after
// the store became available for upstreams with expired entries to have registered again. If they
// were not, it requests a list.
func (s *Syncer) UpstreamsListedSince(t time.Time) bool {
	known := s.published[platform.KindUpstreams].Load()
	availableSince := s.breaker.storeAvailableSince()
	if availableSince.IsZero() || known.isEraOver || known.era != 0 && known.eraSince.IsZero() {
		return false
	}
	if known.eraSince.After(availableSince) {
		availableSince = known.eraSince
	}
	validated := known.validatedAt
	if known.wasValidatedAfter(t) && validated.Sub(availableSince) >= catalog.ReregistrationGrace {
		return true
	}
	if min(time.Since(validated), time.Since(availableSince)-catalog.ReregistrationGrace) >= minListInterval {
		s.requestList(platform.KindUpstreams)
	}
	return false
}
