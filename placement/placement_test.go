package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarfield/fulmarfield/catalog"
	"github.com/fulmarfield/fulmarfield/placement"
)

var now = time.Unix(1_700_000_000, 0)

func candidates(zones ...string) []placement.Candidate {
	list := make([]placement.Candidate, len(zones))
	for i, zone := range zones {
		list[i].Upstream = &catalog.Upstream{ID: fmt.Sprint(i), Zone: zone, Slots: 2}
	}
	return list
}

// placeFlows places flows that callers of one zone open, and returns how many were placed in other
// zones.
func placeFlows(zone string, list []placement.Candidate, flows int) (leftZone int) {
	random := rand.New(rand.NewPCG(1, 2))
	for range flows {
		i := placement.Choose(zone, list, now, random.Float64)
		list[i].Flows++
		if list[i].Upstream.Zone != zone {
			leftZone++
		}
	}
	return leftZone
}

// Guards against flows that leave their zone although it has its share of upstreams: a partition of
// the zone would break them without need.
func TestFlowsStayInTheirZone(t *testing.T) {
	g := NewWithT(t)
	list := candidates("a", "a", "a", "a", "b", "b", "b", "b", "c", "c", "c", "c")
	g.Expect(placeFlows("a", list, 200)).To(BeZero())
	for _, c := range list[:4] {
		g.Expect(c.Flows).To(BeNumerically("~", 50, 1))
	}
}

// Guards against a zone that lost upstreams and whose remaining ones are overloaded when traffic
// grows, while the upstreams of other zones are idle.
func TestFlowsLeaveZoneThatLostUpstreams(t *testing.T) {
	g := NewWithT(t)
	list := candidates("a", "b", "b", "b", "b", "c", "c", "c", "c")
	g.Expect(placeFlows("a", list, 180)).To(BeNumerically(">", 90))
	g.Expect(list[0].Flows).To(BeNumerically("<", 90), "1.1 fair shares are 66 flows")
}

// Guards against callers that get no upstream because none is in their zone, or because all are
// suspect.
func TestZoneWithoutUsableUpstream(t *testing.T) {
	g := NewWithT(t)
	g.Expect(placeFlows("a", candidates("b", "c"), 10)).To(Equal(10))
	list := candidates("a", "b")
	list[0].IsSuspect = true
	g.Expect(placeFlows("a", list, 10)).To(Equal(10))
	list[1].IsSuspect = true
	g.Expect(placement.Choose("a", list, now, rand.Float64)).NotTo(Equal(-1), "a suspect upstream is better than none")
	g.Expect(placement.Choose("a", nil, now, rand.Float64)).To(Equal(-1))
}

// Guards against upstreams with more slots that get too few flows: flows follow the number of slots.
func TestFlowsFollowSlots(t *testing.T) {
	g := NewWithT(t)
	list := candidates("a", "a")
	list[1].Upstream.Slots = 6
	placeFlows("a", list, 400)
	g.Expect(list[1].Flows).To(BeNumerically("~", 300, 10))
}

// Guards against a choice of services that does not follow their weights.
func TestChooseServiceByWeight(t *testing.T) {
	g := NewWithT(t)
	targets := []catalog.Target{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}
	g.Expect(placement.ChooseService(targets, 0.89)).To(Equal("a"))
	g.Expect(placement.ChooseService(targets, 0.90)).To(Equal("b"))
	g.Expect(placement.ChooseService(targets, 0.999)).To(Equal("b"))
	g.Expect(placement.ChooseService(nil, 0)).To(BeEmpty())
}

// Guards against new flows to an upstream whose callers already wait. After a restart, a daemon has
// seen only some of the open flows, so their number alone is a poor measure of load.
func TestBusyUpstreamIsAvoided(t *testing.T) {
	g := NewWithT(t)
	list := candidates("a", "a")
	list[0].Flows, list[0].BusyFlows, list[1].Flows = 3, 3, 5
	g.Expect(placement.Choose("a", list, now, func() float64 { return 0 })).To(Equal(1))
}

// Guards against new flows to outliers, and against the rest of a service that has to carry the load of more
// than half of it: then an outlier is better than an overloaded upstream.
func TestOutliersAreAvoidedUpToHalf(t *testing.T) {
	g := NewWithT(t)
	list := candidates("a", "a", "a", "a")
	list[0].IsOutlier, list[1].IsOutlier = true, true
	placeFlows("a", list, 40)
	g.Expect([]int{list[0].Flows, list[1].Flows}).To(HaveEach(0))
	list = candidates("a", "a", "a", "a")
	list[0].IsOutlier, list[1].IsOutlier, list[2].IsOutlier = true, true, true
	placeFlows("a", list, 40)
	for _, c := range list {
		g.Expect(c.Flows).To(BeNumerically("~", 10, 1))
	}
}
