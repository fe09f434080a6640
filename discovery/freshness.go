package discovery

import (
	"math"
	"net/netip"
	"time"

	"github.com/fulmarfield/fulmarfield/store"
)

const (
	// revalidateShare and jitterShare determine when records must be validated again, as shares of
	// the time in which a change must be in force: a daemon reads them after 0.4 to 0.6 of that
	// time. Then a change that no watch delivers is in force after 0.8 of it, including the grace
	// period for watches and the duration of the calls.
	revalidateShare = 0.4
	jitterShare     = 0.2
	// eraSpreadShare is the longest delay of the first list of a new era, as a share of the same time. Watches
	// show all daemons the era at once; those that draw a long delay read the records of the others.
	eraSpreadShare = 0.1
	// minFreshnessGain is the least gain in validation time for which a daemon asks another one, reads its records
	// or passes an advertisement on. Advertisements that result from the same list differ by less: by the latency over
	// several daemons and by scheduling delays on small VMs.
	minFreshnessGain = 300 * time.Millisecond
	// answerTimeout is how long a read of the store waits for the answer of another daemon that claims to have validated
	// the same records. It is longer than an answer takes between zones.
	answerTimeout = 50 * time.Millisecond
)

// Advertisement is another daemon's statement that its records of a kind, which have this digest,
// were the latest at a given time.
type Advertisement struct {
	Kind   store.Kind
	Digest uint64
	// AsOf is the version up to which the watches of the advertising daemon have delivered changes.
	// ValidatedVersion is the version of the complete list that validated its records.
	AsOf, ValidatedVersion store.Version
	// Era is the era of the store to which the records and the versions belong.
	Era         store.Era
	ValidatedAt time.Time
	// IsDated is set if ValidatedAt was computed from a time of this daemon's clock before which the advertisement was
	// certainly not sent. Then it is not too late, however long the datagram waited. Otherwise it may be too late by
	// any time.
	IsDated bool
	// From is the address of the daemon that serves the records.
	From netip.Addr
}

// RecordSet is a complete list from the store, or the record buckets that one daemon sends to
// another.
type RecordSet struct {
	// AsOf is the version of the complete list that validated the records. A record of these
	// buckets that is no newer than AsOf and is missing from Records has been deleted.
	AsOf    store.Version
	Buckets []int
	Records []store.Record
	// ValidatedAt is the time at which the records were the latest.
	ValidatedAt time.Time
	// Era is the era of the store to which the records and versions belong.
	Era store.Era
	// Kept are records of an earlier era that another daemon keeps in force instead of those of this era,
	// and EraSince is since when that daemon has had validated records of this era. A list of the store has
	// neither.
	Kept     []store.Record
	EraSince time.Time
	// From is the address of the daemon that sent the records, the zero value for a list of the store.
	From netip.Addr
}

// Validation is what showed that cached records were the latest at a time. The zero value is a list of the store.
type Validation struct {
	// From is the other daemon that stated it, the zero value for a list of the store.
	From netip.Addr
	// IsAdvertised is set for an advertisement, which validated equal records. Otherwise the records were read from
	// that daemon.
	IsAdvertised bool
}

// String returns the validation as it is written in log lines.
func (v Validation) String() string {
	switch {
	case !v.From.IsValid():
		return "store"
	case v.IsAdvertised:
		return "advertisement of " + v.From.String()
	default:
		return "records of " + v.From.String()
	}
}

// freshness is how current a daemon's cached records of one kind are.
type freshness struct {
	// validatedAt is the latest time at which the cached records are known to have been the latest;
	// it is the zero time until they are validated.
	validatedAt time.Time
	// validatedBy is what showed so.
	validatedBy Validation
	// listedAt is the start of the last complete list that this daemon read from the store.
	listedAt time.Time
	// era is the era of the cached records, and eraSince the time of the first validated records of this
	// era. It is the zero time for era 0, and until then.
	era      store.Era
	eraSince time.Time
	// isEraOver is set while the store is known to be in a later era, and eraOverAt is since when.
	isEraOver bool
	eraOverAt time.Time
	// isOverridden is set while the configuration in force is newer than the one that the store lists.
	isOverridden bool
	// lacksKept is set from a first list of the store until another daemon has told what it keeps from an earlier
	// era: that list does not contain it.
	lacksKept bool
	// kept is the number of records that are kept from an earlier era.
	kept int
	// unvalidatedSince is the time at which unvalidated records were first cached.
	unvalidatedSince time.Time
	// fresherAdvertisement is the latest advertisement of a daemon whose records differ and were
	// validated later. Its address is the zero value if there is none.
	fresherAdvertisement Advertisement
	// askedAt is when another daemon was first asked whether it has validated equal records since validatedAt, the zero
	// time if none was.
	askedAt time.Time
}

