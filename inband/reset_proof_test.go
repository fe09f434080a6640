package inband_test

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarfield/fulmarfield/catalog"
	"github.com/fulmarfield/fulmarfield/inband"
	"github.com/fulmarfield/fulmarfield/platform"
)

var addedAddress = netip.MustParseAddrPort("198.18.0.3:8443")

// withRoute returns the configuration of a version that has another route to the service bindery.
func withRoute(version int64, address netip.AddrPort) *catalog.Configuration {
	c := newConfiguration(version, "bindery")
	c.Routes[address] = &catalog.Route{Address: address, Kind: catalog.KindUnsafe,
		Targets: []catalog.Target{{Service: "bindery", Weight: 1}}}
	return c
}

// Guards against a reset of an open flow by a daemon that has not read the flow's route yet: a newer list of
// the upstreams proves nothing about routes (review/2: routes were added while daemons restarted).
func TestFlowOnUnreadRouteGoesOn(t *testing.T) {
	h := newHarness(t, upstream("a", "bindery", "schuur"))
	p := withData(platform.Packet{Flow: h.newFlowKey(addedAddress), Token: h.token("a", addedAddress), Sequence: 1,
		Acknowledged: 100, Acknowledges: true})
	for range 4 {
		v := h.decide(p)
		h.Expect(v.Action).To(Equal(inband.ActionForward), "%s", v.Reason)
		h.Expect(v.Reason).To(Equal(inband.ReasonRouteUnvalidated))
		h.Expect(v.Upstream.ID).To(Equal("a"))
		h.advance(200 * time.Millisecond)
		h.listedAt = h.now
		p.Sequence, p.Acknowledged = p.Sequence+200, p.Acknowledged+600
	}
	h.catalog.SetConfiguration(withRoute(2, addedAddress))
	h.configValidatedAt = h.now
	h.Expect(h.decide(p).Reason).To(Equal(inband.ReasonOpen))
}

// Guards against callers of a removed route that wait for their deadlines: a configuration that is newer
// than the flow and lacks its route ends the flow, whether its upstream is known or not.
func TestFlowOnRemovedRouteEnds(t *testing.T) {
	for _, id := range []string{"a", "unknown"} {
		h := newHarness(t, upstream("a", "bindery", "schuur"))
		p := withData(platform.Packet{Flow: h.newFlowKey(addedAddress), Token: h.token(id, addedAddress), Sequence: 1,
			Acknowledged: 100, Acknowledges: true})
		h.Expect(h.decide(p).Action).NotTo(Equal(inband.ActionReset))
		h.advance(200 * time.Millisecond)
		h.Expect(h.decide(p).Action).NotTo(Equal(inband.ActionReset), "no configuration was read since the first packet")
		h.configValidatedAt = h.now
		h.advance(200 * time.Millisecond)
		v := h.decide(p)
		h.Expect(v.Action).To(Equal(inband.ActionReset))
		h.Expect(v.Reason).To(Equal(inband.ReasonNoRoute))
	}
}

// Guards against a reset whose proof is older than the flow: a list was requested for the first flow to an
// unknown upstream and lacked it, and the upstream registered again before the second flow was opened.
func TestProofIsNewerThanEachFlow(t *testing.T) {
	h := newHarness(t, upstream("a", "bindery", "schuur"))
	packet := func() platform.Packet {
		return withData(platform.Packet{Flow: h.newFlowKey(safeAddress), Token: h.token("unknown", safeAddress), Sequence: 1,
			Acknowledged: 100, Acknowledges: true})
	}
	first := packet()
	h.Expect(h.decide(first).Action).To(Equal(inband.ActionDrop))
	h.advance(200 * time.Millisecond)
	h.listedAt = h.now
	h.Expect(h.decide(first).Action).To(Equal(inband.ActionReset))
	h.advance(3 * time.Second)
	second := packet()
	h.Expect(h.decide(second).Action).To(Equal(inband.ActionDrop))
	h.advance(200 * time.Millisecond)
	h.listedAt = h.now
	h.Expect(h.decide(second).Action).To(Equal(inband.ActionReset))
}
