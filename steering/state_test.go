package steering

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/membership"
	"github.com/fulmarfield/fulmarfield/ownership"
	"github.com/fulmarfield/fulmarfield/peer"
	"github.com/fulmarfield/fulmarfield/wire"
)

// Guards against new flows on upstreams whose state does not allow them, and against a refusal while
// the service still has an active upstream.
func TestPlacementByState(t *testing.T) {
	runInCluster(t, 4, func(g *WithT, c *cluster, a, _ *daemon) {
		a.changeSuccessor("")
		// A notice may arrive before the configuration that declares its upstream.
		a.sendNotice(5, silent)
		c.declare(func(s *pb.Service) { s.Upstreams = append(s.Upstreams, testUpstream(5)) })
		c.declare(drain(3))
		a.sendNotice(1, silent)
		a.sendNotice(2, shedding)
		for i := range 200 {
			up, _ := a.steerPacket(i, kindOpen, 0)
			g.Expect(up).To(BeEquivalentTo(4))
		}
		a.sendNotice(4, silent)
		i := a.flowsHashedTo(1, 1)[0] + 100_000
		up, _ := a.steerPacket(i, kindOpen, 0)
		g.Expect(up).To(Equal(a.Explain(testFlow(i)).BucketUpstream), "no upstream is usable")
		for n := range uint32(5) {
			c.declare(drain(n + 1))
		}
		up, reason := a.steerPacket(200_000, kindOpen, 0)
		g.Expect([]any{up, reason}).To(Equal([]any{uint32(0), pb.Reason_REASON_NO_UPSTREAM}))
	})
}

// Guards against a cold upstream that receives its full share of new flows at once, or never.
func TestColdUpstreamRamp(t *testing.T) {
	runInCluster(t, 2, func(g *WithT, _ *cluster, a, _ *daemon) {
		a.changeSuccessor("")
		share := func(from int) float64 {
			before := a.Stats().ByUpstream[1]
			for _, i := range a.flowsHashedTo(1, 1000)[from : from+200] {
				a.steerPacket(i, kindOpen, 0)
			}
			return float64(a.Stats().ByUpstream[1]-before) / 200
		}
		a.sendNotice(1, pb.UpstreamState_UPSTREAM_STATE_COLD)
		g.Expect(share(0)).To(BeNumerically("~", 0.25+0.75*0.25, 0.12), "by the bucket, or as the second choice")
		time.Sleep(coldRamp)
		g.Expect(share(200)).To(BeNumerically("==", 1))
	})
}

// Guards against callers that retain the guard token of a former admission holder, and against a
// burst of TOKEN packets when the token changes.
func TestTokenPushIsPaced(t *testing.T) {
	runInCluster(t, 1, func(g *WithT, _ *cluster, a, _ *daemon) {
		for i := range 2 * tokensPerTick {
			a.steerPacket(i, kindOpen, 0)
		}
		a.HandlePeer("c", &pb.PeerDatagram{Body: &pb.PeerDatagram_UpstreamNotice{UpstreamNotice: &pb.UpstreamNotice{
			Service: testService, Upstream: 1, State: pb.UpstreamState_UPSTREAM_STATE_OK, GuardToken: 99, TokenChanged: true}}})
		time.Sleep(paceInterval)
		_, first := a.takeOutput()
		g.Expect(first).To(HaveLen(tokensPerTick))
		time.Sleep(paceInterval)
		_, second := a.takeOutput()
		g.Expect(second).To(HaveLen(tokensPerTick))
		g.Expect(proto.Equal(first[0], &pb.Packet{Flow: first[0].Flow, Kind: pb.Kind_KIND_TOKEN,
			Service: testService, Upstream: 1, GuardToken: 99})).To(BeTrue())
	})
}

