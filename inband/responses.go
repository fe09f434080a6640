package inband

import (
	"net/netip"
	"time"

	"github.com/fulmarfield/fulmarfield/catalog"
	"github.com/fulmarfield/fulmarfield/outlier"
	"github.com/fulmarfield/fulmarfield/platform"
	"github.com/fulmarfield/fulmarfield/wire"
)

// minOverdueTime is how long a request must have waited for a response to count as overdue. It is longer
// than the 200 ms after which a caller retransmits data that the upstream has not acknowledged, so that
// a lost packet is not taken for a slow upstream.
const minOverdueTime = 250 * time.Millisecond

// pendingRequest is a request that may become overdue.
type pendingRequest struct {
	key         wire.FlowKey
	requestedAt time.Time
}

// routeResponses is the state of the response times of one route.
type routeResponses struct {
	baseline outlier.Baseline
	// pending are the requests in the order in which they began.
	pending []pendingRequest
}

// responses derives the response times of upstreams from the packets of callers. The response time of
// a request is the time from its first packet to the first acknowledgement of response data.
type responses struct {
	byRoute  map[netip.AddrPort]*routeResponses
	detector *outlier.Detector
	costs    *costs
	// resumedAt is when this process last resumed after a pause. The response times of requests that
	// began until then include the pause.
	resumedAt time.Time
}

func newResponses(d *outlier.Detector, c *costs) *responses {
	return &responses{byRoute: map[netip.AddrPort]*routeResponses{}, detector: d, costs: c}
}

// route returns the state of a route, which it creates if there is none.
func (r *responses) route(address netip.AddrPort) *routeResponses {
	s := r.byRoute[address]
	if s == nil {
		s = &routeResponses{}
		r.byRoute[address] = s
	}
	return s
}

// recordPacket updates the response times with the evidence of a packet of the flow. wasBusy is whether
// a request was in progress before the packet.
func (r *responses) recordPacket(f *flow, p platform.Packet, observed event, wasBusy bool, now time.Time) {
	if wasBusy && observed == eventProgress && f.requestedAt.After(r.resumedAt) {
		r.recordResponse(f, p.Flow.Service(), now.Sub(f.requestedAt), now)
		r.costs.recordResponse(f, p.Acknowledged, now.Sub(f.requestedAt), now)
	}
	if observed == eventProgress || f.retransmissions > 0 {
		// The delay of retransmitted data is that of a lost packet or of a dead upstream.
		f.requestedAt = time.Time{}
	}
	if f.isBusy && (!wasBusy || observed == eventProgress) {
		f.requestedAt = now
		route := r.route(p.Flow.Service())
		route.pending = append(route.pending, pendingRequest{p.Flow, now})
		r.costs.begin(f)
	} else if f.isBusy {
		r.costs.grow(f, now)
	}
}

// recordResponse records a response time of the flow's upstream.
func (r *responses) recordResponse(f *flow, service netip.AddrPort, d time.Duration, now time.Time) {
	baseline := &r.route(service).baseline
	slowAfter, isKnown := baseline.SlowAfter()
	r.addToBaseline(baseline, f, d, now)
	if isKnown && !f.upstream.IsCold(now) {
		r.detector.RecordResponse(f.upstream.Key, d > slowAfter, now)
	}
}

// addToBaseline adds a response time to the usual ones of a route, unless the flow's upstream is an outlier:
// its response times would become usual while it is slow.
func (r *responses) addToBaseline(b *outlier.Baseline, f *flow, d time.Duration, now time.Time) {
	if r.detector.State(f.upstream.Key, now) == outlier.Accepted {
		b.Add(d)
	}
}

// recordTook records how long the request of a flow took that has been answered now. Requests that began before
// the process last resumed are left out: their time includes the pause.
func (s *Steerer) recordTook(f *flow, now time.Time) {
	if s.admission == nil {
		return
	}
	if r, found := s.work.Request(f.key); found && !r.IsPending && r.Began.After(s.responses.resumedAt) {
		s.admission.controller.RecordResponse(r.Service, r.Objective, now.Sub(r.Began), now)
	}
}

// findOverdue records the requests that have waited for longer than a slow response takes.
func (r *responses) findOverdue(flows map[wire.FlowKey]*flow, now time.Time) {
	for _, route := range r.byRoute {
		slowAfter, isKnown := route.baseline.SlowAfter()
		overdueAfter := max(slowAfter, minOverdueTime)
		for len(route.pending) > 0 && now.Sub(route.pending[0].requestedAt) > overdueAfter {
			request := route.pending[0]
			route.pending = route.pending[1:]
			f := flows[request.key]
			if f == nil || !f.requestedAt.Equal(request.requestedAt) {
				continue
			}
			f.requestedAt = time.Time{}
			if !request.requestedAt.After(r.resumedAt) {
				continue
			}
			r.addToBaseline(&route.baseline, f, overdueAfter, now)
			r.costs.recordOverdue(f, overdueAfter, now)
			if isKnown && !f.upstream.IsCold(now) {
				r.detector.RecordResponse(f.upstream.Key, true, now)
			}
		}
	}
}

// retain drops the state of routes that the configuration does not contain any more.
func (r *responses) retain(s *catalog.Snapshot) {
	for address := range r.byRoute {
		if s.Route(address) == nil {
			delete(r.byRoute, address)
		}
	}
}