// recordList records that a record set was the latest at a time. from is the daemon that sent it, the zero value for
// a list of the store.
func (f *freshness) recordList(at time.Time, from netip.Addr) {
	if at.After(f.validatedAt) {
		f.validate(at, Validation{From: from})
	}
	f.recordEra(at)
	f.dropStaleAdvertisement()
}

// validate records what showed that the cached records were the latest at a time.
func (f *freshness) validate(at time.Time, by Validation) {
	f.validatedAt, f.validatedBy, f.askedAt = at, by, time.Time{}
}

// wasValidatedAfter reports whether the cached records were certainly the latest at some time after
// t. Suspensions too short to be accounted, on this VM or on those over which a validation came, make its time
// appear later than it was, so a validation by another daemon must be later than t by a margin.
func (f *freshness) wasValidatedAfter(t time.Time) bool {
	return f.listedAt.After(t) || f.validatedAt.Sub(t) >= minFreshnessGain
}

// handleAdvertisement evaluates an advertisement of another daemon. If its records are equal to the
// cached ones, and it is dated, it validates them. If they differ and were validated later, they must be
// read from that daemon, even if some of the cached records are newer: its records validate the rest.
func (f *freshness) handleAdvertisement(ad Advertisement, rc *recordCache) {
	switch {
	case ad.Era > rc.era:
		if f.fresherAdvertisement.Era < ad.Era || ad.ValidatedAt.After(f.fresherAdvertisement.ValidatedAt) {
			f.fresherAdvertisement = ad
		}
	case ad.Era < rc.era: // Its versions are not comparable.
	case ad.Digest == rc.digest():
		rc.asOf = max(rc.asOf, ad.AsOf)
		if ad.IsDated && ad.ValidatedAt.After(f.validatedAt) {
			f.validate(ad.ValidatedAt, Validation{From: ad.From, IsAdvertised: true})
			rc.validatedVersion = max(rc.validatedVersion, ad.ValidatedVersion)
			f.recordEra(ad.ValidatedAt)
		}
		f.dropStaleAdvertisement()
		if f.lacksKept && !f.hasSettled() {
			f.fresherAdvertisement = ad
		}
	case f.fresherAdvertisement.Era > ad.Era:
	case ad.ValidatedAt.Sub(f.validatedAt) >= minFreshnessGain && ad.ValidatedAt.After(f.fresherAdvertisement.ValidatedAt):
		f.fresherAdvertisement = ad
	}
}

// dropStaleAdvertisement drops an advertisement whose records are not noticeably fresher any more.
func (f *freshness) dropStaleAdvertisement() {
	if f.fresherAdvertisement.Era <= f.era && f.fresherAdvertisement.ValidatedAt.Sub(f.validatedAt) < minFreshnessGain {
		f.fresherAdvertisement = Advertisement{}
	}
}

// readCause is the reason for which a kind is read.
type readCause string

const (
	// causeInitial means that no records of the kind are cached.
	causeInitial readCause = "first"
	// causeStale means that the cached records have not been validated for too long.
	causeStale readCause = "age"
	// causeFresherDaemon means that another daemon has fresher records.
	causeFresherDaemon readCause = "differs"
	// causeNewEra means that the store is in a later era than the cached records.
	causeNewEra readCause = "era"
	// causeRequested means that the decision on a packet requires a list.
	causeRequested readCause = "wanted"
)

// nextRead returns when and why the records must be read again unless they are validated earlier.
// The fresher records of another daemon are read at once, so that a change spreads before further
// daemons read the store. A read because of age waits for the answer of a daemon that was asked.
func (f *freshness) nextRead(bound time.Duration, jitter float64) (time.Time, readCause) {
	at, cause := f.nextReadWithoutAnswer(bound, jitter)
	if answeredAt := f.askedAt.Add(answerTimeout); cause == causeStale && answeredAt.After(at) {
		at = answeredAt
	}
	return at, cause
}

// nextReadWithoutAnswer returns the same without a wait for an answer.
func (f *freshness) nextReadWithoutAnswer(bound time.Duration, jitter float64) (time.Time, readCause) {
	switch {
	case f.fresherAdvertisement.From.IsValid():
		return f.fresherAdvertisement.ValidatedAt, causeFresherDaemon
	case f.isEraOver:
		return f.eraOverAt.Add(time.Duration(float64(bound) * eraSpreadShare * jitter)), causeNewEra
	case f.validatedAt.IsZero():
		return f.unvalidatedSince.Add(time.Duration(float64(bound) * jitterShare * jitter)), causeStale
	default:
		return f.validatedAt.Add(time.Duration(float64(bound) * (revalidateShare + jitterShare*jitter))), causeStale
	}
}

// jitter skews a random number in [0, 1) so that few of many daemons draw a low value. The skew grows with
// the logarithm of their number: then the lowest of all draws stays in the middle of the range, where the
// draws are sparse, and its daemon has notified the others before the next one begins.
func jitter(random float64, daemons int) float64 {
	return math.Pow(random, 1/(1+math.Log1p(float64(daemons))))
}