// Guards against flows that stay on a draining upstream past the declared drain limit, against idle
// flows whose records are never removed, and against counts that deviate from the records.
func TestDrainLimitAndIdleExpiry(t *testing.T) {
	runInCluster(t, 3, func(g *WithT, c *cluster, a, _ *daemon) {
		i, other := a.flowsHashedTo(1, 1)[0], a.flowsHashedTo(2, 1)[0]
		a.steerPacket(i, kindOpen, 0)
		a.steerPacket(other, kindOpen, 0)
		c.declare(func(s *pb.Service) {
			s.Limits.DrainLimitMs = 30_000
			drain(1)(s)
		})
		up, _ := a.steerPacket(i, kindData, 29*time.Second)
		g.Expect(up).To(BeEquivalentTo(1))
		time.Sleep(4 * time.Second)
		_, toCaller := a.takeOutput()
		g.Expect(toCaller).To(HaveLen(1))
		g.Expect(toCaller[0].Reason).To(Equal(pb.Reason_REASON_UPSTREAM_DRAINING))
		_, reason := a.steerPacket(i, kindData, 0)
		g.Expect(reason).To(Equal(pb.Reason_REASON_UPSTREAM_DRAINING), "reset again, and not sent to another upstream")
		g.Expect(a.Stats().Flows).To(BeEquivalentTo(1))
		time.Sleep(defaultIdleLimit)
		g.Expect(a.Stats().Flows).To(BeZero())
		g.Expect(a.Stats().Exceptions).To(BeZero())
	})
}

// Guards against control traffic that exceeds its budget because many flows are diverted in a short
// time.
func TestExceptionBudget(t *testing.T) {
	for aim, want := range map[pb.Aim]func(perUpstream uint32) bool{
		pb.Aim_AIM_BALANCE:     func(n uint32) bool { return n <= 607 },
		pb.Aim_AIM_CONNECTIONS: func(n uint32) bool { return n > 607 },
	} {
		runInCluster(t, 5, func(g *WithT, c *cluster, a, b *daemon) {
			c.declare(func(s *pb.Service) { s.Aim, s.Limits.LoadBoundPercent = aim, 101 })
			bytes := 0
			c.isLost = func(_, _ membership.DaemonID, m *pb.PeerDatagram) bool {
				if isBatch(m) {
					bytes += proto.Size(m) + 78 // The envelope.
				}
				return false
			}
			for i := range 3000 {
				a.steerPacket(i, kindOpen, 0)
				time.Sleep(100 * time.Microsecond)
			}
			time.Sleep(9700 * time.Millisecond)
			c.mu.Lock()
			total := bytes
			c.mu.Unlock()
			g.Expect(total).To(BeNumerically("<", peer.BudgetBurst+10*peer.BudgetBytesPerSecond))
			g.Expect(a.Counters.Get("exception.over_budget")).NotTo(BeZero())
			largest := uint32(0)
			for _, n := range a.Stats().ByUpstream {
				largest = max(largest, n)
			}
			g.Expect(want(largest)).To(BeTrue(), "%s: %d", aim, largest)
			time.Sleep(time.Minute)
			g.Expect(b.Stats().Replicas).To(Equal(a.Stats().Exceptions), "finally all exceptions are replicated")
		})
	}
}

// Guards against exceptions that are not replicated to a new successor, and against replicas of
// ended flows that would restore these flows at a takeover.
func TestSuccessorChange(t *testing.T) {
	runInCluster(t, 5, func(g *WithT, c *cluster, a, b *daemon) {
		a.sendNotice(2, shedding)
		flows := a.flowsHashedTo(2, 40)
		for _, i := range flows {
			a.steerPacket(i, kindOpen, settleDelay)
			a.steerPacket(i, kindData, 0)
		}
		g.Expect(b.Stats().Replicas).To(BeEquivalentTo(40))
		for _, i := range flows[:10] {
			a.steerPacket(i, pb.Kind_KIND_CLOSE, 0)
		}
		time.Sleep(3 * time.Second)
		g.Expect(b.Stats().Replicas).To(BeEquivalentTo(30))
		a.changeSuccessor("c")
		time.Sleep(5 * time.Second)
		g.Expect(c.daemons["c"].Stats().Replicas).To(BeEquivalentTo(30))
		// Refreshed replicas are retained beyond the idle limit, others expire.
		for range 30 {
			for _, i := range flows[10:20] {
				a.steerPacket(i, kindData, 0)
			}
			time.Sleep(defaultIdleLimit / 10)
		}
		g.Expect(b.Stats().Replicas).To(BeZero())
		g.Expect(c.daemons["c"].Stats().Replicas).To(BeEquivalentTo(10))
	})
}

