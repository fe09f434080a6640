package inband

import (
	"net/netip"
	"time"

	"github.com/fulmarfield/fulmarfield/cost"
	"github.com/fulmarfield/fulmarfield/placement"
	"github.com/fulmarfield/fulmarfield/workload"
)

const (
	// slowSpeed is the speed factor from which on an upstream counts as slow, and normalSpeed the one below
	// which it does not any more. They differ, so that a factor near one of them is not reported repeatedly.
	slowSpeed, normalSpeed = 1.5, 1.25
	// shortResponseShare is the share of the usual bytes of a response, and of its expected duration, below which
	// a response is not measured: an upstream that refuses requests responds fast, and with few bytes.
	shortResponseShare = 0.5
	// refusalWork is the number of requests that are taken to wait at an upstream that has just refused one.
	// It falls to 0 within refusalPeriod times the typical duration of a request.
	refusalWork, refusalPeriod = 8, 8
	// refusalRetention bounds how long a refusal is kept.
	refusalRetention = 10 * time.Second
	// responseBytesWeight is the weight of one response in the usual number of bytes.
	responseBytesWeight = 1.0 / 32
)

// requestCost is what the cost of a flow's present request is derived from.
type requestCost struct {
	// bytes is the number of bytes of the request that the caller has sent.
	bytes int
	// inProgress is the number of this daemon's other requests on the upstream when the request began.
	inProgress int
	// acknowledged is the caller's acknowledgement before the response.
	acknowledged uint32
}

// MeasuredRequest is a request with its expected duration, and the one that was measured.
type MeasuredRequest struct{ Expected, Measured time.Duration }

// SpeedChange is an upstream that has become slow, or is not slow any more, by its speed factor.
type SpeedChange struct {
	Upstream uint64
	Factor   float64
	IsSlow   bool
}

// costs connects the model of the durations of requests with the flows. Its methods do nothing if model is nil,
// in which case flows are placed by load alone.
type costs struct {
	model *cost.Model
	work  *workload.Ledger
	// responseBytes is the usual number of bytes of a first acknowledgement by route.
	responseBytes map[netip.AddrPort]float64
	// refusedAt holds when an upstream last seemed to refuse a request.
	refusedAt map[uint64]time.Time
	// recent holds what the latest responses of an upstream show.
	recent map[uint64]recentResponse
	// byService holds the speed classes of the services that had an opening packet lately.
	byService map[string]*speedClasses
	// slow holds the upstreams that count as slow.
	slow     map[uint64]bool
	measured []MeasuredRequest
	changes  []SpeedChange
}

func newCosts(isEnabled bool, work *workload.Ledger) *costs {
	c := &costs{work: work, responseBytes: map[netip.AddrPort]float64{}, slow: map[uint64]bool{}, refusedAt: map[uint64]time.Time{},
		recent: map[uint64]recentResponse{}, byService: map[string]*speedClasses{}}
	if isEnabled {
		c.model = cost.NewModel()
	}
	return c
}

// expected returns the expected duration of the present or next request of a flow, 0 if it is not known.
func (c *costs) expected(f *flow, now time.Time) time.Duration {
	if c.model == nil {
		return 0
	}
	e := c.model.Expected(f.key.Service(), f.requestBytes(), now)
	return time.Duration(float64(e) * c.model.Speed(f.upstream.Key, now))
}

// requestBytes returns the number of bytes that the caller has sent since its last acknowledgement of data.
func (f *flow) requestBytes() int { return int(f.dataEnd - f.dataStart) }

// begin records that the flow's present request, which the ledger already contains, has begun.
func (c *costs) begin(f *flow) {
	f.cost = requestCost{
		bytes: f.requestBytes(), inProgress: c.work.Requests(f.upstream.Key) - 1, acknowledged: f.acknowledged,
	}
}

// grow records further data of the flow's present request.
func (c *costs) grow(f *flow, now time.Time) {
	if bytes := f.requestBytes(); c.model != nil && bytes > f.cost.bytes {
		f.cost.bytes = bytes
		c.work.SetExpected(f.key, c.expected(f, now))
	}
}

