package signals

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/fulmarfield/fulmarfield/catalog"
	"github.com/fulmarfield/fulmarfield/inband"
	"github.com/fulmarfield/fulmarfield/platform"
	"github.com/fulmarfield/fulmarfield/suspicion"
	"github.com/fulmarfield/fulmarfield/wire"
)

// CostCase is the input of one measurement of placement by cost. Half of the requests open a flow each, the others
// are sent on flows that stay open.
type CostCase struct {
	Name               string
	Daemons, Upstreams int
	// Utilisation is the share of the capacity of all upstreams that the requests take up.
	Utilisation float64
	// SlowShare is the share of the upstreams that take SlowFactor times as long for each request.
	SlowShare, SlowFactor float64
	// MoreSlotsShare is the share of the upstreams with 2 to 4 times the slots.
	MoreSlotsShare float64
	// TailShare is the share of the requests that take tailFactor times as long.
	TailShare float64
	// SkewedShare is the share of the callers that are in the first of three zones, 0 for an equal number in each.
	SkewedShare float64
	// RefusingShare is the share of the upstreams that refuse each request. If RefusesLikeResponse is set, the
	// refusal has as many bytes as a response.
	RefusingShare       float64
	RefusesLikeResponse bool
	// LargeShare is the share of the requests that have largeBytes and take largeFactor times as long.
	LargeShare float64
	// ByCost selects placement by cost instead of placement by load.
	ByCost bool
}

const (
	// singleWork is the mean duration of requests that open a flow each, and repeatedWork that of the others. Their
	// standard deviation is workSpread of the mean.
	singleWork, repeatedWork = 17 * time.Millisecond, 13 * time.Millisecond
	workSpread               = 0.5
	tailFactor               = 7
	// requestsPerFlow is the number of requests on a flow that stays open, pauseInFlow the mean pause between them.
	requestsPerFlow                     = 20
	pauseInFlow                         = 500 * time.Millisecond
	costSlots                           = 2
	callerRoundTrip, crossZoneRoundTrip = 2 * time.Millisecond, 1800 * time.Microsecond
	costObjective                       = 250 * time.Millisecond
	costDeadline                        = 2 * time.Second
	refusalBytes, largeBytes            = 100, 20_000
	largeFactor                         = 8
	costWarmUp, costPeriod              = 8 * time.Second, 4 * time.Second
)

// repeatedService is the address of the route of flows that stay open; service is that of the others.
var repeatedService = netip.MustParseAddrPort("198.18.0.2:8443")

// CostResult is the result of a case.
type CostResult struct {
	P50, P99 time.Duration
	// InObjective is the share of the requests that were answered within the objective.
	InObjective float64
	// Refused is the number of attempts that were refused, as a share of the requests.
	Refused float64
	// ToChanged is the share of requests that were sent to upstreams that are slow or refuse.
	ToChanged float64
}

// costUpstream is the state of a simulated upstream.
type costUpstream struct {
	*catalog.Upstream
	factor  float64
	refuses bool
	running int
	waiting []func()
}

// costSimulation is the state of one case. It embeds the events, the catalog and the daemons.
type costSimulation struct {
	*simulation
	params                       CostCase
	upstreams                    map[uint64]*costUpstream
	flows                        uint64
	seed                         uint64
	took                         []time.Duration
	refused, requests, toChanged int
}

// MeasureCosts simulates a case and returns its result.
func MeasureCosts(c CostCase, seed uint64) CostResult {
	sim := newCostSimulation(c, seed)
	rate := c.Utilisation * sim.capacity() / 2
	meanFactor := (1 + c.TailShare*(tailFactor-1)) * (1 + c.LargeShare*(largeFactor-1))
	// Each kind takes up half of the work.
	sim.arrive(service, 1, singleWork, rate/(singleWork.Seconds()*meanFactor))
	sim.arrive(repeatedService, requestsPerFlow, repeatedWork, rate/(repeatedWork.Seconds()*meanFactor*requestsPerFlow))
	sim.run(costWarmUp + costPeriod)
	slices.Sort(sim.took)
	n := len(sim.took)
	within, _ := slices.BinarySearch(sim.took, costObjective+1)
	return CostResult{
		P50: sim.took[n/2], P99: sim.took[n*99/100], InObjective: float64(within) / float64(n),
		Refused: float64(sim.refused) / float64(n), ToChanged: float64(sim.toChanged) / float64(sim.requests),
	}
}

