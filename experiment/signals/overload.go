package signals

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/fulmarfield/fulmarfield/catalog"
	"github.com/fulmarfield/fulmarfield/inband"
	"github.com/fulmarfield/fulmarfield/platform"
	"github.com/fulmarfield/fulmarfield/wire"
)

// Class describes the requests of one route.
type Class struct {
	Priority int
	// PerSecond is the rate of requests at the usual load.
	PerSecond float64
	// Work is the mean time that a request occupies a slot.
	Work                time.Duration
	Objective, Deadline time.Duration
	// Value is that of a response within the objective, and LateValue that of a later one until the deadline.
	Value, LateValue float64
	// IsUnsafe means that a request may run at most once.
	IsUnsafe bool
	// HasLongFlows means that callers send many requests on a flow, with pauses.
	HasLongFlows bool
}

// Customer is the load of one customer.
type Customer struct {
	Name    string
	Classes []Class
	// LongShare of the requests take longWork times as long as the others. Spread is the spread of work around
	// the mean.
	LongShare, Spread float64
	// ToCaller and ToZone are the one-way latencies to callers and to other zones.
	ToCaller, ToZone time.Duration
}

// Telemetry and Billing are the customers of docs/hard-load.md, without their second services.
var (
	Telemetry = Customer{
		Name: "telemetry", LongShare: 0.03, ToCaller: 3 * time.Millisecond, ToZone: 1400 * time.Microsecond,
		Classes: []Class{
			{Priority: 1, PerSecond: 330, Work: 17 * time.Millisecond, Objective: 250 * time.Millisecond,
				Deadline: 2 * time.Second, Value: 2, LateValue: 0.2, IsUnsafe: true},
			{Priority: 2, PerSecond: 1156, Work: 13 * time.Millisecond, Objective: 250 * time.Millisecond,
				Deadline: 1500 * time.Millisecond, Value: 1, LateValue: 0.1, HasLongFlows: true},
		},
	}
	Billing = Customer{
		Name: "billing", Spread: 0.5, ToCaller: time.Millisecond, ToZone: 900 * time.Microsecond,
		Classes: []Class{
			{Priority: 1, PerSecond: 488, Work: 20 * time.Millisecond, Objective: 500 * time.Millisecond,
				Deadline: 2 * time.Second, Value: 2, LateValue: 0.6, IsUnsafe: true},
			{Priority: 2, PerSecond: 985, Work: 15 * time.Millisecond, Objective: 500 * time.Millisecond,
				Deadline: 2 * time.Second, Value: 1, LateValue: 0.3},
		},
	}
)

const (
	// peakBegin and peakEnd are the times between which the load and the slowness of a case apply, and
	// overloadEnd is the end of the simulation.
	peakBegin, peakEnd, overloadEnd = 2 * time.Second, 8 * time.Second, 11 * time.Second
	// upstreamQueue is the number of requests that an upstream queues in addition to those in its slots.
	upstreamQueue = 8
	// maxAttempts is the number of attempts of a request, and retryPause the pause between two of them.
	maxAttempts = 3
	retryPause  = 20 * time.Millisecond
	// longWork is how many times as long as others the requests of LongShare take.
	longWork = 7
	// withinZone is the one-way latency within a zone.
	withinZone    = 200 * time.Microsecond
	overloadZones = 3
)

