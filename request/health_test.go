package request_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/request"
	"github.com/fulmarfield/fulmarfield/wire"
)

// Guards against false load reports of an upstream that lead to more requests than its slots or to
// none at all.
func TestFalseLoadReports(t *testing.T) {
	for name, loadReport := range map[string]*pb.LoadReport{
		"idle": {InProgress: 0, Slots: 100},
		"busy": {InProgress: 1000, Slots: 2},
	} {
		simulate(t, 1, request.Tuning{}, func(h *harness) {
			u := h.upstreams[1]
			u.loadReport = loadReport
			f := h.openFlow(1)
			h.g.Expect(countStatuses(h.startRequests(f, 20, false, 10*time.Second))).To(Equal(map[pb.Status]int{ok: 20}), name)
			h.g.Expect(u.peak).To(BeNumerically("<=", 2), name)
		})
	}
}

// Guards against an upstream that stops responding and keeps its state and its occupied slots
// forever, and against an upstream that responds again and gets requests for all its slots at once.
func TestSilentUpstream(t *testing.T) {
	simulate(t, 1, request.Tuning{}, func(h *harness) {
		u := h.upstreams[1]
		u.slots, u.serviceTime = 8, 200*time.Millisecond
		h.editConfiguration(func(c *pb.Configuration) { c.Services[0].Upstreams[0].Slots = 8 })
		f := h.openFlow(1)
		h.g.Expect((<-h.startRequest(f, "first", false, time.Second)).Status).To(Equal(ok))
		u.update(func() { u.silent = true })
		list := h.startRequests(f, 8, false, 6*time.Second)
		time.Sleep(5 * time.Second)
		h.g.Expect(h.holder(1).Status(1).GetState()).To(Equal(pb.UpstreamState_UPSTREAM_STATE_SILENT))
		h.g.Expect(countStatuses(list)).To(Equal(map[pb.Status]int{unknown: 8}))
		time.Sleep(2 * time.Second)
		h.g.Expect(h.holder(1).Status(1).GetInProgress()).To(BeZero())
		u.update(func() { u.silent, u.peak, u.running = false, 0, map[runKey]bool{} })
		h.g.Expect((<-h.startRequest(f, "again", false, time.Second)).Status).To(Equal(ok))
		h.g.Expect(h.holder(1).Status(1).GetState()).To(Equal(pb.UpstreamState_UPSTREAM_STATE_COLD))
		list = h.startRequests(f, 8, false, 10*time.Second)
		time.Sleep(100 * time.Millisecond)
		u.update(func() { h.g.Expect(u.peak).To(BeNumerically("~", 2, 1), "a quarter of the slots at first") })
		h.g.Expect(countStatuses(list)[ok]).To(Equal(8))
		time.Sleep(11 * time.Second)
		h.g.Expect(h.holder(1).Status(1).GetState()).To(Equal(pb.UpstreamState_UPSTREAM_STATE_OK))
		var states []pb.UpstreamState
		for _, n := range h.notices {
			if len(states) == 0 || states[len(states)-1] != n.GetState() {
				states = append(states, n.GetState())
			}
		}
		h.g.Expect(states).To(Equal([]pb.UpstreamState{pb.UpstreamState_UPSTREAM_STATE_OK,
			pb.UpstreamState_UPSTREAM_STATE_SILENT, pb.UpstreamState_UPSTREAM_STATE_COLD, pb.UpstreamState_UPSTREAM_STATE_OK}))
		h.g.Expect(len(h.notices)).To(BeNumerically("<", 10), "notices are sent only when the state changes")
	})
}

// Guards against an upstream that acknowledges probes but answers no requests and is still
// considered healthy, so that it gets new flows.
func TestFrozenUpstream(t *testing.T) {
	simulate(t, 1, request.Tuning{}, func(h *harness) {
		u := h.upstreams[1]
		f := h.openFlow(1)
		h.g.Expect((<-h.startRequest(f, "first", false, time.Second)).Status).To(Equal(ok))
		u.update(func() { u.frozen = true })
		h.g.Expect(countStatuses(h.startRequests(f, 4, false, 6*time.Second))[ok]).To(BeZero())
		time.Sleep(2 * time.Second)
		h.g.Expect(countStatuses(h.startRequests(f, 2, false, time.Second))[ok]).To(BeZero())
		h.g.Expect(h.holder(1).Status(1).GetState()).To(Equal(pb.UpstreamState_UPSTREAM_STATE_SILENT))
		h.g.Expect(h.packetsOfKind(pb.Kind_KIND_RESET)).To(BeEmpty(), "the upstream knows the flow")
		u.update(func() { u.frozen = false })
		time.Sleep(time.Second)
		h.g.Expect((<-h.startRequest(f, "again", false, time.Second)).Status).To(Equal(ok))
		h.g.Expect(h.holder(1).Status(1).GetState()).To(Equal(pb.UpstreamState_UPSTREAM_STATE_COLD))
	})
}

