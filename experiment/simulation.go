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
	// keptTableVersions bounds the earlier table versions of the service in the configuration.
	keptTableVersions = 16
	// failureDetectionDelay is the time from the end of a killed daemon until other daemons take over
	// its resources, and fabricWithdrawDelay the time until the fabric sends no more packets to it.
	failureDetectionDelay = 2500 * time.Millisecond
	fabricWithdrawDelay   = time.Second
	sampleInterval        = time.Second
	// activationGap separates the activations of admissions. No tick interval of package request is a
	// multiple of it, so that the ticks of two admissions do not coincide.
	activationGap = 37 * time.Microsecond
)

// simulation is the state of one run, that is, of one policy in one scenario.
type simulation struct {
	settings       Settings
	policy         string
	clock          *clock
	rand           *rand.Rand
	nodes          []*node
	holders        *holders
	latestConfig   *config.Snapshot
	upstreams      map[uint32]*upstream
	flows          map[wire.FlowKey]*flow
	nextPort       int
	roundRobinTurn int
	measures       *Measures
	controlTraffic *trafficCounter
	measureFrom    time.Duration
	// heavyFlows and lightFlows are the open flows of heavy and of other callers. Flows that have ended are
	// removed when pickFlow finds them.
	heavyFlows []*flow
	lightFlows []*flow
	// reportedConnections contains the connections in the last load report of each upstream.
	reportedConnections map[uint32]uint32
	// cancels end the goroutines of each daemon.
	cancels     []context.CancelFunc
	daemonTasks sync.WaitGroup
	ctx         context.Context
}

// simulate runs one case. It must be called in a synctest bubble.
func simulate(d *Declaration, p Policy, sc Scenario, seed uint64, progress func(done time.Duration)) *Measures {
	settings := d.Settings.withOverrides(sc.Overrides).withOverrides(p.Overrides)
	sim := &simulation{settings: settings, policy: p.Policy, clock: newClock(),
		rand: rand.New(rand.NewPCG(seed, 7)), holders: newHolders(),
		upstreams: map[uint32]*upstream{}, flows: map[wire.FlowKey]*flow{}, measureFrom: d.MeasureFrom,
		reportedConnections: map[uint32]uint32{},
		measures:            newMeasures(p.Label, sc.Name, settings), controlTraffic: newTrafficCounter()}
	ctx, cancel := context.WithCancel(context.Background())
	sim.ctx = ctx
	sim.createDeployment()
	for _, f := range sc.Faults {
		sim.clock.scheduleAt(f.At, func() { sim.inject(f) })
	}
	sim.openInitialFlows()
	if d.Kind == kindRequests {
		sim.measures.hasRequests = true
		sim.clock.scheduleAt(rampTime+time.Second, sim.generateLoad)
		sim.clock.scheduleAfter(0, sim.pollReports)
	}
	sim.sample(progress)
	sim.clock.run(d.Duration)
	sim.measures.computeResults(sim, d)
	cancel()
	sim.daemonTasks.Wait()
	return sim.measures
}

// createDeployment commits the first generation and starts all daemons with it.
func (sim *simulation) createDeployment() {
	s := &pb.Service{Number: serviceNumber, Name: "service", Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 2, 1, 1}), servicePort).String(),
		Limits: &pb.Limits{LoadBoundPercent: uint32(sim.settings.LoadBound),
			DrainLimitMs: uint32(sim.settings.DrainLimit.Milliseconds()),
			QueueLength:  uint32(sim.settings.QueueLength), RetryPercent: uint32(sim.settings.RetryPercent)},
		Aim:             pb.Aim_AIM_CONNECTIONS,
		TableGeneration: 1, TableSinceMs: time.Now().UnixMilli()}
	if sim.settings.Aim == "balance" {
		s.Aim = pb.Aim_AIM_BALANCE
	}
	for i := range sim.settings.Upstreams {
		s.Upstreams = append(s.Upstreams, sim.newUpstream(uint32(i+1)))
	}
	sim.latestConfig = config.NewSnapshot(&pb.Configuration{Generation: 1,
		LastUpstreamNumber: uint32(sim.settings.Upstreams), Services: []*pb.Service{s}})
	for i := range sim.settings.Daemons {
		sim.nodes = append(sim.nodes, newNode(sim.ctx, sim, i))
	}
	sim.rebalance()
}

// newUpstream adds an upstream to the model and returns its declaration.
func (sim *simulation) newUpstream(number uint32) *pb.Upstream {
	sim.upstreams[number] = &upstream{sim: sim, number: number, slots: sim.settings.Slots,
		running: map[requestKey]*upstreamRequest{}}
	return &pb.Upstream{Number: number, Name: fmt.Sprintf("u%d", number), Slots: uint32(sim.settings.Slots), Weight: 1,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 3, byte(number >> 8), byte(number)}), 9000).String(),
		State:   pb.DeclaredState_DECLARED_STATE_ACTIVE}
}

// service returns the service of the latest generation, which some daemons may not apply yet.
func (sim *simulation) service() *pb.Service {
	s, _ := sim.latestConfig.Service(serviceNumber)
	return s
}