// OverloadCase is the input of one measurement.
type OverloadCase struct {
	Customer           Customer
	Daemons, Upstreams int
	Admission          bool
	// HasShares gives each daemon its own share of the upstreams by rendezvous hashing.
	HasShares bool
	// SizeFactor multiplies the number of daemons that daemons assume; 0 means 1. UnknownShare is the share of
	// daemons that do not know it.
	SizeFactor, UnknownShare float64
	// Load multiplies the callers, and Slow the work of requests, during the peak.
	Load, Slow float64
	// Loss is the share of packets lost to upstreams, and DeadShare that of upstreams that never answer.
	Loss, DeadShare float64
	// IsCold makes all upstreams cold for the whole run, and IsOneZone sends all callers to one zone's daemons.
	IsCold, IsOneZone bool
	// HoldsData makes daemons hold the data of requests on long-lived flows for at most a quarter of the objective while
	// their requests in progress exceed the limit. LongFlowShare, if it is not 0, bounds the long-lived flows of each
	// daemon at the peak, so that they take up that share of the slots.
	HoldsData     bool
	LongFlowShare float64
	// RestartAt is when all daemons restart and lose their state, 0 for never.
	RestartAt time.Duration
}

// ClassResult is the result of the requests of a class that began during the peak.
type ClassResult struct {
	Requests, InTime, Late int
	// Value is the value of the responses as a share of the value of all requests.
	Value float64
}

// OverloadResult is the result of a case.
type OverloadResult struct {
	Case OverloadCase
	// Goodput is the mean work of the requests of the peak that were answered within the objective, as a share of
	// all slot time of the peak: 1 if as many are answered in time as the slots can process.
	Goodput  float64
	Classes  []ClassResult
	Attempts int
	// NotRun is the number of attempts that full upstreams refused, and Refused that of attempts that daemons
	// refused. Held is the number of opening packets that waited.
	NotRun, Refused, Held int
	// HeldAfter and RefusedAfter are those from one second after the peak on.
	HeldAfter, RefusedAfter int
}

// overloadUpstream is a simulated upstream.
type overloadUpstream struct {
	running int
	queue   []*attempt
	isDead  bool
}

// overload is the state of one case.
type overload struct {
	simulation
	c         OverloadCase
	steerers  []*inband.Steerer
	shares    []*catalog.Catalog
	routes    map[int]netip.AddrPort
	upstreams map[uint64]*overloadUpstream
	attempts  map[wire.FlowKey]*attempt
	// wakeups holds the times at which daemons look at their held packets.
	wakeups []time.Duration
	result  OverloadResult
	// inProgress is the number of requests and longOpen that of open long-lived flows, by daemon.
	inProgress, longOpen []int
	// goodWork is the mean work of the requests answered in time.
	goodWork time.Duration
}

// MeasureOverload simulates a case and returns its result.
func MeasureOverload(c OverloadCase, seed uint64) OverloadResult {
	o := newOverload(c, seed)
	for i := range c.Customer.Classes {
		o.result.Classes = append(o.result.Classes, ClassResult{})
		if class := &c.Customer.Classes[i]; class.HasLongFlows {
			o.startLongFlows(i, class)
		} else {
			o.scheduleArrival(i, class)
		}
	}
	if c.RestartAt > 0 {
		o.scheduleAfter(c.RestartAt, func() {
			for i := range o.steerers {
				o.steerers[i] = o.newSteerer(i, seed)
			}
		})
	}
	o.run(overloadEnd)
	o.result.Case = c
	slots := 0
	for _, u := range o.catalog.Current().Ready("s") {
		slots += u.Slots
	}
	o.result.Goodput = o.goodWork.Seconds() / (float64(slots) * (peakEnd - peakBegin).Seconds())
	for i := range o.result.Classes {
		r, class := &o.result.Classes[i], c.Customer.Classes[i]
		r.Value = (class.Value*float64(r.InTime) + class.LateValue*float64(r.Late)) / (class.Value * float64(max(r.Requests, 1)))
	}
	return o.result
}

