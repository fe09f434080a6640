package experiment

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/config"
	"github.com/fulmarfield/fulmarfield/membership"
	"github.com/fulmarfield/fulmarfield/ownership"
	"github.com/fulmarfield/fulmarfield/wire"
)

const (
	serviceNumber = 1
	serviceIP     = 0x7f020101
	servicePort   = 8001
	// keptVersions is the number of earlier upstream sets in the configuration.
	keptVersions = 16
	// detection is the time from the death of a daemon until others take over, and fabricDelay
	// that until the fabric hands it no more packets.
	detection   = 2500 * time.Millisecond
	fabricDelay = time.Second
	samples     = time.Second
	// activationGap divides no interval of package request.
	activationGap = 37 * time.Microsecond
)

// world is one run: one policy in one scenario.
type world struct {
	s        Settings
	policy   string
	clock    *clock
	rand     *rand.Rand
	nodes    []*node
	holders  *holders
	latest   *config.Snapshot
	ups      map[uint32]*upstream
	flows    map[wire.FlowKey]*flow
	nextPort int
	turn     int
	m        *Measures
	control  *controlBytes
	measure  time.Duration
	heavy    []*flow
	light    []*flow
	reports  map[uint32]uint32
	stops    []context.CancelFunc
	tasks    sync.WaitGroup
	ctx      context.Context
}

// simulate runs one case. It must be called in a bubble.
func simulate(d *Declaration, p Policy, sc Scenario, seed uint64, progress func(done time.Duration)) *Measures {
	s := d.Settings.with(sc.Overrides).with(p.Overrides)
	w := &world{s: s, policy: p.Policy, clock: newClock(), rand: rand.New(rand.NewPCG(seed, 7)), holders: newHolders(),
		ups: map[uint32]*upstream{}, flows: map[wire.FlowKey]*flow{}, measure: d.Measure, reports: map[uint32]uint32{},
		m: newMeasures(p.Label, sc.Name, s), control: newControlBytes()}
	ctx, cancel := context.WithCancel(context.Background())
	w.ctx = ctx
	w.build()
	for _, f := range sc.Faults {
		w.clock.at(f.At, func() { w.inject(f) })
	}
	w.openAll()
	if d.Kind == kindRequests {
		w.m.hasRequests = true
		w.clock.at(rampTime+time.Second, w.arrive)
		w.clock.after(0, w.poll)
	}
	w.sample(progress)
	w.clock.run(d.Duration)
	w.m.finish(w, d)
	cancel()
	w.tasks.Wait()
	return w.m
}

func (w *world) build() {
	s := &pb.Service{Number: serviceNumber, Name: "service", Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 2, 1, 1}), servicePort).String(),
		Limits: &pb.Limits{LoadBoundPercent: uint32(w.s.LoadBound), DrainLimitMs: uint32(w.s.DrainLimit.Milliseconds()),
			QueueLength: uint32(w.s.QueueLength), RetryPercent: uint32(w.s.RetryPercent)}, Aim: pb.Aim_AIM_CONNECTIONS,
		TableGeneration: 1, TableSinceMs: time.Now().UnixMilli()}
	if w.s.Aim == "balance" {
		s.Aim = pb.Aim_AIM_BALANCE
	}
	for i := range w.s.Upstreams {
		s.Upstreams = append(s.Upstreams, w.newUpstream(uint32(i+1)))
	}
	w.latest = config.NewSnapshot(&pb.Configuration{Generation: 1, LastUpstreamNumber: uint32(w.s.Upstreams), Services: []*pb.Service{s}})
	for i := range w.s.Daemons {
		w.nodes = append(w.nodes, newNode(w.ctx, w, i))
	}
	w.rebalance()
}

func (w *world) newUpstream(number uint32) *pb.Upstream {
	w.ups[number] = &upstream{w: w, number: number, slots: w.s.Slots, running: map[runKey]*work{}}
	return &pb.Upstream{Number: number, Name: fmt.Sprintf("u%d", number), Slots: uint32(w.s.Slots), Weight: 1,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 3, byte(number >> 8), byte(number)}), 9000).String(),
		State:   pb.DeclaredState_DECLARED_STATE_ACTIVE}
}

func (w *world) service() *pb.Service {
	s, _ := w.latest.Service(serviceNumber)
	return s
}

func isActive(u *pb.Upstream) bool { return u.GetState() != pb.DeclaredState_DECLARED_STATE_DRAINING }