// Guards against a batch that the network has reordered after the batch with the end of a flow, and
// that restores the replica of the ended flow.
func TestReorderedBatch(t *testing.T) {
	g := NewWithT(t)
	s, k := newReplicaStore(), testFlow(1)
	known := func() bool { _, ok := s.find(testService, k, 100); return ok }
	record := wire.PackFlows([]*pb.FlowRecord{{Flow: k.Proto(), Service: testService, Upstream: 3}}, nil)
	end := wire.PackFlows(nil, []*pb.FlowKey{k.Proto()})
	apply := func(from membership.DaemonID, batch uint64, groups []*pb.FlowGroup) {
		g.Expect(s.apply(from, &pb.ExceptionBatch{Batch: batch, Groups: groups}, 100)).To(Succeed())
	}
	apply("a", 1, record)
	g.Expect(known()).To(BeTrue())
	apply("a", 3, end)
	apply("a", 2, record)
	g.Expect(known()).To(BeFalse())
	apply("b", 1, record)
	apply("a", 4, end)
	g.Expect(known()).To(BeTrue(), "the current owner reports it as open")
}

// Guards against flows that the new owner cannot steer after a handover. The upstreams of the flows
// that were omitted to limit the size must follow from the table of the time of the handover, also
// after a table change.
func TestCompactHandOver(t *testing.T) {
	runInCluster(t, 3, func(g *WithT, c *cluster, a, b *daemon) {
		a.sendNotice(2, shedding)
		a.changeSuccessor("")
		placed := map[int]uint32{}
		for i := 0; len(placed) < fullExportLimit+100; i++ {
			if ownership.FlowPartition(testService, testFlow(i).Hash()).Index == 9 {
				placed[i], _ = a.steerPacket(i, kindOpen, 0)
			}
		}
		records := a.release()
		size := proto.Size(records[9])
		t.Logf("%d flows exported as %d records in %d bytes", len(placed), len(records[9].Flows), size)
		g.Expect(len(records[9].Flows)).To(BeNumerically("~", len(placed)/3, 200))
		b.activate(records, ownership.Transferred)
		c.declare(drain(1))
		for i := range placed {
			up, _ := b.steerPacket(i, kindData, 0)
			g.Expect(up).To(Equal(placed[i]))
		}
		g.Expect(b.Counters.Get("flow_query.sent")).To(BeZero())
	})
}

// Guards against older records that replace newer ones when they are merged after a network
// partition, and against resets of flows on an upstream that only a later generation declares.
func TestMergeAndStaleConfiguration(t *testing.T) {
	runInCluster(t, 3, func(g *WithT, c *cluster, a, _ *daemon) {
		i := a.flowsHashedTo(1, 1)[0]
		a.steerPacket(i, kindOpen, 0)
		a.steerPacket(i, kindData, 0)
		time.Sleep(time.Second)
		r := ownership.FlowPartition(testService, testFlow(i).Hash())
		merge := func(upstream, idle uint32) {
			a.Merge(r, &pb.ResourceRecords{Flows: []*pb.FlowRecord{
				{Flow: testFlow(i).Proto(), Upstream: upstream, Established: true, IdleMs: idle}}})
		}
		merge(2, 5000)
		g.Expect(a.Explain(testFlow(i)).Upstream).To(BeEquivalentTo(1))
		merge(101, 0)
		up, reason := a.steerPacket(i, kindData, 0)
		g.Expect([]any{up, reason}).To(Equal([]any{uint32(0), pb.Reason_REASON_UNSPECIFIED}))
		g.Expect(a.Counters.Get("drop.upstream_not_known_yet")).To(BeEquivalentTo(1))
		c.declare(func(s *pb.Service) { s.Upstreams = append(s.Upstreams, testUpstream(101)) })
		up, _ = a.steerPacket(i, kindData, 0)
		g.Expect(up).To(BeEquivalentTo(101))
		g.Expect(a.Stats().ByUpstream).To(Equal(map[uint32]uint32{101: 1}))
	})
}

