package request_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarfield/fulmarfield/caller"
	"github.com/fulmarfield/fulmarfield/request"
)

// offer sends requests at a share of the capacity of 3 upstreams with 2 slots of 50 ms (120
// requests a second) for 10 s, and returns the answers in time as a share of the capacity. An
// upstream refuses a request that finds its slots in use, as work of others makes it at times.
func offer(t *testing.T, percent int, tuning request.Tuning) (goodput float64, wasted int) {
	synctest.Test(t, func(t *testing.T) {
		simulateHere(NewWithT(t), 3, 7, tuning, func(w *world) {
			const capacity, seconds = 120, 10
			var flows []*caller.Flow
			for i := range 60 {
				flows = append(flows, w.flow(uint32(i%3)+1))
			}
			for _, u := range w.upstreams {
				u.set(func() { u.refuse = func() bool { return w.chance(0.02) } })
			}
			var list []chan result
			total := capacity * seconds * percent / 100
			for i := range total {
				list = append(list, w.ask(flows[i%60], "x"+string(rune(i)), i%2 == 0, 500*time.Millisecond))
				time.Sleep(time.Duration(float64(seconds*time.Second) / float64(total) * 2 * w.float()))
			}
			good := 0
			for _, c := range list {
				if r := <-c; r.Status == ok && r.at <= 500*time.Millisecond {
					good++
				}
			}
			for _, u := range w.upstreams {
				u.set(func() { wasted += len(u.runs) })
			}
			wasted -= good
			goodput = 100 * float64(good) / (capacity * seconds)
		})
	})
	return goodput, wasted
}

// Guards against congestion collapse: with the bounded queue and the retry budget, goodput
// must not fall when the load rises above the capacity.
func TestGoodput(t *testing.T) {
	g := NewWithT(t)
	best := 0.0
	t.Log("offered   bounded queue and budget   neither")
	for _, percent := range []int{50, 75, 100, 125, 150, 200, 300} {
		with, wasted := offer(t, percent, request.Tuning{})
		without, lost := offer(t, percent, request.Tuning{NoQueueDeadline: true, NoRetryBudget: true})
		t.Logf("%4d %%   %5.1f %% (%4d late)   %5.1f %% (%4d late)", percent, with, wasted, without, lost)
		best = max(best, with)
		g.Expect(with).To(BeNumerically(">", 0.9*best))
		if percent >= 150 {
			g.Expect(without).To(BeNumerically("<", 0.5*with), "the mechanism makes the difference")
		}
	}
}
