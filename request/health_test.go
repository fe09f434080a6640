package request_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/request"
	"github.com/fulmarfield/fulmarfield/wire"
)

// Guards against reports that start more work than the slots, or starve the upstream.
func TestLyingReports(t *testing.T) {
	for name, report := range map[string]*pb.LoadReport{
		"idle": {InProgress: 0, Slots: 100},
		"busy": {InProgress: 1000, Slots: 2},
	} {
		simulate(t, 1, request.Tuning{}, func(w *world) {
			u := w.upstreams[1]
			u.report = report
			f := w.flow(1)
			w.g.Expect(statuses(w.askMany(f, 20, false, 10*time.Second))).To(Equal(map[pb.Status]int{ok: 20}), name)
			w.g.Expect(u.peak).To(BeNumerically("<=", 2), name)
		})
	}
}

// Guards against an upstream that stops answering and keeps its state and slots for ever, and
// against one that returns and gets all its slots at once.
func TestSilentUpstream(t *testing.T) {
	simulate(t, 1, request.Tuning{}, func(w *world) {
		u := w.upstreams[1]
		u.slots, u.service = 8, 200*time.Millisecond
		w.edit(func(c *pb.Configuration) { c.Services[0].Upstreams[0].Slots = 8 })
		f := w.flow(1)
		w.g.Expect((<-w.ask(f, "first", false, time.Second)).Status).To(Equal(ok))
		u.set(func() { u.silent = true })
		list := w.askMany(f, 8, false, 6*time.Second)
		time.Sleep(5 * time.Second)
		w.g.Expect(w.holder(1).Status(1).GetState()).To(Equal(pb.UpstreamState_UPSTREAM_STATE_SILENT))
		w.g.Expect(statuses(list)).To(Equal(map[pb.Status]int{unknown: 8}))
		time.Sleep(2 * time.Second)
		w.g.Expect(w.holder(1).Status(1).GetInProgress()).To(BeZero())
		u.set(func() { u.silent, u.peak, u.current = false, 0, map[runKey]bool{} })
		w.g.Expect((<-w.ask(f, "again", false, time.Second)).Status).To(Equal(ok))
		w.g.Expect(w.holder(1).Status(1).GetState()).To(Equal(pb.UpstreamState_UPSTREAM_STATE_COLD))
		list = w.askMany(f, 8, false, 10*time.Second)
		time.Sleep(100 * time.Millisecond)
		u.set(func() { w.g.Expect(u.peak).To(BeNumerically("~", 2, 1), "a quarter of the slots at first") })
		w.g.Expect(statuses(list)[ok]).To(Equal(8))
		time.Sleep(11 * time.Second)
		w.g.Expect(w.holder(1).Status(1).GetState()).To(Equal(pb.UpstreamState_UPSTREAM_STATE_OK))
		var states []pb.UpstreamState
		for _, n := range w.notices {
			if len(states) == 0 || states[len(states)-1] != n.GetState() {
				states = append(states, n.GetState())
			}
		}
		w.g.Expect(states).To(Equal([]pb.UpstreamState{pb.UpstreamState_UPSTREAM_STATE_OK,
			pb.UpstreamState_UPSTREAM_STATE_SILENT, pb.UpstreamState_UPSTREAM_STATE_COLD, pb.UpstreamState_UPSTREAM_STATE_OK}))
		w.g.Expect(len(w.notices)).To(BeNumerically("<", 10), "only on change")
	})
}

// Guards against an upstream that takes requests and acknowledges probes but never answers, and
// that goes on getting new flows.
func TestFrozenUpstream(t *testing.T) {
	simulate(t, 1, request.Tuning{}, func(w *world) {
		u := w.upstreams[1]
		f := w.flow(1)
		w.g.Expect((<-w.ask(f, "first", false, time.Second)).Status).To(Equal(ok))
		u.set(func() { u.frozen = true })
		w.g.Expect(statuses(w.askMany(f, 4, false, 6*time.Second))[ok]).To(BeZero())
		time.Sleep(2 * time.Second)
		w.g.Expect(statuses(w.askMany(f, 2, false, time.Second))[ok]).To(BeZero())
		w.g.Expect(w.holder(1).Status(1).GetState()).To(Equal(pb.UpstreamState_UPSTREAM_STATE_SILENT))
		w.g.Expect(w.packets(pb.Kind_KIND_RESET)).To(BeEmpty(), "the upstream knows the flow")
		u.set(func() { u.frozen = false })
		time.Sleep(time.Second)
		w.g.Expect((<-w.ask(f, "again", false, time.Second)).Status).To(Equal(ok))
		w.g.Expect(w.holder(1).Status(1).GetState()).To(Equal(pb.UpstreamState_UPSTREAM_STATE_COLD))
	})
}

