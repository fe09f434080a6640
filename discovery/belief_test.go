package discovery

import (
	"fmt"
	"math/rand/v2"
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
	listed.replace(store.Listing{Records: []store.Record{record("a", 1), record("b", 5)}, AsOf: 5})
	for i, c := range []store.Change{
		{Record: record("b", 2)}, {Record: record("a", 1)}, {Record: record("c", 3)},
		{Record: record("c", 4), Deleted: true}, {Record: record("b", 5)},
	} {
		watched.apply(store.Changes{Changes: []store.Change{c}, AsOf: store.Version(i + 1)})
	}
	g.Expect(watched.digest).To(Equal(listed.digest))
	watched.apply(store.Changes{Changes: []store.Change{{Record: record("b", 6)}}, AsOf: 6})
	g.Expect(watched.digest).NotTo(Equal(listed.digest))
}

// Guards against a watch that lags and takes a record back that a list has shown already.
func TestOlderChangeIsIgnored(t *testing.T) {
	g := NewWithT(t)
	m := newMirror()
	m.replace(store.Listing{Records: []store.Record{record("a", 7)}, AsOf: 8})
	g.Expect(m.apply(store.Changes{Changes: []store.Change{{Record: record("a", 6)}}, AsOf: 6})).To(BeEmpty())
	g.Expect(m.apply(store.Changes{Changes: []store.Change{{Record: record("a", 6), Deleted: true}}, AsOf: 6})).To(BeEmpty(), "it was written again since")
	g.Expect(m.records["a"].Version).To(Equal(store.Version(7)))
	g.Expect(m.asOf).To(Equal(store.Version(8)))
}

// Guards against a copy that counts as current because a watch showed nothing (CONFIG was broken
// while the store dropped its history): only lists and the claims of daemons with the same
// records make it younger, and it is read again in good time.
func TestOnlyProofsMakeACopyYounger(t *testing.T) {
	g := NewWithT(t)
	m, b := newMirror(), &belief{}
	m.replace(store.Listing{Records: []store.Record{record("a", 1)}, AsOf: 1})
	b.tookList(at(0), true)
	m.apply(store.Changes{AsOf: 9})
	g.Expect(b.readAt(bound, 1)).To(Equal(at(1800)))
	b.tookClaim(Claim{Digest: m.digest, AsOf: 9, ConfirmedAt: at(1000)}, m, at(1005))
	g.Expect(b.readAt(bound, 0)).To(Equal(at(2200)))
	b.tookClaim(Claim{Digest: m.digest, AsOf: 9, ConfirmedAt: at(500)}, m, at(1500))
	g.Expect(b.confirmedAt).To(Equal(at(1000)), "an older claim says nothing")
}

// Guards against a daemon that lists because its watch began before the store's history: one with
// the same records knows from where to go on.
func TestClaimAdvancesTheVersion(t *testing.T) {
	g := NewWithT(t)
	m, b := newMirror(), &belief{}
	m.replace(store.Listing{Records: []store.Record{record("a", 5)}, AsOf: 5})
	b.tookList(at(0), true)
	b.tookClaim(Claim{Digest: m.digest, AsOf: 90, ConfirmedAt: at(100)}, m, at(100))
	g.Expect(m.asOf).To(Equal(store.Version(90)))
	b.tookClaim(Claim{Digest: m.digest + 1, AsOf: 95, ConfirmedAt: at(200)}, m, at(200))
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

// Guards against a daemon that stays behind although another one knows more, against one that
// reads at once what its watch is about to show, and against one that follows an older copy.
func TestClaimOfOtherRecords(t *testing.T) {
	g := NewWithT(t)
	m, b := newMirror(), &belief{}
	m.replace(store.Listing{Records: []store.Record{record("a", 5)}, AsOf: 5})
	b.tookList(at(0), true)
	b.tookClaim(Claim{Digest: 1, AsOf: 4, ConfirmedAt: at(100)}, m, at(100))
	g.Expect(b.readAt(bound, 0)).To(Equal(at(1200)), "the other one is behind")
	b.tookClaim(Claim{Digest: 1, AsOf: 6, ConfirmedAt: at(100)}, m, at(100))
	g.Expect(b.readAt(bound, 0)).To(Equal(at(300)))
	b.changed()
	g.Expect(b.readAt(bound, 0)).To(Equal(at(1200)), "the watch has shown it")
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
