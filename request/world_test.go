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

const hop = 500 * time.Microsecond

// world joins callers, daemons and upstreams by a network in virtual time.
type world struct {
	g       *WithT
	network *memnet.Network
	front   wire.Conn
	cancel  context.CancelFunc

	mu        sync.Mutex
	rand      *rand.Rand
	snapshot  *config.Snapshot
	engines   map[membership.DaemonID]*daemon
	holders   map[uint32]membership.DaemonID
	upstreams map[uint32]*fakeUpstream
	flows     map[wire.FlowKey]uint32
	notices   []*pb.UpstreamNotice
	toCaller  []*pb.Packet
	toOwner   []*pb.Packet
	// fate returns the delays of the copies of one packet; nil is one hop.
	fate func(leg leg) []time.Duration
	port uint16
	open []*caller.Flow
	// requests holds every transmission of a caller.
	requests []*pb.Packet
}

type daemon struct {
	*request.Engine
	w        *world
	id       membership.DaemonID
	counters *telemetry.Counters
	table    *load.Table
	dead     bool
	// paused holds back everything that the daemon sends and receives.
	paused []func()
	isHeld bool
}

// simulate runs body in virtual time with upstreams 1..n of two slots.
func simulate(t *testing.T, n int, tuning request.Tuning, body func(w *world)) {
	synctest.Test(t, func(t *testing.T) { simulateHere(NewWithT(t), n, 1, tuning, body) })
}

func simulateHere(g *WithT, n int, seed uint64, tuning request.Tuning, body func(w *world)) {
	ctx, cancel := context.WithCancel(context.Background())
	w := &world{
		g: g, network: memnet.New(nil), cancel: cancel, rand: rand.New(rand.NewPCG(seed, 2)), port: 4000,
		engines: map[membership.DaemonID]*daemon{}, holders: map[uint32]membership.DaemonID{},
		upstreams: map[uint32]*fakeUpstream{}, flows: map[wire.FlowKey]uint32{},
	}
	service := &pb.Service{Number: 1, Name: "bindery", Address: serviceAddr.String(), Limits: &pb.Limits{}}
	for i := uint32(1); i <= uint32(n); i++ {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 3, byte(i)}), 900)
		service.Upstreams = append(service.Upstreams, &pb.Upstream{Number: i, Address: addr.String(), Slots: 2,
			State: pb.DeclaredState_DECLARED_STATE_ACTIVE})
		w.upstreams[i] = &fakeUpstream{w: w, number: i, slots: 2, service: 50 * time.Millisecond, runs: map[runKey]int{},
			flows: map[wire.FlowKey]bool{}, mute: map[wire.FlowKey]bool{}, current: map[runKey]bool{}}
	}
	other := &pb.Service{Number: 2, Name: "galerij", Address: "127.2.2.1:700",
		Upstreams: []*pb.Upstream{{Number: 90, Address: "127.0.3.90:900", Slots: 2}}}
	w.snapshot = config.NewSnapshot(&pb.Configuration{Generation: 1, Services: []*pb.Service{service, other}, LastUpstreamNumber: 90})
	var err error
	w.front, err = w.network.Listen(serviceAddr)
	g.Expect(err).NotTo(HaveOccurred())
	go w.serve()
	for _, id := range []membership.DaemonID{"a", "b", "c", "d"} {
		w.start(ctx, id, tuning)
	}
	for i := uint32(1); i <= uint32(n); i++ {
		w.activate("a", i, nil, ownership.Fresh)
	}
	defer w.stop()
	body(w)
}

// stop ends every task, also after a failed expectation.
func (w *world) stop() {
	for _, f := range w.open {
		f.Close()
	}
	_ = w.front.Close()
	w.cancel()
}

