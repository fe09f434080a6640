package daemon_test

import (
	"context"
	"net/netip"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/caller"
	"github.com/fulmarfield/fulmarfield/standin/upstream"
	"github.com/fulmarfield/fulmarfield/test/testcluster"
	"github.com/fulmarfield/fulmarfield/wire"
)

// wiretap observes all datagrams. It records the last request that was sent to an upstream, the number
// of verification tags that were sent to callers, and the packets that were sent to callers.
type wiretap struct {
	mu                  sync.Mutex
	lastUpstreamRequest *pb.Packet
	leakedTags          int
	toCallers           []*pb.Packet
}

func (w *wiretap) observe(_, to netip.AddrPort, data []byte, delay time.Duration) []time.Duration {
	p, err := wire.DecodePacket(data)
	if err != nil {
		return []time.Duration{delay}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case to.Addr().As4()[1] == 9:
		w.toCallers = append(w.toCallers, p)
		if p.GetVerificationTag() != 0 {
			w.leakedTags++
		}
	case p.GetKind() == pb.Kind_KIND_REQUEST && p.GetVerificationTag() != 0:
		w.lastUpstreamRequest = p
	}
	return []time.Duration{delay}
}

func (w *wiretap) lastRequest() *pb.Packet {
	w.mu.Lock()
	defer w.mu.Unlock()
	return proto.CloneOf(w.lastUpstreamRequest)
}

// injectForgedPackets sends each kind of packet that an upstream may send on the flow of a request, as a
// caller that knows every field except the tag. It returns the number of packets.
func (c fixture) injectForgedPackets(r *pb.Packet) int {
	service := wire.FlowKeyFromProto(r.GetFlow()).Service()
	kinds := []pb.Kind{pb.Kind_KIND_ANSWER, pb.Kind_KIND_OPENED, pb.Kind_KIND_KEEPALIVE_ACK, pb.Kind_KIND_RESET,
		pb.Kind_KIND_CLOSE, pb.Kind_KIND_DATA, pb.Kind_KIND_KEEPALIVE}
	for _, kind := range kinds {
		raw, err := wire.EncodePacket(&pb.Packet{Flow: r.GetFlow(), Kind: kind, RequestId: r.GetRequestId(), Attempt: r.GetAttempt(),
			Service: r.GetService(), Upstream: r.GetUpstream(), Status: pb.Status_STATUS_OK, Parts: 1, GuardToken: r.GetGuardToken(),
			VerificationTag: r.GetVerificationTag() ^ 1, Payload: []byte("forged")})
		c.Expect(err).NotTo(HaveOccurred())
		c.Inject(netip.MustParseAddrPort("127.9.200.1:40000"), service, raw)
	}
	return len(kinds)
}

// sumDrops returns the sum of a drop counter over all live daemons.
func (c fixture) sumDrops(reason string) (n int64) {
	for _, d := range c.Live() {
		n += d.Node.Counters().Get("drop." + reason)
	}
	return n
}

// requestWhileForging sends a request that takes 50 ms, injects forged packets meanwhile, and checks
// that the daemons drop all of them and that the caller receives the real answer only.
func (c fixture) requestWhileForging(f *caller.Flow, w *wiretap) {
	c.t.Helper()
	before, packets := c.sumDrops("verification_tag"), len(w.toCallers)
	payload := upstream.RequestPayload(100, []byte("order"))
	answers, errs := make(chan caller.Answer, 1), make(chan error, 1)
	go func() {
		a, err := f.Request(context.Background(), caller.Request{Payload: payload, Deadline: 20 * time.Second})
		answers <- a
		errs <- err
	}()
	time.Sleep(30 * time.Millisecond)
	r := w.lastRequest()
	forged := c.injectForgedPackets(r)
	a := <-answers
	c.Expect(<-errs).NotTo(HaveOccurred())
	time.Sleep(100 * time.Millisecond)
	c.Expect(a.Status).To(Equal(pb.Status_STATUS_OK))
	c.Expect(upstream.VerifyAnswer(f.Key(), r.GetRequestId(), payload, a.Payload)).To(Succeed())
	c.Expect(c.sumDrops("verification_tag") - before).To(Equal(int64(forged)))
	for _, p := range w.toCallers[packets:] {
		c.Expect(p.GetKind()).To(Equal(pb.Kind_KIND_ANSWER), "only the answer reaches the caller")
	}
	isBroken, _ := f.Broken()
	c.Expect(isBroken).To(BeFalse())
	c.Expect(w.leakedTags).To(BeZero())
}

// Guards against an accepted packet that a caller forged as an upstream's answer, OPENED, RESET, CLOSE
// or KEEPALIVE_ACK, and against packets of the upstream that are dropped as forged after the admission
// and the flow partition were transferred to another daemon or recovered after the holder's death.
func TestForgedAnswersAcrossHandOvers(t *testing.T) {
	runWithCluster(t, testcluster.Options{MeanService: 50 * time.Millisecond}, func(c fixture) {
		w := &wiretap{}
		c.Tamper(w.observe)
		f, err := c.Open(context.Background(), "bindery")
		c.Expect(err).NotTo(HaveOccurred())
		c.requestWhileForging(f, w)

		stopped := c.admissionHolder(w.lastRequest().GetUpstream())
		c.Expect(c.Stop(context.Background(), stopped)).To(Succeed())
		time.Sleep(3 * time.Second)
		c.requestWhileForging(f, w)

		killed := c.admissionHolder(w.lastRequest().GetUpstream())
		c.Expect(killed).NotTo(Equal(stopped))
		c.Kill(killed)
		time.Sleep(6 * time.Second)
		// The new holder has received nothing from the upstream before this request.
		a, err := f.Request(context.Background(), caller.Request{Payload: []byte("first"), Idempotent: true, Deadline: 20 * time.Second})
		c.Expect(err).NotTo(HaveOccurred())
		c.Expect(a.Status).To(Equal(pb.Status_STATUS_OK))
		c.requestWhileForging(f, w)
	})
}

// admissionHolder returns the daemon that holds the admission of an upstream.
func (c fixture) admissionHolder(number uint32) string {
	c.t.Helper()
	for _, d := range c.Live() {
		r, err := d.Node.PeerService().Status(context.Background(), connect.NewRequest(&pb.StatusRequest{}))
		c.Expect(err).NotTo(HaveOccurred())
		for _, u := range r.Msg.GetUpstreams() {
			if u.GetUpstream() == number && u.GetAdmissionHeld() {
				return string(d.Member.ID)
			}
		}
	}
	c.t.Fatalf("no daemon holds the admission of upstream %d", number)
	return ""
}

// dropToUpstreams returns a function for Tamper that drops the packets to the upstream of a flow, and
// that counts the RESETs among them.
func dropToUpstreams(flow wire.FlowKey, resets *int) func(from, to netip.AddrPort, data []byte, delay time.Duration) []time.Duration {
	return func(_, to netip.AddrPort, data []byte, delay time.Duration) []time.Duration {
		p, err := wire.DecodePacket(data)
		if err != nil || p.GetVerificationTag() == 0 || to == flow.Service() || wire.FlowKeyFromProto(p.GetFlow()) != flow {
			return []time.Duration{delay}
		}
		if p.GetKind() == pb.Kind_KIND_RESET {
			*resets++
		}
		return nil
	}
}
