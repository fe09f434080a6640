package request_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/ownership"
	"github.com/fulmarfield/fulmarfield/request"
)

const (
	ok      = pb.Status_STATUS_OK
	notRun  = pb.Status_STATUS_NOT_RUN
	unknown = pb.Status_STATUS_OUTCOME_UNKNOWN
)

// Guards against a second run of a request that the caller retransmits while it is in progress.
func TestRetransmissionInProgress(t *testing.T) {
	simulate(t, 1, request.Tuning{}, func(h *harness) {
		u := h.upstreams[1]
		u.serviceTime = 2 * time.Second
		f := h.openFlow(1)
		for name, isIdempotent := range map[string]bool{"order": false, "read": true} {
			r := <-h.startRequest(f, name, isIdempotent, 5*time.Second)
			h.g.Expect(r.Status).To(Equal(ok))
			h.g.Expect(string(r.Payload)).To(Equal("done " + name))
			h.g.Expect(r.Attempts).To(BeNumerically(">", 2))
			h.g.Expect(u.runCount(f.Key(), name)).To(Equal(1))
		}
		h.g.Expect(h.daemons["a"].counters.Get("drop.duplicate_in_progress")).To(BeNumerically(">", 1))
	})
}

// Guards against a run by a new holder that cannot know whether the lost holder ran the request.
func TestHolderLost(t *testing.T) {
	simulate(t, 1, request.Tuning{}, func(h *harness) {
		u := h.upstreams[1]
		u.serviceTime = 500 * time.Millisecond
		f := h.openFlow(1)
		c := h.startRequest(f, "order", false, 5*time.Second)
		time.Sleep(100 * time.Millisecond)
		h.daemons["a"].kill()
		time.Sleep(time.Second)
		h.activate("b", 1, nil, ownership.Recovered)
		r := <-c
		h.g.Expect(r.Status).To(Equal(unknown))
		h.g.Expect(r.Reason).To(Equal(pb.Reason_REASON_STALE_GUARD))
		h.g.Expect(u.runCount(f.Key(), "order")).To(Equal(1))
		h.g.Expect(h.notices[len(h.notices)-1].GetTokenChanged()).To(BeTrue())
		r = <-h.startRequest(f, "next", false, 5*time.Second)
		h.g.Expect(r.Status).To(Equal(ok))
		h.g.Expect(u.runCount(f.Key(), "next")).To(Equal(1))
	})
}

// requestPacket returns a copy of the packet of a request that an upstream received.
func (h *harness) requestPacket(u uint32, name string) *pb.Packet {
	up := h.upstreams[u]
	up.mu.Lock()
	defer up.mu.Unlock()
	for _, p := range up.received {
		if p.GetKind() == pb.Kind_KIND_REQUEST && string(p.GetPayload()) == name {
			return proto.CloneOf(p)
		}
	}
	return nil
}

// lastAnswer returns the last answer that was sent to a caller.
func (h *harness) lastAnswer() *pb.Packet {
	time.Sleep(10 * hopDelay)
	list := h.packetsOfKind(pb.Kind_KIND_ANSWER)
	return list[len(list)-1]
}

// Guards against a second run by a late duplicate of a request: while the record exists, after the
// record was replaced by the low-water mark, and after a transfer to another holder.
func TestDuplicateAfterFinish(t *testing.T) {
	simulate(t, 1, request.Tuning{}, func(h *harness) {
		f := h.openFlow(1)
		h.g.Expect((<-h.startRequest(f, "order", false, time.Second)).Status).To(Equal(ok))
		d := h.requestPacket(1, "order")
		h.holder(1).HandleCaller(proto.CloneOf(d))
		h.g.Expect(string(h.lastAnswer().GetPayload())).To(Equal("done order"))

		h.transfer(1, "b")
		h.holder(1).HandleCaller(proto.CloneOf(d))
		h.g.Expect(h.lastAnswer().GetReason()).To(Equal(pb.Reason_REASON_ANSWER_LOST))
		time.Sleep(122 * time.Second)
		h.holder(1).HandleCaller(proto.CloneOf(d))
		h.g.Expect(h.lastAnswer().GetReason()).To(Equal(pb.Reason_REASON_DUPLICATE))
		h.transfer(1, "a")
		h.holder(1).HandleCaller(proto.CloneOf(d))
		h.g.Expect(h.lastAnswer().GetReason()).To(Equal(pb.Reason_REASON_DUPLICATE))
		h.g.Expect(h.upstreams[1].runCount(f.Key(), "order")).To(Equal(1))
	})
}

