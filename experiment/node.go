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
	// hop is the one-way latency between VMs, and toCaller that between caller and entry VM.
	hop      = 500 * time.Microsecond
	toCaller = 3 * time.Millisecond
	// datagramOverhead is the envelope with sender, receiver and sequence, and IP and UDP headers.
	datagramOverhead = 64 + 28
	// membershipBytesPerSecond is what a daemon sends for probes, views and the platform, which
	// experiments do not simulate: 743 B/s were measured in steady state at 24 daemons.
	membershipBytesPerSecond = 750
)

// node is one daemon: the project's Steerer and Engine with the model's network around them.
type node struct {
	w        *world
	index    int
	id       membership.DaemonID
	steerer  *steering.Steerer
	engine   *request.Engine
	counters *telemetry.Counters
	known    *load.Table
	// budget bounds exceptions beside what else the node sends.
	budget   *peer.Budget
	snapshot atomic.Pointer[config.Snapshot]
	subs     []func(previous, current *config.Snapshot)
	// dead and listed belong to the clock's goroutine; dead is also read by the tasks.
	dead atomic.Bool
	// isListed is set while the fabric hands packets to the daemon.
	isListed bool
	// local is the flow table of the policies that keep one on each daemon.
	local map[wire.FlowKey]uint32
	// trackers are the daemon's own view of each upstream under the policy LeastReport.
	trackers map[uint32]*reported
}

func newNode(ctx context.Context, w *world, index int) *node {
	n := &node{w: w, index: index, id: membership.DaemonID(fmt.Sprintf("daemon-%d", index+1)),
		counters: telemetry.NewCounters(), known: load.NewTable(), isListed: true,
		local: map[wire.FlowKey]uint32{}, trackers: map[uint32]*reported{}}
	n.snapshot.Store(w.latest)
	if w.policy != Fulmar && w.policy != TableAlone {
		return n
	}
	n.budget = peer.NewBudget(peer.BudgetBytesPerSecond-membershipBytesPerSecond, peer.BudgetBurst)
	n.steerer = steering.New(steering.Options{Config: n, Router: n, Sender: n, Output: steererOutput{n},
		Counters: n.counters, Logger: zerolog.Nop(), Budget: n.budget})
	if w.policy != Fulmar {
		// Explain tells the bucket only in partitions that are held.
		for _, r := range partitions() {
			n.steerer.Activate(r, nil, ownership.Fresh)
		}
		return n
	}
	n.engine = request.New(request.Options{Self: n.id, Config: n, Router: n, Output: engineOutput{n},
		Load: n.known, Counters: n.counters, Logger: zerolog.Nop(),
		Rand:   rand.New(rand.NewPCG(w.rand.Uint64(), uint64(index))),
		Tuning: request.Tuning{NoQueueDeadline: w.s.NoQueueDeadline, NoRetryBudget: w.s.NoRetryBudget}})
	ctx, stop := context.WithCancel(ctx)
	w.stops = append(w.stops, stop)
	// The offset keeps the ticks of daemons apart, so that a run has one order of events.
	time.Sleep(time.Duration(index+1) * 1713 * time.Microsecond)
	w.tasks.Go(func() { _ = n.steerer.Run(ctx) })
	w.tasks.Go(func() { n.engine.Run(ctx) })
	return n
}

// Current and Subscribe make the node a config.Provider.
func (n *node) Current() *config.Snapshot { return n.snapshot.Load() }

func (n *node) Subscribe(f func(previous, current *config.Snapshot)) { n.subs = append(n.subs, f) }

// follow puts a generation in force on this daemon.
func (n *node) follow(s *config.Snapshot) {
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
	holder := n.w.holders.of(r)
	if holder < 0 {
		return "", false, false
	}
	return n.w.holders.name(holder), holder == n.index, true
}

func (n *node) Successor(r ownership.Resource) (membership.DaemonID, bool) {
	second := n.w.holders.second(r)
	if second < 0 {
		return "", false
	}
	return n.w.holders.name(second), true
}

func (n *node) PreviousHolders(r ownership.Resource) []membership.DaemonID {
	before := n.w.holders.before(r)
	if before < 0 || before == n.index {
		return nil
	}
	return []membership.DaemonID{n.w.holders.name(before)}
}

// Send makes the node a peer.Sender. Its bytes are control traffic.
func (n *node) Send(to membership.DaemonID, m *pb.PeerDatagram) error {
	if n.dead.Load() {
		return nil
	}
	bytes := proto.Size(m) + datagramOverhead
	n.w.control.add(datagramKind(m), bytes)
	if m.GetExceptionBatch() == nil {
		n.budget.Spend(bytes) // Exceptions are taken from it by the steerer.
	}
	n.w.clock.afterBy(hop, m, uint32(n.index), func() {
		if target := n.w.node(to); target != nil && !target.dead.Load() {
			target.steerer.HandlePeer(n.id, m)
		}
	})
	return nil
}

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

type steererOutput struct{ *node }

func (o steererOutput) ToAdmission(_, upstream uint32, raw []byte) {
	if o.dead.Load() {
		return
	}
	p, err := wire.DecodePacket(raw)
	if err != nil {
		return
	}
	o.w.clock.afterBy(hop, p, upstream, func() { o.w.steered(upstream, p) })
}

func (o steererOutput) ToCaller(p *pb.Packet) { o.toCaller(p) }

func (n *node) toCaller(p *pb.Packet) {
	if n.dead.Load() {
		return
	}
	q := proto.CloneOf(p)
	n.w.clock.afterBy(toCaller, q, 0, func() { n.w.fromService(q) })
}

type engineOutput struct{ *node }

func (o engineOutput) ToUpstream(_ netip.AddrPort, p *pb.Packet) {
	if o.dead.Load() {
		return
	}
	q := proto.CloneOf(p)
	o.w.clock.afterBy(hop, q, 0, func() { o.w.toUpstream(q) })
}

func (o engineOutput) ToCaller(p *pb.Packet) { o.toCaller(p) }

func (o engineOutput) ToAdmission(_, upstream uint32, p *pb.Packet) {
	q := proto.CloneOf(p)
	q.Upstream = upstream
	o.w.clock.afterBy(hop, q, upstream, func() { o.w.toAdmission(q) })
}

func (o engineOutput) ToFlowOwner(p *pb.Packet) {
	if o.dead.Load() {
		return
	}
	q := proto.CloneOf(p)
	o.w.clock.afterBy(hop, q, 0, func() {
		if f := o.w.flows[wire.FlowKeyFromProto(q.GetFlow())]; f != nil {
			o.w.send(f, q)
		}
	})
}

func (o engineOutput) Notify(m *pb.UpstreamNotice) {
	if o.dead.Load() {
		return
	}
	d := &pb.PeerDatagram{Body: &pb.PeerDatagram_UpstreamNotice{UpstreamNotice: m}}
	o.w.clock.afterBy(hop, d, uint32(o.index), func() {
		for _, target := range o.w.nodes {
			if target.dead.Load() {
				continue
			}
			if target != o.node {
				o.w.control.add("notices", proto.Size(d)+datagramOverhead)
				o.budget.Spend(proto.Size(d) + datagramOverhead)
				target.known.Update(m)
			}
			target.steerer.HandlePeer(o.id, d)
		}
	})
}
