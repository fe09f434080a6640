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

// Guards against a second run when the caller retransmits a request that is in progress.
func TestRetransmissionInProgress(t *testing.T) {
	simulate(t, 1, request.Tuning{}, func(w *world) {
		u := w.upstreams[1]
		u.service = 2 * time.Second
		f := w.flow(1)
		for name, isIdempotent := range map[string]bool{"order": false, "read": true} {
			r := <-w.ask(f, name, isIdempotent, 5*time.Second)
			w.g.Expect(r.Status).To(Equal(ok))
			w.g.Expect(string(r.Payload)).To(Equal("done " + name))
			w.g.Expect(r.Attempts).To(BeNumerically(">", 2))
			w.g.Expect(u.ran(f.Key(), name)).To(Equal(1))
		}
		w.g.Expect(w.engines["a"].counters.Get("drop.duplicate_in_progress")).To(BeNumerically(">", 1))
	})
}

// Guards against a run by a new holder that cannot know whether the lost one ran the request.
func TestOwnerDeath(t *testing.T) {
	simulate(t, 1, request.Tuning{}, func(w *world) {
		u := w.upstreams[1]
		u.service = 500 * time.Millisecond
		f := w.flow(1)
		c := w.ask(f, "order", false, 5*time.Second)
		time.Sleep(100 * time.Millisecond)
		w.engines["a"].kill()
		time.Sleep(time.Second)
		w.activate("b", 1, nil, ownership.Recovered)
		r := <-c
		w.g.Expect(r.Status).To(Equal(unknown))
		w.g.Expect(r.Reason).To(Equal(pb.Reason_REASON_STALE_GUARD))
		w.g.Expect(u.ran(f.Key(), "order")).To(Equal(1))
		w.g.Expect(w.notices[len(w.notices)-1].GetTokenChanged()).To(BeTrue())
		r = <-w.ask(f, "next", false, 5*time.Second)
		w.g.Expect(r.Status).To(Equal(ok))
		w.g.Expect(u.ran(f.Key(), "next")).To(Equal(1))
	})
}

// sent returns the packet of a request as the caller would send it again.
func (w *world) sent(u uint32, name string) *pb.Packet {
	up := w.upstreams[u]
	up.mu.Lock()
	defer up.mu.Unlock()
	for _, p := range up.seen {
		if p.GetKind() == pb.Kind_KIND_REQUEST && string(p.GetPayload()) == name {
			return proto.CloneOf(p)
		}
	}
	return nil
}

// lastAnswer returns the last answer that went to a caller.
func (w *world) lastAnswer() *pb.Packet {
	time.Sleep(10 * hop)
	list := w.packets(pb.Kind_KIND_ANSWER)
	return list[len(list)-1]
}

// Guards against a second run by a late duplicate, with the record, without the record but with
// the low-water mark, and after the records went to another holder.
func TestDuplicateAfterFinish(t *testing.T) {
	simulate(t, 1, request.Tuning{}, func(w *world) {
		f := w.flow(1)
		w.g.Expect((<-w.ask(f, "order", false, time.Second)).Status).To(Equal(ok))
		d := w.sent(1, "order")
		w.holder(1).HandleCaller(proto.CloneOf(d))
		w.g.Expect(string(w.lastAnswer().GetPayload())).To(Equal("done order"))

		w.transfer(1, "b")
		w.holder(1).HandleCaller(proto.CloneOf(d))
		w.g.Expect(w.lastAnswer().GetReason()).To(Equal(pb.Reason_REASON_ANSWER_LOST))
		time.Sleep(122 * time.Second)
		w.holder(1).HandleCaller(proto.CloneOf(d))
		w.g.Expect(w.lastAnswer().GetReason()).To(Equal(pb.Reason_REASON_DUPLICATE))
		w.transfer(1, "a")
		w.holder(1).HandleCaller(proto.CloneOf(d))
		w.g.Expect(w.lastAnswer().GetReason()).To(Equal(pb.Reason_REASON_DUPLICATE))
		w.g.Expect(w.upstreams[1].ran(f.Key(), "order")).To(Equal(1))
	})
}