// Guards against requests that are lost, run twice or have no answer because the admission is
// transferred with all its records while two requests are in progress and three are queued.
func TestCompleteTransfer(t *testing.T) {
	simulate(t, 1, request.Tuning{}, func(h *harness) {
		u := h.upstreams[1]
		u.serviceTime, u.parts = 400*time.Millisecond, 3
		f := h.openFlow(1)
		names := []string{"1", "2", "3", "4", "5"}
		var waiting []chan result
		for _, n := range names {
			waiting = append(waiting, h.startRequest(f, n, false, 5*time.Second))
		}
		time.Sleep(100 * time.Millisecond)
		token := h.packetsOfKind(pb.Kind_KIND_OPENED)[0].GetGuardToken()
		h.transfer(1, "b")
		h.g.Expect(h.daemons["a"].InProgress()).To(Equal(2))
		time.Sleep(50 * time.Millisecond) // This is less than the caller's retransmission interval.
		h.g.Expect(h.holder(1).Status(1).GetQueued()).To(BeEquivalentTo(3))
		for i, c := range waiting {
			r := <-c
			h.g.Expect(r.Status).To(Equal(ok), names[i])
			h.g.Expect(string(r.Payload)).To(Equal("done " + names[i]))
			h.g.Expect(u.runCount(f.Key(), names[i])).To(Equal(1))
		}
		h.g.Expect(u.peak).To(Equal(2))
		h.g.Expect(h.lastAnswer().GetGuardToken()).To(Equal(token))
		time.Sleep(3 * time.Second)
		h.g.Expect(h.daemons["a"].InProgress()).To(BeZero())
		h.g.Expect(h.daemons["b"].InProgress()).To(BeZero())
	})
}

// Guards against an answer that arrives only at the former holder after a transfer: it must reach
// the caller and end the request at both holders.
func TestAnswerAtFormerHolder(t *testing.T) {
	simulate(t, 1, request.Tuning{}, func(h *harness) {
		f := h.openFlow(1)
		h.upstreams[1].update(func() { h.upstreams[1].frozen = true })
		c := h.startRequest(f, "order", false, 5*time.Second)
		time.Sleep(100 * time.Millisecond)
		h.transfer(1, "b")
		p := h.requestPacket(1, "order")
		p.Kind, p.Status, p.Payload = pb.Kind_KIND_ANSWER, ok, []byte("done order")
		h.daemons["a"].HandleUpstream(p)
		h.g.Expect((<-c).Status).To(Equal(ok))
		h.g.Expect(h.daemons["a"].InProgress()).To(BeZero())
		time.Sleep(10 * hopDelay)
		h.g.Expect(h.daemons["b"].Status(1).GetInProgress()).To(BeZero())
	})
}

// Guards against a second run by a holder that was paused while another daemon recovered the
// admission.
func TestPausedHolder(t *testing.T) {
	simulate(t, 1, request.Tuning{}, func(h *harness) {
		u := h.upstreams[1]
		u.serviceTime = 300 * time.Millisecond
		f := h.openFlow(1)
		var waiting []chan result
		names := []string{"1", "2", "3", "4"}
		for _, n := range names {
			waiting = append(waiting, h.startRequest(f, n, false, 20*time.Second))
		}
		time.Sleep(50 * time.Millisecond)
		h.daemons["a"].setPaused(true)
		time.Sleep(3 * time.Second)
		h.activate("b", 1, nil, ownership.Recovered)
		time.Sleep(3 * time.Second)
		h.daemons["a"].setPaused(false)
		time.Sleep(time.Second)
		h.daemons["a"].Release(admission(1))
		for i, c := range waiting {
			h.g.Expect((<-c).Status).NotTo(Equal(notRun))
			h.g.Expect(u.runCount(f.Key(), names[i])).To(BeNumerically("<=", 1))
		}
		h.g.Expect((<-h.startRequest(f, "new", false, time.Second)).Status).To(Equal(ok))
	})
}

// Guards against running a request after its caller received the status not run.
func TestRefusedNeverRunsLater(t *testing.T) {
	simulate(t, 1, request.Tuning{NoRetryBudget: true}, func(h *harness) {
		u := h.upstreams[1]
		refusing := true
		u.refuse = func() bool { return refusing }
		f := h.openFlow(1)
		r := <-h.startRequest(f, "order", false, 2*time.Second)
		h.g.Expect(r.Status).To(Equal(notRun))
		h.g.Expect(u.receivedCount(pb.Kind_KIND_REQUEST)).To(BeNumerically(">", 2))
		u.update(func() { refusing = false })
		time.Sleep(10 * time.Second)
		h.holder(1).HandleCaller(h.requestPacket(1, "order"))
		h.g.Expect(h.lastAnswer().GetStatus()).To(Equal(notRun))
		h.transfer(1, "b")
		h.holder(1).HandleCaller(h.requestPacket(1, "order"))
		h.g.Expect(h.lastAnswer().GetStatus()).To(Equal(notRun))
		h.g.Expect(u.runCount(f.Key(), "order")).To(BeZero())
	})
}

