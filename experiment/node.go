package experiment

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/config"
	"github.com/fulmarfield/fulmarfield/load"
	"github.com/fulmarfield/fulmarfield/membership"
	"github.com/fulmarfield/fulmarfield/ownership"
	"github.com/fulmarfield/fulmarfield/peer"
	"github.com/fulmarfield/fulmarfield/request"
	"github.com/fulmarfield/fulmarfield/steering"
	"github.com/fulmarfield/fulmarfield/telemetry"
	"github.com/fulmarfield/fulmarfield/wire"
)

const (
	// hopLatency is the one-way latency between VMs, and callerLatency the one-way latency between a
	// caller and the VM where its packets enter.
	hopLatency    = 500 * time.Microsecond
	callerLatency = 3 * time.Millisecond
	// datagramOverhead is the size of the envelope with sender, receiver and sequence, plus the IP and
	// UDP headers.
	datagramOverhead = 64 + 28
	// membershipBytesPerSecond is the rate at which a daemon sends probes, views and calls to the
	// platform, which experiments do not simulate: 743 B/s in the steady state of 24 daemons.
	membershipBytesPerSecond = 750
)

// node is a simulated daemon: the project's Steerer and Engine, connected to the model's network.
type node struct {
	sim       *simulation
	index     int
	id        membership.DaemonID
	steerer   *steering.Steerer
	engine    *request.Engine
	counters  *telemetry.Counters
	loadTable *load.Table
	// budget bounds the exceptions to the bandwidth that the node's other messages leave.
	budget   *peer.Budget
	snapshot atomic.Pointer[config.Snapshot]
	subs     []func(previous, current *config.Snapshot)
	// dead is set once the daemon is killed. Only the clock's goroutine writes dead and isListed; the
	// daemons' goroutines read dead too.
	dead atomic.Bool
	// isListed is set while the fabric sends packets to the daemon.
	isListed bool
	// localFlows maps each flow to its upstream under the policy LocalTable.
	localFlows map[wire.FlowKey]uint32
	// upstreamViews is the daemon's own view of each upstream under the policy LeastReported.
	upstreamViews map[uint32]*upstreamView
}

// newNode starts a daemon. Only Fulmar and LocalTable need a Steerer, and only Fulmar an Engine.
func newNode(ctx context.Context, sim *simulation, index int) *node {
	n := &node{sim: sim, index: index, id: membership.DaemonID(fmt.Sprintf("daemon-%d", index+1)),
		counters: telemetry.NewCounters(), loadTable: load.NewTable(), isListed: true,
		localFlows: map[wire.FlowKey]uint32{}, upstreamViews: map[uint32]*upstreamView{}}
	n.snapshot.Store(sim.latestConfig)
	if sim.policy != Fulmar && sim.policy != LocalTable {
		return n
	}
	n.budget = peer.NewBudget(peer.BudgetBytesPerSecond-membershipBytesPerSecond, peer.BudgetBurst)
	n.steerer = steering.New(steering.Options{Config: n, Router: n, Sender: n, Output: steererOutput{n},
		Counters: n.counters, Logger: zerolog.Nop(), Budget: n.budget})
	if sim.policy != Fulmar {
		// Explain returns the bucket only for flows of partitions that the Steerer holds.
		for _, r := range allPartitions() {
			n.steerer.Activate(r, nil, ownership.Fresh)
		}
		return n
	}
	n.engine = request.New(request.Options{Self: n.id, Config: n, Router: n, Output: engineOutput{n},
		Load: n.loadTable, Counters: n.counters, Logger: zerolog.Nop(),
		Rand:   rand.New(rand.NewPCG(sim.rand.Uint64(), uint64(index))),
		Tuning: request.Tuning{NoQueueDeadline: sim.settings.NoQueueDeadline, NoRetryBudget: sim.settings.NoRetryBudget}})
	ctx, stop := context.WithCancel(ctx)
	sim.cancels = append(sim.cancels, stop)
	// The offset keeps the ticks of the daemons apart, so that the order of events is the same in every
	// run.
	time.Sleep(time.Duration(index+1) * 1713 * time.Microsecond)
	sim.daemonTasks.Go(func() { _ = n.steerer.Run(ctx) })
	sim.daemonTasks.Go(func() { n.engine.Run(ctx) })
	return n
}

// Current and Subscribe make the node a config.Provider.
func (n *node) Current() *config.Snapshot { return n.snapshot.Load() }

func (n *node) Subscribe(f func(previous, current *config.Snapshot)) { n.subs = append(n.subs, f) }

// applyGeneration puts a generation in force on this daemon and notifies the subscribers.
func (n *node) applyGeneration(s *config.Snapshot) {
	old := n.snapshot.Load()
	if n.dead.Load() || s.Generation() <= old.Generation() {
		return
	}
	n.snapshot.Store(s)
	for _, f := range n.subs {
		f(old, s)
	}
}

