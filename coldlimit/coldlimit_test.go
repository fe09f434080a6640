package coldlimit_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarfield/fulmarfield/coldlimit"
)

var start = time.Unix(1_700_000_000, 0)

// newFleet returns the set of a daemon among daemons of which some do not run any more.
func newFleet(self, running, departed int) coldlimit.Fleet {
	f := coldlimit.Fleet{IsKnown: true, Version: uint64(1 + departed), Self: uint64(self)}
	for other := range running + departed {
		if other != self {
			f.Others = append(f.Others, uint64(other))
		}
	}
	return f
}

// mostInAnySecond returns the highest number of times within any sliding second. The times are in order.
func mostInAnySecond(at []time.Duration) int {
	most, first := 0, 0
	for i := range at {
		for at[i]-at[first] >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Guards against a limit that overflows, so that no upstream or each one gets packets, with the largest figures of an
// operator.
func TestLargestFigures(t *testing.T) {
	for _, o := range []coldlimit.Options{
		{Overage: math.MaxFloat64}, {Slack: math.MaxFloat64}, {Overage: math.MaxFloat64, Slack: math.MaxFloat64},
	} {
		for _, f := range []coldlimit.Fleet{newFleet(0, 1, 0), newFleet(0, 300, 3), {IsKnown: true, Version: 1, Total: 7900}} {
			g := NewWithT(t)
			o.Fleet = func() coldlimit.Fleet { return f }
			l := coldlimit.New(o)
			for i := range 1000 {
				now := start.Add(time.Duration(i) * time.Millisecond)
				g.Expect(l.Allows(7, 20, now)).To(BeTrue())
				l.RecordPlacement(7, now)
			}
		}
	}
}

// Guards against margins that change without an effect on the limit.
func TestChangedMargins(t *testing.T) {
	g, fleet := NewWithT(t), newFleet(0, 1, 0)
	l := coldlimit.New(coldlimit.Options{Fleet: func() coldlimit.Fleet { return fleet }})
	g.Expect(l.Allows(7, 20, start)).To(BeFalse())
	l.SetMargins(0, 1.5)
	g.Expect(l.Allows(7, 20, start)).To(BeTrue())
	l.RecordPlacement(7, start)
	g.Expect(l.Allows(7, 20, start)).To(BeFalse())
	l.SetMargins(0.1, 0)
	g.Expect(l.Allows(7, 20, start)).To(BeTrue())
	l.RecordPlacement(7, start)
	g.Expect(l.Allows(7, 20, start)).To(BeFalse())
}

// Guards against daemons that send more than the limit together, while each has as many callers as it takes: the sets of
// daemons differ, daemons restart without state, and packets of one second arrive in the next.
func TestSumKeepsToLimit(t *testing.T) {
	const (
		seconds, upstreams = 12, 12
		step               = 10 * time.Millisecond
		restartTime        = 6 * time.Second
		overage, slack     = 1.5, 5
	)
	for _, daemons := range []int{6, 77, 300} {
		for _, rate := range []float64{0.7, 2, 10, 400} {
			t.Run(fmt.Sprintf("%d daemons, %g/s", daemons, rate), func(t *testing.T) {
				g, random := NewWithT(t), rand.New(rand.NewPCG(7, uint64(daemons)))
				limiters, fleets := make([]*coldlimit.Limiter, daemons), make([]coldlimit.Fleet, daemons)
				startDaemon := func(i int) {
					limiters[i] = coldlimit.New(coldlimit.Options{Overage: overage, Slack: slack,
						Fleet: func() coldlimit.Fleet { return fleets[i] }})
				}
				for i := range daemons {
					fleets[i] = newFleet(i, daemons, random.IntN(4))
					if daemons == 300 && i%3 > 0 {
						fleets[i] = coldlimit.Fleet{IsKnown: true, Version: 1, Self: uint64(i), Total: 300 * (1 + 0.3*random.Float64())}
					}
					startDaemon(i)
				}
				restartedAt := map[int]time.Time{}
				arrivals := make([][]int, upstreams)
				for u := range arrivals {
					arrivals[u] = make([]int, (seconds+1)*int(time.Second/step))
				}
				for tick := range seconds * int(time.Second/step) {
					now := start.Add(time.Duration(tick) * step)
					if tick%400 == 200 {
						i := random.IntN(daemons)
						startDaemon(i)
						restartedAt[i], fleets[i].IsKnown = now, false
					}
					for i, l := range limiters {
						fleets[i].IsKnown = now.Sub(restartedAt[i]) >= restartTime
						for u := range arrivals {
							for l.Allows(uint64(u), rate, now) {
								l.RecordPlacement(uint64(u), now)
								arrivals[u][tick+random.IntN(24)]++
							}
						}
					}
				}
				limit, most, total := int(rate*overage+slack), 0, 0
				for _, counts := range arrivals {
					var at []time.Duration
					for tick, n := range counts {
						for range n {
							at = append(at, time.Duration(tick)*step)
						}
					}
					most, total = max(most, mostInAnySecond(at)), total+len(at)
				}
				mean := float64(total) / seconds / upstreams
				t.Logf("limit %d, most in any second %d, mean %.1f", limit, most, mean)
				g.Expect(most).To(BeNumerically("<=", limit))
				g.Expect(mean).To(BeNumerically(">", float64(limit)/4), "cold upstreams get warm by the requests that they receive")
			})
		}
	}
}

// Guards against a share that rises when this daemon hears of another one: then the shares of daemons with different
// sets could exceed the limit together.
func TestShareFallsWithTheFleet(t *testing.T) {
	g := NewWithT(t)
	for upstream := range uint64(50) {
		for _, limit := range []float64{1, 7, 20, 100} {
			previous := math.MaxInt
			for daemons := 1; daemons <= 90; daemons++ {
				l := coldlimit.New(coldlimit.Options{Overage: 1, Fleet: func() coldlimit.Fleet { return newFleet(0, daemons, 0) }})
				share := 0
				for ; l.Allows(upstream, limit, start); share++ {
					l.RecordPlacement(upstream, start)
				}
				g.Expect(share).To(BeNumerically("<=", previous))
				previous = share
			}
		}
	}
}

// Guards against a rate that is no limit and stops all placements, and against placements on a limited upstream while the
// fleet is not known.
func TestRates(t *testing.T) {
	g := NewWithT(t)
	fleet := coldlimit.Fleet{Self: 1, Version: 1}
	l := coldlimit.New(coldlimit.Options{Overage: 1, Fleet: func() coldlimit.Fleet { return fleet }})
	for _, rate := range []float64{0, -1, math.NaN(), math.Inf(1), math.Inf(-1), 1e6 + 1} {
		g.Expect(l.Allows(1, rate, start)).To(BeTrue())
	}
	g.Expect(l.Allows(1, 5, start)).To(BeFalse(), "the fleet is not known")
	fleet.IsKnown = true
	g.Expect(l.Allows(1, 5, start.Add(time.Millisecond))).To(BeTrue())
	g.Expect(l.Allows(1, 1e6, start.Add(time.Millisecond))).To(BeTrue())
	g.Expect(l.Allows(1, 0.5, start.Add(time.Millisecond))).To(BeFalse(), "a packet would exceed the limit")
}
