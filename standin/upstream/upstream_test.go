package upstream_test

import (
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/standin/upstream"
	"github.com/fulmarfield/fulmarfield/wire"
	"github.com/fulmarfield/fulmarfield/wire/memnet"
)

var (
	serviceAddress = netip.MustParseAddrPort("127.2.1.1:8001")
	ownAddress     = netip.MustParseAddrPort("127.1.1.51:9000")
)

var payload = upstream.RequestPayload(100, []byte("order"))

const serviceTime = 10 * time.Millisecond

// fixture is one upstream, and the packets that it sends to the service address.
type fixture struct {
	g        *WithT
	u        *upstream.Upstream
	balancer wire.Conn
	replies  chan *pb.Packet
}

// runWithUpstream runs a test in virtual time with an upstream on an in-memory network.
func runWithUpstream(t *testing.T, run func(b *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		network := memnet.New(nil)
		own, err := network.Listen(ownAddress)
		g.Expect(err).NotTo(HaveOccurred())
		balancer, err := network.Listen(serviceAddress)
		g.Expect(err).NotTo(HaveOccurred())
		b := &fixture{g: g, balancer: balancer, replies: make(chan *pb.Packet, 1000), u: upstream.New(upstream.Config{
			Name: "bindery-1", Service: serviceAddress, Slots: 2, Queue: 1,
			MeanService: serviceTime, Distribution: upstream.Constant, Seed: 1, Log: zerolog.Nop(),
		}, own)}
		go func() { _ = b.u.Run() }()
		go b.collect()
		defer func() {
			g.Expect(b.u.Close()).To(Succeed())
			g.Expect(balancer.Close()).To(Succeed())
		}()
		run(b)
	})
}

func (b *fixture) collect() {
	batch := make([]wire.Datagram, 1)
	for {
		if _, err := b.balancer.ReadBatch(batch); err != nil {
			return
		}
		if p, err := wire.DecodePacket(batch[0].Data); err == nil {
			b.replies <- p
		}
	}
}

func flowWithPort(port uint16) wire.FlowKey {
	k, _ := wire.NewFlowKey(netip.AddrPortFrom(netip.MustParseAddr("127.9.0.1"), port), serviceAddress)
	return k
}

func (b *fixture) send(p *pb.Packet) {
	if p.Flow == nil {
		p.Flow = flowWithPort(1).Proto()
	}
	if p.Service == 0 {
		p.Service = 1
	}
	p.Upstream = 7
	raw, err := wire.EncodePacket(p)
	b.g.Expect(err).NotTo(HaveOccurred())
	b.g.Expect(b.balancer.Send(ownAddress, raw)).To(Succeed())
	synctest.Wait()
}

func (b *fixture) request(id uint64) {
	b.send(&pb.Packet{Kind: pb.Kind_KIND_REQUEST, RequestId: id, Payload: payload})
}

// next returns the next packet to the service address, waiting up to a minute.
func (b *fixture) next() *pb.Packet {
	select {
	case p := <-b.replies:
		return p
	case <-time.After(time.Minute):
		b.g.Expect("timeout").To(BeEmpty(), "no packet from the upstream")
		return nil
	}
}

func (b *fixture) open() {
	b.send(&pb.Packet{Kind: pb.Kind_KIND_OPEN})
	b.g.Expect(b.next().GetKind()).To(Equal(pb.Kind_KIND_OPENED))
}