func isActive(u *pb.Upstream) bool { return u.GetState() != pb.DeclaredState_DECLARED_STATE_DRAINING }

// activeUpstreams returns the numbers of the upstreams that accept new flows.
func activeUpstreams(s *pb.Service) []uint32 {
	var list []uint32
	for _, u := range s.GetUpstreams() {
		if isActive(u) {
			list = append(list, u.GetNumber())
		}
	}
	return list
}

// commitGeneration commits a changed service as the next generation. Each daemon applies it after a
// random delay of up to ConfigSpread.
func (sim *simulation) commitGeneration(change func(s *pb.Service)) {
	old := sim.service()
	s := proto.CloneOf(old)
	change(s)
	generation := sim.latestConfig.Generation() + 1
	if !slices.Equal(activeUpstreams(old), activeUpstreams(s)) {
		version := &pb.TableVersion{Generation: old.GetTableGeneration(), SinceMs: old.GetTableSinceMs()}
		for _, u := range activeUpstreams(old) {
			version.Entries = append(version.Entries, &pb.TableEntry{Upstream: u, Weight: 1})
		}
		s.Previous = append([]*pb.TableVersion{version}, s.Previous...)
		s.Previous = s.Previous[:min(len(s.Previous), keptTableVersions)]
		s.TableGeneration, s.TableSinceMs = generation, time.Now().UnixMilli()
	}
	lastUpstream := sim.latestConfig.Proto.GetLastUpstreamNumber()
	for _, u := range s.GetUpstreams() {
		lastUpstream = max(lastUpstream, u.GetNumber())
	}
	next := config.NewSnapshot(&pb.Configuration{Generation: generation, LastUpstreamNumber: lastUpstream,
		Services: []*pb.Service{s}})
	sim.latestConfig = next
	for _, n := range sim.nodes {
		sim.clock.scheduleAfter(time.Duration(sim.rand.Int64N(int64(sim.settings.ConfigSpread))), func() { n.applyGeneration(next) })
	}
	sim.clock.scheduleAfter(sim.settings.ConfigSpread, func() { sim.rebalance() })
}

func (sim *simulation) nodeByID(id membership.DaemonID) *node {
	for _, n := range sim.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

// rebalance moves resources to the daemons that should hold them. A running holder hands over its
// records; the records of a killed holder are lost.
func (sim *simulation) rebalance() {
	if sim.policy != Fulmar {
		return
	}
	resources := allPartitions()
	for _, u := range sim.service().GetUpstreams() {
		resources = append(resources, ownership.Admission(serviceNumber, u.GetNumber()))
	}
	var live []int
	for _, n := range sim.nodes {
		if n.isListed && !n.dead.Load() {
			live = append(live, n.index)
		}
	}
	for _, m := range sim.holders.setLive(live, resources) {
		handler := sim.handler(m.to, m.resource)
		if m.resource.Kind == pb.ResourceKind_RESOURCE_KIND_ADMISSION {
			// The ticks of two admissions must not coincide, since their order would be random.
			time.Sleep(activationGap)
		}
		switch {
		case m.from < 0:
			handler.Activate(m.resource, nil, ownership.Fresh)
		case sim.nodes[m.from].dead.Load():
			handler.Activate(m.resource, nil, ownership.Recovered)
		default:
			handler.Activate(m.resource, sim.handler(m.from, m.resource).Release(m.resource), ownership.Transferred)
		}
	}
}

// handler returns the part of a daemon that holds resources of the kind of r.
func (sim *simulation) handler(index int, r ownership.Resource) ownership.ResourceHandler {
	if r.Kind == pb.ResourceKind_RESOURCE_KIND_ADMISSION {
		return sim.nodes[index].engine
	}
	return sim.nodes[index].steerer
}

// ingress returns the daemon to which the fabric sends a packet, or nil if the packet is lost.
func (sim *simulation) ingress(hash uint64) *node {
	var listed []*node
	for _, n := range sim.nodes {
		if n.isListed {
			listed = append(listed, n)
		}
	}
	if len(listed) == 0 {
		return nil
	}
	i := int(hash>>32) % len(listed)
	if sim.settings.Fabric == fabricPacket {
		i = sim.rand.IntN(len(listed))
	}
	if n := listed[i]; !n.dead.Load() {
		return n
	}
	return nil
}

// admissionHolder returns the daemon that holds an upstream's admission, or nil if there is none.
func (sim *simulation) admissionHolder(upstream uint32) *node {
	i := sim.holders.currentHolder(ownership.Admission(serviceNumber, upstream))
	if i < 0 {
		return nil
	}
	return sim.nodes[i]
}

// sample records the current state at every sampleInterval until the run ends.
func (sim *simulation) sample(progress func(done time.Duration)) {
	sim.clock.scheduleAfter(sampleInterval, func() {
		now := sim.clock.now()
		for number, u := range sim.upstreams {
			sim.reportedConnections[number] = u.load().GetConnections()
		}
		sim.measures.sample(sim, now)
		progress(now)
		sim.sample(progress)
	})
}
