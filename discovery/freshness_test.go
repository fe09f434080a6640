package discovery

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarfield/fulmarfield/store"
)

const bound = 3 * time.Second

var startTime = time.Unix(1_700_000_000, 0)

func at(ms int) time.Time { return startTime.Add(time.Duration(ms) * time.Millisecond) }

func record(name string, version int) store.Record {
	return store.Record{Name: name, Version: store.Version(version)}
}

// Guards against different records with equal digests, and against a digest that depends on the
// order of the changes.
func TestDigest(t *testing.T) {
	g := NewWithT(t)
	listed, watched := newRecordCache(), newRecordCache()
	listed.merge(completeList(5, record("a", 1), record("b", 5)), at(0))
	for i, c := range []store.Change{
		{Record: record("b", 2)}, {Record: record("a", 1)}, {Record: record("c", 3)},
		{Record: record("c", 4), Deleted: true}, {Record: record("b", 5)},
	} {
		watched.apply(store.Changes{Changes: []store.Change{c}, AsOf: store.Version(i + 1)}, at(i))
	}
	g.Expect(watched.digest()).To(Equal(listed.digest()))
	watched.apply(store.Changes{Changes: []store.Change{{Record: record("b", 6)}}, AsOf: 6}, at(6))
	g.Expect(watched.digest()).NotTo(Equal(listed.digest()))
}

// Guards against a delayed watch that reverts a record to a version older than the listed one.
func TestOlderChangeIsIgnored(t *testing.T) {
	g := NewWithT(t)
	rc := newRecordCache()
	rc.merge(completeList(8, record("a", 7)), at(0))
	g.Expect(rc.apply(store.Changes{Changes: []store.Change{{Record: record("a", 6)}}, AsOf: 6}, at(1))).To(BeEmpty())
	g.Expect(rc.apply(store.Changes{Changes: []store.Change{{Record: record("a", 6), Deleted: true}}, AsOf: 6}, at(1))).To(BeEmpty(), "a later write exists")
	g.Expect(rc.records["a"].Version).To(Equal(store.Version(7)))
	g.Expect(rc.asOf).To(Equal(store.Version(8)))
}

// Guards against records that count as current because a watch delivered no change: the store had
// dropped its history, so that the watch missed changes, and a new configuration was not in force on
// the daemon in time. Only lists and the advertisements of daemons with the same records validate the
// cached records. Otherwise the daemon must read the records again within the propagation bound.
func TestOnlyListsAndAdvertisementsValidate(t *testing.T) {
	g := NewWithT(t)
	rc, f := newRecordCache(), &freshness{}
	rc.merge(completeList(1, record("a", 1)), at(0))
	f.recordList(at(0), netip.Addr{})
	rc.apply(store.Changes{AsOf: 9}, at(500))
	g.Expect(nextReadTime(f, 1)).To(Equal(at(1800)))
	f.handleAdvertisement(Advertisement{Digest: rc.digest(), AsOf: 9, ValidatedAt: at(1000), IsDated: true}, rc)
	g.Expect(nextReadTime(f, 0)).To(Equal(at(2200)))
	f.handleAdvertisement(Advertisement{Digest: rc.digest(), AsOf: 9, ValidatedAt: at(500), IsDated: true}, rc)
	g.Expect(f.validatedAt).To(Equal(at(1000)), "an older advertisement changes nothing")
	f.handleAdvertisement(Advertisement{Digest: rc.digest(), AsOf: 9, ValidatedAt: at(1400)}, rc)
	g.Expect(f.validatedAt).To(Equal(at(1000)), "one that is not dated may have waited")
}

// Guards against a daemon that lists the store because the version of its records is older than the
// store's change history, so that it cannot watch. An advertisement of the same records supplies a
// later version from which the daemon can watch.
func TestAdvertisementAdvancesVersion(t *testing.T) {
	g := NewWithT(t)
	rc, f := newRecordCache(), &freshness{}
	rc.merge(completeList(5, record("a", 5)), at(0))
	f.recordList(at(0), netip.Addr{})
	f.handleAdvertisement(Advertisement{Digest: rc.digest(), AsOf: 90, ValidatedAt: at(100), IsDated: true}, rc)
	g.Expect(rc.asOf).To(Equal(store.Version(90)))
	f.handleAdvertisement(Advertisement{Digest: rc.digest() + 1, AsOf: 95, ValidatedAt: at(200)}, rc)
	g.Expect(rc.asOf).To(Equal(store.Version(90)), "the advertisement is of other records")
}