// Guards against refusing everything for ever because the service time was long once.
func TestServiceTimeOfThePast(t *testing.T) {
	simulate(t, 1, request.Tuning{}, func(w *world) {
		u := w.upstreams[1]
		u.service = 3 * time.Second
		f := w.flow(1)
		w.g.Expect(statuses(w.askMany(f, 2, false, 10*time.Second))).To(Equal(map[pb.Status]int{ok: 2}))
		u.set(func() { u.service = 50 * time.Millisecond })
		time.Sleep(2 * time.Second)
		good := 0
		for range 40 {
			if (<-w.ask(f, "x", false, time.Second)).Status == ok {
				good++
			}
			time.Sleep(300 * time.Millisecond)
		}
		w.g.Expect(good).To(BeNumerically(">", 30))
	})
}

// Guards against half-open flows that hang, and against resetting an idle flow or one whose
// request only takes long.
func TestHalfOpenFlow(t *testing.T) {
	simulate(t, 1, request.Tuning{}, func(w *world) {
		u := w.upstreams[1]
		dead, idle, busy := w.flow(1), w.flow(1), w.flow(1)
		w.g.Expect((<-w.ask(dead, "works", false, time.Second)).Status).To(Equal(ok))
		u.set(func() { u.mute[dead.Key()] = true })
		start := time.Now()
		c := w.ask(dead, "lost", false, 2*time.Second)
		for range 90 {
			w.g.Expect((<-w.ask(busy, "x", false, time.Second)).Status).To(Equal(ok))
			if broken, _ := dead.Broken(); broken {
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
		w.g.Expect((<-c).Status).To(Equal(unknown))
		broken, reason := dead.Broken()
		w.g.Expect(broken).To(BeTrue())
		w.g.Expect(reason).To(Equal(pb.Reason_REASON_HALF_OPEN))
		w.g.Expect(time.Since(start)).To(BeNumerically("<", 10*time.Second))
		w.g.Expect(u.count(pb.Kind_KIND_KEEPALIVE)).To(Equal(3))
		w.g.Expect(u.count(pb.Kind_KIND_RESET)).To(Equal(1))

		u.set(func() { u.service = 20 * time.Second })
		c = w.ask(idle, "long", false, 30*time.Second)
		time.Sleep(5 * time.Minute)
		w.g.Expect((<-c).Status).To(Equal(ok))
		for _, f := range []interface {
			Broken() (bool, pb.Reason)
		}{idle, busy} {
			isBroken, _ := f.Broken()
			w.g.Expect(isBroken).To(BeFalse())
		}
	})
}

// Guards against slots that requests of half-open flows hold until their deadline, so that the
// upstream serves nobody else, and against lending those of requests that run long.
func TestHalfOpenFlowsLendTheirSlots(t *testing.T) {
	for name, isMuted := range map[string]bool{"half-open": true, "long": false} {
		t.Run(name, func(t *testing.T) {
			simulate(t, 1, request.Tuning{}, func(w *world) {
				u := w.upstreams[1]
				var answers []chan result
				for range u.slots {
					f := w.flow(1)
					w.g.Expect((<-w.ask(f, "works", true, time.Second)).Status).To(Equal(ok))
					u.set(func() { u.mute[f.Key()], u.frozen = isMuted, !isMuted })
					answers = append(answers, w.ask(f, "lost", false, 6*time.Second))
					time.Sleep(10 * time.Millisecond)
					u.set(func() { u.frozen = false })
				}
				other := w.flow(1)
				time.Sleep(2 * time.Second)
				start := time.Now()
				w.g.Expect((<-w.ask(other, "x", true, 8*time.Second)).Status).To(Equal(ok))
				w.g.Expect(time.Since(start) < time.Second).To(Equal(isMuted), "after %v", time.Since(start))
				for _, c := range answers {
					w.g.Expect((<-c).Status).To(Equal(unknown))
				}
			})
		})
	}
}

// Guards against resetting the flows of an upstream that is wholly cut off for a while.
func TestSilentUpstreamKeepsFlows(t *testing.T) {
	simulate(t, 1, request.Tuning{}, func(w *world) {
		u := w.upstreams[1]
		f, g := w.flow(1), w.flow(1)
		u.set(func() { u.silent = true })
		for _, x := range []wire.FlowKey{f.Key(), g.Key()} {
			w.holder(1).HandleCaller(&pb.Packet{Flow: x.Proto(), Kind: pb.Kind_KIND_DATA, Service: 1, Upstream: 1})
		}
		time.Sleep(15 * time.Second)
		u.set(func() { u.silent = false })
		time.Sleep(time.Minute)
		w.g.Expect(w.packets(pb.Kind_KIND_RESET)).To(BeEmpty())
		w.g.Expect(u.count(pb.Kind_KIND_KEEPALIVE)).To(BeNumerically("<", 20))
	})
}