// Guards against allocations, and thus garbage collection, for each packet of a recorded flow.
func TestKnownFlowAllocatesNothing(t *testing.T) {
	g := NewWithT(t)
	s, _ := benchSteerer(1000, 15)
	raw, err := wire.EncodePacket(&pb.Packet{Flow: testFlow(5).Proto(), Kind: kindData})
	g.Expect(err).NotTo(HaveOccurred())
	h := wire.Header{Flow: testFlow(5), Kind: kindData}
	g.Expect(testing.AllocsPerRun(1000, func() { s.HandleCaller(h, raw) })).To(BeZero())
}

// Guards against full batches that do not fit into a datagram.
func TestFullBatchFitsDatagram(t *testing.T) {
	NewWithT(t).Expect(proto.Size(fullBatch())).To(And(
		BeNumerically("<=", batchBytes), BeNumerically(">", batchBytes*8/10)))
}

func fullBatch() *pb.PeerDatagram {
	var records []*pb.FlowRecord
	for i := range (batchBytes - envelopeBytes - groupBytes) / recordBytes {
		r := record{upstream: 65_000, flags: flagEstablished | flagException}.toProto(testFlow(i), 5999)
		r.Service = 5600
		records = append(records, r)
	}
	m := &pb.ExceptionBatch{Batch: uint64(time.Now().UnixMicro()), Groups: wire.PackFlows(records, nil)}
	return &pb.PeerDatagram{Sender: "daemon-0001", Receiver: "daemon-0002", Incarnation: 1, Sequence: 1 << 30,
		Body: &pb.PeerDatagram_ExceptionBatch{ExceptionBatch: m}}
}

// Guards against a table change whose exceptions exceed the budget, or that replicates the flows in
// use last.
func TestBulkRateNewestFirst(t *testing.T) {
	runInCluster(t, 3, func(g *WithT, c *cluster, a, b *daemon) {
		flows := a.flowsHashedTo(2, 6000)
		for _, i := range flows {
			a.steerPacket(i, kindOpen, 0)
		}
		time.Sleep(time.Second)
		for _, i := range flows[2000:] {
			a.steerPacket(i, kindData, 0)
		}
		bytes := 0
		c.isLost = func(_, _ membership.DaemonID, m *pb.PeerDatagram) bool {
			if isBatch(m) {
				bytes += proto.Size(m) + 78 // The envelope.
			}
			return false
		}
		c.declare(drain(2))
		time.Sleep(10 * time.Second)
		c.mu.Lock()
		total := bytes
		c.mu.Unlock()
		// The budget is charged with an upper estimate of the envelope.
		g.Expect(total).To(And(BeNumerically("<", peer.BudgetBurst+10*peer.BudgetBytesPerSecond), BeNumerically(">", (peer.BudgetBurst+8*peer.BudgetBytesPerSecond)*9/10)))
		for n, i := range flows {
			if _, known := b.findFlow(testService, testFlow(i)); known {
				g.Expect(n).To(BeNumerically(">=", 2000), "the flows in use are replicated first")
			}
		}
		time.Sleep(60 * time.Second)
		g.Expect(b.Stats().Replicas).To(BeEquivalentTo(6000))
	})
}
