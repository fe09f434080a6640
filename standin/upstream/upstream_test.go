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

// bench is one upstream whose packets to the service address are collected.
type bench struct {
	g       *WithT
	u       *upstream.Upstream
	balance wire.Conn
	replies chan *pb.Packet
}

func inBubble(t *testing.T, run func(b *bench)) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		network := memnet.New(nil)
		own, err := network.Listen(ownAddress)
		g.Expect(err).NotTo(HaveOccurred())
		balance, err := network.Listen(serviceAddress)
		g.Expect(err).NotTo(HaveOccurred())
		b := &bench{g: g, balance: balance, replies: make(chan *pb.Packet, 1000), u: upstream.New(upstream.Config{
			Name: "bindery-1", Service: serviceAddress, Slots: 2, Queue: 1,
			MeanService: serviceTime, Distribution: upstream.Constant, Seed: 1, Log: zerolog.Nop(),
		}, own)}
		go func() { _ = b.u.Run() }()
		go b.collect()
		defer func() {
			g.Expect(b.u.Close()).To(Succeed())
			g.Expect(balance.Close()).To(Succeed())
		}()
		run(b)
	})
}

func (b *bench) collect() {
	batch := make([]wire.Datagram, 1)
	for {
		if _, err := b.balance.ReadBatch(batch); err != nil {
			return
		}
		if p, err := wire.DecodePacket(batch[0].Data); err == nil {
			b.replies <- p
		}
	}
}

func flowOf(port uint16) wire.FlowKey {
	k, _ := wire.NewFlowKey(netip.AddrPortFrom(netip.MustParseAddr("127.9.0.1"), port), serviceAddress)
	return k
}

func (b *bench) send(p *pb.Packet) {
	if p.Flow == nil {
		p.Flow = flowOf(1).Proto()
	}
	if p.Service == 0 {
		p.Service = 1
	}
	p.Upstream = 7
	raw, err := wire.EncodePacket(p)
	b.g.Expect(err).NotTo(HaveOccurred())
	b.g.Expect(b.balance.Send(ownAddress, raw)).To(Succeed())
	synctest.Wait()
}

func (b *bench) request(id uint64) {
	b.send(&pb.Packet{Kind: pb.Kind_KIND_REQUEST, RequestId: id, Payload: payload})
}

// next returns the next packet to the service address, waiting up to a minute.
func (b *bench) next() *pb.Packet {
	select {
	case p := <-b.replies:
		return p
	case <-time.After(time.Minute):
		b.g.Expect("timeout").To(BeEmpty(), "no packet from the upstream")
		return nil
	}
}

func (b *bench) open() {
	b.send(&pb.Packet{Kind: pb.Kind_KIND_OPEN})
	b.g.Expect(b.next().GetKind()).To(Equal(pb.Kind_KIND_OPENED))
}

// Guards against work beyond the slots and the queue, and against shed work that runs.
func TestSlotsQueueAndShed(t *testing.T) {
	inBubble(t, func(b *bench) {
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
			b.g.Expect(upstream.VerifyAnswer(flowOf(1), a.GetRequestId(), payload, a.GetPayload())).To(Succeed())
		}
		b.g.Expect(time.Since(start)).To(Equal(2 * serviceTime))
		b.g.Expect(b.u.Report(true).Runs).To(HaveLen(3))
	})
}

// Guards against an answer in parts that does not add up, or that passes for that of another
// request.
func TestAnswerInParts(t *testing.T) {
	inBubble(t, func(b *bench) {
		b.open()
		large := upstream.RequestPayload(3000, nil)
		b.send(&pb.Packet{Kind: pb.Kind_KIND_REQUEST, RequestId: 1, Payload: large})
		var whole []byte
		for part := range uint32(3) {
			a := b.next()
			b.g.Expect([]uint32{a.GetPart(), a.GetParts()}).To(Equal([]uint32{part, 3}))
			whole = append(whole, a.GetPayload()...)
		}
		b.g.Expect(upstream.VerifyAnswer(flowOf(1), 1, large, whole)).To(Succeed())
		b.g.Expect(upstream.VerifyAnswer(flowOf(1), 2, large, whole)).To(MatchError(upstream.ErrWrongAnswer))
		b.g.Expect(upstream.VerifyAnswer(flowOf(2), 1, large, whole)).To(MatchError(upstream.ErrWrongAnswer))
		b.g.Expect(upstream.VerifyAnswer(flowOf(1), 1, large, whole[1:])).To(MatchError(upstream.ErrWrongAnswer))
	})
}

