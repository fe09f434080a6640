package request_test

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/caller"
	"github.com/fulmarfield/fulmarfield/config"
	"github.com/fulmarfield/fulmarfield/load"
	"github.com/fulmarfield/fulmarfield/membership"
	"github.com/fulmarfield/fulmarfield/ownership"
	"github.com/fulmarfield/fulmarfield/request"
	"github.com/fulmarfield/fulmarfield/telemetry"
	"github.com/fulmarfield/fulmarfield/wire"
	"github.com/fulmarfield/fulmarfield/wire/memnet"
)

var serviceAddr = netip.MustParseAddrPort("127.2.1.1:700")

// hopDelay is the default delay of a packet between two parts of the harness.
const hopDelay = 500 * time.Microsecond

// harness connects callers, daemons and upstreams by a simulated network in virtual time.
type harness struct {
	g           *WithT
	network     *memnet.Network
	serviceConn wire.Conn
	cancel      context.CancelFunc

	mu               sync.Mutex
	rand             *rand.Rand
	snapshot         *config.Snapshot
	daemons          map[membership.DaemonID]*daemon
	holders          map[uint32]membership.DaemonID // by upstream
	upstreams        map[uint32]*fakeUpstream
	flows            map[wire.FlowKey]uint32 // the upstream of each flow
	notices          []*pb.UpstreamNotice
	packetsToCallers []*pb.Packet
	packetsToOwners  []*pb.Packet
	// packetDelays returns one delay for each copy of a packet that the network delivers. If it is
	// nil, the network delivers each packet once after hopDelay.
	packetDelays func(hopKind hopKind) []time.Duration
	port         uint16
	openFlows    []*caller.Flow
	// requestTransmissions holds the request packets that callers sent, including retransmissions.
	requestTransmissions []*pb.Packet
}

// daemon is an Engine with the state that the harness simulates for its daemon.
type daemon struct {
	*request.Engine
	h         *harness
	id        membership.DaemonID
	counters  *telemetry.Counters
	loadTable *load.Table
	isDead    bool
	// deferred holds the sends and receptions of a paused daemon.
	deferred []func()
	isPaused bool
}

// simulate runs body in virtual time with the upstreams 1 to n of two slots each.
func simulate(t *testing.T, n int, tuning request.Tuning, body func(h *harness)) {
	synctest.Test(t, func(t *testing.T) { runSimulation(NewWithT(t), n, 1, tuning, body) })
}

// runSimulation is like simulate, with the given seed and inside the caller's synctest bubble.
func runSimulation(g *WithT, n int, seed uint64, tuning request.Tuning, body func(h *harness)) {
	ctx, cancel := context.WithCancel(context.Background())
	h := &harness{
		g: g, network: memnet.New(nil), cancel: cancel, rand: rand.New(rand.NewPCG(seed, 2)), port: 4000,
		daemons: map[membership.DaemonID]*daemon{}, holders: map[uint32]membership.DaemonID{},
		upstreams: map[uint32]*fakeUpstream{}, flows: map[wire.FlowKey]uint32{},
	}
	service := &pb.Service{Number: 1, Name: "bindery", Address: serviceAddr.String(), Limits: &pb.Limits{}}
	for i := uint32(1); i <= uint32(n); i++ {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 3, byte(i)}), 900)
		service.Upstreams = append(service.Upstreams, &pb.Upstream{Number: i, Address: addr.String(), Slots: 2,
			State: pb.DeclaredState_DECLARED_STATE_ACTIVE})
		h.upstreams[i] = &fakeUpstream{h: h, number: i, slots: 2, serviceTime: 50 * time.Millisecond, runs: map[runKey]int{},
			flows: map[wire.FlowKey]bool{}, mutedFlows: map[wire.FlowKey]bool{}, running: map[runKey]bool{}}
	}
	other := &pb.Service{Number: 2, Name: "galerij", Address: "127.2.2.1:700",
		Upstreams: []*pb.Upstream{{Number: 90, Address: "127.0.3.90:900", Slots: 2}}}
	h.snapshot = config.NewSnapshot(&pb.Configuration{Generation: 1, Services: []*pb.Service{service, other}, LastUpstreamNumber: 90})
	var err error
	h.serviceConn, err = h.network.Listen(serviceAddr)
	g.Expect(err).NotTo(HaveOccurred())
	go h.receiveFromCallers()
	for _, id := range []membership.DaemonID{"a", "b", "c", "d"} {
		h.startDaemon(ctx, id, tuning)
	}
	for i := uint32(1); i <= uint32(n); i++ {
		h.activate("a", i, nil, ownership.Fresh)
	}
	defer h.stop()
	body(h)
}

