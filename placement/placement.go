// Package placement chooses the upstream of a new flow from the state of one daemon. It holds no
// state and performs no I/O.
package placement

import (
	"time"

	"github.com/fulmarfield/fulmarfield/catalog"
)

// The costs are measured in open flows of an upstream with the mean number of slots.
const (
	// zoneLoadFactor is how many flows the upstreams of the daemon's zone may have before new
	// flows go to other zones, as a multiple of the flows that each upstream would have if all
	// zones had the same number of upstreams. A flow within its zone survives a partition of the
	// zone, but a zone that lost upstreams needs those of other zones when traffic grows.
	zoneLoadFactor = 1.1
	// minCrossZoneCost is the lower limit of the cost of another zone, which applies while there
	// are few flows. Callers do not notice an imbalance of fewer flows.
	minCrossZoneCost = 4
	// busyFlowCost is the cost of a request in progress, in addition to that of its flow.
	busyFlowCost = 2
	// minSlowSpeed is the speed factor below which an upstream counts as usual. At 2 slots the own cost of a factor of
	// 1.25 equals the range of the random tie-break. Lower costs decide between idle upstreams, too: the factors of
	// equal upstreams differ by chance, and most flows would go to the few that seem fast, or refuse at once.
	minSlowSpeed = 1.25
	// coldCost is the cost of the slower processing of a cold upstream.
	coldCost = 2
	// suspectCost exceeds the cost of any load, so that a suspect upstream is chosen only when
	// all upstreams are suspect.
	suspectCost = 1e6
	// maxOutlierShare is the share of a service's upstreams that may be outliers. If there are more,
	// the others could not carry the load, and outliers are chosen like them.
	maxOutlierShare = 0.5
)

// Candidate is an upstream with its load and health as seen by the daemon.
type Candidate struct {
	Upstream *catalog.Upstream
	// Flows is the number of open flows on the upstream that this daemon has seen.
	Flows int
	// BusyFlows is the number of those flows on which a request waits for a response.
	BusyFlows int
	// ExtraWork is the expected work of the requests in progress beyond that of BusyFlows typical requests of the
	// new flow's route, in such requests. It is negative if they are cheaper.
	ExtraWork float64
	// Speed is how many times as long as on others requests take on the upstream, 0 if that is not known.
	Speed     float64
	IsSuspect bool
	// IsOutlier is set while the upstream responds too slowly to receive new flows.
	IsOutlier bool
}

// Choose returns the index of the candidate with the lowest cost, or -1 if there are none. random
// returns a number in [0, 1) and breaks ties, so that the daemons do not all choose the same upstream.
func Choose(zone string, candidates []Candidate, now time.Time, random func() float64) int {
	slots, outliers := 0, 0
	for _, c := range candidates {
		slots += c.Upstream.Slots
		if c.IsOutlier {
			outliers++
		}
	}
	meanSlots := float64(slots) / float64(max(len(candidates), 1))
	avoidsOutliers := float64(outliers) <= maxOutlierShare*float64(len(candidates))
	zoneCost := crossZoneCost(candidates)
	best, lowestCost := -1, 0.0
	for i, c := range candidates {
		// A flow costs less on an upstream with more slots.
		weight := float64(slots) / float64(len(candidates)*c.Upstream.Slots)
		load := float64(c.Flows) + busyFlowCost*max(float64(c.BusyFlows)+c.ExtraWork, 0)
		cost := load*weight*c.speed() + ownCost(meanSlots, c) + random()
		if c.Upstream.Zone != zone {
			cost += zoneCost
		}
		if c.Upstream.IsCold(now) {
			cost += coldCost
		}
		if c.IsSuspect || c.IsOutlier && avoidsOutliers {
			cost += suspectCost
		}
		if best < 0 || cost < lowestCost {
			best, lowestCost = i, cost
		}
	}
	return best
}

// speed returns the speed factor, 1 if it is less than minSlowSpeed. An upstream that responds faster than others
// attracts no flows for it: it may refuse requests, and with few daemons the flows of all would gather on the
// upstreams that are idle now.
func (c *Candidate) speed() float64 {
	if c.Speed < minSlowSpeed {
		return 1
	}
	return c.Speed
}

// ownCost returns the cost of the time that the new flow's own request takes longer on the candidate than on an
// upstream of usual speed. A request in progress delays others by its duration divided by the slots, so the own
// duration costs as much as a request in progress for each slot.
func ownCost(meanSlots float64, c Candidate) float64 {
	return busyFlowCost * meanSlots * (c.speed() - 1)
}

// crossZoneCost returns how many more flows an upstream of the daemon's zone may have than one of
// another zone. The cost is needed because a daemon sees few flows of other zones, so that the
// upstreams there look idle.
func crossZoneCost(candidates []Candidate) float64 {
	flows := 0
	zones := map[string]struct{}{}
	for _, c := range candidates {
		flows += c.Flows
		zones[c.Upstream.Zone] = struct{}{}
	}
	fairShare := float64(flows*len(zones)) / float64(max(len(candidates), 1))
	return max(minCrossZoneCost, zoneLoadFactor*fairShare)
}

// ChooseService returns one of a route's services, chosen with a probability proportional to its
// weight. random is in [0, 1). It returns "" if the route has no service.
func ChooseService(targets []catalog.Target, random float64) string {
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
