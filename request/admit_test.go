package request_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/caller"
	"github.com/fulmarfield/fulmarfield/config"
	"github.com/fulmarfield/fulmarfield/membership"
	"github.com/fulmarfield/fulmarfield/ownership"
	"github.com/fulmarfield/fulmarfield/request"
)

// askMany starts n requests at once, named 0 to n-1.
func (w *world) askMany(f *caller.Flow, n int, idempotent bool, deadline time.Duration) []chan result {
	var list []chan result
	for i := range n {
		list = append(list, w.ask(f, fmt.Sprint(i), idempotent, deadline))
	}
	return list
}

func statuses(list []chan result) map[pb.Status]int {
	n := map[pb.Status]int{}
	for _, c := range list {
		n[(<-c).Status]++
	}
	return n
}

// edit replaces the configuration by a changed copy.
func (w *world) edit(f func(c *pb.Configuration)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := proto.CloneOf(w.snapshot.Proto)
	f(c)
	w.snapshot = config.NewSnapshot(c)
}

// Guards against more requests at the upstream than its slots, a queue without bound, and work
// for answers that come too late.
func TestSlotsQueueAndDeadline(t *testing.T) {
	simulate(t, 1, request.Tuning{}, func(w *world) {
		f := w.flow(1)
		u := w.upstreams[1]
		w.g.Expect(statuses(w.askMany(f, 80, false, 10*time.Second))).To(Equal(map[pb.Status]int{ok: 66, notRun: 14}))
		w.g.Expect(u.peak).To(Equal(2))
		w.g.Expect(w.engines["a"].counters.Get("refusal.queue_full")).To(BeEquivalentTo(14))

		// 40 requests of 50 ms on 2 slots need 1 s; those that cannot make 500 ms are refused.
		start, before := time.Now(), u.count(pb.Kind_KIND_REQUEST)
		list := w.askMany(f, 40, false, 500*time.Millisecond)
		refused, late := 0, 0
		for _, c := range list {
			if r := <-c; r.Status == notRun {
				refused++
				w.g.Expect(r.Reason).To(Equal(pb.Reason_REASON_DEADLINE))
				if r.at > 10*time.Millisecond {
					late++
				}
			} else {
				w.g.Expect(r.Status).To(Equal(ok))
			}
		}
		w.g.Expect(time.Since(start)).To(BeNumerically("<", 510*time.Millisecond))
		w.g.Expect(refused).To(BeNumerically("~", 22, 4))
		w.g.Expect(late).To(BeNumerically("<=", 2), "refused at once, but for the last to start")
		w.g.Expect(u.count(pb.Kind_KIND_REQUEST) - before).To(Equal(40 - refused))
	})
}

// Guards against a queued request that runs although its deadline passed while the service
// time rose.
func TestDeadlinePassesInQueue(t *testing.T) {
	simulate(t, 1, request.Tuning{}, func(w *world) {
		u := w.upstreams[1]
		u.service = 2 * time.Second
		f := w.flow(1)
		busy := []chan result{w.ask(f, "a", false, 10*time.Second), w.ask(f, "b", false, 10*time.Second)}
		time.Sleep(10 * hop)
		r := <-w.ask(f, "late", false, time.Second)
		w.g.Expect(r.Status).To(Equal(notRun))
		w.g.Expect(r.Reason).To(Equal(pb.Reason_REASON_DEADLINE))
		w.g.Expect(statuses(busy)).To(Equal(map[pb.Status]int{ok: 2}))
		time.Sleep(5 * time.Second)
		w.g.Expect(u.ran(f.Key(), "late")).To(BeZero())
	})
}

