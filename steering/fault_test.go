package steering

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/membership"
	"github.com/fulmarfield/fulmarfield/ownership"
	"github.com/fulmarfield/fulmarfield/wire"
)

const (
	silent      = pb.UpstreamState_UPSTREAM_STATE_SILENT
	shedding    = pb.UpstreamState_UPSTREAM_STATE_SHEDDING
	settleDelay = 100 * time.Millisecond
)

func isBatch(m *pb.PeerDatagram) bool { return m.GetExceptionBatch() != nil }

// Guards against a diverted flow that is lost with its owner although its exception was sent. The
// network loses the first batch or the first acknowledgement, and then the owner fails.
func TestDivertedFlowSurvivesLossAndDeathOfOwner(t *testing.T) {
	for name, lost := range map[string]func(*pb.PeerDatagram) bool{
		"batch": isBatch,
		"ack":   func(m *pb.PeerDatagram) bool { return m.GetExceptionAck() != nil },
	} {
		t.Run(name, func(t *testing.T) {
			runInCluster(t, 5, func(g *WithT, c *cluster, a, b *daemon) {
				count := 0
				c.isLost = func(_, _ membership.DaemonID, m *pb.PeerDatagram) bool {
					if lost(m) {
						count++
					}
					return lost(m) && count == 1
				}
				a.sendNotice(2, shedding)
				i := a.flowsHashedTo(2, 1)[0]
				placed, _ := a.steerPacket(i, kindOpen, settleDelay)
				g.Expect(placed).NotTo(BeElementOf(uint32(0), uint32(2)))
				g.Expect(count).To(BeNumerically(">", 1), "retransmitted")
				g.Expect(a.Counters.Get("exception.ack_timeout")).To(BeZero())

				b.activate(nil, ownership.Recovered)
				time.Sleep(5 * time.Second)
				next := c.daemons["c"]
				next.activate(nil, ownership.Recovered) // Both owners failed, the second one unused.
				up, _ := next.steerPacket(i, kindData, settleDelay)
				g.Expect(up).To(Equal(placed))
				up, _ = b.steerPacket(i, kindData, settleDelay)
				g.Expect(up).To(Equal(placed))
			})
		})
	}
}

// Guards against an OPEN that is held without limit, or that is sent to the diverted upstream
// although the successor never acknowledged the exception and the bucket's upstream can serve.
func TestDivertedFlowWithoutSuccessorsAck(t *testing.T) {
	runInCluster(t, 5, func(g *WithT, c *cluster, a, _ *daemon) {
		c.isLost = func(_, _ membership.DaemonID, m *pb.PeerDatagram) bool { return isBatch(m) }
		a.sendNotice(2, shedding)
		flows := a.flowsHashedTo(2, 2)
		up, _ := a.steerPacket(flows[0], kindOpen, 49*time.Millisecond)
		g.Expect(up).To(BeZero(), "held until the deadline")
		time.Sleep(10 * time.Millisecond)
		sent, _ := a.takeOutput()
		g.Expect(sent).To(Equal([]uint32{2}), "the bucket's upstream can serve")

		a.sendNotice(2, silent)
		up, _ = a.steerPacket(flows[1], kindOpen, settleDelay)
		g.Expect(up).NotTo(BeElementOf(uint32(0), uint32(2)))
		g.Expect(a.Counters.Get("exception.unreplicated")).To(BeEquivalentTo(1))
		// Packets that arrive while the OPEN waits are sent to the same upstream after it.
		third := a.flowsHashedTo(2, 3)[2]
		a.steerPacket(third, kindOpen, 0)
		a.steerPacket(third, kindData, settleDelay)
		g.Expect(a.Stats().ByUpstream).NotTo(HaveKey(uint32(0)))
	})
}

// Guards against flows that change their upstream when the table changes, the owner fails and the
// table changes again. The successor must use the replicas, and must not use buckets that have
// changed recently.
func TestTableChangeAndDeathOfOwner(t *testing.T) {
	runInCluster(t, 5, func(g *WithT, c *cluster, a, b *daemon) {
		placed := map[int]uint32{}
		for i := range 300 {
			placed[i], _ = a.steerPacket(i, kindOpen, settleDelay)
			a.steerPacket(i, kindData, 0)
		}
		c.declare(drain(4))
		for i := 300; i < 400; i++ { // Placed by the new table, also in changed buckets.
			placed[i], _ = a.steerPacket(i, kindOpen, settleDelay)
			a.steerPacket(i, kindData, 0)
		}
		time.Sleep(20 * time.Second) // Bulk batches are sent at 1 KB/s.
		replicated := b.Stats().Replicas
		g.Expect(replicated).To(BeNumerically(">", 60))
		stable := map[int]bool{}
		for i := range placed {
			stable[i] = a.Explain(testFlow(i)).BucketStable
		}
		c.declare(func(s *pb.Service) { s.Upstreams = append(s.Upstreams, testUpstream(6)) })
		b.activate(nil, ownership.Recovered)
		for i := range placed {
			up, reason := b.steerPacket(i, kindData, 300*time.Millisecond)
			if up == 0 && stable[i] {
				// The bucket changed while no daemon held the partition, so that the new owner must
				// not infer the upstream.
				g.Expect(reason).To(Equal(pb.Reason_REASON_UNKNOWN_FLOW))
				g.Expect(b.Explain(testFlow(i)).BucketStable).To(BeFalse())
				continue
			}
			g.Expect(up).To(Equal(placed[i]))
		}
	})
}