// Guards against a second run of a non-idempotent request that goes unreported.
func TestRunsAreCounted(t *testing.T) {
	inBubble(t, func(b *bench) {
		b.open()
		for range 2 {
			b.request(1)
			b.next()
			b.send(&pb.Packet{Kind: pb.Kind_KIND_REQUEST, RequestId: 2, Idempotent: true})
			b.next()
		}
		report := b.u.Report(true)
		name := upstream.RunName(flowOf(1).String(), 1)
		b.g.Expect(report.RunAgain).To(ConsistOf(name))
		b.g.Expect(report.Runs[name]).To(Equal(upstream.Run{Count: 2}))
		b.g.Expect(report.RequestsRun).To(BeEquivalentTo(4))
	})
}

// Guards against answers for flows that the upstream does not know, and against a packet of
// another service that is served or not counted.
func TestUnknownFlowAndWrongService(t *testing.T) {
	inBubble(t, func(b *bench) {
		b.send(&pb.Packet{Kind: pb.Kind_KIND_KEEPALIVE})
		reset := b.next()
		b.g.Expect(reset.GetKind()).To(Equal(pb.Kind_KIND_RESET))
		b.g.Expect(reset.GetReason()).To(Equal(pb.Reason_REASON_UNKNOWN_FLOW))
		b.open()
		b.send(&pb.Packet{Kind: pb.Kind_KIND_REQUEST, RequestId: 1, Service: 2})
		other := flowOf(1)
		other.ServicePort++
		b.send(&pb.Packet{Kind: pb.Kind_KIND_OPEN, Flow: other.Proto()})
		b.send(&pb.Packet{Kind: pb.Kind_KIND_KEEPALIVE, RequestId: 9})
		b.g.Expect(b.next().GetKind()).To(Equal(pb.Kind_KIND_KEEPALIVE_ACK))
		report := b.u.Report(false)
		b.g.Expect(report.WrongService).To(BeEquivalentTo(2))
		b.g.Expect(report.RequestsRun).To(BeZero())
	})
}

// Guards against a half-open fault that also silences new flows.
func TestMutedFlowsStaySilent(t *testing.T) {
	inBubble(t, func(b *bench) {
		b.open()
		taken, err := b.u.Mute(1)
		b.g.Expect(err).NotTo(HaveOccurred())
		b.g.Expect(taken).To(Equal(1))
		b.send(&pb.Packet{Kind: pb.Kind_KIND_KEEPALIVE})
		b.send(&pb.Packet{Kind: pb.Kind_KIND_OPEN, Flow: flowOf(2).Proto()})
		b.g.Expect(wire.FlowKeyFromProto(b.next().GetFlow())).To(Equal(flowOf(2)))
		_, err = b.u.Forget(1)
		b.g.Expect(err).NotTo(HaveOccurred())
		b.send(&pb.Packet{Kind: pb.Kind_KIND_KEEPALIVE, Flow: flowOf(2).Proto()})
		b.g.Expect(b.next().GetKind()).To(Equal(pb.Kind_KIND_RESET))
	})
}

// Guards against a cancelled or expired request that keeps its slot or claims that it did not
// run.
func TestCancelAndDeadline(t *testing.T) {
	inBubble(t, func(b *bench) {
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

// Guards against faults of the load report, of pauses and of cold starts that have no effect.
func TestReportedLoadPauseAndCold(t *testing.T) {
	inBubble(t, func(b *bench) {
		b.open()
		b.u.ColdStart(time.Second)
		b.request(1)
		b.u.Lie(true)
		b.send(&pb.Packet{Kind: pb.Kind_KIND_KEEPALIVE})
		b.g.Expect(b.next().GetLoad()).To(HaveField("InProgress", BeZero()))
		b.u.Lie(false)
		b.u.Freeze(true)
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