// stop ends all goroutines, also after a failed expectation.
func (h *harness) stop() {
	for _, f := range h.openFlows {
		f.Close()
	}
	_ = h.serviceConn.Close()
	h.cancel()
}

func (h *harness) startDaemon(ctx context.Context, id membership.DaemonID, tuning request.Tuning) {
	d := &daemon{h: h, id: id, counters: telemetry.NewCounters(), loadTable: load.NewTable()}
	d.Engine = request.New(request.Options{Self: id, Config: h, Router: router{h, id}, Output: d, Load: d.loadTable,
		Counters: d.counters, Rand: rand.New(rand.NewPCG(h.rand.Uint64(), 3)), Tuning: tuning})
	h.daemons[id] = d
	go d.Run(ctx)
}

func admission(u uint32) ownership.Resource { return ownership.Admission(1, u) }

func (h *harness) activate(id membership.DaemonID, u uint32, r *pb.ResourceRecords, p ownership.Provenance) {
	h.daemons[id].Activate(admission(u), r, p)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.holders[u] = id
}

// transfer moves an admission with all its records to another daemon, as a claim does.
func (h *harness) transfer(u uint32, to membership.DaemonID) {
	from := h.holder(u)
	records := proto.CloneOf(from.Release(admission(u)))
	time.Sleep(2 * hopDelay)
	h.activate(to, u, records, ownership.Transferred)
}

func (h *harness) holder(u uint32) *daemon {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.daemons[h.holders[u]]
}

func (h *harness) Current() *config.Snapshot {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.snapshot
}

func (h *harness) Subscribe(func(_, _ *config.Snapshot)) {}

type router struct {
	h  *harness
	id membership.DaemonID
}

func (r router) Route(a ownership.Resource) (membership.DaemonID, bool, bool) {
	r.h.mu.Lock()
	defer r.h.mu.Unlock()
	to, ok := r.h.holders[a.Index]
	return to, to == r.id, ok
}
func (r router) Successor(ownership.Resource) (membership.DaemonID, bool) { return "", false }
func (r router) PreviousHolders(ownership.Resource) []membership.DaemonID { return nil }

// hopKind distinguishes the hop to an upstream from the others.
type hopKind int

const (
	upstreamHop hopKind = iota
	otherHop
)

// send delivers the copies of a packet after the delays of the network.
func (h *harness) send(p *pb.Packet, deliver func(p *pb.Packet)) { h.sendOn(otherHop, p, deliver) }

func (h *harness) sendOn(kind hopKind, p *pb.Packet, deliver func(p *pb.Packet)) {
	delays := []time.Duration{hopDelay}
	h.mu.Lock()
	if h.packetDelays != nil {
		delays = h.packetDelays(kind)
	}
	h.mu.Unlock()
	raw, err := proto.Marshal(p)
	h.g.Expect(err).NotTo(HaveOccurred())
	for _, d := range delays {
		time.AfterFunc(d, func() {
			q := &pb.Packet{}
			_ = proto.Unmarshal(raw, q)
			deliver(q)
		})
	}
}

// execute runs f at once, or when the pause of the daemon ends. On a dead daemon it does nothing.
func (d *daemon) execute(f func()) {
	d.h.mu.Lock()
	switch {
	case d.isDead:
		d.h.mu.Unlock()
	case d.isPaused:
		d.deferred = append(d.deferred, f)
		d.h.mu.Unlock()
	default:
		d.h.mu.Unlock()
		f()
	}
}

// setPaused pauses the daemon, or ends its pause and performs the deferred sends and receptions.
func (d *daemon) setPaused(on bool) {
	d.h.mu.Lock()
	d.isPaused = on
	held := d.deferred
	d.deferred = nil
	d.h.mu.Unlock()
	for _, f := range held {
		f()
	}
}

func (d *daemon) kill() { d.h.mu.Lock(); d.isDead = true; d.h.mu.Unlock() }

func (d *daemon) ToUpstream(_ netip.AddrPort, p *pb.Packet) {
	d.execute(func() { d.h.sendOn(upstreamHop, p, d.h.upstreams[p.GetUpstream()].receive) })
}