// Guards against a fleet that overloads a store which is down, and against a small fleet that
// notices its recovery late.
//
// The pause starts at a quarter of its maximum (1 s, 2.56 s, 4 s), doubles, and varies by half in
// either direction. So the number of calls in 5 s lies between those with the longest and with the
// shortest pauses.
func TestPausesOfFailedCalls(t *testing.T) {
	for daemons, want := range map[int]struct{ least, most int }{0: {5, 12}, 64: {3, 6}, 7900: {3, 4}} {
		g := NewWithT(t)
		b, calls := &breaker{}, 0
		g.Expect(b.recordSuccess(at(0))).To(BeTrue())
		for ms := 1; ms <= 5000; ms++ {
			if b.allows(at(ms)) {
				calls++
				g.Expect(b.trip(at(ms), daemons)).To(Equal(calls == 1))
				g.Expect(b.storeAvailableSince()).To(BeZero())
			}
		}
		g.Expect(calls).To(And(BeNumerically(">=", want.least), BeNumerically("<=", want.most)), "%d daemons in 5 s", daemons)
		g.Expect(b.recordSuccess(at(6000))).To(BeTrue())
		g.Expect(b.allows(at(6000))).To(BeTrue())
		g.Expect(b.storeAvailableSince()).To(Equal(at(6000)))
	}
}

// Guards against a daemon that keeps stale records although another daemon has fresher ones,
// against one that requests records that it has already, and against changes that wait in one
// daemon until all daemons have read the store, which doubled the calls of 90 daemons.
func TestAdvertisementOfOtherRecords(t *testing.T) {
	g := NewWithT(t)
	rc, f := newRecordCache(), &freshness{}
	rc.merge(completeList(5, record("a", 5)), at(0))
	f.recordList(at(0), netip.Addr{})
	other := Advertisement{Digest: 1, AsOf: 4, From: netip.MustParseAddr("127.0.0.2")}
	other.ValidatedAt = at(200)
	f.handleAdvertisement(other, rc)
	g.Expect(nextReadTime(f, 0)).To(Equal(at(1200)), "the gain is within the delay of an advertisement of the same list")
	other.ValidatedAt = at(700)
	f.handleAdvertisement(other, rc)
	g.Expect(nextReadTime(f, 0)).To(Equal(at(700)), "at once, even if some cached records are newer")
	f.recordList(at(650), netip.Addr{})
	g.Expect(nextReadTime(f, 0)).To(Equal(at(1850)), "a later list validated the records")
	f.handleAdvertisement(Advertisement{Digest: rc.digest(), ValidatedAt: at(900), IsDated: true}, rc)
	other.ValidatedAt = at(800)
	f.handleAdvertisement(other, rc)
	g.Expect(nextReadTime(f, 0)).To(Equal(at(2100)), "the other daemon's records are less fresh")
}

// Guards against a reset of a flow whose upstream was registered just before. The delay of an
// advertisement makes the list behind it appear later than it was.
func TestAdvertisedTimeIsInexact(t *testing.T) {
	g := NewWithT(t)
	rc, f := newRecordCache(), &freshness{}
	f.handleAdvertisement(Advertisement{Digest: rc.digest(), ValidatedAt: at(1000), IsDated: true}, rc)
	g.Expect(f.wasValidatedAfter(at(900))).To(BeFalse())
	g.Expect(f.wasValidatedAfter(at(700))).To(BeTrue())
	f.listedAt = at(950)
	g.Expect(f.wasValidatedAfter(at(900))).To(BeTrue(), "a list of this daemon")
	g.Expect(f.wasValidatedAfter(at(950))).To(BeFalse())
}

// Guards against a daemon that never validates its initial records when no other daemon responds.
func TestUnvalidatedRecordsAreReadSoon(t *testing.T) {
	g := NewWithT(t)
	f := &freshness{unvalidatedSince: at(0)}
	g.Expect(nextReadTime(f, 1)).To(Equal(at(600)))
	f.handleAdvertisement(Advertisement{Digest: 1, ValidatedAt: at(10), From: netip.MustParseAddr("127.0.0.2")}, newRecordCache())
	g.Expect(nextReadTime(f, 1)).To(Equal(at(10)))
}

// Guards against a fleet whose daemons all read at once. The store calls must grow more slowly than
// the fleet, given that a daemon that reads has notified the others after 10 ms.
func TestFewDaemonsReadAtOnce(t *testing.T) {
	for _, daemons := range []int{9, 79, 300} {
		t.Run(fmt.Sprint(daemons), func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, uint64(daemons)))
			reads := 0
			const cycles = 200
			for range cycles {
				first := 2.0
				draws := make([]float64, daemons)
				for i := range draws {
					draws[i] = jitter(random.Float64(), daemons)
					first = min(first, draws[i])
				}
				for _, d := range draws {
					if (d-first)*jitterShare*bound.Seconds() < 0.010 {
						reads++
					}
				}
			}
			NewWithT(t).Expect(float64(reads) / cycles).To(BeNumerically("<", 8))
		})
	}
}

// nextReadTime returns when the records must be read again.
func nextReadTime(f *freshness, jitter float64) time.Time {
	at, _ := f.nextRead(bound, jitter)
	return at
}

// completeList returns a complete list.
func completeList(asOf int, records ...store.Record) RecordSet {
	return RecordSet{AsOf: store.Version(asOf), Buckets: allBuckets(), Records: records}
}