// Guards against cancelled requests that run, and against slots that a cancelled one keeps.
func TestCancel(t *testing.T) {
	simulate(t, 1, request.Tuning{}, func(w *world) {
		u := w.upstreams[1]
		u.set(func() { u.frozen = true })
		f := w.flow(1)
		ctx, cancel := context.WithCancel(context.Background())
		for i := range 3 {
			go func() {
				time.Sleep(time.Duration(i) * time.Millisecond)
				_, _ = f.Request(ctx, caller.Request{Payload: []byte{'0' + byte(i)}, Deadline: 20 * time.Second})
			}()
		}
		time.Sleep(50 * time.Millisecond)
		w.g.Expect(w.holder(1).Blockers(1)).To(HaveLen(3))
		w.g.Expect(w.holder(1).Status(1).GetQueued()).To(BeEquivalentTo(1))
		u.set(func() { u.frozen = false })
		cancel()
		time.Sleep(50 * time.Millisecond)
		w.g.Expect(u.count(pb.Kind_KIND_CANCEL)).To(Equal(2))
		byStatus := map[pb.Status]int{}
		for _, p := range w.packets(pb.Kind_KIND_ANSWER) {
			w.g.Expect(p.GetReason()).To(Equal(pb.Reason_REASON_CANCELLED))
			byStatus[p.GetStatus()]++
		}
		w.g.Expect(byStatus).To(Equal(map[pb.Status]int{unknown: 2, notRun: 1}))
		time.Sleep(2 * time.Second)
		w.g.Expect(w.holder(1).Status(1).GetInProgress()).To(BeZero())
		w.g.Expect(u.ran(f.Key(), "2")).To(BeZero())
		p := w.sent(1, "0") // a late answer to a cancelled request
		p.Kind, p.Status = pb.Kind_KIND_ANSWER, ok
		w.holder(1).HandleUpstream(p)
		w.g.Expect(w.engines["a"].counters.Get("drop.late_answer")).To(BeEquivalentTo(1))
	})
}

// Guards against running a request whose cancellation overtook it.
func TestCancelOvertakes(t *testing.T) {
	simulate(t, 1, request.Tuning{}, func(w *world) {
		f := w.flow(1)
		w.g.Expect((<-w.ask(f, "first", false, time.Second)).Status).To(Equal(ok))
		p := w.sent(1, "first")
		p.RequestId, p.Payload = p.GetRequestId()+1, []byte("second")
		c := &pb.Packet{Flow: p.GetFlow(), Kind: pb.Kind_KIND_CANCEL, RequestId: p.GetRequestId(), Service: 1, Upstream: 1}
		w.holder(1).HandleCaller(c)
		w.holder(1).HandleCaller(p)
		time.Sleep(time.Second)
		w.g.Expect(w.upstreams[1].ran(f.Key(), "second")).To(BeZero())
		w.g.Expect(w.lastAnswer().GetReason()).To(Equal(pb.Reason_REASON_CANCELLED))
	})
}

// Guards against answers that are passed on with parts missing or in the wrong order.
func TestPartsOfAnswers(t *testing.T) {
	simulate(t, 1, request.Tuning{}, func(w *world) {
		u := w.upstreams[1]
		u.parts, u.reorder = 5, true
		f := w.flow(1)
		r := <-w.ask(f, "a long enough name", false, time.Second)
		w.g.Expect(string(r.Payload)).To(Equal("done a long enough name"))
		u.set(func() { u.drop = 2 })
		sent := len(w.packets(pb.Kind_KIND_ANSWER))
		r = <-w.ask(f, "another", false, time.Second)
		w.g.Expect(r.Status).To(Equal(pb.Status_STATUS_ERROR))
		w.g.Expect(r.Reason).To(Equal(pb.Reason_REASON_PARTS_LOST))
		w.g.Expect(r.Payload).To(BeEmpty())
		w.g.Expect(w.packets(pb.Kind_KIND_ANSWER)).To(HaveLen(sent + 1))
	})
}

// Guards against retries that multiply an overload: when upstreams refuse two of three requests,
// retries stay within the burst and a tenth of the requests.
func TestRetryBudgetUnderRefusal(t *testing.T) {
	for _, tuning := range []request.Tuning{{}, {NoRetryBudget: true}} {
		simulate(t, 3, tuning, func(w *world) {
			requests := 0
			for i := uint32(1); i <= 3; i++ {
				n := 0
				w.upstreams[i].refuse = func() bool { n++; return n%3 != 0 }
			}
			var list []chan result
			for i := range 300 {
				f := w.flow(uint32(i%3) + 1)
				list = append(list, w.ask(f, "x", i%2 == 0, 3*time.Second))
				requests++
				time.Sleep(20 * time.Millisecond)
			}
			got := statuses(list)
			w.g.Expect(got[ok] + got[notRun]).To(Equal(requests))
			retries := 0
			for name, n := range w.engines["a"].counters.Snapshot() {
				if len(name) > 6 && name[:6] == "retry." {
					retries += int(n)
				}
			}
			t.Logf("budget %v: %d retries for %d requests", !tuning.NoRetryBudget, retries, requests)
			if tuning.NoRetryBudget {
				w.g.Expect(retries).To(BeNumerically(">", 40), "the limit above must be due to the budget")
			} else {
				w.g.Expect(retries).To(BeNumerically("<=", 10+requests/10))
				w.g.Expect(w.engines["a"].counters.Get("refusal.retry_budget")).To(BeNumerically(">", 0))
			}
		})
	}
}