// recordResponse records the duration of the request that a packet with an acknowledgement ends.
func (c *costs) recordResponse(f *flow, acknowledged uint32, took time.Duration, now time.Time) {
	if c.model == nil || f.upstream.IsCold(now) {
		return
	}
	route, upstream := f.key.Service(), f.upstream.Key
	expected := c.model.Expected(route, f.cost.bytes, now)
	bytes := float64(acknowledged - f.cost.acknowledged)
	usual, isKnown := c.responseBytes[route]
	if isKnown && bytes < shortResponseShare*usual && took.Seconds() < shortResponseShare*expected.Seconds() {
		c.refusedAt[upstream] = now
		delete(c.recent, upstream)
		return
	}
	if !isKnown {
		usual = bytes
	}
	c.responseBytes[route] = usual + (bytes-usual)*responseBytesWeight
	if expected > 0 {
		c.recordRatio(upstream, float64(took)/float64(expected), now)
		expected = time.Duration(float64(expected) * c.model.Speed(upstream, now))
		c.measured = append(c.measured, MeasuredRequest{expected, took})
	}
	c.record(f, took, now)
}

// record adds the duration of the flow's present request to the model.
func (c *costs) record(f *flow, took time.Duration, now time.Time) {
	c.model.SetSlots(f.upstream.Key, f.upstream.Slots)
	c.model.Record(f.key.Service(), f.upstream.Key, f.cost.bytes, took, f.cost.inProgress, now)
}

// recordOverdue records a request that has waited for a time and counts as overdue.
func (c *costs) recordOverdue(f *flow, waited time.Duration, now time.Time) {
	if c.model != nil && !f.upstream.IsCold(now) {
		c.record(f, waited, now)
	}
}

// addTo adds what is known of costs to the candidates for a new flow of a route.
func (c *costs) addTo(candidates []placement.Candidate, route netip.AddrPort, classes *speedClasses, now time.Time) {
	if c.model == nil {
		return
	}
	typical := c.model.Expected(route, 0, now)
	if typical == 0 {
		return
	}
	for i := range candidates {
		candidate := &candidates[i]
		key := candidate.Upstream.Key
		candidate.Speed = c.model.Speed(key, now) / classes.reference
		if candidate.BusyFlows > 0 {
			work := float64(c.work.Expected(key, typical)) / float64(typical)
			candidate.ExtraWork = work/candidate.Speed - float64(candidate.BusyFlows)
		}
		if at, hasRefused := c.refusedAt[key]; hasRefused {
			age := now.Sub(at).Seconds() / (refusalPeriod * typical.Seconds())
			candidate.ExtraWork += refusalWork * max(1-age, 0)
		}
	}
}

// update drops what is known of upstreams and routes that are not registered, and finds upstreams that became
// slow, or are not slow any more.
func (c *costs) update(known state, now time.Time) {
	if c.model == nil {
		return
	}
	hasRoute := func(a netip.AddrPort) bool { return known.Route(a) != nil }
	c.model.Retain(func(key uint64) bool { return known.Upstream(key) != nil }, hasRoute)
	for route := range c.responseBytes {
		if !hasRoute(route) {
			delete(c.responseBytes, route)
		}
	}
	for key, at := range c.refusedAt {
		if now.Sub(at) > refusalRetention {
			delete(c.refusedAt, key)
		}
	}
	for key, r := range c.recent {
		if now.Sub(r.at) > recentResponseAge {
			delete(c.recent, key)
		}
	}
	for service, classes := range c.byService {
		if now.Sub(classes.at) > speedClassRetention {
			delete(c.byService, service)
		}
	}
	for key := range c.slow {
		if factor := c.model.Speed(key, now); factor < normalSpeed {
			delete(c.slow, key)
			c.changes = append(c.changes, SpeedChange{key, factor, false})
		}
	}
	for key, factor := range c.model.Speeds(now) {
		if factor > slowSpeed && !c.slow[key] {
			c.slow[key] = true
			c.changes = append(c.changes, SpeedChange{key, factor, true})
		}
	}
}

// TakeMeasuredRequests returns the requests since the last call whose duration was expected and measured.
func (s *Steerer) TakeMeasuredRequests() []MeasuredRequest {
	measured := s.costs.measured
	s.costs.measured = nil
	return measured
}

// TakeSpeedChanges returns the upstreams that became slow by their speed factor since the last call, and those that
// are not slow any more.
func (s *Steerer) TakeSpeedChanges() []SpeedChange {
	changes := s.costs.changes
	s.costs.changes = nil
	return changes
}

// SlowUpstreams returns the number of upstreams that count as slow by their speed factor.
func (s *Steerer) SlowUpstreams() int { return len(s.costs.slow) }