// Guards against a guessed upstream for a flow that no daemon has recorded, when its bucket has
// changed recently, and against a needless reset when the upstream follows from the bucket.
func TestUnknownFlow(t *testing.T) {
	runInCluster(t, 5, func(g *WithT, c *cluster, a, b *daemon) {
		before := a.flowsHashedTo(4, 1)[0]
		stable := a.flowsHashedTo(1, 1)[0]
		c.declare(drain(4))
		up, _ := a.steerPacket(before, kindData, 0)
		g.Expect(up).To(BeEquivalentTo(4), "this owner has recorded all flows since the change")
		a.steerPacket(before, pb.Kind_KIND_CLOSE, 0)
		// Within this time before the takeover, the change may not have reached the failed owner.
		time.Sleep(recoveryWindow)
		a.release()
		a.activate(nil, ownership.Recovered) // The bucket has changed before this activation.
		a.previousHolders = []membership.DaemonID{"c"}
		up, reason := a.steerPacket(before, kindData, 300*time.Millisecond)
		g.Expect([]any{up, reason}).To(Equal([]any{uint32(0), pb.Reason_REASON_UNKNOWN_FLOW}))
		up, _ = a.steerPacket(stable, kindData, 0)
		g.Expect(up).To(BeEquivalentTo(1))

		c.isLost = func(membership.DaemonID, membership.DaemonID, *pb.PeerDatagram) bool { return true }
		up, reason = a.steerPacket(before, kindData, 190*time.Millisecond)
		g.Expect([]any{up, reason}).To(Equal([]any{uint32(0), pb.Reason_REASON_UNSPECIFIED}))
		time.Sleep(20 * time.Millisecond)
		_, toCaller := a.takeOutput()
		g.Expect(toCaller).To(HaveLen(1))
		g.Expect(toCaller[0].Reason).To(Equal(pb.Reason_REASON_OWNER_LOST))
		g.Expect(a.Counters.Get("flow_query.sent")).To(BeEquivalentTo(6), "the first query is sent once to two daemons, the second one twice")

		// After the idle limit, no open flow can be on the old upstream.
		time.Sleep(defaultIdleLimit + propagationMargin)
		up, _ = a.steerPacket(before, kindData, 0)
		g.Expect(up).NotTo(BeElementOf(uint32(0), uint32(4)))
		_ = b
	})
}

// Guards against the loss of a flow of which the new owner has no record, while the previous owner
// still responds to queries.
func TestQueryMovesRecordFromPreviousHolder(t *testing.T) {
	runInCluster(t, 5, func(g *WithT, c *cluster, a, b *daemon) {
		i := a.flowsHashedTo(4, 1)[0]
		a.steerPacket(i, kindOpen, 0)
		a.steerPacket(i, kindData, 0)
		a.release()
		c.declare(drain(4))
		b.previousHolders = []membership.DaemonID{"a"}
		b.activate(nil, ownership.Recovered)
		lost := false
		c.isLost = func(_, _ membership.DaemonID, m *pb.PeerDatagram) bool {
			first := m.GetFlowQuery() != nil && !lost
			lost = lost || first
			return first
		}
		up, reason := b.steerPacket(i, kindData, 300*time.Millisecond)
		g.Expect([]any{up, reason}).To(Equal([]any{uint32(4), pb.Reason_REASON_UNSPECIFIED}))
		g.Expect(b.Explain(testFlow(i)).Cause).To(Equal(pb.RouteCause_ROUTE_CAUSE_EXCEPTION))
		// The record that the previous owner sent is listed as an open flow.
		g.Expect(b.Flows(testFlow(i).Caller().String(), 9)).To(HaveLen(1))
	})
}

// Guards against an OPEN that moves an established flow to another upstream, and against a new flow
// on a reused port that stays on the upstream of a former flow.
func TestPortReuse(t *testing.T) {
	runInCluster(t, 5, func(g *WithT, c *cluster, a, _ *daemon) {
		i := a.flowsHashedTo(2, 1)[0]
		a.steerPacket(i, kindOpen, 0)
		a.sendNotice(2, shedding)
		up, _ := a.steerPacket(i, kindOpen, settleDelay)
		g.Expect(up).To(BeEquivalentTo(2), "a retransmission")
		a.steerPacket(i, kindData, 0)
		a.steerPacket(i, pb.Kind_KIND_CLOSE, 0)
		g.Expect(a.Stats().Flows).To(BeZero())
		up, _ = a.steerPacket(i, kindOpen, settleDelay)
		g.Expect(up).To(BeEquivalentTo(2), "established recently")
		g.Expect(a.Stats().Flows).To(BeEquivalentTo(1))
		a.steerPacket(i, pb.Kind_KIND_CLOSE, 0)
		up, _ = a.steerPacket(i, kindOpen, settleDelay)
		g.Expect(up).NotTo(BeElementOf(uint32(0), uint32(2)), "closed before it was established")
		a.steerPacket(i, kindData, 0)
		kept, _ := a.steerPacket(i, kindOpen, settleDelay)
		g.Expect(kept).To(Equal(up))
		a.sendNotice(2, pb.UpstreamState_UPSTREAM_STATE_OK)
		time.Sleep(portReuseIdle + time.Second)
		up, _ = a.steerPacket(i, kindOpen, settleDelay)
		g.Expect(up).To(BeEquivalentTo(2), "idle for over 60 s")
	})
}