// Guards against refusing all requests forever because the service time was long once.
func TestServiceTimeEstimateRecovers(t *testing.T) {
	simulate(t, 1, request.Tuning{}, func(h *harness) {
		u := h.upstreams[1]
		u.serviceTime = 3 * time.Second
		f := h.openFlow(1)
		h.g.Expect(countStatuses(h.startRequests(f, 2, false, 10*time.Second))).To(Equal(map[pb.Status]int{ok: 2}))
		u.update(func() { u.serviceTime = 50 * time.Millisecond })
		time.Sleep(2 * time.Second)
		good := 0
		for range 40 {
			if (<-h.startRequest(f, "x", false, time.Second)).Status == ok {
				good++
			}
			time.Sleep(300 * time.Millisecond)
		}
		h.g.Expect(good).To(BeNumerically(">", 30))
	})
}

// Guards against half-open flows that are not reset, and against the reset of an idle flow or of a
// flow whose request only runs long.
func TestHalfOpenFlow(t *testing.T) {
	simulate(t, 1, request.Tuning{}, func(h *harness) {
		u := h.upstreams[1]
		dead, idle, busy := h.openFlow(1), h.openFlow(1), h.openFlow(1)
		h.g.Expect((<-h.startRequest(dead, "works", false, time.Second)).Status).To(Equal(ok))
		u.update(func() { u.mutedFlows[dead.Key()] = true })
		start := time.Now()
		c := h.startRequest(dead, "lost", false, 2*time.Second)
		for range 90 {
			h.g.Expect((<-h.startRequest(busy, "x", false, time.Second)).Status).To(Equal(ok))
			if broken, _ := dead.Broken(); broken {
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
		h.g.Expect((<-c).Status).To(Equal(unknown))
		broken, reason := dead.Broken()
		h.g.Expect(broken).To(BeTrue())
		h.g.Expect(reason).To(Equal(pb.Reason_REASON_HALF_OPEN))
		h.g.Expect(time.Since(start)).To(BeNumerically("<", 10*time.Second))
		h.g.Expect(u.receivedCount(pb.Kind_KIND_KEEPALIVE)).To(Equal(3))
		h.g.Expect(u.receivedCount(pb.Kind_KIND_RESET)).To(Equal(1))

		u.update(func() { u.serviceTime = 20 * time.Second })
		c = h.startRequest(idle, "long", false, 30*time.Second)
		time.Sleep(5 * time.Minute)
		h.g.Expect((<-c).Status).To(Equal(ok))
		for _, f := range []interface {
			Broken() (bool, pb.Reason)
		}{idle, busy} {
			isBroken, _ := f.Broken()
			h.g.Expect(isBroken).To(BeFalse())
		}
	})
}

// Guards against requests of half-open flows that occupy all slots of an upstream until their
// deadlines, so that it serves no other flow, and against reassigning the slots of requests that
// only run long.
func TestSlotsOfHalfOpenFlowsAreReassigned(t *testing.T) {
	for name, isMuted := range map[string]bool{"half-open": true, "long": false} {
		t.Run(name, func(t *testing.T) {
			simulate(t, 1, request.Tuning{}, func(h *harness) {
				u := h.upstreams[1]
				var answers []chan result
				for range u.slots {
					f := h.openFlow(1)
					h.g.Expect((<-h.startRequest(f, "works", true, time.Second)).Status).To(Equal(ok))
					u.update(func() { u.mutedFlows[f.Key()], u.frozen = isMuted, !isMuted })
					answers = append(answers, h.startRequest(f, "lost", false, 6*time.Second))
					time.Sleep(10 * time.Millisecond)
					u.update(func() { u.frozen = false })
				}
				other := h.openFlow(1)
				time.Sleep(2 * time.Second)
				start := time.Now()
				h.g.Expect((<-h.startRequest(other, "x", true, 8*time.Second)).Status).To(Equal(ok))
				h.g.Expect(time.Since(start) < time.Second).To(Equal(isMuted), "after %v", time.Since(start))
				for _, c := range answers {
					h.g.Expect((<-c).Status).To(Equal(unknown))
				}
			})
		})
	}
}

// Guards against resetting the flows of an upstream that is temporarily unreachable.
func TestSilentUpstreamKeepsFlows(t *testing.T) {
	simulate(t, 1, request.Tuning{}, func(h *harness) {
		u := h.upstreams[1]
		f, g := h.openFlow(1), h.openFlow(1)
		u.update(func() { u.silent = true })
		for _, x := range []wire.FlowKey{f.Key(), g.Key()} {
			h.holder(1).HandleCaller(&pb.Packet{Flow: x.Proto(), Kind: pb.Kind_KIND_DATA, Service: 1, Upstream: 1})
		}
		time.Sleep(15 * time.Second)
		u.update(func() { u.silent = false })
		time.Sleep(time.Minute)
		h.g.Expect(h.packetsOfKind(pb.Kind_KIND_RESET)).To(BeEmpty())
		h.g.Expect(u.receivedCount(pb.Kind_KIND_KEEPALIVE)).To(BeNumerically("<", 20))
	})
}