// Guards against a duplicate of the first run's refusal that ends the second run as not run.
func TestRefusalOfEarlierRun(t *testing.T) {
	simulate(t, 1, request.Tuning{}, func(h *harness) {
		u := h.upstreams[1]
		n := 0
		u.refuse = func() bool { n++; return n == 1 }
		u.serviceTime = time.Second
		f := h.openFlow(1)
		c := h.startRequest(f, "order", false, 5*time.Second)
		time.Sleep(500 * time.Millisecond)
		p := h.requestPacket(1, "order")
		p.Kind, p.Status = pb.Kind_KIND_ANSWER, notRun
		h.holder(1).HandleUpstream(p)
		h.g.Expect((<-c).Status).To(Equal(ok))
		h.g.Expect(u.runCount(f.Key(), "order")).To(Equal(1))
	})
}

// Guards against a refusal of the former holder's run that ends a run of the new holder as not run.
// The refusal arrives while the new holder's first run of the request is in progress.
func TestRefusalOfFormerHoldersRun(t *testing.T) {
	simulate(t, 1, request.Tuning{}, func(h *harness) {
		u := h.upstreams[1]
		n := 0
		u.refuse = func() bool { n++; return n == 1 }
		u.serviceTime = time.Second
		f := h.openFlow(1)
		c := h.startRequest(f, "order", false, 5*time.Second)
		time.Sleep(10 * time.Millisecond)
		h.transfer(1, "b")
		time.Sleep(500 * time.Millisecond)
		h.g.Expect(u.runCount(f.Key(), "order")).To(Equal(1))
		p := h.requestPacket(1, "order")
		p.Kind, p.Status = pb.Kind_KIND_ANSWER, notRun
		h.holder(1).HandleUpstream(p)
		h.g.Expect((<-c).Status).To(Equal(ok))
		h.g.Expect(u.runCount(f.Key(), "order")).To(Equal(1))
	})
}

// Guards against a false status not run for an idempotent request that a lost holder ran. The new
// holder receives a retransmission with its own token, and the upstream refuses it.
func TestRefusalAfterHolderLost(t *testing.T) {
	simulate(t, 1, request.Tuning{}, func(h *harness) {
		u := h.upstreams[1]
		f := h.openFlow(1)
		u.serviceTime = 300 * time.Millisecond
		c := h.startRequest(f, "read", true, 1100*time.Millisecond)
		time.Sleep(100 * time.Millisecond)
		h.daemons["a"].kill()
		h.activate("b", 1, nil, ownership.Recovered)
		u.update(func() { u.refuse = func() bool { return true } })
		h.g.Expect((<-c).Status).To(Equal(unknown))
		h.g.Expect(h.lastAnswer().GetStatus()).To(Equal(unknown), "the status must not depend on the caller library")
		h.g.Expect(u.runCount(f.Key(), "read")).To(Equal(1))
	})
}

// Guards against packets that are forwarded to an upstream of another service, and answers that are
// forwarded to the caller of another flow.
func TestIsolation(t *testing.T) {
	simulate(t, 1, request.Tuning{}, func(h *harness) {
		u := h.upstreams[1]
		f, g := h.openFlow(1), h.openFlow(1)
		h.g.Expect((<-h.startRequest(f, "order", false, time.Second)).Status).To(Equal(ok))
		p := h.requestPacket(1, "order")
		before := u.receivedCount(pb.Kind_KIND_REQUEST)
		p.RequestId += 10
		wrong := proto.CloneOf(p)
		wrong.Service = 2
		h.holder(1).HandleCaller(wrong)
		wrong = proto.CloneOf(p)
		wrong.Flow.ServiceIp++ // 127.2.1.2 is no service
		h.holder(1).HandleCaller(wrong)
		wrong = proto.CloneOf(p)
		wrong.Flow.ServiceIp += 1 << 8 // 127.2.2.1 is the other service
		wrong.Service = 0
		h.holder(1).HandleCaller(wrong)
		wrong = proto.CloneOf(p)
		wrong.Upstream = 90
		h.holder(1).HandleCaller(wrong)
		h.g.Expect(u.receivedCount(pb.Kind_KIND_REQUEST)).To(Equal(before))
		h.g.Expect(h.daemons["a"].counters.Get("drop.wrong_service")).To(BeEquivalentTo(4))

		u.update(func() { u.frozen = true })
		c := h.startRequest(f, "secret", false, time.Second)
		time.Sleep(50 * time.Millisecond)
		foreign := h.requestPacket(1, "secret")
		foreign.Kind, foreign.Status, foreign.Flow = pb.Kind_KIND_ANSWER, ok, g.Key().Proto()
		h.holder(1).HandleUpstream(foreign)
		h.g.Expect((<-c).Status).To(Equal(unknown))
		h.g.Expect(h.daemons["a"].counters.Get("drop.unmatched_answer")).To(BeEquivalentTo(1))
	})
}