// Guards against more requests in progress than the slots and the queue allow, and against requests
// that run although they were shed.
func TestSlotsQueueAndShed(t *testing.T) {
	runWithUpstream(t, func(b *fixture) {
		b.open()
		for id := range uint64(5) {
			b.request(id + 1)
		}
		for _, id := range []uint64{4, 5} {
			shed := b.next()
			b.g.Expect(shed.GetRequestId()).To(Equal(id))
			b.g.Expect(shed.GetStatus()).To(Equal(pb.Status_STATUS_NOT_RUN))
			b.g.Expect(shed.GetReason()).To(Equal(pb.Reason_REASON_UPSTREAM_SHED))
			b.g.Expect(shed.GetLoad().GetInProgress()).To(BeEquivalentTo(2))
		}
		start := time.Now()
		for range 3 {
			a := b.next()
			b.g.Expect(a.GetStatus()).To(Equal(pb.Status_STATUS_OK))
			b.g.Expect(a.GetUpstream()).To(BeEquivalentTo(7))
			b.g.Expect(upstream.VerifyAnswer(flowWithPort(1), a.GetRequestId(), payload, a.GetPayload())).To(Succeed())
		}
		b.g.Expect(time.Since(start)).To(Equal(2 * serviceTime))
		b.g.Expect(b.u.Report(true).Runs).To(HaveLen(3))
	})
}

// Guards against parts that do not form the complete answer, and against a check that accepts the
// answer to another request.
func TestAnswerInParts(t *testing.T) {
	runWithUpstream(t, func(b *fixture) {
		b.open()
		large := upstream.RequestPayload(3000, nil)
		b.send(&pb.Packet{Kind: pb.Kind_KIND_REQUEST, RequestId: 1, Payload: large})
		var whole []byte
		for part := range uint32(3) {
			a := b.next()
			b.g.Expect([]uint32{a.GetPart(), a.GetParts()}).To(Equal([]uint32{part, 3}))
			whole = append(whole, a.GetPayload()...)
		}
		b.g.Expect(upstream.VerifyAnswer(flowWithPort(1), 1, large, whole)).To(Succeed())
		b.g.Expect(upstream.VerifyAnswer(flowWithPort(1), 2, large, whole)).To(MatchError(upstream.ErrWrongAnswer))
		b.g.Expect(upstream.VerifyAnswer(flowWithPort(2), 1, large, whole)).To(MatchError(upstream.ErrWrongAnswer))
		b.g.Expect(upstream.VerifyAnswer(flowWithPort(1), 1, large, whole[1:])).To(MatchError(upstream.ErrWrongAnswer))
	})
}

// Guards against a second run of a non-idempotent request that the report does not show.
func TestRunsAreCounted(t *testing.T) {
	runWithUpstream(t, func(b *fixture) {
		b.open()
		for range 2 {
			b.request(1)
			b.next()
			b.send(&pb.Packet{Kind: pb.Kind_KIND_REQUEST, RequestId: 2, Idempotent: true})
			b.next()
		}
		report := b.u.Report(true)
		name := upstream.RequestName(flowWithPort(1).String(), 1)
		b.g.Expect(report.RunAgain).To(ConsistOf(name))
		b.g.Expect(report.Runs[name]).To(Equal(upstream.Run{Count: 2}))
		b.g.Expect(report.RequestsRun).To(BeEquivalentTo(4))
	})
}

// Guards against answers on unknown flows, and against packets of another service that are handled
// or not counted.
func TestUnknownFlowAndWrongService(t *testing.T) {
	runWithUpstream(t, func(b *fixture) {
		b.send(&pb.Packet{Kind: pb.Kind_KIND_KEEPALIVE})
		reset := b.next()
		b.g.Expect(reset.GetKind()).To(Equal(pb.Kind_KIND_RESET))
		b.g.Expect(reset.GetReason()).To(Equal(pb.Reason_REASON_UNKNOWN_FLOW))
		b.open()
		b.send(&pb.Packet{Kind: pb.Kind_KIND_REQUEST, RequestId: 1, Service: 2})
		other := flowWithPort(1)
		other.ServicePort++
		b.send(&pb.Packet{Kind: pb.Kind_KIND_OPEN, Flow: other.Proto()})
		b.send(&pb.Packet{Kind: pb.Kind_KIND_KEEPALIVE, RequestId: 9})
		b.g.Expect(b.next().GetKind()).To(Equal(pb.Kind_KIND_KEEPALIVE_ACK))
		report := b.u.Report(false)
		b.g.Expect(report.WrongService).To(BeEquivalentTo(2))
		b.g.Expect(report.RequestsRun).To(BeZero())
	})
}