// newCostSimulation returns a simulation with upstreams and daemons in three zones.
func newCostSimulation(c CostCase, seed uint64) *costSimulation {
	sim := &costSimulation{simulation: newSimulation(Case{Daemons: c.Daemons}, seed), params: c, seed: seed, upstreams: map[uint64]*costUpstream{}}
	targets := []catalog.Target{{Service: "s", Weight: 1}}
	sim.catalog.SetConfiguration(&catalog.Configuration{Version: 2, Routes: map[netip.AddrPort]*catalog.Route{
		service:         {Address: service, Kind: catalog.KindSafe, Targets: targets},
		repeatedService: {Address: repeatedService, Kind: catalog.KindSafe, Targets: targets},
	}})
	var registered []*catalog.Upstream
	// The upstreams that differ are spread over the zones by a random order.
	for place, i := range sim.random.Perm(c.Upstreams) {
		id := fmt.Sprintf("i-%04x", i)
		u := &costUpstream{factor: 1, Upstream: &catalog.Upstream{
			ID: id, Key: catalog.IncarnationKey(id, 1), Instance: uint64(i), Service: "s", Zone: zoneOf(i), Slots: costSlots, StartedAt: 1,
		}}
		share := float64(place) / float64(c.Upstreams)
		if share < c.SlowShare {
			u.factor = c.SlowFactor
		}
		u.refuses = share < c.RefusingShare
		if share > 1-c.MoreSlotsShare {
			u.Slots *= 2 + place%3
		}
		registered = append(registered, u.Upstream)
		sim.upstreams[u.Key] = u
	}
	sim.catalog.SetUpstreams(registered)
	sim.daemons = nil
	for i := range c.Daemons {
		sim.daemons = append(sim.daemons, inband.NewSteerer(inband.Options{
			Zone: zoneOf(i), Catalog: sim.catalog, Freshness: sim, PropagationBound: 3 * time.Second,
			Random:      rand.New(rand.NewPCG(seed, uint64(i+2))),
			DaemonCount: func() int { return c.Daemons }, PlacesByCost: c.ByCost,
		}))
	}
	sim.onHealthChange = func(int, suspicion.HealthChange) {}
	sim.onDecision = sim.deliverReports
	return sim
}

func zoneOf(i int) string { return string(rune('a' + i%3)) }

// capacity returns the work that all upstreams together process per second, in seconds of an upstream of usual speed.
func (sim *costSimulation) capacity() float64 {
	sum := 0.0
	for _, u := range sim.upstreams {
		if !u.refuses {
			sum += float64(u.Slots) / u.factor
		}
	}
	return sum
}

// deliverReports delivers the reports of a daemon on response times to the others.
func (sim *costSimulation) deliverReports(daemon int) {
	d := sim.daemons[daemon]
	d.TakeOutlierChanges()
	d.TakeMeasuredRequests()
	d.TakeSpeedChanges()
	for _, r := range d.TakeReports() {
		r.Origin = netip.AddrFrom4([4]byte{10, 0, byte(daemon >> 8), byte(daemon)})
		sim.scheduleAfter(reportDelay, func() {
			for i, other := range sim.daemons {
				if i != daemon {
					other.RecordReport(r, sim.clock())
				}
			}
		})
	}
}

// arrive opens flows at random times with a rate per second. The flows are the same for each way of placement.
func (sim *costSimulation) arrive(address netip.AddrPort, requests int, work time.Duration, rate float64) {
	random := rand.New(rand.NewPCG(sim.seed, uint64(address.Addr().As4()[3])))
	var next func()
	next = func() {
		sim.flows++
		s := &costCaller{sim: sim, address: address, left: requests, work: work,
			random: rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))}
		s.daemon = sim.daemonOf(s.random)
		s.begin()
		sim.scheduleAfter(time.Duration(random.ExpFloat64()/rate*float64(time.Second)), next)
	}
	sim.scheduleAfter(0, next)
}

// daemonOf returns a daemon in the zone of a caller.
func (sim *costSimulation) daemonOf(random *rand.Rand) int {
	zone := random.IntN(3)
	if sim.params.SkewedShare > 0 {
		zone = 0
		if random.Float64() >= sim.params.SkewedShare {
			zone = 1 + random.IntN(2)
		}
	}
	return zone + 3*random.IntN((sim.params.Daemons-zone+2)/3)
}

// costCaller sends requests, one after the other.
type costCaller struct {
	sim     *costSimulation
	random  *rand.Rand
	address netip.AddrPort
	daemon  int
	work    time.Duration
	// left is the number of requests that have not been answered.
	left int
	// duration, bytes and began are those of the present request, and attempts the number of its attempts.
	duration time.Duration
	bytes    int
	began    time.Duration
	attempts int
	*caller
}

// begin draws the next request and sends it, on the open flow if there is one.
func (s *costCaller) begin() {
	// A log-normal distribution with a mean of 1.
	sigma := math.Sqrt(math.Log(1 + workSpread*workSpread))
	factor := math.Exp(s.random.NormFloat64()*sigma - sigma*sigma/2)
	if s.random.Float64() < s.sim.params.TailShare {
		factor *= tailFactor
	}
	s.bytes = payloadBytes
	if s.random.Float64() < s.sim.params.LargeShare {
		factor, s.bytes = factor*largeFactor, largeBytes
	}
	s.duration = time.Duration(factor * float64(s.work))
	s.began, s.attempts = s.sim.now, 0
	if s.caller == nil {
		s.open()
		return
	}
	s.request()
}

