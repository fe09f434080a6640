package request_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
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

// startRequests starts n requests at the same time. Their names are 0 to n-1.
func (h *harness) startRequests(f *caller.Flow, n int, idempotent bool, deadline time.Duration) []chan result {
	var list []chan result
	for i := range n {
		list = append(list, h.startRequest(f, fmt.Sprint(i), idempotent, deadline))
	}
	return list
}

func countStatuses(list []chan result) map[pb.Status]int {
	n := map[pb.Status]int{}
	for _, c := range list {
		n[(<-c).Status]++
	}
	return n
}

// editConfiguration replaces the configuration by a modified copy.
func (h *harness) editConfiguration(f func(c *pb.Configuration)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := proto.CloneOf(h.snapshot.Proto)
	f(c)
	h.snapshot = config.NewSnapshot(c)
}

// Guards against more concurrent requests at an upstream than its slots, against an unbounded
// queue, and against running requests that cannot be answered before their deadline.
func TestSlotsQueueAndDeadline(t *testing.T) {
	simulate(t, 1, request.Tuning{}, func(h *harness) {
		f := h.openFlow(1)
		u := h.upstreams[1]
		h.g.Expect(countStatuses(h.startRequests(f, 80, false, 10*time.Second))).To(Equal(map[pb.Status]int{ok: 66, notRun: 14}))
		h.g.Expect(u.peak).To(Equal(2))
		h.g.Expect(h.daemons["a"].counters.Get("refusal.queue_full")).To(BeEquivalentTo(14))

		// 40 requests of 50 ms on 2 slots take 1 s. Those that cannot finish within 500 ms are refused.
		start, before := time.Now(), u.receivedCount(pb.Kind_KIND_REQUEST)
		list := h.startRequests(f, 40, false, 500*time.Millisecond)
		refused, late := 0, 0
		for _, c := range list {
			if r := <-c; r.Status == notRun {
				refused++
				h.g.Expect(r.Reason).To(Equal(pb.Reason_REASON_DEADLINE))
				if r.elapsed > 10*time.Millisecond {
					late++
				}
			} else {
				h.g.Expect(r.Status).To(Equal(ok))
			}
		}
		h.g.Expect(time.Since(start)).To(BeNumerically("<", 510*time.Millisecond))
		h.g.Expect(refused).To(BeNumerically("~", 22, 4))
		h.g.Expect(late).To(BeNumerically("<=", 2), "all are refused at once except the last ones in the queue")
		h.g.Expect(u.receivedCount(pb.Kind_KIND_REQUEST) - before).To(Equal(40 - refused))
	})
}

// Guards against a queued request that runs after its deadline because the service time increased
// while it was queued.
func TestDeadlinePassesInQueue(t *testing.T) {
	simulate(t, 1, request.Tuning{}, func(h *harness) {
		u := h.upstreams[1]
		u.serviceTime = 2 * time.Second
		f := h.openFlow(1)
		busy := []chan result{h.startRequest(f, "a", false, 10*time.Second), h.startRequest(f, "b", false, 10*time.Second)}
		time.Sleep(10 * hopDelay)
		r := <-h.startRequest(f, "late", false, time.Second)
		h.g.Expect(r.Status).To(Equal(notRun))
		h.g.Expect(r.Reason).To(Equal(pb.Reason_REASON_DEADLINE))
		h.g.Expect(countStatuses(busy)).To(Equal(map[pb.Status]int{ok: 2}))
		time.Sleep(5 * time.Second)
		h.g.Expect(u.runCount(f.Key(), "late")).To(BeZero())
	})
}

// Guards against queued requests that run after their cancellation, and against cancelled requests
// that occupy their slots forever.
func TestCancel(t *testing.T) {
	simulate(t, 1, request.Tuning{}, func(h *harness) {
		u := h.upstreams[1]
		u.update(func() { u.frozen = true })
		f := h.openFlow(1)
		ctx, cancel := context.WithCancel(context.Background())
		for i := range 3 {
			go func() {
				time.Sleep(time.Duration(i) * time.Millisecond)
				_, _ = f.Request(ctx, caller.Request{Payload: []byte{'0' + byte(i)}, Deadline: 20 * time.Second})
			}()
		}
		time.Sleep(50 * time.Millisecond)
		h.g.Expect(h.holder(1).Blockers(1)).To(HaveLen(3))
		h.g.Expect(h.holder(1).Status(1).GetQueued()).To(BeEquivalentTo(1))
		u.update(func() { u.frozen = false })
		cancel()
		time.Sleep(50 * time.Millisecond)
		h.g.Expect(u.receivedCount(pb.Kind_KIND_CANCEL)).To(Equal(2))
		byStatus := map[pb.Status]int{}
		for _, p := range h.packetsOfKind(pb.Kind_KIND_ANSWER) {
			h.g.Expect(p.GetReason()).To(Equal(pb.Reason_REASON_CANCELLED))
			byStatus[p.GetStatus()]++
		}
		h.g.Expect(byStatus).To(Equal(map[pb.Status]int{unknown: 2, notRun: 1}))
		time.Sleep(2 * time.Second)
		h.g.Expect(h.holder(1).Status(1).GetInProgress()).To(BeZero())
		h.g.Expect(u.runCount(f.Key(), "2")).To(BeZero())
		p := h.requestPacket(1, "0") // It becomes a late answer to a cancelled request.
		p.Kind, p.Status = pb.Kind_KIND_ANSWER, ok
		h.holder(1).HandleUpstream(p)
		h.g.Expect(h.daemons["a"].counters.Get("drop.late_answer")).To(BeEquivalentTo(1))
	})
}

