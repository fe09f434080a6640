// Package placement chooses the upstream of a new flow from what one daemon knows. It owns no
// state and does no input or output.
package placement

import (
	"time"

	"github.com/fulmarfield/fulmarfield/catalog"
)

// Costs are in open flows of an upstream with the mean number of slots.
const (
	// zoneFill is how full the upstreams of the zone may get before flows leave it, as a
	// multiple of the flows that each would have if all zones had as many upstreams. A flow in
	// the zone survives a cut of the zone, but a zone that lost upstreams needs the others when
	// more users come.
	zoneFill = 1.1
	// leastOtherZone is the cost of another zone while there are few flows: less than it is
	// no imbalance that a caller notices.
	leastOtherZone = 4
	// costBusy is what a request under way weighs beside its flow.
	costBusy = 2
	// costCold is what a cold upstream's slower work weighs.
	costCold = 2
	// costSuspect outweighs any load, so that a suspect is taken only when all are suspects.
	costSuspect = 1e6
)

// Candidate is an upstream with what the daemon knows of it.
type Candidate struct {
	Upstream *catalog.Upstream
	// Flows is the number of open flows that this daemon knows on it.
	Flows int
	// Busy is the number of those flows on which a request waits for its answer.
	Busy      int
	IsSuspect bool
}

// Choose returns the index of the cheapest candidate, -1 if there are none. random returns a
// number in [0, 1) and breaks ties, so that daemons do not all take the same upstream.
func Choose(zone string, candidates []Candidate, now time.Time, random func() float64) int {
	slots := 0
	for _, c := range candidates {
		slots += c.Upstream.Slots
	}
	otherZone := costOtherZone(candidates)
	best, lowest := -1, 0.0
	for i, c := range candidates {
		// Flows of an upstream with more slots weigh less.
		weight := float64(slots) / float64(len(candidates)*c.Upstream.Slots)
		cost := (float64(c.Flows)+costBusy*float64(c.Busy))*weight + random()
		if c.Upstream.Zone != zone {
			cost += otherZone
		}
		if c.Upstream.IsCold(now) {
			cost += costCold
		}
		if c.IsSuspect {
			cost += costSuspect
		}
		if best < 0 || cost < lowest {
			best, lowest = i, cost
		}
	}
	return best
}

// costOtherZone returns the flows that an upstream of the zone may have more than one of another
// zone. Few of the flows that a daemon sees are in other zones, so their upstreams look idle.
func costOtherZone(candidates []Candidate) float64 {
	flows := 0
	zones := map[string]struct{}{}
	for _, c := range candidates {
		flows += c.Flows
		zones[c.Upstream.Zone] = struct{}{}
	}
	fair := float64(flows*len(zones)) / float64(max(len(candidates), 1))
	return max(leastOtherZone, zoneFill*fair)
}

// Service draws one of a route's services by weight; random is in [0, 1). It returns "" if the
// route has none.
func Service(targets []catalog.Target, random float64) string {
	total := 0
	for _, t := range targets {
		total += t.Weight
	}
	draw := int(random * float64(total))
	for _, t := range targets {
		if draw < t.Weight {
			return t.Service
		}
		draw -= t.Weight
	}
	return ""
}
