package request_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/caller"
	"github.com/fulmarfield/fulmarfield/request"
)

// Guards against a few half-open flows that occupy all slots of an upstream, so that requests on
// other flows are refused. The test has the proportions of a load test with separate processes: 42
// half-open flows on 4 upstreams of 2 slots, each with about half of its capacity in use.
func TestHalfOpenFlowsDoNotStarveOthers(t *testing.T) {
	const (
		halfOpenFlows, liveFlows  = 10, 20
		rounds                    = 62
		betweenRequests, deadline = 160 * time.Millisecond, 2 * time.Second
		halfOpenEvery             = 10
	)
	simulate(t, 1, request.Tuning{}, func(h *harness) {
		u := h.upstreams[1]
		u.serviceTime = 8 * time.Millisecond
		var halfOpen, live []*caller.Flow
		for range halfOpenFlows {
			halfOpen = append(halfOpen, h.openFlow(1))
		}
		for range liveFlows {
			live = append(live, h.openFlow(1))
		}
		for _, f := range append(append([]*caller.Flow(nil), halfOpen...), live...) {
			h.g.Expect((<-h.startRequest(f, "first", false, time.Second)).Status).To(Equal(ok))
		}
		u.update(func() {
			for _, f := range halfOpen {
				u.mutedFlows[f.Key()] = true
			}
		})
		start := time.Now()
		var answers, lost []chan result
		for i := range rounds {
			for j := range liveFlows {
				if j < halfOpenFlows && (i*halfOpenFlows+j)%halfOpenEvery == i%halfOpenEvery {
					lost = append(lost, h.startRequest(halfOpen[j], "lost", false, deadline))
				}
				answers = append(answers, h.startRequest(live[j], "x", false, deadline))
				time.Sleep(betweenRequests / liveFlows)
			}
		}
		refused, longest := map[pb.Reason]int{}, time.Duration(0)
		for _, c := range answers {
			r := <-c
			if longest = max(longest, r.elapsed); r.Status != ok {
				refused[r.Reason]++
			}
		}
		for _, c := range lost {
			h.g.Expect((<-c).Status).NotTo(Equal(ok))
		}
		total := 0
		for _, n := range refused {
			total += n
		}
		t.Logf("of %d requests refused %v, longest %v", len(answers), refused, longest)
		h.g.Expect(total).To(BeNumerically("<=", len(answers)/100))
		time.Sleep(time.Until(start.Add(10 * time.Second)))
		for _, f := range halfOpen {
			broken, reason := f.Broken()
			h.g.Expect(broken).To(BeTrue(), "within 10 s")
			h.g.Expect(reason).To(Equal(pb.Reason_REASON_HALF_OPEN))
		}
		h.g.Expect(h.packetsToOwners).To(HaveLen(halfOpenFlows), "the owner of each reset flow is notified")
		h.g.Expect(h.packetsOfKind(pb.Kind_KIND_KEEPALIVE_ACK)).To(BeEmpty(), "probe acknowledgements are not forwarded")
		for _, f := range live {
			broken, _ := f.Broken()
			h.g.Expect(broken).To(BeFalse())
		}
	})
}

// Guards against reassigning the slots of an upstream that does not respond on any flow: the
// requests in the reassigned slots would end as outcome unknown although they have not run.
func TestFrozenUpstreamKeepsItsSlots(t *testing.T) {
	simulate(t, 1, request.Tuning{}, func(h *harness) {
		u := h.upstreams[1]
		var flows []*caller.Flow
		for range 6 {
			f := h.openFlow(1)
			h.g.Expect((<-h.startRequest(f, "works", false, time.Second)).Status).To(Equal(ok))
			flows = append(flows, f)
		}
		u.update(func() { u.silent = true })
		var running, waiting []chan result
		for i, f := range flows {
			c := h.startRequest(f, "x", false, 3*time.Second)
			if i < u.slots {
				running = append(running, c)
			} else {
				waiting = append(waiting, c)
			}
			time.Sleep(5 * time.Millisecond)
		}
		h.g.Expect(countStatuses(running)).To(Equal(map[pb.Status]int{unknown: len(running)}))
		h.g.Expect(countStatuses(waiting)).To(Equal(map[pb.Status]int{notRun: len(waiting)}))
		for _, f := range flows {
			broken, _ := f.Broken()
			h.g.Expect(broken).To(BeFalse())
		}
	})
}

// Guards against reassigning the slot of a request that only runs long while others wait, and
// against requests of its flow that are held back forever although a probe was answered.
func TestLongRequestsKeepTheirSlots(t *testing.T) {
	simulate(t, 1, request.Tuning{}, func(h *harness) {
		u := h.upstreams[1]
		long, other := h.openFlow(1), h.openFlow(1)
		h.g.Expect(countStatuses(h.startRequests(long, 4, false, time.Second))).To(Equal(map[pb.Status]int{ok: 4}))
		u.update(func() { u.serviceTime = 4 * time.Second })
		running := h.startRequests(long, 2, false, 10*time.Second)
		time.Sleep(10 * time.Millisecond)
		u.update(func() { u.serviceTime, u.peak = 50*time.Millisecond, 0 })
		waiting := append(h.startRequests(other, 2, false, 10*time.Second), h.startRequests(long, 2, false, 10*time.Second)...)
		h.g.Expect(countStatuses(append(running, waiting...))).To(Equal(map[pb.Status]int{ok: 6}))
		h.g.Expect(u.peak).To(BeNumerically("<=", 2))
		h.g.Expect(h.holder(1).counters.Get("request.slot_lent")).To(BeZero())
	})
}

// Guards against a held-back request that waits for the next regular probe of its flow, which can
// be 2 s away, although the upstream responds on the flow again.
func TestHeldBackRequestResumesAtOnce(t *testing.T) {
	for wait := 100 * time.Millisecond; wait < 3*time.Second; wait += 300 * time.Millisecond {
		simulate(t, 1, request.Tuning{}, func(h *harness) {
			u := h.upstreams[1]
			f, other := h.openFlow(1), h.openFlow(1)
			h.g.Expect((<-h.startRequest(f, "works", false, time.Second)).Status).To(Equal(ok))
			u.update(func() { u.mutedFlows[f.Key()] = true })
			lost := h.startRequest(f, "lost", false, time.Second)
			for end := time.Now().Add(time.Second + wait); time.Now().Before(end); {
				h.g.Expect((<-h.startRequest(other, "x", false, time.Second)).Status).To(Equal(ok))
			}
			h.g.Expect((<-lost).Status).NotTo(Equal(notRun))
			u.update(func() { u.mutedFlows[f.Key()] = false })
			r := <-h.startRequest(f, "again", false, time.Second)
			h.g.Expect(r.Status).To(Equal(ok), "after %v", wait)
			h.g.Expect(r.elapsed).To(BeNumerically("<", 300*time.Millisecond), "after %v", wait)
		})
	}
}
