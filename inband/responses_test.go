package inband_test

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarfield/fulmarfield/outlier"
	"github.com/fulmarfield/fulmarfield/platform"
	"github.com/fulmarfield/fulmarfield/wire"
)

const usualResponse = 30 * time.Millisecond

// request sends a request on an open flow, whose response takes a time, and returns the packet that
// acknowledges the response.
func (h *harness) request(p platform.Packet, took time.Duration) platform.Packet {
	h.decide(withData(p))
	h.advance(took)
	p.Sequence += 200
	p.Acknowledged += 2000
	h.decide(p)
	return p
}

// exchange opens flows and sends a request on each. Responses of the upstream with an ID take another time
// than usual.
func (h *harness) exchange(flows int, id string, took time.Duration) {
	for range flows {
		p, u := h.open(safeAddress)
		if u.ID == id {
			h.request(p, took)
		} else {
			h.request(p, usualResponse)
		}
	}
}

// ejected returns the upstreams that became outliers since the last call.
func (h *harness) ejected() []string {
	var ids []string
	for _, c := range h.steerer.TakeOutlierChanges() {
		if c.State == outlier.Ejected {
			ids = append(ids, h.catalog.Current().Upstream(c.Upstream).ID)
		}
	}
	return ids
}

func newServiceHarness(t *testing.T) *harness {
	h := newHarness(t, upstream("a", "bindery", "schuur"), upstream("b", "bindery", "schuur"),
		upstream("c", "bindery", "schuur"), upstream("d", "bindery", "schuur"))
	h.exchange(80, "", 0)
	h.Expect(h.ejected()).To(BeEmpty())
	return h
}

// Guards against new flows to an upstream that answers eight times as slowly as the others.
func TestSlowUpstreamGetsNoNewFlows(t *testing.T) {
	h := newServiceHarness(t)
	h.exchange(40, "b", 8*usualResponse)
	h.Expect(h.ejected()).To(ConsistOf("b"))
	for range 20 {
		_, u := h.open(safeAddress)
		h.Expect(u.ID).NotTo(Equal("b"))
	}
}

// Guards against an upstream that acknowledges requests and never answers some of them. Its callers send
// nothing until they give up, so that only the age of the requests shows it.
func TestMuteUpstreamGetsNoNewFlows(t *testing.T) {
	h := newServiceHarness(t)
	for range 40 {
		p, u := h.open(safeAddress)
		if u.ID == "b" {
			h.decide(withData(p))
			h.advance(usualResponse)
		} else {
			h.request(p, usualResponse)
		}
	}
	h.Expect(h.ejected()).To(ContainElement("b"))
}

// Guards against open flows that are reset or steered elsewhere because their upstream is an outlier:
// established flows stay on an upstream that lives.
func TestFlowsOfSlowUpstreamStay(t *testing.T) {
	h := newServiceHarness(t)
	p, u := h.open(unsafeAddress)
	safe, _ := h.open(safeAddress)
	for range 6 {
		h.exchange(40, u.ID, 8*usualResponse)
		p = h.request(p, 8*usualResponse)
		safe = h.request(safe, usualResponse)
	}
	h.Expect(h.ejected()).To(ContainElement(u.ID))
	h.Expect(h.steerer.TakeEndedFlows()).To(BeEmpty())
	h.Expect(h.decide(withData(p)).Upstream.ID).To(Equal(u.ID))
}

// Guards against the end of a request that the upstream has accepted and still processes, when the upstream
// is silent for a while: the caller sends nothing meanwhile, so that its flow looks idle. A request that may
// be repeated ends, since its caller gains by another upstream.
func TestAcceptedRequestOnSilentUpstream(t *testing.T) {
	for _, c := range []struct {
		address netip.AddrPort
		ends    bool
	}{{unsafeAddress, false}, {safeAddress, true}} {
		h := newHarness(t, upstream("a", "bindery", "schuur"))
		accepted, _ := h.open(c.address)
		first, _ := h.open(unsafeAddress)
		second, _ := h.open(unsafeAddress)
		h.decide(withData(accepted))
		h.advance(time.Second)
		for _, gap := range []time.Duration{0, 200 * time.Millisecond, 400 * time.Millisecond} {
			h.advanceWhileOthersRespond(gap)
			h.decide(withData(first))
			h.decide(withData(second))
		}
		var ended []wire.FlowKey
		for _, e := range h.steerer.TakeEndedFlows() {
			ended = append(ended, e.Flow)
		}
		if c.ends {
			h.Expect(ended).To(ConsistOf(accepted.Flow))
		} else {
			h.Expect(ended).To(BeEmpty())
		}
	}
}