// Guards against a packet that is sent to an upstream of a service other than that of its address.
func TestPacketOfAnotherService(t *testing.T) {
	runInCluster(t, 5, func(g *WithT, _ *cluster, a, _ *daemon) {
		a.steerPacket(1, kindOpen, 0)
		raw, err := wire.EncodePacket(&pb.Packet{Flow: testFlow(1).Proto(), Kind: kindData, Service: 9})
		g.Expect(err).NotTo(HaveOccurred())
		a.takeOutput()
		a.HandleCaller(wire.Header{Flow: testFlow(1), Kind: kindData, Service: 9}, raw)
		other := testFlow(1)
		other.ServicePort++
		a.HandleCaller(wire.Header{Flow: other, Kind: kindData}, raw)
		sent, toCaller := a.takeOutput()
		g.Expect(sent).To(BeEmpty())
		g.Expect(toCaller).To(BeEmpty())
		g.Expect(a.Counters.Get("drop.wrong_service")).To(BeEquivalentTo(1))
		g.Expect(a.Counters.Get("drop.unknown_service")).To(BeEquivalentTo(1))
	})
}

// Guards against flows of a removed upstream that are sent to a new upstream with the same address,
// and against resets that are not sent before the caller sends a packet.
func TestUpstreamAddedAgainUnderNewNumber(t *testing.T) {
	runInCluster(t, 5, func(g *WithT, c *cluster, a, _ *daemon) {
		flows := a.flowsHashedTo(3, 2)
		a.steerPacket(flows[0], kindOpen, 0)
		a.steerPacket(flows[1], kindOpen, 0)
		c.declare(func(s *pb.Service) {
			address := s.Upstreams[2].Address
			removeUpstream(3)(s)
			again := testUpstream(6)
			again.Address = address
			s.Upstreams = append(s.Upstreams, again)
		})
		up, reason := a.steerPacket(flows[0], kindData, 0)
		g.Expect([]any{up, reason}).To(Equal([]any{uint32(0), pb.Reason_REASON_UPSTREAM_REMOVED}))
		time.Sleep(2 * paceInterval)
		_, toCaller := a.takeOutput()
		g.Expect(toCaller).To(HaveLen(1), "the caller that sent nothing is notified too")
		g.Expect(a.Stats().Flows).To(BeZero())
	})
}

// Guards against an OPEN that is placed again although a replica of its flow arrives, that is lost
// when the query for the former flow on its port fails, or that gives new work to a draining
// upstream.
func TestOpenUnderChange(t *testing.T) {
	runInCluster(t, 5, func(g *WithT, c *cluster, a, b *daemon) {
		// The last exception of a failed owner arrives after the takeover.
		b.activate(nil, ownership.Recovered)
		late := b.flowsHashedTo(1, 1)[0]
		b.HandlePeer("a", &pb.PeerDatagram{Body: &pb.PeerDatagram_ExceptionBatch{ExceptionBatch: &pb.ExceptionBatch{
			Batch: 1, Groups: wire.PackFlows([]*pb.FlowRecord{{Flow: testFlow(late).Proto(), Service: testService, Upstream: 5}}, nil)}}})
		up, _ := b.steerPacket(late, kindOpen, 0)
		g.Expect(up).To(BeEquivalentTo(5))

		i := a.flowsHashedTo(4, 1)[0]
		up, _ = a.steerPacket(i, kindOpen, 0)
		g.Expect(up).To(BeEquivalentTo(4))
		c.declare(drain(4))
		up, _ = a.steerPacket(i, kindOpen, 0)
		g.Expect(up).To(BeEquivalentTo(4), "its first OPEN may have been answered")
		time.Sleep(drainGrace + time.Millisecond)
		up, _ = a.steerPacket(i, kindOpen, settleDelay)
		g.Expect(up).NotTo(BeElementOf(uint32(0), uint32(4)))

		reused := a.flowsHashedTo(2, 1)[0]
		c.declare(drain(2))
		time.Sleep(recoveryWindow) // Within this time, the successor derives the upstream from the former table.
		a.release()
		a.activate(nil, ownership.Recovered)
		a.steerPacket(reused, kindData, 0)
		up, reason := a.steerPacket(reused, kindOpen, settleDelay)
		g.Expect(up).NotTo(BeElementOf(uint32(0), uint32(2)))
		g.Expect(reason).To(Equal(pb.Reason_REASON_UNSPECIFIED))
	})
}