// Guards against a half-open fault that also affects new flows.
func TestMutedFlowsStaySilent(t *testing.T) {
	runWithUpstream(t, func(b *fixture) {
		b.open()
		affected, err := b.u.MuteFlows(1)
		b.g.Expect(err).NotTo(HaveOccurred())
		b.g.Expect(affected).To(Equal(1))
		b.send(&pb.Packet{Kind: pb.Kind_KIND_KEEPALIVE})
		b.send(&pb.Packet{Kind: pb.Kind_KIND_OPEN, Flow: flowWithPort(2).Proto()})
		b.g.Expect(wire.FlowKeyFromProto(b.next().GetFlow())).To(Equal(flowWithPort(2)))
		_, err = b.u.ForgetFlows(1)
		b.g.Expect(err).NotTo(HaveOccurred())
		b.send(&pb.Packet{Kind: pb.Kind_KIND_KEEPALIVE, Flow: flowWithPort(2).Proto()})
		b.g.Expect(b.next().GetKind()).To(Equal(pb.Kind_KIND_RESET))
	})
}

// Guards against a cancelled or expired request that keeps its slot, or that ran in part and is
// reported as not run.
func TestCancelAndDeadline(t *testing.T) {
	runWithUpstream(t, func(b *fixture) {
		b.open()
		b.request(1)
		b.send(&pb.Packet{Kind: pb.Kind_KIND_REQUEST, RequestId: 2, DeadlineMs: 5})
		b.request(3)
		b.send(&pb.Packet{Kind: pb.Kind_KIND_CANCEL, RequestId: 3})
		waiting := b.next()
		b.g.Expect([]any{waiting.GetRequestId(), waiting.GetStatus()}).To(Equal([]any{uint64(3), pb.Status_STATUS_NOT_RUN}))
		b.send(&pb.Packet{Kind: pb.Kind_KIND_CANCEL, RequestId: 1})
		running := b.next()
		b.g.Expect([]any{running.GetRequestId(), running.GetStatus()}).To(Equal([]any{uint64(1), pb.Status_STATUS_ERROR}))
		late := b.next()
		b.g.Expect([]any{late.GetRequestId(), late.GetStatus(), late.GetReason()}).To(Equal(
			[]any{uint64(2), pb.Status_STATUS_ERROR, pb.Reason_REASON_DEADLINE}))
		b.g.Expect(b.u.Report(false).InProgress).To(BeZero())
	})
}

// Guards against injected faults (false or frozen load reports, pauses, cold starts) that have no
// effect.
func TestReportedLoadPauseAndCold(t *testing.T) {
	runWithUpstream(t, func(b *fixture) {
		b.open()
		b.u.ColdStart(time.Second)
		b.request(1)
		b.u.ReportIdle(true)
		b.send(&pb.Packet{Kind: pb.Kind_KIND_KEEPALIVE})
		b.g.Expect(b.next().GetLoad()).To(HaveField("InProgress", BeZero()))
		b.u.ReportIdle(false)
		b.u.FreezeLoadReport(true)
		start := time.Now()
		frozen := b.next().GetLoad()
		b.g.Expect(frozen.GetInProgress()).To(BeEquivalentTo(1))
		b.g.Expect(frozen.GetCold()).To(BeTrue())
		b.g.Expect(time.Since(start)).To(BeNumerically(">", 4*serviceTime))
		b.u.Pause(3 * time.Second)
		start = time.Now()
		b.send(&pb.Packet{Kind: pb.Kind_KIND_KEEPALIVE})
		b.next()
		b.g.Expect(time.Since(start)).To(Equal(3 * time.Second))
	})
}