func newOverload(c OverloadCase, seed uint64) *overload {
	o := &overload{
		c: c, routes: map[int]netip.AddrPort{}, upstreams: map[uint64]*overloadUpstream{}, attempts: map[wire.FlowKey]*attempt{},
		wakeups: make([]time.Duration, c.Daemons), inProgress: make([]int, c.Daemons), longOpen: make([]int, c.Daemons),
	}
	o.params.Loss, o.random = c.Loss, rand.New(rand.NewPCG(seed, 1))
	config := &catalog.Configuration{Version: 1, Routes: map[netip.AddrPort]*catalog.Route{}}
	for i, class := range c.Customer.Classes {
		address := netip.AddrPortFrom(service.Addr(), uint16(8443+i))
		kind := catalog.KindSafe
		if class.IsUnsafe {
			kind = catalog.KindUnsafe
		}
		o.routes[i] = address
		config.Routes[address] = &catalog.Route{Address: address, Kind: kind, Priority: class.Priority,
			Objective: class.Objective, Targets: []catalog.Target{{Service: "s", Weight: 1}}}
	}
	var upstreams []*catalog.Upstream
	for i := range c.Upstreams {
		id := fmt.Sprintf("i-%04x", i)
		u := &catalog.Upstream{ID: id, Key: catalog.IncarnationKey(id, 1), Instance: uint64(i), Service: "s",
			Zone: fmt.Sprint(i % overloadZones), Slots: 2, StartedAt: 1}
		if c.IsCold {
			u.ColdRemaining = time.Hour
		}
		upstreams = append(upstreams, u)
		o.upstreams[u.Key] = &overloadUpstream{isDead: float64(i) < c.DeadShare*float64(c.Upstreams)}
	}
	o.catalog = o.newCatalog(config, upstreams)
	for i := range c.Daemons {
		known := o.catalog
		if c.HasShares {
			known = o.newCatalog(config, shareOf(i, c.Daemons, upstreams))
		}
		o.shares = append(o.shares, known)
		o.steerers = append(o.steerers, o.newSteerer(i, seed))
	}
	return o
}

func (o *overload) newCatalog(config *catalog.Configuration, upstreams []*catalog.Upstream) *catalog.Catalog {
	known := catalog.New(o.clock)
	known.SetConfiguration(config)
	known.SetUpstreams(upstreams)
	return known
}

func (o *overload) newSteerer(i int, seed uint64) *inband.Steerer {
	size := o.c.Daemons
	if o.c.HasShares {
		// The upstreams of a daemon are shared by as many daemons as chose each of them.
		size = max(shareSize(size, o.c.Upstreams)*size/o.c.Upstreams, 1)
	}
	size = max(int(orDefault(o.c.SizeFactor, 1)*float64(size)+0.5), 1)
	isKnown := float64(i) >= o.c.UnknownShare*float64(o.c.Daemons)
	startedAt := o.now
	return inband.NewSteerer(inband.Options{
		Zone: fmt.Sprint(i % overloadZones), Catalog: o.shares[i], Freshness: o, PropagationBound: 3 * time.Second,
		Random: rand.New(rand.NewPCG(seed, uint64(i+2))), DaemonCount: func() int { return o.c.Daemons },
		FleetSize: func() (int, bool) { return size, isKnown && (startedAt == 0 || o.now-startedAt > 3*time.Second) },
		Admission: o.c.Admission,
	})
}

// isPeak reports whether the load and the slowness of the case apply.
func (o *overload) isPeak() bool { return o.now >= peakBegin && o.now < peakEnd }

// load returns the multiple of the usual load at present.
func (o *overload) load() float64 {
	if o.isPeak() {
		return o.c.Load
	}
	return 1
}

// scheduleArrival schedules the next request of a class whose requests have a flow each.
func (o *overload) scheduleArrival(index int, class *Class) {
	wait := o.exponentialDuration(time.Duration(float64(time.Second) / (class.PerSecond * o.load())))
	if o.now < peakBegin && o.now+wait > peakBegin {
		// The rate changes at the beginning of the peak, and the distribution has no memory.
		o.scheduleAfter(peakBegin-o.now, func() { o.scheduleArrival(index, class) })
		return
	}
	o.scheduleAfter(wait, func() {
		o.scheduleArrival(index, class)
		o.newRequest(index, class, nil).begin()
	})
}

