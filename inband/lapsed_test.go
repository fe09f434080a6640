package inband_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarfield/fulmarfield/catalog"
	"github.com/fulmarfield/fulmarfield/inband"
	"github.com/fulmarfield/fulmarfield/platform"
)

// validate marks the cached records as validated against the store now.
func (h *harness) validate() { h.configValidatedAt, h.upstreamsValidatedAt = h.now, h.now }

// Guards against callers that are refused, and against a rush on the first upstream that registers again,
// when the entries of all upstreams expired during an outage of the store.
func TestFlowsAreOpenedWhileEntriesHaveLapsed(t *testing.T) {
	ids := []string{"a", "b", "c", "d", "e"}
	var upstreams []*catalog.Upstream
	for _, id := range ids {
		upstreams = append(upstreams, upstream(id, "bindery", "schuur"))
	}
	h := newHarness(t, upstreams...)
	h.advance(time.Second)
	h.catalog.ApplyChanges(nil, ids, nil)
	h.validate()
	h.open(safeAddress)
	h.advance(time.Second)
	h.catalog.ApplyChanges(upstreams[:1], nil, nil)
	h.validate()
	perUpstream := map[string]int{}
	for range 50 {
		_, u := h.open(safeAddress)
		perUpstream[u.ID]++
	}
	h.Expect(perUpstream).To(HaveLen(len(ids)))
	h.Expect(perUpstream["a"]).To(BeNumerically("<=", 11), "an even share is 10")
}

// Guards against flows that are placed on upstreams which have stopped: on one that vanished alone, and on
// all that are still missing when running upstreams would have registered again.
func TestStoppedUpstreamsGetNoFlows(t *testing.T) {
	h := newHarness(t, upstream("a", "bindery", "schuur"), upstream("b", "bindery", "schuur"), upstream("c", "bindery", "schuur"))
	h.catalog.ApplyChanges(nil, []string{"a"}, nil)
	for range 20 {
		_, u := h.open(safeAddress)
		h.Expect(u.ID).NotTo(Equal("a"))
	}
	h.catalog.ApplyChanges(nil, []string{"b", "c"}, nil)
	h.advance(catalog.ReregistrationGrace)
	h.validate()
	h.listedAt = h.now.Add(time.Hour)
	v := h.decide(platform.Packet{Flow: h.newFlowKey(safeAddress), Opens: true})
	h.Expect(v.Action).To(Equal(inband.ActionReset))
	h.Expect(v.Reason).To(Equal(inband.ReasonNoUpstream))
}

// Guards against flows that are placed on an upstream whose draining entry was removed.
func TestRemovedDrainingUpstreamGetsNoFlow(t *testing.T) {
	draining := upstream("a", "bindery", "schuur")
	draining.State = catalog.StateDraining
	h := newHarness(t, draining)
	h.catalog.ApplyChanges(nil, []string{"a"}, nil)
	h.listedAt = h.now.Add(time.Hour)
	v := h.decide(platform.Packet{Flow: h.newFlowKey(safeAddress), Opens: true})
	h.Expect(v.Reason).To(Equal(inband.ReasonNoUpstream))
}

// Guards against resets of the first flows to a new service: its route may be known before the upstream
// that registered just before the route was added. Once a later list shows no upstream either, callers
// are reset at once.
func TestFirstFlowWaitsForUpstreams(t *testing.T) {
	h := newHarness(t)
	p := platform.Packet{Flow: h.newFlowKey(safeAddress), Opens: true}
	v := h.decide(p)
	h.Expect(v.Action).To(Equal(inband.ActionDrop))
	h.Expect(v.Reason).To(Equal(inband.ReasonUpstreamsUnvalidated))
	h.catalog.ApplyChanges([]*catalog.Upstream{upstream("a", "bindery", "schuur")}, nil, nil)
	h.advance(200 * time.Millisecond)
	p.Acknowledged = 1
	h.Expect(h.decide(p).Action).To(Equal(inband.ActionForward))
	h.catalog.ApplyChanges(nil, []string{"a"}, nil)
	h.advance(catalog.ReregistrationGrace)
	h.validate()
	opening := func() inband.Verdict {
		return h.decide(platform.Packet{Flow: h.newFlowKey(safeAddress), Opens: true})
	}
	h.Expect(opening().Action).To(Equal(inband.ActionDrop), "the list may be older than another registration")
	h.listedAt = h.now.Add(time.Millisecond)
	h.advance(2 * time.Millisecond)
	h.Expect(opening().Reason).To(Equal(inband.ReasonNoUpstream))
}
