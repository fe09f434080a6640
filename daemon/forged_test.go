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

// wiretap sees every datagram: the last request that went to an upstream, the tags that went to
// callers and the packets that a caller got.
type wiretap struct {
	mu        sync.Mutex
	request   *pb.Packet
	leaked    int
	toCallers []*pb.Packet
}

func (w *wiretap) see(_, to netip.AddrPort, data []byte, delay time.Duration) []time.Duration {
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
			w.leaked++
		}
	case p.GetKind() == pb.Kind_KIND_REQUEST && p.GetVerificationTag() != 0:
		w.request = p
	}
	return []time.Duration{delay}
}

func (w *wiretap) lastRequest() *pb.Packet {
	w.mu.Lock()
	defer w.mu.Unlock()
	return proto.CloneOf(w.request)
}

// forge sends all that an upstream might send on the flow of a request, by a caller that knows
// every field but the tag. It returns the number of packets.
func (c operators) forge(r *pb.Packet) int {
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

// drops sums a drop counter of all live daemons.
func (c operators) drops(reason string) (n int64) {
	for _, d := range c.Live() {
		n += d.Node.Counters().Get("drop." + reason)
	}
	return n
}

// askWhileForging makes a request that takes 50 ms and forges its answer meanwhile.
func (c operators) askWhileForging(f *caller.Flow, w *wiretap) {
	c.t.Helper()
	before, packets := c.drops("verification_tag"), len(w.toCallers)
	payload := upstream.RequestPayload(100, []byte("order"))
	answers, errs := make(chan caller.Answer, 1), make(chan error, 1)
	go func() {
		a, err := f.Request(context.Background(), caller.Request{Payload: payload, Deadline: 20 * time.Second})
		answers <- a
		errs <- err
	}()
	time.Sleep(30 * time.Millisecond)
	r := w.lastRequest()
	forged := c.forge(r)
	a := <-answers
	c.Expect(<-errs).NotTo(HaveOccurred())
	time.Sleep(100 * time.Millisecond)
	c.Expect(a.Status).To(Equal(pb.Status_STATUS_OK))
	c.Expect(upstream.VerifyAnswer(f.Key(), r.GetRequestId(), payload, a.Payload)).To(Succeed())
	c.Expect(c.drops("verification_tag") - before).To(Equal(int64(forged)))
	for _, p := range w.toCallers[packets:] {
		c.Expect(p.GetKind()).To(Equal(pb.Kind_KIND_ANSWER), "only the answer reaches the caller")
	}
	isBroken, _ := f.Broken()
	c.Expect(isBroken).To(BeFalse())
	c.Expect(w.leaked).To(BeZero())
}

// Guards against an answer, OPENED, RESET, CLOSE or KEEPALIVE_ACK that a caller forges, and
// against packets of the upstream that are taken for forged after the admission and the flow's
// partition went to other daemons, complete or recovered after a death.
func TestForgedAnswersAcrossHandOvers(t *testing.T) {
	withCluster(t, testcluster.Options{MeanService: 50 * time.Millisecond}, func(c operators) {
		w := &wiretap{}
		c.Tamper(w.see)
		f, err := c.Open(context.Background(), "bindery")
		c.Expect(err).NotTo(HaveOccurred())
		c.askWhileForging(f, w)

		held := c.holderOf(w.lastRequest().GetUpstream())
		c.Expect(c.Stop(context.Background(), held)).To(Succeed())
		time.Sleep(3 * time.Second)
		c.askWhileForging(f, w)

		killed := c.holderOf(w.lastRequest().GetUpstream())
		c.Expect(killed).NotTo(Equal(held))
		c.Kill(killed)
		time.Sleep(6 * time.Second)
		// The first request finds a holder that has yet to hear from the upstream.
		a, err := f.Request(context.Background(), caller.Request{Payload: []byte("first"), Idempotent: true, Deadline: 20 * time.Second})
		c.Expect(err).NotTo(HaveOccurred())
		c.Expect(a.Status).To(Equal(pb.Status_STATUS_OK))
		c.askWhileForging(f, w)
	})
}

// holderOf returns the daemon that holds the admission of an upstream.
func (c operators) holderOf(number uint32) string {
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
	c.t.Fatalf("nobody holds the admission of upstream %d", number)
	return ""
}

// dropToUpstreams drops what goes to the upstream on a flow, and counts the RESETs.
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