// Guards against lost packets that count as slow responses: the caller retransmits what was not
// acknowledged after 200 ms.
func TestLostPacketsAreNoSlowResponses(t *testing.T) {
	h := newServiceHarness(t)
	for range 40 {
		p, u := h.open(safeAddress)
		if u.ID == "b" {
			h.decide(withData(p))
			h.advance(205 * time.Millisecond)
			h.decide(withData(p))
			h.advance(usualResponse)
			p.Sequence, p.Acknowledged = 201, 2100
			h.decide(p)
		} else {
			h.request(p, usualResponse)
		}
	}
	h.Expect(h.ejected()).To(BeEmpty())
}

// Guards against long responses, and pauses of the caller between two requests, that count as slow
// responses.
func TestResponseTimeEndsWithTheFirstData(t *testing.T) {
	h := newServiceHarness(t)
	for range 20 {
		p, _ := h.open(safeAddress)
		p = h.request(p, usualResponse)
		for range 5 {
			h.advance(200 * time.Millisecond)
			p.Acknowledged += 1200
			h.decide(p)
		}
		h.advance(2 * time.Second)
		h.request(p, usualResponse)
	}
	h.Expect(h.ejected()).To(BeEmpty())
	h.Expect(h.steerer.TakeReports()).To(BeEmpty())
}

// Guards against a comparison of routes whose requests differ in work: those of one route must not make
// the upstreams of another one look slow.
func TestRoutesHaveTheirOwnTypicalResponseTime(t *testing.T) {
	h := newServiceHarness(t)
	for range 40 {
		p, _ := h.open(unsafeAddress)
		h.request(p, 10*usualResponse)
	}
	h.Expect(h.ejected()).To(BeEmpty())
}

// Guards against cold upstreams that are ejected for the slowness that their registration announces.
func TestColdUpstreamIsNoOutlier(t *testing.T) {
	h := newServiceHarness(t)
	cold := upstream("cold", "bindery", "schuur")
	cold.ColdRemaining = time.Minute
	h.catalog.ApplyChanges(append(h.catalog.Current().Ready("bindery"), cold)[4:], nil, nil)
	h.exchange(60, "cold", 8*usualResponse)
	h.Expect(h.ejected()).To(BeEmpty())
}

// Guards against a daemon that takes its own pause for slowness of all upstreams, ejects them, and reports
// them to others: requests were in progress when it was paused, and their responses waited in the socket.
func TestPauseOfThisDaemonIsNoSlowResponse(t *testing.T) {
	for _, responds := range []bool{true, false} {
		h := newServiceHarness(t)
		var flows []platform.Packet
		for range 40 {
			p, _ := h.open(safeAddress)
			h.decide(withData(p))
			flows = append(flows, p)
		}
		h.advance(8 * time.Second)
		h.steerer.RecordResumption(h.now)
		for _, p := range flows {
			if responds {
				p.Sequence, p.Acknowledged = p.Sequence+200, p.Acknowledged+2000
			}
			h.decide(p)
		}
		h.advance(100 * time.Millisecond)
		h.exchange(20, "", 0)
		h.Expect(h.ejected()).To(BeEmpty())
		h.Expect(h.steerer.TakeReports()).To(BeEmpty())
	}
}

// Guards against reports on upstreams that are not registered, which would take up memory.
func TestReportOnUnknownUpstreamIsIgnored(t *testing.T) {
	h := newServiceHarness(t)
	for origin := range byte(5) {
		h.steerer.RecordReport(outlier.Report{
			Upstream: 42, Origin: netip.AddrFrom4([4]byte{10, 0, 0, origin}), ObservedAt: h.now, Slow: 9}, h.now)
	}
	h.Expect(h.ejected()).To(BeEmpty())
}

// BenchmarkResponse measures a flow with one request in a table of 32,900 flows.
func BenchmarkResponse(b *testing.B) {
	h := newHarness(&testing.T{}, upstream("a", "bindery", "schuur"), upstream("b", "bindery", "schuur"))
	key := func(i int) wire.FlowKey {
		return wire.FlowKey{CallerIP: uint32(i), CallerPort: 1, ServiceIP: 0xC6120001, ServicePort: 8443}
	}
	token := h.token("a", safeAddress)
	for i := range 32_900 {
		h.decide(platform.Packet{Flow: key(i), Token: token, Acknowledged: 100, Acknowledges: true})
	}
	b.ReportAllocs()
	for i := range b.N {
		p := platform.Packet{Flow: key(i % 32_900), Token: token, Sequence: uint32(i/32_900*200 + 1),
			Acknowledged: uint32(100 + i/32_900*2000), Acknowledges: true}
		h.decide(withData(p))
		p.Acknowledged += 2000
		p.Sequence += 200
		h.advance(30 * time.Microsecond)
		h.decide(p)
	}
}
