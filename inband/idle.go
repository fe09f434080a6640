package inband

import (
	"time"

	"github.com/fulmarfield/fulmarfield/catalog"
	"github.com/fulmarfield/fulmarfield/platform"
)

const (
	// idleRatio is the ratio of an upstream's latest response times to the typical one of the route up to which the
	// upstream counts as idle: most of the others have queues then, or are slower.
	idleRatio = 0.5
	// recentResponseAge is the age from which on a response does not show any more whether its upstream is idle.
	recentResponseAge = time.Second
	// recentResponseWeight is the weight of the latest response in the average of an upstream.
	recentResponseWeight = 0.5
)

// recentResponse is the average ratio of an upstream's latest response times to the typical one of their routes.
type recentResponse struct {
	ratio float64
	at    time.Time
}

// recordRatio records the ratio of a response time to the typical one of its route.
func (c *costs) recordRatio(upstream uint64, ratio float64, now time.Time) {
	r, found := c.recent[upstream]
	if !found || now.Sub(r.at) > recentResponseAge {
		r.ratio = ratio
	}
	c.recent[upstream] = recentResponse{r.ratio + recentResponseWeight*(ratio-r.ratio), now}
}

// isIdle reports whether an upstream has lately responded much faster than is typical, and has no request of this
// daemon in progress.
func (c *costs) isIdle(upstream uint64, now time.Time) bool {
	r, found := c.recent[upstream]
	return found && r.ratio <= idleRatio && now.Sub(r.at) <= recentResponseAge && !c.work.HasRequests(upstream)
}

// idleUpstream returns an idle upstream for a new flow of a route, or nil if none is known. The limit of admission
// does not apply to it: it follows from the slots of all upstreams, which says little while some are much faster.
func (s *Steerer) idleUpstream(known state, route *catalog.Route, service string, now time.Time) *catalog.Upstream {
	if len(s.costs.recent) == 0 {
		return nil
	}
	upstreams := known.Placeable(service, known.upstreamsValidatedAt)
	if len(upstreams) < minReferenceUpstreams {
		return nil
	}
	var found *catalog.Upstream
	lowest := 0.0
	for _, u := range upstreams {
		if !s.costs.isIdle(u.Key, now) || s.tracker.IsSuspect(u.Key, now) || s.isColdLimited(known, u, now) {
			continue
		}
		// IsAmbiguous takes more time than the rest, so that it comes last.
		if ratio := s.costs.recent[u.Key].ratio; (found == nil || ratio < lowest) && !known.IsAmbiguous(route.Address, u) {
			found, lowest = u, ratio
		}
	}
	return found
}

// placeOnIdle places the flow of an opening packet on an idle upstream, and returns false if none is known.
func (s *Steerer) placeOnIdle(known state, route *catalog.Route, service string, p platform.Packet, now time.Time) (Verdict, bool) {
	u := s.idleUpstream(known, route, service, now)
	if u == nil {
		return Verdict{}, false
	}
	s.detector.RecordPlacement(u.Key, now)
	s.recordColdPlacement(known, u, now)
	return s.placeFlow(route, u, p, now), true
}

// placeHeldOnIdle places the most urgent waiting packet of each service on an idle upstream, if one is known. Otherwise
// packets that arrive later would take the upstream, while the earlier and more urgent ones are refused.
func (s *Steerer) placeHeldOnIdle(known state, now time.Time) []HeldFlow {
	var flows []HeldFlow
	for _, key := range s.admission.controller.MostUrgent() {
		h, route := s.admission.held[key], known.Route(key.Service())
		if h == nil || route == nil {
			continue
		}
		if v, isPlaced := s.placeOnIdle(known, route, h.service, h.packet, now); isPlaced {
			s.cancelHeld(key)
			s.flows[key].releasedAt = now
			flows = append(flows, HeldFlow{key, v})
		}
	}
	return flows
}
