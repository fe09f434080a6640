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

// place puts flows on candidates as the callers of one zone open them, and returns how many left
// the zone.
func place(zone string, list []placement.Candidate, flows int) (left int) {
	random := rand.New(rand.NewPCG(1, 2))
	for range flows {
		i := placement.Choose(zone, list, now, random.Float64)
		list[i].Flows++
		if list[i].Upstream.Zone != zone {
			left++
		}
	}
	return left
}

// Guards against flows that a cut of the zone would break without need: in a zone with its share
// of upstreams they stay.
func TestFlowsStayInTheirZone(t *testing.T) {
	g := NewWithT(t)
	list := candidates("a", "a", "a", "a", "b", "b", "b", "b", "c", "c", "c", "c")
	g.Expect(place("a", list, 200)).To(BeZero())
	for _, c := range list[:4] {
		g.Expect(c.Flows).To(BeNumerically("~", 50, 1))
	}
}

// Guards against a zone that lost upstreams and whose last ones are overrun when more users
// come, while those of other zones idle.
func TestFlowsLeaveZoneThatLostUpstreams(t *testing.T) {
	g := NewWithT(t)
	list := candidates("a", "b", "b", "b", "b", "c", "c", "c", "c")
	g.Expect(place("a", list, 180)).To(BeNumerically(">", 90))
	g.Expect(list[0].Flows).To(BeNumerically("<", 90), "1.1 fair shares are 66 flows")
}

// Guards against callers that find no upstream because none is in their zone, or all of it are
// suspect.
func TestZoneWithoutUsableUpstream(t *testing.T) {
	g := NewWithT(t)
	g.Expect(place("a", candidates("b", "c"), 10)).To(Equal(10))
	list := candidates("a", "b")
	list[0].IsSuspect = true
	g.Expect(place("a", list, 10)).To(Equal(10))
	list[1].IsSuspect = true
	g.Expect(placement.Choose("a", list, now, rand.Float64)).NotTo(Equal(-1), "a suspect is better than none")
	g.Expect(placement.Choose("a", nil, now, rand.Float64)).To(Equal(-1))
}

// Guards against upstreams with more slots that idle.
func TestSlotsWeigh(t *testing.T) {
	g := NewWithT(t)
	list := candidates("a", "a")
	list[1].Upstream.Slots = 6
	place("a", list, 400)
	g.Expect(list[1].Flows).To(BeNumerically("~", 300, 10))
}

// Guards against a split that does not follow the weights.
func TestServiceByWeight(t *testing.T) {
	g := NewWithT(t)
	targets := []catalog.Target{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}
	g.Expect(placement.Service(targets, 0.89)).To(Equal("a"))
	g.Expect(placement.Service(targets, 0.90)).To(Equal("b"))
	g.Expect(placement.Service(targets, 0.999)).To(Equal("b"))
	g.Expect(placement.Service(nil, 0)).To(BeEmpty())
}

// Guards against new flows for an upstream whose callers wait already: after a restart the flows
// that a daemon knows say little.
func TestBusyUpstreamIsAvoided(t *testing.T) {
	g := NewWithT(t)
	list := candidates("a", "a")
	list[0].Flows, list[0].Busy, list[1].Flows = 3, 3, 5
	g.Expect(placement.Choose("a", list, now, func() float64 { return 0 })).To(Equal(1))
}