// startLongFlows starts callers that send one request after the other with pauses in between. At the peak more of
// them start.
func (o *overload) startLongFlows(index int, class *Class) {
	callers := class.PerSecond * (meanPause + class.Work + 4*o.c.Customer.ToCaller).Seconds()
	start := func(n int) {
		for range n {
			l := &longFlow{class: class, index: index, sim: o, isExtra: o.now > 0}
			o.scheduleAfter(o.exponentialDuration(meanPause), l.next)
		}
	}
	start(int(callers))
	o.scheduleAfter(peakBegin, func() { start(int(callers * (o.c.Load - 1))) })
}

// work draws the slot time of a request.
func (o *overload) work(class *Class) time.Duration {
	mean := float64(class.Work) / (1 + o.c.Customer.LongShare*(longWork-1))
	if o.withProbability(o.c.Customer.LongShare) {
		mean *= longWork
	}
	return time.Duration(mean * (1 + o.c.Customer.Spread*(2*o.random.Float64()-1)))
}

// shareSize returns the number of upstreams in the share of a daemon.
func shareSize(daemons, upstreams int) int { return max(3, (upstreams+daemons-1)/daemons) }

// shareOf returns the upstreams of a daemon by rendezvous hashing, with those of its zone first.
func shareOf(daemon, daemons int, upstreams []*catalog.Upstream) []*catalog.Upstream {
	rank := func(u *catalog.Upstream) uint64 {
		hash := catalog.IncarnationKey(u.ID, int64(daemon+1)) >> 1
		if u.Zone != fmt.Sprint(daemon%overloadZones) {
			hash |= 1 << 63
		}
		return hash
	}
	return lowest(upstreams, shareSize(daemons, len(upstreams)), rank)
}

// deliver calls do when a packet between a caller and a daemon or an upstream arrives.
func (o *overload) deliver(do func()) { o.scheduleAfter(o.c.Customer.ToCaller, do) }

// toUpstream calls do when a packet of a daemon reaches an upstream, unless it is lost.
func (o *overload) toUpstream(daemon int, u *catalog.Upstream, do func()) {
	if o.isLost() || o.upstreams[u.Key].isDead {
		return
	}
	latency := withinZone
	if u.Zone != fmt.Sprint(daemon%overloadZones) {
		latency = o.c.Customer.ToZone
	}
	o.scheduleAfter(latency, do)
}

// decide passes a packet of an attempt to its daemon and calls do with the verdict. Flows whose wait has ended
// thereby are handled as well.
func (o *overload) decide(a *attempt, p platform.Packet, do func(inband.Verdict)) {
	v := o.steerers[a.daemon].Decide(p, o.clock())
	o.count(v)
	do(v)
	o.handleHeld(a.daemon)
}

// handleHeld carries out the verdicts on flows whose wait has ended, and schedules the next time to look at them.
func (o *overload) handleHeld(daemon int) {
	s := o.steerers[daemon]
	for _, f := range s.TakeHeld(o.clock()) {
		o.count(f.Verdict)
		if a := o.attempts[f.Flow]; a != nil {
			a.handleOpen(f.Verdict)
		}
	}
	at := s.NextHeldAt()
	if at.IsZero() || o.wakeups[daemon] > o.now {
		return
	}
	o.wakeups[daemon] = max(at.Sub(epoch), o.now+time.Millisecond)
	o.scheduleAfter(o.wakeups[daemon]-o.now, func() { o.handleHeld(daemon) })
}

// count counts a verdict that holds or refuses a flow.
func (o *overload) count(v inband.Verdict) {
	isAfter := o.now > peakEnd+time.Second
	switch {
	case v.Action == inband.ActionHold:
		o.result.Held++
		if isAfter {
			o.result.HeldAfter++
		}
	case v.Reason == inband.ReasonOverloaded:
		o.result.Refused++
		if isAfter {
			o.result.RefusedAfter++
		}
	}
}