// Route, Successor and PreviousHolders make the node an ownership.Router.
func (n *node) Route(r ownership.Resource) (membership.DaemonID, bool, bool) {
	holder := n.sim.holders.currentHolder(r)
	if holder < 0 {
		return "", false, false
	}
	return n.sim.holders.daemonID(holder), holder == n.index, true
}

func (n *node) Successor(r ownership.Resource) (membership.DaemonID, bool) {
	successor := n.sim.holders.successor(r)
	if successor < 0 {
		return "", false
	}
	return n.sim.holders.daemonID(successor), true
}

func (n *node) PreviousHolders(r ownership.Resource) []membership.DaemonID {
	previousHolder := n.sim.holders.previousHolder(r)
	if previousHolder < 0 || previousHolder == n.index {
		return nil
	}
	return []membership.DaemonID{n.sim.holders.daemonID(previousHolder)}
}

// Send makes the node a peer.Sender. It counts the datagram as control traffic.
func (n *node) Send(to membership.DaemonID, m *pb.PeerDatagram) error {
	if n.dead.Load() {
		return nil
	}
	bytes := proto.Size(m) + datagramOverhead
	n.sim.controlTraffic.add(datagramKind(m), bytes)
	if m.GetExceptionBatch() == nil {
		n.budget.Spend(bytes) // The Steerer itself takes the bytes of exceptions from the budget.
	}
	n.sim.clock.scheduleDelivery(hopLatency, m, uint32(n.index), func() {
		if target := n.sim.nodeByID(to); target != nil && !target.dead.Load() {
			target.steerer.HandlePeer(n.id, m)
		}
	})
	return nil
}

// datagramKind returns the kind under which a datagram's bytes are counted.
func datagramKind(m *pb.PeerDatagram) string {
	switch m.GetBody().(type) {
	case *pb.PeerDatagram_ExceptionBatch:
		return "exceptions"
	case *pb.PeerDatagram_FlowQuery:
		return "flow queries"
	case *pb.PeerDatagram_UpstreamNotice:
		return "notices"
	default:
		return "answers and acknowledgements"
	}
}

// steererOutput receives the packets that the node's Steerer sends.
type steererOutput struct{ *node }

func (o steererOutput) ToAdmission(_, upstream uint32, raw []byte) {
	if o.dead.Load() {
		return
	}
	p, err := wire.DecodePacket(raw)
	if err != nil {
		return
	}
	o.sim.clock.scheduleDelivery(hopLatency, p, upstream, func() { o.sim.handleSteered(upstream, p) })
}

func (o steererOutput) ToCaller(p *pb.Packet) { o.sendToCaller(p) }

// sendToCaller sends a packet of a daemon to its caller.
func (n *node) sendToCaller(p *pb.Packet) {
	if n.dead.Load() {
		return
	}
	q := proto.CloneOf(p)
	n.sim.clock.scheduleDelivery(callerLatency, q, 0, func() { n.sim.deliverToCaller(q) })
}

// engineOutput receives the packets and notices that the node's Engine sends.
type engineOutput struct{ *node }

func (o engineOutput) ToUpstream(_ netip.AddrPort, p *pb.Packet) {
	if o.dead.Load() {
		return
	}
	q := proto.CloneOf(p)
	o.sim.clock.scheduleDelivery(hopLatency, q, 0, func() { o.sim.deliverToUpstream(q) })
}

func (o engineOutput) ToCaller(p *pb.Packet) { o.sendToCaller(p) }

func (o engineOutput) ToAdmission(_, upstream uint32, p *pb.Packet) {
	q := proto.CloneOf(p)
	q.Upstream = upstream
	o.sim.clock.scheduleDelivery(hopLatency, q, upstream, func() { o.sim.deliverToAdmission(q) })
}

func (o engineOutput) ToFlowOwner(p *pb.Packet) {
	if o.dead.Load() {
		return
	}
	q := proto.CloneOf(p)
	o.sim.clock.scheduleDelivery(hopLatency, q, 0, func() {
		if f := o.sim.flows[wire.FlowKeyFromProto(q.GetFlow())]; f != nil {
			o.sim.sendThroughFabric(f, q)
		}
	})
}

func (o engineOutput) Notify(m *pb.UpstreamNotice) {
	if o.dead.Load() {
		return
	}
	d := &pb.PeerDatagram{Body: &pb.PeerDatagram_UpstreamNotice{UpstreamNotice: m}}
	o.sim.clock.scheduleDelivery(hopLatency, d, uint32(o.index), func() {
		for _, target := range o.sim.nodes {
			if target.dead.Load() {
				continue
			}
			if target != o.node {
				o.sim.controlTraffic.add("notices", proto.Size(d)+datagramOverhead)
				o.budget.Spend(proto.Size(d) + datagramOverhead)
				target.loadTable.Update(m)
			}
			target.steerer.HandlePeer(o.id, d)
		}
	})
}
