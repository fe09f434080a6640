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

var start = time.Unix(1_700_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func record(name string, version int) store.Record {
	return store.Record{Name: name, Version: store.Version(version)}
}

// Guards against copies that differ and have one digest, and against one digest that depends on
// the way by which a copy came about.
func TestDigest(t *testing.T) {
	g := NewWithT(t)
	listed, watched := newMirror(), newMirror()
	listed.merge(list(5, record("a", 1), record("b", 5)), at(0))
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

// Guards against a watch that lags and takes a record back that a list has shown already.
func TestOlderChangeIsIgnored(t *testing.T) {
	g := NewWithT(t)
	m := newMirror()
	m.merge(list(8, record("a", 7)), at(0))
	g.Expect(m.apply(store.Changes{Changes: []store.Change{{Record: record("a", 6)}}, AsOf: 6}, at(1))).To(BeEmpty())
	g.Expect(m.apply(store.Changes{Changes: []store.Change{{Record: record("a", 6), Deleted: true}}, AsOf: 6}, at(1))).To(BeEmpty(), "it was written again since")
	g.Expect(m.records["a"].Version).To(Equal(store.Version(7)))
	g.Expect(m.asOf).To(Equal(store.Version(8)))
}

// Guards against a copy that counts as current because a watch showed nothing (CONFIG was broken
// while the store dropped its history): only lists and the claims of daemons with the same
// records make it younger, and it is read again in good time.
func TestOnlyProofsMakeACopyYounger(t *testing.T) {
	g := NewWithT(t)
	m, b := newMirror(), &belief{}
	m.merge(list(1, record("a", 1)), at(0))
	b.tookList(at(0))
	m.apply(store.Changes{AsOf: 9}, at(500))
	g.Expect(due(b, 1)).To(Equal(at(1800)))
	b.tookClaim(Claim{Digest: m.digest(), AsOf: 9, ConfirmedAt: at(1000)}, m)
	g.Expect(due(b, 0)).To(Equal(at(2200)))
	b.tookClaim(Claim{Digest: m.digest(), AsOf: 9, ConfirmedAt: at(500)}, m)
	g.Expect(b.confirmedAt).To(Equal(at(1000)), "an older claim says nothing")
}

// Guards against a daemon that lists because its watch began before the store's history: one with
// the same records knows from where to go on.
func TestClaimAdvancesTheVersion(t *testing.T) {
	g := NewWithT(t)
	m, b := newMirror(), &belief{}
	m.merge(list(5, record("a", 5)), at(0))
	b.tookList(at(0))
	b.tookClaim(Claim{Digest: m.digest(), AsOf: 90, ConfirmedAt: at(100)}, m)
	g.Expect(m.asOf).To(Equal(store.Version(90)))
	b.tookClaim(Claim{Digest: m.digest() + 1, AsOf: 95, ConfirmedAt: at(200)}, m)
	g.Expect(m.asOf).To(Equal(store.Version(90)), "other records")
}

// Guards against a fleet that overruns a store that is down, and a small one that notices its
// return late.
//
// The pause begins at a quarter of its longest (1 s, 2.56 s, 4 s), doubles, and is varied by half to
// either side, so that the calls of 5 s lie between those with the longest and the shortest pauses.
func TestPausesOfFailedCalls(t *testing.T) {
	for daemons, want := range map[int]struct{ least, most int }{0: {5, 12}, 64: {3, 6}, 7900: {3, 4}} {
		g := NewWithT(t)
		b, calls := &breaker{}, 0
		g.Expect(b.answered(at(0))).To(BeTrue())
		for ms := 1; ms <= 5000; ms++ {
			if b.allows(at(ms)) {
				calls++
				g.Expect(b.failed(at(ms), daemons)).To(Equal(calls == 1))
				g.Expect(b.answering()).To(BeZero())
			}
		}
		g.Expect(calls).To(And(BeNumerically(">=", want.least), BeNumerically("<=", want.most)), "%d daemons in 5 s", daemons)
		g.Expect(b.answered(at(6000))).To(BeTrue())
		g.Expect(b.allows(at(6000))).To(BeTrue())
		g.Expect(b.answering()).To(Equal(at(6000)))
	}
}

// Guards against a daemon that stays behind although another one knows more, against one that asks
// others for what it knows already, and against news that wait in one daemon until all have read the
// store (the calls of 90 daemons doubled).
func TestClaimOfOtherRecords(t *testing.T) {
	g := NewWithT(t)
	m, b := newMirror(), &belief{}
	m.merge(list(5, record("a", 5)), at(0))
	b.tookList(at(0))
	other := Claim{Digest: 1, AsOf: 4, From: netip.MustParseAddr("127.0.0.2")}
	other.ConfirmedAt = at(200)
	b.tookClaim(other, m)
	g.Expect(due(b, 0)).To(Equal(at(1200)), "the same list, heard later")
	other.ConfirmedAt = at(700)
	b.tookClaim(other, m)
	g.Expect(due(b, 0)).To(Equal(at(700)), "at once, even if the copy is ahead in some records")
	b.tookList(at(650))
	g.Expect(due(b, 0)).To(Equal(at(1850)), "a list has shown it")
	b.tookClaim(Claim{Digest: m.digest(), ConfirmedAt: at(900)}, m)
	other.ConfirmedAt = at(800)
	b.tookClaim(other, m)
	g.Expect(due(b, 0)).To(Equal(at(2100)), "the other one is behind")
}

// Guards against a reset of a flow whose upstream was registered just before: a claim that waited on
// its way makes a list look later than it was.
func TestClaimIsNoProofOfTheLastMoment(t *testing.T) {
	g := NewWithT(t)
	m, b := newMirror(), &belief{}
	b.tookClaim(Claim{Digest: m.digest(), ConfirmedAt: at(1000)}, m)
	g.Expect(b.wasCompleteAfter(at(900))).To(BeFalse())
	g.Expect(b.wasCompleteAfter(at(700))).To(BeTrue())
	b.listedAt = at(950)
	g.Expect(b.wasCompleteAfter(at(900))).To(BeTrue(), "its own list")
	g.Expect(b.wasCompleteAfter(at(950))).To(BeFalse())
}

// Guards against a daemon that never proves what it began with, when no other daemon answers.
func TestUnprovenCopyIsReadSoon(t *testing.T) {
	g := NewWithT(t)
	b := &belief{unprovenSince: at(0)}
	g.Expect(due(b, 1)).To(Equal(at(600)))
	b.tookClaim(Claim{Digest: 1, ConfirmedAt: at(10), From: netip.MustParseAddr("127.0.0.2")}, newMirror())
	g.Expect(due(b, 1)).To(Equal(at(10)))
}

// Guards against a fleet whose daemons all read at once: the calls of the store must grow more
// slowly than the fleet. A daemon that reads has told the others after 10 ms.
func TestFewDaemonsRead(t *testing.T) {
	for _, daemons := range []int{9, 79, 300} {
		t.Run(fmt.Sprint(daemons), func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, uint64(daemons)))
			reads := 0
			const cycles = 200
			for range cycles {
				first := 2.0
				draws := make([]float64, daemons)
				for i := range draws {
					draws[i] = spread(random.Float64(), daemons)
					first = min(first, draws[i])
				}
				for _, d := range draws {
					if (d-first)*spreadShare*bound.Seconds() < 0.010 {
						reads++
					}
				}
			}
			NewWithT(t).Expect(float64(reads) / cycles).To(BeNumerically("<", 8))
		})
	}
}

// due returns when the copy is to be read again.
func due(b *belief, spread float64) time.Time {
	at, _ := b.readAt(bound, spread)
	return at
}

// list returns a complete list.
func list(asOf int, records ...store.Record) Part {
	return Part{AsOf: store.Version(asOf), Buckets: allBuckets(), Records: records}
}
