// Package placement chooses the upstream of a new flow from what one daemon knows. It owns no
// state and does no input or output.
package placement

import (
	"time"

	"github.com/fulmarfield/fulmarfield/catalog"
)

// Costs are in open flows of an upstream with the mean number of slots.
const (
	// costOtherZone keeps flows in the zone while its upstreams are about as loaded as others:
	// a flow in the zone survives a cut of the zone. Four flows of some twenty open on each
	// upstream are an imbalance of a fifth, which 2 slots of 43 % use carry.
	costOtherZone = 4
	// costCold is what a cold upstream's slower work weighs.
	costCold = 2
	// costSuspect outweighs any load, so that a suspect is taken only when all are suspects.
	costSuspect = 1000
)

// Candidate is an upstream with what the daemon knows of it.
type Candidate struct {
	Upstream *catalog.Upstream
	// Flows is the number of open flows that this daemon knows on it.
	Flows     int
	IsSuspect bool
}

// Choose returns the index of the cheapest candidate, -1 if there are none. random returns a
// number in [0, 1) and breaks ties, so that daemons do not all take the same upstream.
func Choose(zone string, candidates []Candidate, now time.Time, random func() float64) int {
	slots := 0
	for _, c := range candidates {
		slots += c.Upstream.Slots
	}
	best, lowest := -1, 0.0
	for i, c := range candidates {
		// Flows of an upstream with more slots weigh less.
		weight := float64(slots) / float64(len(candidates)*c.Upstream.Slots)
		cost := float64(c.Flows)*weight + random()
		if c.Upstream.Zone != zone {
			cost += costOtherZone
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