func (w *world) start(ctx context.Context, id membership.DaemonID, tuning request.Tuning) {
	d := &daemon{w: w, id: id, counters: telemetry.NewCounters(), table: load.NewTable()}
	d.Engine = request.New(request.Options{Self: id, Config: w, Router: router{w, id}, Output: d, Load: d.table,
		Counters: d.counters, Rand: rand.New(rand.NewPCG(w.rand.Uint64(), 3)), Tuning: tuning})
	w.engines[id] = d
	go d.Run(ctx)
}

func admission(u uint32) ownership.Resource { return ownership.Admission(1, u) }

func (w *world) activate(id membership.DaemonID, u uint32, r *pb.ResourceRecords, p ownership.Provenance) {
	w.engines[id].Activate(admission(u), r, p)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.holders[u] = id
}

// transfer moves an admission completely, as a claim does.
func (w *world) transfer(u uint32, to membership.DaemonID) {
	from := w.holder(u)
	records := proto.CloneOf(from.Release(admission(u)))
	time.Sleep(2 * hop)
	w.activate(to, u, records, ownership.Transferred)
}

func (w *world) holder(u uint32) *daemon {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.engines[w.holders[u]]
}

func (w *world) Current() *config.Snapshot {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.snapshot
}

func (w *world) Subscribe(func(_, _ *config.Snapshot)) {}

type router struct {
	w  *world
	id membership.DaemonID
}

func (r router) Route(a ownership.Resource) (membership.DaemonID, bool, bool) {
	r.w.mu.Lock()
	defer r.w.mu.Unlock()
	to, ok := r.w.holders[a.Index]
	return to, to == r.id, ok
}
func (r router) Successor(ownership.Resource) (membership.DaemonID, bool) { return "", false }
func (r router) PreviousHolders(ownership.Resource) []membership.DaemonID { return nil }

// leg tells the last hop to the upstream from the others.
type leg int

const (
	lastHop leg = iota
	otherHop
)

// later delivers copies of a packet by the network's fate.
func (w *world) later(p *pb.Packet, deliver func(p *pb.Packet)) { w.laterOn(otherHop, p, deliver) }

func (w *world) laterOn(l leg, p *pb.Packet, deliver func(p *pb.Packet)) {
	delays := []time.Duration{hop}
	w.mu.Lock()
	if w.fate != nil {
		delays = w.fate(l)
	}
	w.mu.Unlock()
	raw, err := proto.Marshal(p)
	w.g.Expect(err).NotTo(HaveOccurred())
	for _, d := range delays {
		time.AfterFunc(d, func() {
			q := &pb.Packet{}
			_ = proto.Unmarshal(raw, q)
			deliver(q)
		})
	}
}

// do runs f now, or when the daemon wakes; a dead daemon does nothing.
func (d *daemon) do(f func()) {
	d.w.mu.Lock()
	switch {
	case d.dead:
		d.w.mu.Unlock()
	case d.isHeld:
		d.paused = append(d.paused, f)
		d.w.mu.Unlock()
	default:
		d.w.mu.Unlock()
		f()
	}
}

func (d *daemon) pause(on bool) {
	d.w.mu.Lock()
	d.isHeld = on
	held := d.paused
	d.paused = nil
	d.w.mu.Unlock()
	for _, f := range held {
		f()
	}
}

func (d *daemon) kill() { d.w.mu.Lock(); d.dead = true; d.w.mu.Unlock() }

func (d *daemon) ToUpstream(_ netip.AddrPort, p *pb.Packet) {
	d.do(func() { d.w.laterOn(lastHop, p, d.w.upstreams[p.GetUpstream()].receive) })
}

func (d *daemon) ToCaller(p *pb.Packet) {
	d.do(func() {
		d.w.later(p, func(p *pb.Packet) {
			d.w.mu.Lock()
			d.w.toCaller = append(d.w.toCaller, p)
			d.w.mu.Unlock()
			raw, _ := wire.EncodePacket(p)
			_ = d.w.front.Send(wire.FlowKeyFromProto(p.GetFlow()).Caller(), raw)
		})
	})
}