// Guards against running a request that arrives after its cancellation because the network
// reordered the packets.
func TestCancelBeforeRequest(t *testing.T) {
	simulate(t, 1, request.Tuning{}, func(h *harness) {
		f := h.openFlow(1)
		h.g.Expect((<-h.startRequest(f, "first", false, time.Second)).Status).To(Equal(ok))
		p := h.requestPacket(1, "first")
		p.RequestId, p.Payload = p.GetRequestId()+1, []byte("second")
		c := &pb.Packet{Flow: p.GetFlow(), Kind: pb.Kind_KIND_CANCEL, RequestId: p.GetRequestId(), Service: 1, Upstream: 1}
		h.holder(1).HandleCaller(c)
		h.holder(1).HandleCaller(p)
		time.Sleep(time.Second)
		h.g.Expect(h.upstreams[1].runCount(f.Key(), "second")).To(BeZero())
		h.g.Expect(h.lastAnswer().GetReason()).To(Equal(pb.Reason_REASON_CANCELLED))
	})
}

// Guards against answers that are forwarded with missing parts or parts in the wrong order: each part is
// missing once.
func TestAnswerParts(t *testing.T) {
	const parts = 5
	for omitted := 1; omitted <= parts; omitted++ {
		simulate(t, 1, request.Tuning{}, func(h *harness) {
			u := h.upstreams[1]
			u.parts, u.reverseParts = parts, true
			f := h.openFlow(1)
			r := <-h.startRequest(f, "a long enough name", false, time.Second)
			h.g.Expect(string(r.Payload)).To(Equal("done a long enough name"))
			u.update(func() { u.omittedPart = omitted })
			sent := len(h.packetsOfKind(pb.Kind_KIND_ANSWER))
			r = <-h.startRequest(f, "another", false, time.Second)
			h.g.Expect(r.Status).To(Equal(pb.Status_STATUS_ERROR))
			h.g.Expect(r.Reason).To(Equal(pb.Reason_REASON_PARTS_LOST))
			h.g.Expect(r.Payload).To(BeEmpty())
			h.g.Expect(h.packetsOfKind(pb.Kind_KIND_ANSWER)).To(HaveLen(sent + 1))
		})
	}
}

// Guards against retries that multiply an overload: when upstreams refuse two of three requests,
// the retries must not exceed the burst plus a tenth of the requests.
func TestRetryBudgetUnderRefusal(t *testing.T) {
	for _, tuning := range []request.Tuning{{}, {NoRetryBudget: true}} {
		simulate(t, 3, tuning, func(h *harness) {
			requests := 0
			for i := uint32(1); i <= 3; i++ {
				n := 0
				h.upstreams[i].refuse = func() bool { n++; return n%3 != 0 }
			}
			var list []chan result
			for i := range 300 {
				f := h.openFlow(uint32(i%3) + 1)
				list = append(list, h.startRequest(f, "x", i%2 == 0, 3*time.Second))
				requests++
				time.Sleep(20 * time.Millisecond)
			}
			got := countStatuses(list)
			h.g.Expect(got[ok] + got[notRun]).To(Equal(requests))
			retries := 0
			for name, n := range h.daemons["a"].counters.Snapshot() {
				if len(name) > 6 && name[:6] == "retry." {
					retries += int(n)
				}
			}
			t.Logf("budget %v: %d retries for %d requests", !tuning.NoRetryBudget, retries, requests)
			if tuning.NoRetryBudget {
				h.g.Expect(retries).To(BeNumerically(">", 40), "without the budget there must be more retries")
			} else {
				h.g.Expect(retries).To(BeNumerically("<=", 10+requests/10))
				h.g.Expect(h.daemons["a"].counters.Get("refusal.retry_budget")).To(BeNumerically(">", 0))
			}
		})
	}
}

// Guards against an idempotent request that waits at a busy upstream while another upstream of the
// service is idle, and against running the request at both.
func TestIdempotentRequestIsRedirected(t *testing.T) {
	for _, holder := range []membership.DaemonID{"a", "b"} {
		t.Run(string(holder), func(t *testing.T) { checkRedirect(t, holder) })
	}
}