// Guards against requests that are lost, run twice or cut off by a planned move: one in
// progress and several queued.
func TestCompleteTransfer(t *testing.T) {
	simulate(t, 1, request.Tuning{}, func(w *world) {
		u := w.upstreams[1]
		u.service, u.parts = 400*time.Millisecond, 3
		f := w.flow(1)
		names := []string{"1", "2", "3", "4", "5"}
		var waiting []chan result
		for _, n := range names {
			waiting = append(waiting, w.ask(f, n, false, 5*time.Second))
		}
		time.Sleep(100 * time.Millisecond)
		token := w.packets(pb.Kind_KIND_OPENED)[0].GetGuardToken()
		w.transfer(1, "b")
		w.g.Expect(w.engines["a"].InProgress()).To(Equal(2))
		time.Sleep(50 * time.Millisecond) // less than a retransmission takes
		w.g.Expect(w.holder(1).Status(1).GetQueued()).To(BeEquivalentTo(3))
		for i, c := range waiting {
			r := <-c
			w.g.Expect(r.Status).To(Equal(ok), names[i])
			w.g.Expect(string(r.Payload)).To(Equal("done " + names[i]))
			w.g.Expect(u.ran(f.Key(), names[i])).To(Equal(1))
		}
		w.g.Expect(u.peak).To(Equal(2))
		w.g.Expect(w.lastAnswer().GetGuardToken()).To(Equal(token))
		time.Sleep(3 * time.Second)
		w.g.Expect(w.engines["a"].InProgress()).To(BeZero())
		w.g.Expect(w.engines["b"].InProgress()).To(BeZero())
	})
}

// Guards against an answer that only the former holder gets, at a moved admission.
func TestAnswerAtFormerHolder(t *testing.T) {
	simulate(t, 1, request.Tuning{}, func(w *world) {
		f := w.flow(1)
		w.upstreams[1].set(func() { w.upstreams[1].frozen = true })
		c := w.ask(f, "order", false, 5*time.Second)
		time.Sleep(100 * time.Millisecond)
		w.transfer(1, "b")
		p := w.sent(1, "order")
		p.Kind, p.Status, p.Payload = pb.Kind_KIND_ANSWER, ok, []byte("done order")
		w.engines["a"].HandleUpstream(p)
		w.g.Expect((<-c).Status).To(Equal(ok))
		w.g.Expect(w.engines["a"].InProgress()).To(BeZero())
		time.Sleep(10 * hop)
		w.g.Expect(w.engines["b"].Status(1).GetInProgress()).To(BeZero())
	})
}

// Guards against a second run by a holder that was paused while another one recovered.
func TestPausedHolder(t *testing.T) {
	simulate(t, 1, request.Tuning{}, func(w *world) {
		u := w.upstreams[1]
		u.service = 300 * time.Millisecond
		f := w.flow(1)
		var waiting []chan result
		names := []string{"1", "2", "3", "4"}
		for _, n := range names {
			waiting = append(waiting, w.ask(f, n, false, 20*time.Second))
		}
		time.Sleep(50 * time.Millisecond)
		w.engines["a"].pause(true)
		time.Sleep(3 * time.Second)
		w.activate("b", 1, nil, ownership.Recovered)
		time.Sleep(3 * time.Second)
		w.engines["a"].pause(false)
		time.Sleep(time.Second)
		w.engines["a"].Release(admission(1))
		for i, c := range waiting {
			w.g.Expect((<-c).Status).NotTo(Equal(notRun))
			w.g.Expect(u.ran(f.Key(), names[i])).To(BeNumerically("<=", 1))
		}
		w.g.Expect((<-w.ask(f, "new", false, time.Second)).Status).To(Equal(ok))
	})
}

// Guards against running a request after the caller was told that it has not run.
func TestRefusedNeverRunsLater(t *testing.T) {
	simulate(t, 1, request.Tuning{NoRetryBudget: true}, func(w *world) {
		u := w.upstreams[1]
		refusing := true
		u.refuse = func() bool { return refusing }
		f := w.flow(1)
		r := <-w.ask(f, "order", false, 2*time.Second)
		w.g.Expect(r.Status).To(Equal(notRun))
		w.g.Expect(u.count(pb.Kind_KIND_REQUEST)).To(BeNumerically(">", 2))
		u.set(func() { refusing = false })
		time.Sleep(10 * time.Second)
		w.holder(1).HandleCaller(w.sent(1, "order"))
		w.g.Expect(w.lastAnswer().GetStatus()).To(Equal(notRun))
		w.transfer(1, "b")
		w.holder(1).HandleCaller(w.sent(1, "order"))
		w.g.Expect(w.lastAnswer().GetStatus()).To(Equal(notRun))
		w.g.Expect(u.ran(f.Key(), "order")).To(BeZero())
	})
}