func (d *daemon) ToCaller(p *pb.Packet) {
	d.execute(func() {
		d.h.send(p, func(p *pb.Packet) {
			d.h.mu.Lock()
			d.h.packetsToCallers = append(d.h.packetsToCallers, p)
			d.h.mu.Unlock()
			raw, _ := wire.EncodePacket(p)
			_ = d.h.serviceConn.Send(wire.FlowKeyFromProto(p.GetFlow()).Caller(), raw)
		})
	})
}

func (d *daemon) ToAdmission(_, u uint32, p *pb.Packet) {
	d.execute(func() {
		d.h.send(p, func(p *pb.Packet) {
			target := d.h.holder(u)
			target.execute(func() { target.HandleCaller(p) })
		})
	})
}

func (d *daemon) ToFlowOwner(p *pb.Packet) {
	d.execute(func() {
		d.h.mu.Lock()
		defer d.h.mu.Unlock()
		d.h.packetsToOwners = append(d.h.packetsToOwners, p)
	})
}

func (d *daemon) Notify(n *pb.UpstreamNotice) {
	d.execute(func() {
		d.h.mu.Lock()
		defer d.h.mu.Unlock()
		d.h.notices = append(d.h.notices, n)
		for _, other := range d.h.daemons {
			if other != d {
				other.loadTable.Update(n)
			}
		}
	})
}

// receiveFromCallers forwards callers' packets to the holder of the admission of their flow's
// upstream.
func (h *harness) receiveFromCallers() {
	batch := make([]wire.Datagram, 16)
	for {
		n, err := h.serviceConn.ReadBatch(batch)
		if err != nil {
			return
		}
		for _, b := range batch[:n] {
			if p, err := wire.DecodePacket(b.Data); err == nil {
				h.deliverFromCaller(p)
			}
		}
	}
}

func (h *harness) deliverFromCaller(p *pb.Packet) {
	k := wire.FlowKeyFromProto(p.GetFlow())
	h.mu.Lock()
	p.Service, p.Upstream = 1, h.flows[k]
	if p.GetKind() == pb.Kind_KIND_REQUEST {
		h.requestTransmissions = append(h.requestTransmissions, proto.CloneOf(p))
	}
	h.mu.Unlock()
	h.send(p, func(p *pb.Packet) {
		target := h.holder(p.GetUpstream())
		target.execute(func() { target.HandleCaller(p) })
	})
}

// openFlow opens a flow to an upstream with the caller library.
func (h *harness) openFlow(u uint32) *caller.Flow {
	h.mu.Lock()
	h.port++
	local := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 9, 1}), h.port)
	k, _ := wire.NewFlowKey(local, serviceAddr)
	h.flows[k] = u
	seed := h.rand.Uint64()
	h.mu.Unlock()
	d := &caller.Dialer{Listen: h.network.Listen, Local: local, Service: serviceAddr, Rand: rand.New(rand.NewPCG(seed, 4))}
	f, err := d.Open(context.Background())
	h.g.Expect(err).NotTo(HaveOccurred())
	h.mu.Lock()
	h.openFlows = append(h.openFlows, f)
	h.mu.Unlock()
	return f
}

// result is the answer to a request that startRequest started.
type result struct {
	caller.Answer
	err     error
	elapsed time.Duration
	flow    wire.FlowKey
}

// startRequest starts a request whose payload is its name, and returns a channel for its answer.
func (h *harness) startRequest(f *caller.Flow, name string, idempotent bool, deadline time.Duration) chan result {
	return h.startRequestWithCancel(false, f, name, idempotent, deadline)
}

// startRequestWithCancel is like startRequest but, if isCancelled, cancels the request at a random
// time before the deadline.
func (h *harness) startRequestWithCancel(isCancelled bool, f *caller.Flow, name string, idempotent bool,
	deadline time.Duration) chan result {
	c := make(chan result, 1)
	start := time.Now()
	ctx, cancel := context.WithCancel(context.Background())
	if isCancelled {
		time.AfterFunc(time.Duration(h.randomFloat()*float64(deadline)), cancel)
	}
	go func() {
		defer cancel()
		a, err := f.Request(ctx, caller.Request{Payload: []byte(name), Idempotent: idempotent, Deadline: deadline})
		c <- result{Answer: a, err: err, elapsed: time.Since(start), flow: f.Key()}
	}()
	return c
}

// packetsOfKind returns the packets of a kind that were sent to callers.
func (h *harness) packetsOfKind(k pb.Kind) (list []*pb.Packet) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, p := range h.packetsToCallers {
		if p.GetKind() == k {
			list = append(list, p)
		}
	}
	return list
}