func (d *daemon) ToAdmission(_, u uint32, p *pb.Packet) {
	d.do(func() {
		d.w.later(p, func(p *pb.Packet) {
			h := d.w.holder(u)
			h.do(func() { h.HandleCaller(p) })
		})
	})
}

func (d *daemon) ToFlowOwner(p *pb.Packet) {
	d.do(func() {
		d.w.mu.Lock()
		defer d.w.mu.Unlock()
		d.w.toOwner = append(d.w.toOwner, p)
	})
}

func (d *daemon) Notify(n *pb.UpstreamNotice) {
	d.do(func() {
		d.w.mu.Lock()
		defer d.w.mu.Unlock()
		d.w.notices = append(d.w.notices, n)
		for _, other := range d.w.engines {
			if other != d {
				other.table.Update(n)
			}
		}
	})
}

// serve hands callers' packets to the holder of their flow's admission.
func (w *world) serve() {
	batch := make([]wire.Datagram, 16)
	for {
		n, err := w.front.ReadBatch(batch)
		if err != nil {
			return
		}
		for _, b := range batch[:n] {
			if p, err := wire.DecodePacket(b.Data); err == nil {
				w.fromCaller(p)
			}
		}
	}
}

func (w *world) fromCaller(p *pb.Packet) {
	k := wire.FlowKeyFromProto(p.GetFlow())
	w.mu.Lock()
	p.Service, p.Upstream = 1, w.flows[k]
	if p.GetKind() == pb.Kind_KIND_REQUEST {
		w.requests = append(w.requests, proto.CloneOf(p))
	}
	w.mu.Unlock()
	w.later(p, func(p *pb.Packet) {
		h := w.holder(p.GetUpstream())
		h.do(func() { h.HandleCaller(p) })
	})
}

// flow opens a flow to an upstream with the callers' library.
func (w *world) flow(u uint32) *caller.Flow {
	w.mu.Lock()
	w.port++
	local := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 9, 1}), w.port)
	k, _ := wire.NewFlowKey(local, serviceAddr)
	w.flows[k] = u
	seed := w.rand.Uint64()
	w.mu.Unlock()
	d := &caller.Dialer{Listen: w.network.Listen, Local: local, Service: serviceAddr, Rand: rand.New(rand.NewPCG(seed, 4))}
	f, err := d.Open(context.Background())
	w.g.Expect(err).NotTo(HaveOccurred())
	w.mu.Lock()
	w.open = append(w.open, f)
	w.mu.Unlock()
	return f
}

// result is the answer of a request started by ask.
type result struct {
	caller.Answer
	err  error
	at   time.Duration
	flow wire.FlowKey
}

// ask starts a request whose payload names it, and returns a channel with its answer.
func (w *world) ask(f *caller.Flow, name string, idempotent bool, deadline time.Duration) chan result {
	return w.askUntil(false, f, name, idempotent, deadline)
}

// askUntil is ask with a cancellation at a random time before the deadline.
func (w *world) askUntil(isCancelled bool, f *caller.Flow, name string, idempotent bool, deadline time.Duration) chan result {
	c := make(chan result, 1)
	start := time.Now()
	ctx, cancel := context.WithCancel(context.Background())
	if isCancelled {
		time.AfterFunc(time.Duration(w.float()*float64(deadline)), cancel)
	}
	go func() {
		defer cancel()
		a, err := f.Request(ctx, caller.Request{Payload: []byte(name), Idempotent: idempotent, Deadline: deadline})
		c <- result{Answer: a, err: err, at: time.Since(start), flow: f.Key()}
	}()
	return c
}

// packets returns the packets of a kind that went to callers.
func (w *world) packets(k pb.Kind) (list []*pb.Packet) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.toCaller {
		if p.GetKind() == k {
			list = append(list, p)
		}
	}
	return list
}
