package steering

import (
	"encoding/binary"
	"math"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	. "github.com/onsi/gomega"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
)

// rendezvous assigns each bucket to the target with the highest weighted score. It is the table with
// which Maglev is compared.
func rendezvous(targets []target) []uint16 {
	buckets := make([]uint16, BucketCount)
	for b := range buckets {
		best := math.Inf(-1)
		for i, t := range targets {
			var key [8]byte
			binary.BigEndian.PutUint32(key[:], t.upstream)
			binary.BigEndian.PutUint32(key[4:], uint32(b))
			x := (float64(xxhash.Sum64(key[:])>>11) + 0.5) / (1 << 53)
			if score := -float64(t.weight) / math.Log(x); score > best {
				best, buckets[b] = score, uint16(i)
			}
		}
	}
	return buckets
}

func equalTargets(n int) (targets []target) {
	for i := range n {
		targets = append(targets, target{uint32(i + 1), 1})
	}
	return targets
}

// spread returns the ratio of the largest number of buckets of a target to the mean.
func spread(buckets []uint16, n int) float64 {
	counts, largest := make([]int, n), 0
	for _, t := range buckets {
		counts[t]++
		largest = max(largest, counts[t])
	}
	return float64(largest) * float64(n) / float64(len(buckets))
}

// movedAtDrain returns the share of all buckets that change their upstream at a drain although they
// were not on the drained upstream.
func movedAtDrain(build func([]target) []uint16, n int) float64 {
	targets := equalTargets(n)
	drained := n / 2
	after := append(append([]target{}, targets[:drained]...), targets[drained+1:]...)
	before, now := build(targets), build(after)
	moved := 0
	for b := range before {
		if int(before[b]) != drained && targets[before[b]].upstream != after[now[b]].upstream {
			moved++
		}
	}
	return float64(moved) / BucketCount
}

// Guards against a table that is uneven, ignores weights, or reassigns more than a few buckets of
// other upstreams at a drain.
func TestMaglevSpreadAndMoves(t *testing.T) {
	g := NewWithT(t)
	for _, n := range []int{15, 100} { // BenchmarkTableChange reports 1,000 too.
		m, r := maglev(equalTargets(n)), rendezvous(equalTargets(n))
		t.Logf("%4d upstreams: largest over mean maglev %.4f rendezvous %.4f; moved at a drain beyond its own maglev %.2f%% rendezvous %.2f%%",
			n, spread(m, n), spread(r, n), 100*movedAtDrain(maglev, n), 100*movedAtDrain(rendezvous, n))
		g.Expect(spread(m, n)).To(BeNumerically("<", 1.05))
		g.Expect(spread(m, n)).To(BeNumerically("<", spread(r, n)))
		g.Expect(movedAtDrain(maglev, n)).To(BeNumerically("<", 0.05))
		g.Expect(movedAtDrain(rendezvous, n)).To(BeZero())
	}
	weighted := maglev([]target{{1, 1}, {2, 3}, {3, 6}})
	counts := [3]int{}
	for _, i := range weighted {
		counts[i]++
	}
	g.Expect(counts[0]).To(BeNumerically("~", BucketCount/10, 2))
	g.Expect(counts[2]).To(BeNumerically("~", BucketCount*6/10, 2))
	g.Expect(maglev(nil)).To(BeNil())
}

// Guards against daemons that date a bucket differently because one has received each generation and
// another one only the last, and against a recently changed bucket that counts as stable.
func TestBucketDates(t *testing.T) {
	g := NewWithT(t)
	s := &pb.Service{TableGeneration: 1, TableSinceMs: 1_000_000}
	for i := range uint32(15) {
		s.Upstreams = append(s.Upstreams, testUpstream(i+1))
	}
	first := newTable(s, nil)
	incremental := first
	for step := range int64(20) {
		version := &pb.TableVersion{Generation: s.TableGeneration, SinceMs: s.TableSinceMs}
		for _, u := range activeTargets(s) {
			version.Entries = append(version.Entries, &pb.TableEntry{Upstream: u.upstream, Weight: u.weight})
		}
		s = cloneService(s)
		s.Previous = append([]*pb.TableVersion{version}, s.Previous[:min(len(s.Previous), maxTableHistory-1)]...)
		s.TableGeneration, s.TableSinceMs = s.TableGeneration+1, s.TableSinceMs+100_000
		u := s.Upstreams[(step*7)%15]
		u.State = pb.DeclaredState_DECLARED_STATE_DRAINING + pb.DeclaredState_DECLARED_STATE_ACTIVE - max(1, u.State)
		incremental = newTable(s, incremental)
		fromHistory := newTable(s, nil)
		if step < maxTableHistory {
			g.Expect(fromHistory.since).To(Equal(incremental.since))
		}
		g.Expect(fromHistory.buckets).To(Equal(incremental.buckets))
		changed, datedEarlier, wrong := 0, 0, 0
		for b := range uint32(BucketCount) {
			now, _ := incremental.upstream(b)
			old, _ := first.upstream(b)
			if step == 0 && now != old {
				changed++
				if incremental.isStable(b, s.TableSinceMs+609_000, 10*time.Minute) ||
					!incremental.isStable(b, s.TableSinceMs+611_000, 10*time.Minute) {
					wrong++
				}
			}
			if fromHistory.since[b] < incremental.since[b] {
				datedEarlier++
			}
		}
		g.Expect([]int{wrong, datedEarlier}).To(Equal([]int{0, 0}), "dated neither wrongly nor too early")
		if step == 0 {
			g.Expect(changed).To(BeNumerically("~", BucketCount/15, 500))
		}
	}
}
