package request_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/caller"
	"github.com/fulmarfield/fulmarfield/request"
)

// Guards against a few half-open flows that take the slots from all others. The proportions are
// those of the run over processes: 42 silent flows on 4 upstreams of 2 slots, each about half
// loaded.
func TestHalfOpenFlowsDoNotCrowdOutOthers(t *testing.T) {
	const (
		silentFlows, liveFlows    = 10, 20
		rounds                    = 62
		betweenRequests, deadline = 160 * time.Millisecond, 2 * time.Second
		silentEvery               = 10
	)
	simulate(t, 1, request.Tuning{}, func(w *world) {
		u := w.upstreams[1]
		u.service = 8 * time.Millisecond
		var silent, live []*caller.Flow
		for range silentFlows {
			silent = append(silent, w.flow(1))
		}
		for range liveFlows {
			live = append(live, w.flow(1))
		}
		for _, f := range append(append([]*caller.Flow(nil), silent...), live...) {
			w.g.Expect((<-w.ask(f, "first", false, time.Second)).Status).To(Equal(ok))
		}
		u.set(func() {
			for _, f := range silent {
				u.mute[f.Key()] = true
			}
		})
		start := time.Now()
		var answers, lost []chan result
		for i := range rounds {
			for j := range liveFlows {
				if j < silentFlows && (i*silentFlows+j)%silentEvery == i%silentEvery {
					lost = append(lost, w.ask(silent[j], "lost", false, deadline))
				}
				answers = append(answers, w.ask(live[j], "x", false, deadline))
				time.Sleep(betweenRequests / liveFlows)
			}
		}
		refused, longest := map[pb.Reason]int{}, time.Duration(0)
		for _, c := range answers {
			r := <-c
			if longest = max(longest, r.at); r.Status != ok {
				refused[r.Reason]++
			}
		}
		for _, c := range lost {
			w.g.Expect((<-c).Status).NotTo(Equal(ok))
		}
		total := 0
		for _, n := range refused {
			total += n
		}
		t.Logf("of %d requests refused %v, longest %v", len(answers), refused, longest)
		w.g.Expect(total).To(BeNumerically("<=", len(answers)/100))
		time.Sleep(time.Until(start.Add(10 * time.Second)))
		for _, f := range silent {
			broken, reason := f.Broken()
			w.g.Expect(broken).To(BeTrue(), "within 10 s")
			w.g.Expect(reason).To(Equal(pb.Reason_REASON_HALF_OPEN))
		}
		w.g.Expect(w.toOwner).To(HaveLen(silentFlows), "the owner of each reset flow is told")
		w.g.Expect(w.packets(pb.Kind_KIND_KEEPALIVE_ACK)).To(BeEmpty(), "those of probes are not the callers'")
		for _, f := range live {
			broken, _ := f.Broken()
			w.g.Expect(broken).To(BeFalse())
		}
	})
}

// Guards against requests that are sent to an upstream that is frozen as a whole, because the
// slots of those in progress are lent: they would end as outcome unknown although they have not
// run.
func TestFrozenUpstreamLendsNoSlots(t *testing.T) {
	simulate(t, 1, request.Tuning{}, func(w *world) {
		u := w.upstreams[1]
		var flows []*caller.Flow
		for range 6 {
			f := w.flow(1)
			w.g.Expect((<-w.ask(f, "works", false, time.Second)).Status).To(Equal(ok))
			flows = append(flows, f)
		}
		u.set(func() { u.silent = true })
		var running, waiting []chan result
		for i, f := range flows {
			c := w.ask(f, "x", false, 3*time.Second)
			if i < u.slots {
				running = append(running, c)
			} else {
				waiting = append(waiting, c)
			}
			time.Sleep(5 * time.Millisecond)
		}
		w.g.Expect(statuses(running)).To(Equal(map[pb.Status]int{unknown: len(running)}))
		w.g.Expect(statuses(waiting)).To(Equal(map[pb.Status]int{notRun: len(waiting)}))
		for _, f := range flows {
			broken, _ := f.Broken()
			w.g.Expect(broken).To(BeFalse())
		}
	})
}

// Guards against a request that loses its slot because it runs long while others wait, and
// against requests of its flow that wait for ever once a probe was answered.
func TestLongRequestsKeepTheirSlots(t *testing.T) {
	simulate(t, 1, request.Tuning{}, func(w *world) {
		u := w.upstreams[1]
		long, other := w.flow(1), w.flow(1)
		w.g.Expect(statuses(w.askMany(long, 4, false, time.Second))).To(Equal(map[pb.Status]int{ok: 4}))
		u.set(func() { u.service = 4 * time.Second })
		running := w.askMany(long, 2, false, 10*time.Second)
		time.Sleep(10 * time.Millisecond)
		u.set(func() { u.service, u.peak = 50*time.Millisecond, 0 })
		waiting := append(w.askMany(other, 2, false, 10*time.Second), w.askMany(long, 2, false, 10*time.Second)...)
		w.g.Expect(statuses(append(running, waiting...))).To(Equal(map[pb.Status]int{ok: 6}))
		w.g.Expect(u.peak).To(BeNumerically("<=", 2))
		w.g.Expect(w.holder(1).counters.Get("request.slot_lent")).To(BeZero())
	})
}

// Guards against a request that waits for the next probe of its flow, seconds away, although the
// upstream answers again.
func TestHeldBackRequestGoesOnAtOnce(t *testing.T) {
	for wait := 100 * time.Millisecond; wait < 3*time.Second; wait += 300 * time.Millisecond {
		simulate(t, 1, request.Tuning{}, func(w *world) {
			u := w.upstreams[1]
			f, other := w.flow(1), w.flow(1)
			w.g.Expect((<-w.ask(f, "works", false, time.Second)).Status).To(Equal(ok))
			u.set(func() { u.mute[f.Key()] = true })
			lost := w.ask(f, "lost", false, time.Second)
			for end := time.Now().Add(time.Second + wait); time.Now().Before(end); {
				w.g.Expect((<-w.ask(other, "x", false, time.Second)).Status).To(Equal(ok))
			}
			w.g.Expect((<-lost).Status).NotTo(Equal(notRun))
			u.set(func() { u.mute[f.Key()] = false })
			r := <-w.ask(f, "again", false, time.Second)
			w.g.Expect(r.Status).To(Equal(ok), "after %v", wait)
			w.g.Expect(r.at).To(BeNumerically("<", 300*time.Millisecond), "after %v", wait)
		})
	}
}