// Guards against a duplicated refusal of the first run that ends the second one as not run.
func TestRefusalOfEarlierRun(t *testing.T) {
	simulate(t, 1, request.Tuning{}, func(w *world) {
		u := w.upstreams[1]
		n := 0
		u.refuse = func() bool { n++; return n == 1 }
		u.service = time.Second
		f := w.flow(1)
		c := w.ask(f, "order", false, 5*time.Second)
		time.Sleep(500 * time.Millisecond)
		p := w.sent(1, "order")
		p.Kind, p.Status = pb.Kind_KIND_ANSWER, notRun
		w.holder(1).HandleUpstream(p)
		w.g.Expect((<-c).Status).To(Equal(ok))
		w.g.Expect(u.ran(f.Key(), "order")).To(Equal(1))
	})
}

// Guards against the same at a new holder: the refusal of a run by the former holder arrives
// while the new holder's run, which also is its first, is in progress.
func TestRefusalOfFormerHoldersRun(t *testing.T) {
	simulate(t, 1, request.Tuning{}, func(w *world) {
		u := w.upstreams[1]
		n := 0
		u.refuse = func() bool { n++; return n == 1 }
		u.service = time.Second
		f := w.flow(1)
		c := w.ask(f, "order", false, 5*time.Second)
		time.Sleep(10 * time.Millisecond)
		w.transfer(1, "b")
		time.Sleep(500 * time.Millisecond)
		w.g.Expect(u.ran(f.Key(), "order")).To(Equal(1))
		p := w.sent(1, "order")
		p.Kind, p.Status = pb.Kind_KIND_ANSWER, notRun
		w.holder(1).HandleUpstream(p)
		w.g.Expect((<-c).Status).To(Equal(ok))
		w.g.Expect(u.ran(f.Key(), "order")).To(Equal(1))
	})
}

// Guards against a false 'not run' for an idempotent request that a lost holder ran: the new
// holder sees a later transmission with its own token and has to refuse it.
func TestRefusalAfterOwnerDeath(t *testing.T) {
	simulate(t, 1, request.Tuning{}, func(w *world) {
		u := w.upstreams[1]
		f := w.flow(1)
		u.service = 300 * time.Millisecond
		c := w.ask(f, "read", true, 1100*time.Millisecond)
		time.Sleep(100 * time.Millisecond)
		w.engines["a"].kill()
		w.activate("b", 1, nil, ownership.Recovered)
		u.set(func() { u.refuse = func() bool { return true } })
		w.g.Expect((<-c).Status).To(Equal(unknown))
		w.g.Expect(w.lastAnswer().GetStatus()).To(Equal(unknown), "also without the rule of the callers' library")
		w.g.Expect(u.ran(f.Key(), "read")).To(Equal(1))
	})
}

// Guards against packets that reach an upstream of another service, and answers that reach the
// caller of another flow.
func TestIsolation(t *testing.T) {
	simulate(t, 1, request.Tuning{}, func(w *world) {
		u := w.upstreams[1]
		f, g := w.flow(1), w.flow(1)
		w.g.Expect((<-w.ask(f, "order", false, time.Second)).Status).To(Equal(ok))
		p := w.sent(1, "order")
		before := u.count(pb.Kind_KIND_REQUEST)
		p.RequestId += 10
		wrong := proto.CloneOf(p)
		wrong.Service = 2
		w.holder(1).HandleCaller(wrong)
		wrong = proto.CloneOf(p)
		wrong.Flow.ServiceIp++ // 127.2.1.2 is no service
		w.holder(1).HandleCaller(wrong)
		wrong = proto.CloneOf(p)
		wrong.Flow.ServiceIp += 1 << 8 // 127.2.2.1 is the other service
		wrong.Service = 0
		w.holder(1).HandleCaller(wrong)
		wrong = proto.CloneOf(p)
		wrong.Upstream = 90
		w.holder(1).HandleCaller(wrong)
		w.g.Expect(u.count(pb.Kind_KIND_REQUEST)).To(Equal(before))
		w.g.Expect(w.engines["a"].counters.Get("drop.wrong_service")).To(BeEquivalentTo(4))

		u.set(func() { u.frozen = true })
		c := w.ask(f, "secret", false, time.Second)
		time.Sleep(50 * time.Millisecond)
		foreign := w.sent(1, "secret")
		foreign.Kind, foreign.Status, foreign.Flow = pb.Kind_KIND_ANSWER, ok, g.Key().Proto()
		w.holder(1).HandleUpstream(foreign)
		w.g.Expect((<-c).Status).To(Equal(unknown))
		w.g.Expect(w.engines["a"].counters.Get("drop.unmatched_answer")).To(BeEquivalentTo(1))
	})
}