// active returns the numbers of the upstreams that take new flows by a generation.
func active(s *pb.Service) []uint32 {
	var list []uint32
	for _, u := range s.GetUpstreams() {
		if isActive(u) {
			list = append(list, u.GetNumber())
		}
	}
	return list
}

// declare commits a generation, which daemons follow after random delays.
func (w *world) declare(change func(s *pb.Service)) {
	old := w.service()
	s := proto.CloneOf(old)
	change(s)
	generation := w.latest.Generation() + 1
	if !slices.Equal(active(old), active(s)) {
		version := &pb.TableVersion{Generation: old.GetTableGeneration(), SinceMs: old.GetTableSinceMs()}
		for _, u := range active(old) {
			version.Entries = append(version.Entries, &pb.TableEntry{Upstream: u, Weight: 1})
		}
		s.Previous = append([]*pb.TableVersion{version}, s.Previous...)
		s.Previous = s.Previous[:min(len(s.Previous), keptVersions)]
		s.TableGeneration, s.TableSinceMs = generation, time.Now().UnixMilli()
	}
	last := w.latest.Proto.GetLastUpstreamNumber()
	for _, u := range s.GetUpstreams() {
		last = max(last, u.GetNumber())
	}
	next := config.NewSnapshot(&pb.Configuration{Generation: generation, LastUpstreamNumber: last, Services: []*pb.Service{s}})
	w.latest = next
	for _, n := range w.nodes {
		w.clock.after(time.Duration(w.rand.Int64N(int64(w.s.ConfigSpread))), func() { n.follow(next) })
	}
	w.clock.after(w.s.ConfigSpread, func() { w.rebalance() })
}

func (w *world) node(id membership.DaemonID) *node {
	for _, n := range w.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

// rebalance moves resources to the daemons that should hold them. A living holder hands over
// its records; those of a dead one are lost.
func (w *world) rebalance() {
	if w.policy != Fulmar {
		return
	}
	resources := partitions()
	for _, u := range w.service().GetUpstreams() {
		resources = append(resources, ownership.Admission(serviceNumber, u.GetNumber()))
	}
	var live []int
	for _, n := range w.nodes {
		if n.isListed && !n.dead.Load() {
			live = append(live, n.index)
		}
	}
	for _, m := range w.holders.setLive(live, resources) {
		keeper := w.keeper(m.to, m.resource)
		if m.resource.Kind == pb.ResourceKind_RESOURCE_KIND_ADMISSION {
			// The ticks of admissions must not coincide, since their order would be random.
			time.Sleep(activationGap)
		}
		switch {
		case m.from < 0:
			keeper.Activate(m.resource, nil, ownership.Fresh)
		case w.nodes[m.from].dead.Load():
			keeper.Activate(m.resource, nil, ownership.Recovered)
		default:
			keeper.Activate(m.resource, w.keeper(m.from, m.resource).Release(m.resource), ownership.Transferred)
		}
	}
}

func (w *world) keeper(index int, r ownership.Resource) ownership.ResourceHandler {
	if r.Kind == pb.ResourceKind_RESOURCE_KIND_ADMISSION {
		return w.nodes[index].engine
	}
	return w.nodes[index].steerer
}

// ingress returns the daemon that the fabric hands a packet, nil when it is lost.
func (w *world) ingress(hash uint64) *node {
	var listed []*node
	for _, n := range w.nodes {
		if n.isListed {
			listed = append(listed, n)
		}
	}
	if len(listed) == 0 {
		return nil
	}
	i := int(hash>>32) % len(listed)
	if w.s.Fabric == fabricPacket {
		i = w.rand.IntN(len(listed))
	}
	if n := listed[i]; !n.dead.Load() {
		return n
	}
	return nil
}

// admissionOf returns the daemon that holds an upstream's admission.
func (w *world) admissionOf(upstream uint32) *node {
	i := w.holders.of(ownership.Admission(serviceNumber, upstream))
	if i < 0 {
		return nil
	}
	return w.nodes[i]
}

// sample measures the state of the moment again and again.
func (w *world) sample(progress func(done time.Duration)) {
	w.clock.after(samples, func() {
		now := w.clock.now()
		for number, u := range w.ups {
			w.reports[number] = u.load().GetConnections()
		}
		w.m.sample(w, now)
		progress(now)
		w.sample(progress)
	})
}