// open sends an opening packet.
func (s *costCaller) open() {
	s.attempts++
	s.sim.nextPort++
	port := s.sim.nextPort
	source := netip.AddrFrom4([4]byte{100, 64 + byte(port>>22), byte(port >> 14), 1})
	flow, err := wire.NewFlowKey(netip.AddrPortFrom(source, uint16(1024+port&0x3fff)), s.address)
	if err != nil {
		panic(err) // The addresses are built here.
	}
	s.caller = &caller{sim: s.sim.simulation, daemon: s.daemon, flow: flow, sequence: 1}
	v := s.send(platform.Packet{Flow: flow, Opens: true})
	if v.Action != inband.ActionForward {
		s.end(costDeadline)
		return
	}
	s.upstream = v.Upstream
	s.sim.scheduleAfter(s.roundTrip(), func() {
		s.acknowledged = 1000
		s.send(s.costPacket(0))
		s.request()
	})
}

func (s *costCaller) roundTrip() time.Duration {
	if s.upstream.Zone != zoneOf(s.daemon) {
		return callerRoundTrip + crossZoneRoundTrip
	}
	return callerRoundTrip
}

// costPacket returns a packet of the open flow.
func (s *costCaller) costPacket(bytes int) platform.Packet {
	p := s.packet(bytes)
	p.Token = s.upstream.Token(s.address)
	return p
}

// request sends the present request. It is never answered if that would take longer than the deadline.
func (s *costCaller) request() {
	u := s.sim.upstreams[s.upstream.Key]
	s.send(s.costPacket(s.bytes))
	if s.sim.now > costWarmUp {
		s.sim.requests++
		if u.refuses || u.factor > 1 {
			s.sim.toChanged++
		}
	}
	if u.refuses || u.running == u.Slots && len(u.waiting) == upstreamQueue {
		s.sim.scheduleAfter(s.roundTrip(), s.refused)
		return
	}
	roundTrip := s.roundTrip()
	duration, isOver := time.Duration(float64(s.duration)*u.factor), false
	u.serve(func() {
		s.sim.scheduleAfter(duration, func() {
			u.free()
			s.sim.scheduleAfter(roundTrip, func() {
				if !isOver {
					isOver = true
					s.answered()
				}
			})
		})
	})
	s.sim.scheduleAfter(max(s.began+costDeadline-s.sim.now, 0), func() {
		if !isOver {
			isOver = true
			s.close(true)
			s.end(costDeadline)
		}
	})
}

// serve runs a request in a slot, at once or when one is free.
func (u *costUpstream) serve(run func()) {
	if u.running < u.Slots {
		u.running++
		run()
		return
	}
	u.waiting = append(u.waiting, run)
}

// free ends a request, and runs the next one in its slot.
func (u *costUpstream) free() {
	if len(u.waiting) == 0 {
		u.running--
		return
	}
	run := u.waiting[0]
	u.waiting = u.waiting[1:]
	run()
}

// receive acknowledges a response of a number of bytes.
func (s *costCaller) receive(bytes uint32) {
	s.sequence += uint32(s.bytes)
	s.acknowledged += bytes
	s.send(s.costPacket(0))
}

// answered ends the present request, and begins the next one after a pause.
func (s *costCaller) answered() {
	s.receive(answerBytes)
	s.end(s.sim.now - s.began)
}

// refused handles a refusal: the caller tries again on another flow.
func (s *costCaller) refused() {
	size := uint32(refusalBytes)
	if s.sim.params.RefusesLikeResponse {
		size = answerBytes
	}
	s.receive(size)
	s.close(false)
	if s.began > costWarmUp {
		s.sim.refused++
	}
	if s.attempts >= maxAttempts {
		s.end(costDeadline)
		return
	}
	s.open()
}

// close closes or resets the flow.
func (s *costCaller) close(resets bool) {
	if s.caller == nil {
		return
	}
	p := s.costPacket(0)
	p.Finishes, p.Resets = !resets, resets
	s.send(p)
	s.caller = nil
}

// end records how long the present request took, and begins the next one after a pause.
func (s *costCaller) end(took time.Duration) {
	if s.began > costWarmUp {
		s.sim.took = append(s.sim.took, took)
	}
	if s.left--; s.left == 0 {
		s.close(false)
		return
	}
	s.sim.scheduleAfter(time.Duration(s.random.ExpFloat64()*float64(pauseInFlow)), s.begin)
}
