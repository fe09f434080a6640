package request_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarfield/fulmarfield/caller"
	"github.com/fulmarfield/fulmarfield/request"
)

// measureGoodput sends requests for 10 s at a percentage of the capacity of 3 upstreams, each with
// 2 slots and a service time of 50 ms (120 requests a second in all). It returns the answers in
// time as a percentage of the capacity, and the number of runs without an answer in time. The
// upstreams refuse 2 % of the requests, as if work from outside occupied their slots at times.
func measureGoodput(t *testing.T, percent int, tuning request.Tuning) (goodput float64, wasted int) {
	synctest.Test(t, func(t *testing.T) {
		runSimulation(NewWithT(t), 3, 7, tuning, func(h *harness) {
			const capacity, seconds = 120, 10
			var flows []*caller.Flow
			for i := range 60 {
				flows = append(flows, h.openFlow(uint32(i%3)+1))
			}
			for _, u := range h.upstreams {
				u.update(func() { u.refuse = func() bool { return h.randomBool(0.02) } })
			}
			var list []chan result
			total := capacity * seconds * percent / 100
			for i := range total {
				list = append(list, h.startRequest(flows[i%60], "x"+string(rune(i)), i%2 == 0, 500*time.Millisecond))
				time.Sleep(time.Duration(float64(seconds*time.Second) / float64(total) * 2 * h.randomFloat()))
			}
			good := 0
			for _, c := range list {
				if r := <-c; r.Status == ok && r.elapsed <= 500*time.Millisecond {
					good++
				}
			}
			for _, u := range h.upstreams {
				u.update(func() { wasted += len(u.runs) })
			}
			wasted -= good
			goodput = 100 * float64(good) / (capacity * seconds)
		})
	})
	return goodput, wasted
}

// Guards against congestion collapse: with the bounded queue and the retry budget, the goodput
// must not decrease when the load exceeds the capacity.
func TestGoodput(t *testing.T) {
	g := NewWithT(t)
	best := 0.0
	t.Log("offered   bounded queue and budget   neither")
	for _, percent := range []int{50, 75, 100, 125, 150, 200, 300} {
		bounded, boundedLate := measureGoodput(t, percent, request.Tuning{})
		unbounded, unboundedLate := measureGoodput(t, percent, request.Tuning{NoQueueDeadline: true, NoRetryBudget: true})
		t.Logf("%4d %%   %5.1f %% (%4d late)   %5.1f %% (%4d late)", percent, bounded, boundedLate, unbounded, unboundedLate)
		best = max(best, bounded)
		g.Expect(bounded).To(BeNumerically(">", 0.9*best))
		if percent >= 150 {
			g.Expect(unbounded).To(BeNumerically("<", 0.5*bounded), "without the mechanisms the goodput must collapse")
		}
	}
}