func checkRedirect(t *testing.T, holder membership.DaemonID) {
	simulate(t, 2, request.Tuning{}, func(h *harness) {
		if holder != "a" {
			h.transfer(2, holder)
		}
		h.upstreams[1].serviceTime = time.Second
		f := h.openFlow(1)
		busy := h.startRequests(f, 6, false, 20*time.Second)
		time.Sleep(1100 * time.Millisecond)
		c := h.startRequest(f, "read", true, 20*time.Second)
		r := <-c
		h.g.Expect(r.Status).To(Equal(ok))
		h.g.Expect(r.Upstream).To(BeEquivalentTo(2))
		h.g.Expect(h.upstreams[1].runCount(f.Key(), "read") + h.upstreams[2].runCount(f.Key(), "read")).To(Equal(1))
		h.g.Expect(countStatuses(busy)).To(Equal(map[pb.Status]int{ok: 6}))
		h.g.Expect((<-h.startRequest(f, "write", false, 20*time.Second)).Status).To(Equal(ok), "the flow keeps its own token")
	})
}

// Guards against a request that ends as outcome unknown although its flow's admission never changed its guard token: an
// earlier request of the flow was redirected to another admission, which was transferred while the request ran there, and
// the new holder put its own token into the answer. Tokens of the same millisecond are in random order, so that several
// seeds are played.
func TestRedirectSurvivesTransfer(t *testing.T) {
	for seed := range uint64(8) {
		synctest.Test(t, func(t *testing.T) {
			runSimulation(NewWithT(t), 2, seed, request.Tuning{}, func(h *harness) {
				h.upstreams[1].serviceTime = time.Second
				f := h.openFlow(1)
				h.startRequests(f, 6, false, 20*time.Second)
				time.Sleep(1100 * time.Millisecond)
				h.upstreams[2].serviceTime = 200 * time.Millisecond
				c := h.startRequest(f, "read", true, 20*time.Second)
				time.Sleep(100 * time.Millisecond)
				h.transfer(2, "b")
				r := <-c
				h.g.Expect(r.Status).To(Equal(ok))
				h.g.Expect(r.Upstream).To(BeEquivalentTo(2))
				h.g.Expect((<-h.startRequest(f, "write", false, 20*time.Second)).Status).To(Equal(ok), "the flow keeps its own token")
			})
		})
	}
}

// Guards against a reset of a caller's flow by an upstream that never had the flow. A request is
// redirected to another admission, whose holder dies. A retransmission reaches the recovered
// holder, which probes the upstream on the flow of the request.
func TestRequestRedirectedToRecoveredHolderKeepsItsFlow(t *testing.T) {
	simulate(t, 2, request.Tuning{}, func(h *harness) {
		h.transfer(2, "b")
		h.upstreams[1].serviceTime = time.Second
		f := h.openFlow(1)
		h.startRequests(f, 6, false, 20*time.Second)
		time.Sleep(1100 * time.Millisecond)
		h.upstreams[2].serviceTime = 10 * time.Second
		c := h.startRequest(f, "read", true, 3*time.Second)
		time.Sleep(20 * time.Millisecond)
		h.daemons["b"].kill()
		h.activate("c", 2, nil, ownership.Recovered)
		time.Sleep(2 * time.Second)
		h.g.Expect(h.daemons["c"].counters.Get("drop.unconfirmed_holder")).To(BeNumerically(">", 0), "the request reached the recovered holder")
		isBroken, reason := f.Broken()
		h.g.Expect(isBroken).To(BeFalse(), "broken: %v", reason)
		h.g.Expect(h.daemons["c"].counters.Get("drop.stale_spill")).To(BeNumerically(">", 0), "the probe was answered")
		<-c
		h.g.Expect((<-h.startRequest(f, "write", false, 20*time.Second)).Status).To(Equal(ok))
	})
}

// Guards against new flows at an upstream 3 s after its drain began, and against refusing requests
// on flows that are established there.
func TestDrain(t *testing.T) {
	simulate(t, 1, request.Tuning{}, func(h *harness) {
		f := h.openFlow(1)
		h.editConfiguration(func(c *pb.Configuration) {
			u := c.Services[0].Upstreams[0]
			u.State, u.DrainingSinceMs = pb.DeclaredState_DECLARED_STATE_DRAINING, time.Now().UnixMilli()
		})
		time.Sleep(2900 * time.Millisecond)
		h.g.Expect((<-h.startRequest(f, "x", false, time.Second)).Status).To(Equal(ok))
		open := &pb.Packet{Flow: f.Key().Proto(), Kind: pb.Kind_KIND_OPEN, Upstream: 1, Service: 1}
		opens := h.upstreams[1].receivedCount(pb.Kind_KIND_OPEN)
		h.holder(1).HandleCaller(open)
		time.Sleep(10 * hopDelay)
		h.g.Expect(h.upstreams[1].receivedCount(pb.Kind_KIND_OPEN)).To(Equal(opens))
		h.g.Expect(h.packetsOfKind(pb.Kind_KIND_RESET)[0].GetReason()).To(Equal(pb.Reason_REASON_UPSTREAM_DRAINING))
		h.g.Expect(h.holder(1).Status(1).GetState()).To(Equal(pb.UpstreamState_UPSTREAM_STATE_DRAINING))
	})
}