// Guards against an idempotent request that waits at a busy upstream while another one of the
// service is idle, and against running it at both.
func TestIdempotentGoesElsewhere(t *testing.T) {
	for _, holder := range []membership.DaemonID{"a", "b"} {
		t.Run(string(holder), func(t *testing.T) { goesElsewhere(t, holder) })
	}
}

func goesElsewhere(t *testing.T, holder membership.DaemonID) {
	simulate(t, 2, request.Tuning{}, func(w *world) {
		if holder != "a" {
			w.transfer(2, holder)
		}
		w.upstreams[1].service = time.Second
		f := w.flow(1)
		busy := w.askMany(f, 6, false, 20*time.Second)
		time.Sleep(1100 * time.Millisecond)
		c := w.ask(f, "read", true, 20*time.Second)
		r := <-c
		w.g.Expect(r.Status).To(Equal(ok))
		w.g.Expect(r.Upstream).To(BeEquivalentTo(2))
		w.g.Expect(w.upstreams[1].ran(f.Key(), "read") + w.upstreams[2].ran(f.Key(), "read")).To(Equal(1))
		w.g.Expect(statuses(busy)).To(Equal(map[pb.Status]int{ok: 6}))
		w.g.Expect((<-w.ask(f, "write", false, 20*time.Second)).Status).To(Equal(ok), "the flow keeps its own token")
	})
}

// Guards against a reset of a caller's flow by an upstream that never had it: a request handed on
// from another admission to one that dies comes again to its successor, which probes the upstream.
func TestRequestHandedOnToRecoveredHolderKeepsItsFlow(t *testing.T) {
	simulate(t, 2, request.Tuning{}, func(w *world) {
		w.transfer(2, "b")
		w.upstreams[1].service = time.Second
		f := w.flow(1)
		w.askMany(f, 6, false, 20*time.Second)
		time.Sleep(1100 * time.Millisecond)
		w.upstreams[2].service = 10 * time.Second
		c := w.ask(f, "read", true, 3*time.Second)
		time.Sleep(20 * time.Millisecond)
		w.engines["b"].kill()
		w.activate("c", 2, nil, ownership.Recovered)
		time.Sleep(2 * time.Second)
		w.g.Expect(w.engines["c"].counters.Get("drop.unconfirmed_holder")).To(BeNumerically(">", 0), "the request reached the recovered holder")
		isBroken, reason := f.Broken()
		w.g.Expect(isBroken).To(BeFalse(), "broken: %v", reason)
		w.g.Expect(w.engines["c"].counters.Get("drop.stale_spill")).To(BeNumerically(">", 0), "the upstream answered the probe")
		<-c
		w.g.Expect((<-w.ask(f, "write", false, 20*time.Second)).Status).To(Equal(ok))
	})
}

// Guards against new work at a draining upstream after 3 s, and against refusing the work of
// flows that are established there.
func TestDrain(t *testing.T) {
	simulate(t, 1, request.Tuning{}, func(w *world) {
		f := w.flow(1)
		w.edit(func(c *pb.Configuration) {
			u := c.Services[0].Upstreams[0]
			u.State, u.DrainingSinceMs = pb.DeclaredState_DECLARED_STATE_DRAINING, time.Now().UnixMilli()
		})
		time.Sleep(2900 * time.Millisecond)
		w.g.Expect((<-w.ask(f, "x", false, time.Second)).Status).To(Equal(ok))
		open := &pb.Packet{Flow: f.Key().Proto(), Kind: pb.Kind_KIND_OPEN, Upstream: 1, Service: 1}
		opens := w.upstreams[1].count(pb.Kind_KIND_OPEN)
		w.holder(1).HandleCaller(open)
		time.Sleep(10 * hop)
		w.g.Expect(w.upstreams[1].count(pb.Kind_KIND_OPEN)).To(Equal(opens))
		w.g.Expect(w.packets(pb.Kind_KIND_RESET)[0].GetReason()).To(Equal(pb.Reason_REASON_UPSTREAM_DRAINING))
		w.g.Expect(w.holder(1).Status(1).GetState()).To(Equal(pb.UpstreamState_UPSTREAM_STATE_DRAINING))
	})
}
