package inband_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarfield/fulmarfield/catalog"
)

// shortFlow opens a flow for one request and closes it. The acknowledgement of the response's end
// arrives after the packet that closes the flow, as it often does.
func (h *harness) shortFlow() *catalog.Upstream {
	p, u := h.open(safeAddress)
	h.decide(withData(p))
	h.advance(30 * time.Millisecond)
	p.Sequence, p.Acknowledged = 201, 2100
	closing := p
	closing.Finishes = true
	h.decide(closing)
	h.decide(p)
	return u
}

// Guards against closed flows that count as load because a packet of theirs was late: each upstream then
// appeared to have tens of flows, and a new one, with none, received the flows of all daemons at once.
func TestNewUpstreamIsNotRushed(t *testing.T) {
	h := newHarness(t, upstream("a", "bindery", "schuur"), upstream("b", "bindery", "schuur"))
	for range 60 {
		h.shortFlow()
	}
	h.catalog.ApplyChanges([]*catalog.Upstream{upstream("new", "bindery", "schuur")}, nil, nil)
	onNew := 0
	for range 60 {
		if h.shortFlow().ID == "new" {
			onNew++
		}
	}
	h.Expect(onNew).To(BeNumerically("<", 35), "an even share is 20")
}

// Guards against a flow table that grows with each flow, since closed flows stay in it for some time.
func TestClosedFlowsLeaveTheTable(t *testing.T) {
	h := newHarness(t, upstream("a", "bindery", "schuur"))
	for range 50 {
		h.shortFlow()
	}
	h.advance(3 * time.Second)
	h.shortFlow()
	h.Expect(h.steerer.FlowCount()).To(BeNumerically("<=", 1))
}
