package inband_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarfield/fulmarfield/catalog"
	"github.com/fulmarfield/fulmarfield/inband"
	"github.com/fulmarfield/fulmarfield/platform"
	"github.com/fulmarfield/fulmarfield/wire"
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

// incarnation returns an upstream that started again under its ID at a time by its clock.
func incarnation(id string, startedAt int64) *catalog.Upstream {
	u := upstream(id, "bindery", "schuur")
	u.StartedAt, u.Key = startedAt, catalog.IncarnationKey(id, startedAt)
	return u
}

// Guards against a reset of flows that an upstream accepted after it had started again under its ID, but
// before this daemon read its new entry (review/3). The flow is opened with the state of the earlier
// incarnation. It goes on at the daemon that opened it and at one that started later and never saw that state.
func TestFlowOnRestartedUpstreamGoesOn(t *testing.T) {
	h := newHarness(t, incarnation("a", 1))
	h.advance(10 * time.Second)
	h.validate()
	p, _ := h.open(unsafeAddress)
	h.advance(200 * time.Millisecond)
	h.catalog.ApplyChanges([]*catalog.Upstream{incarnation("a", 2)}, nil, nil)
	h.validate()
	for range 3 {
		h.advance(3 * time.Second)
		h.listedAt = h.now
		v := h.decide(withData(p))
		h.Expect(v.Action).To(Equal(inband.ActionForward), "%s", v.Reason)
		h.Expect(v.Upstream.StartedAt).To(Equal(int64(2)))
		p.Sequence, p.Acknowledged = p.Sequence+200, p.Acknowledged+600
		h.decide(p)
		h.Expect(h.steerer.TakeEndedFlows()).To(BeEmpty())
	}
	h.catalog = catalog.New(func() time.Time { return h.now })
	h.catalog.SetConfiguration(newConfiguration(1, "bindery"))
	h.catalog.SetUpstreams([]*catalog.Upstream{incarnation("a", 2)})
	h.restart()
	h.listedAt = h.now.Add(time.Hour)
	h.Expect(h.decide(withData(p)).Action).To(Equal(inband.ActionForward))
}

// Guards against a reset of a flow that an upstream accepted after its entry had expired and it had started
// again: the removal of the entry of the earlier incarnation says nothing about the latest.
func TestFlowOpenedBeforeReregistrationGoesOn(t *testing.T) {
	h := newHarness(t, incarnation("a", 1))
	p, _ := h.open(unsafeAddress)
	h.catalog.ApplyChanges(nil, []string{"a"}, nil)
	h.advance(time.Second)
	h.catalog.ApplyChanges([]*catalog.Upstream{incarnation("a", 2)}, nil, nil)
	h.advance(catalog.ReregistrationGrace)
	h.validate()
	h.Expect(h.decide(withData(p)).Action).To(Equal(inband.ActionForward))
	h.Expect(h.steerer.TakeEndedFlows()).To(BeEmpty())
}

// Guards against a reset that rests on the order in which entries of an upstream's incarnations were read (review/6):
// the store does a write of the ended process late, its entry comes back with a restored state of the store, or another
// writer wrote one. All flows are forwarded to the upstream, whose running process resets those that it does not hold.
func TestEntriesOfIncarnationsEndNoFlow(t *testing.T) {
	h := newHarness(t, incarnation("a", 1))
	idle, _ := h.open(unsafeAddress)
	active, _ := h.open(safeAddress)
	h.advance(5 * time.Second)
	recent, _ := h.open(unsafeAddress)
	for _, startedAt := range []int64{2, 1, 2, 3, 2} {
		h.catalog.ApplyChanges([]*catalog.Upstream{incarnation("a", startedAt)}, nil, nil)
		h.advance(time.Second)
		h.validate()
		h.listedAt = h.now
		for _, p := range []*platform.Packet{&active, &recent} {
			v := h.decide(withData(*p))
			h.Expect(v.Action).To(Equal(inband.ActionForward), "%s", v.Reason)
			h.Expect(v.Upstream.StartedAt).To(Equal(startedAt))
			p.Sequence, p.Acknowledged = p.Sequence+200, p.Acknowledged+600
			h.decide(*p)
		}
		h.catalog.BeginEra(h.now)
	}
	v := h.decide(withData(idle))
	h.Expect(v.Action).To(Equal(inband.ActionForward), "%s", v.Reason)
	h.Expect(h.steerer.TakeEndedFlows()).To(BeEmpty())
}

// Guards against packets of open flows that go to the address in an entry of another writer, or of an ended process, and
// against resets because nothing responds there (review/8, review/11): a flow goes where it was opened, also if it is new
// to this daemon and was answered, or a request is in progress on it, when that entry is read.
func TestFlowStaysWhereItWasOpened(t *testing.T) {
	own, foreign := incarnation("a", 2), incarnation("a", 1)
	foreign.Service, foreign.Address = "archive", netip.MustParseAddrPort("10.9.9.9:9")
	h := newHarness(t, own)
	var packets []platform.Packet
	for _, service := range []netip.AddrPort{safeAddress, unsafeAddress, safeAddress, unsafeAddress} {
		p, _ := h.open(service)
		packets = append(packets, p)
	}
	moved := withData(platform.Packet{Flow: h.newFlowKey(safeAddress), Token: h.token("a", safeAddress), Sequence: 1,
		Acknowledged: 100, Acknowledges: true})
	answered := moved
	answered.Flow = h.newFlowKey(safeAddress)
	h.decide(answered)
	answered.Sequence, answered.Acknowledged, answered.PayloadBytes = answered.Sequence+100, answered.Acknowledged+600, 0
	h.decide(answered)
	packets = append(packets, answered)
	waiting := withData(moved)
	waiting.Flow = h.newFlowKey(safeAddress)
	h.decide(waiting)
	packets = append(packets, moved, waiting)
	h.advance(time.Second)
	h.catalog.ApplyChanges([]*catalog.Upstream{foreign}, nil, nil)
	for range 6 {
		for i, p := range packets {
			v := h.decide(withData(p))
			h.Expect(v.Action).To(Equal(inband.ActionForward), "%s", v.Reason)
			h.Expect(v.Upstream.Address).To(Equal(own.Address))
			h.Expect(v.Upstream.Instance).To(Equal(own.Instance))
			p.Sequence, p.Acknowledged = p.Sequence+100, p.Acknowledged+600
			h.decide(p)
			packets[i] = p
		}
		h.advance(300 * time.Millisecond)
		h.validate()
	}
	h.Expect(h.steerer.TakeEndedFlows()).To(BeEmpty())
	h.catalog.ApplyChanges([]*catalog.Upstream{own}, nil, nil)
	for _, p := range packets {
		h.Expect(h.decide(withData(p)).Upstream.Address).To(Equal(own.Address))
	}
}

// Guards against packets to an address at which their flow was not opened, and against a reset of that flow, by a daemon
// that has started while an entry of another writer is in force: its lists have an entry under the ID, so that they are
// no proof that there is no such upstream.
func TestEntryWithAnotherAddressIsNoProof(t *testing.T) {
	own, foreign := incarnation("a", 2), incarnation("a", 1)
	foreign.Service, foreign.Address = "archive", netip.MustParseAddrPort("10.9.9.9:9")
	h := newHarness(t, foreign, upstream("b", "bindery", "schuur"))
	p := withData(platform.Packet{Flow: h.newFlowKey(unsafeAddress), Token: own.Token(unsafeAddress), Sequence: 1, Acknowledged: 100, Acknowledges: true})
	for range 3 {
		v := h.decide(p)
		h.Expect(v.Action).To(Equal(inband.ActionDrop), "%s", v.Reason)
		h.advance(catalog.ReregistrationGrace)
		h.listedAt = h.now
		h.validate()
	}
	h.catalog.ApplyChanges([]*catalog.Upstream{own}, nil, nil)
	v := h.decide(p)
	h.Expect(v.Action).To(Equal(inband.ActionForward), "%s", v.Reason)
	h.Expect(v.Upstream.Address).To(Equal(own.Address))
}

// Guards against a flow that is lost or reset because the entry of its upstream named another address for long: a flow is
// steered to the address where it was opened for as long as flows live.
func TestEarlierAddressIsKept(t *testing.T) {
	own, foreign := incarnation("a", 2), incarnation("a", 1)
	foreign.Address = netip.MustParseAddrPort("10.9.9.9:9")
	h := newHarness(t, own)
	p := withData(platform.Packet{Flow: h.newFlowKey(unsafeAddress), Token: own.Token(unsafeAddress), Sequence: 1, Acknowledged: 100, Acknowledges: true})
	h.catalog.ApplyChanges([]*catalog.Upstream{foreign}, nil, nil)
	h.advance(50 * time.Second)
	h.catalog.ApplyChanges([]*catalog.Upstream{foreign}, nil, nil)
	h.validate()
	h.listedAt = h.now
	h.Expect(h.decide(p).Upstream).To(HaveField("Address", own.Address))
	h.advance(20 * time.Second)
	h.catalog.ApplyChanges([]*catalog.Upstream{foreign}, nil, nil)
	h.Expect(h.decide(p).Action).To(Equal(inband.ActionDrop), "no flow is that old")
}

// Guards against resets of flows that reach a daemon for the first time while an entry of another writer is in force
// (review/8): their packets go where nothing responds, which says nothing about their upstream. Once such a flow is
// answered, silence on it counts.
func TestSilenceOnUnansweredFlowIsNoEvidence(t *testing.T) {
	own, foreign := incarnation("a", 2), incarnation("a", 1)
	foreign.Address = netip.MustParseAddrPort("10.9.9.9:9")
	h := newHarness(t, foreign)
	var packets []platform.Packet
	for range 3 {
		packets = append(packets, withData(platform.Packet{Flow: h.newFlowKey(safeAddress), Token: h.token("a", safeAddress),
			Sequence: 1, Acknowledged: 100, Acknowledges: true}))
	}
	// sendCopies sends data and three copies, and returns the reasons of the resets.
	sendCopies := func() (resets []inband.Reason) {
		for _, gap := range []time.Duration{time.Second, 200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond} {
			h.advanceWhileOthersRespond(gap)
			for _, p := range packets {
				if v := h.decide(p); v.Action == inband.ActionReset {
					resets = append(resets, v.Reason)
				}
			}
		}
		return resets
	}
	h.Expect(sendCopies()).To(BeEmpty())
	h.catalog.ApplyChanges([]*catalog.Upstream{own}, nil, nil)
	h.Expect(sendCopies()).To(BeEmpty())
	h.Expect(h.steerer.TakeEndedFlows()).To(BeEmpty())
	for i := range packets {
		packets[i].Sequence, packets[i].Acknowledged = packets[i].Sequence+200, packets[i].Acknowledged+600
	}
	h.Expect(sendCopies()).To(HaveEach(inband.ReasonUpstreamDead))
}

// Guards against a reset by a daemon that has started while the entry of an upstream can't be read (review/9): the list
// has an entry under the ID, so it is no proof that there is no such upstream. The flow goes on once the entry can be
// read again, and ends only after the entry was removed.
func TestUnreadableEntryIsNoProof(t *testing.T) {
	h := newHarness(t, upstream("b", "bindery", "schuur"))
	p := withData(platform.Packet{Flow: h.newFlowKey(unsafeAddress), Token: h.token("a", unsafeAddress), Sequence: 1,
		Acknowledged: 100, Acknowledges: true})
	decideAfterList := func() inband.Verdict {
		h.decide(p)
		h.advance(catalog.ReregistrationGrace)
		h.listedAt = h.now
		h.validate()
		return h.decide(p)
	}
	h.catalog.ApplyChanges(nil, nil, []string{"a"})
	h.Expect(decideAfterList().Action).To(Equal(inband.ActionDrop))
	h.catalog.ApplyChanges([]*catalog.Upstream{upstream("a", "bindery", "schuur")}, nil, nil)
	h.Expect(decideAfterList().Action).To(Equal(inband.ActionForward))
	h.catalog.ApplyChanges(nil, []string{"a"}, nil)
	h.advance(time.Second)
	h.catalog.ApplyChanges(nil, nil, []string{"a"})
	v := decideAfterList()
	h.Expect(v.Action).To(Equal(inband.ActionForward), "the entry came back, though it can't be read: %s", v.Reason)
	h.catalog.ApplyChanges(nil, []string{"a"}, nil)
	h.Expect(h.steerer.TakeEndedFlows()).To(BeEmpty())
	decideAfterList()
	h.Expect(h.steerer.TakeEndedFlows()).To(ConsistOf(SatisfyAll(
		HaveField("Flow", p.Flow), HaveField("Reason", inband.ReasonUpstreamDeregistered))))
}

// Guards against resets that a bound on memory or work causes (review/1): after one change of the services of
// all routes, a daemon that has just started must find the upstreams of more flows than any cache of single
// lookups holds.
func TestFlowsSurviveChangeOfAllRoutes(t *testing.T) {
	const routes, upstreams = 1160, 6
	configuration := func(version int64, service string) *catalog.Configuration {
		c := &catalog.Configuration{Version: version, Routes: map[netip.AddrPort]*catalog.Route{}}
		for i := range routes {
			address := netip.AddrPortFrom(safeAddress.Addr(), uint16(i+1))
			c.Routes[address] = &catalog.Route{Address: address, Targets: []catalog.Target{{Service: service, Weight: 1}}}
		}
		return c
	}
	list := []*catalog.Upstream{upstream("g", "galerij", "schuur")}
	for i := range upstreams {
		list = append(list, upstream(fmt.Sprint(i), "bindery", "schuur"))
	}
	h := newHarness(t, list...)
	h.catalog.SetConfiguration(configuration(2, "bindery"))
	h.catalog.SetConfiguration(configuration(3, "galerij"))
	h.restart()
	h.listedAt = h.now.Add(time.Hour)
	for i := range routes * upstreams {
		address := netip.AddrPortFrom(safeAddress.Addr(), uint16(i/upstreams+1))
		id := fmt.Sprint(i % upstreams)
		v := h.decide(withData(platform.Packet{Flow: h.newFlowKey(address), Token: h.token(id, address), Sequence: 1,
			Acknowledged: 100, Acknowledges: true}))
		h.Expect(v.Action).To(Equal(inband.ActionForward), "flow %d: %s", i, v.Reason)
		h.Expect(v.Upstream.ID).To(Equal(id))
	}
}

// Measures the first packet of each flow after a change of all routes at the design size, and the longest one,
// for docs/CAPACITY.md.
func BenchmarkFirstPacketAfterChangeOfRoutes(b *testing.B) {
	const flows, routes, upstreams = 33_000, 5600, 5000
	h := newHarness(&testing.T{})
	c := newConfiguration(2, "bindery")
	for i := range routes {
		address := netip.AddrPortFrom(downloadAddress.Addr(), uint16(i+1))
		c.Routes[address] = &catalog.Route{Address: address, Targets: []catalog.Target{{Service: "galerij", Weight: 1}}}
	}
	var list []*catalog.Upstream
	for i := range upstreams {
		list = append(list, upstream(fmt.Sprint(i), "bindery", "schuur"))
	}
	packets := make([]platform.Packet, flows)
	for i := range packets {
		key := wire.FlowKey{CallerIP: uint32(i), ServiceIP: 0xC6120002, CallerPort: 1, ServicePort: uint16(i%routes + 1)}
		packets[i] = platform.Packet{Flow: key, Token: list[i%upstreams].Token(key.Service()), Sequence: 1, Acknowledges: true}
	}
	var longest time.Duration
	for b.Loop() {
		h.restart()
		h.catalog.SetUpstreams(list)
		c.Version++
		h.catalog.SetConfiguration(c)
		for _, p := range packets {
			began := time.Now()
			if v := h.decide(p); v.Action != inband.ActionForward {
				b.Fatal(v.Reason)
			}
			longest = max(longest, time.Since(began))
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/flows, "ns/packet")
	b.ReportMetric(float64(longest.Microseconds()), "longest-us")
}

// Guards against a reset by a snapshot with the freshness of a newer one: the upstream registers again, and the
// records are validated, after the daemon has begun to decide on a packet.
func TestFreshnessIsThatOfTheSnapshot(t *testing.T) {
	h := newHarness(t, upstream("a", "bindery", "schuur"))
	p, u := h.open(unsafeAddress)
	h.catalog.ApplyChanges(nil, []string{"a"}, nil)
	h.advance(time.Second)
	h.decide(withData(p))
	h.advance(catalog.ReregistrationGrace)
	h.beforeFreshness = func() {
		h.catalog.ApplyChanges([]*catalog.Upstream{u}, nil, nil)
		h.validate()
	}
	h.Expect(h.decide(withData(p)).Action).To(Equal(inband.ActionForward))
	h.Expect(h.steerer.TakeEndedFlows()).To(BeEmpty())
}

// Guards against a reset of a repeatable request whose copies waited together, so that the upstream had no time to respond
// to the first of them: at this daemon, which stood still (review/5), or before it, while others respond. The first answer
// was lost.
func TestCopiesThatWaitedTogether(t *testing.T) {
	for _, stall := range []func(h *harness, d time.Duration){(*harness).advance, (*harness).advanceWhileOthersRespond} {
		h := newHarness(t, upstream("a", "bindery", "schuur"))
		p, _ := h.open(safeAddress)
		other, _ := h.open(unsafeAddress)
		p, other = withData(p), withData(other)
		h.advance(time.Second)
		h.decide(other)
		h.Expect(h.decide(p).Action).To(Equal(inband.ActionForward))
		stall(h, 620*time.Millisecond)
		h.decide(other)
		for range 4 {
			h.Expect(h.decide(p).Action).To(Equal(inband.ActionForward))
			h.advance(2 * time.Millisecond)
		}
		h.advanceWhileOthersRespond(780 * time.Millisecond)
		h.Expect(h.decide(p).Action).To(Equal(inband.ActionReset), "no response to a copy that was forwarded 780 ms ago")
	}
}

// Guards against callers that wait for a dead upstream because other flows to it move here: their first packets
// acknowledge what their callers may have received before it died.
func TestMovedFlowIsNoResponse(t *testing.T) {
	h := newHarness(t, upstream("a", "bindery", "schuur"))
	first, _ := h.open(safeAddress)
	second, _ := h.open(safeAddress)
	var last inband.Verdict
	for _, gap := range []time.Duration{time.Second, 200 * time.Millisecond, 400 * time.Millisecond} {
		h.advanceWhileOthersRespond(gap)
		h.decide(withData(platform.Packet{Flow: h.newFlowKey(safeAddress), Token: h.token("a", safeAddress), Sequence: 1,
			Acknowledged: 100, Acknowledges: true}))
		h.decide(withData(first))
		last = h.decide(withData(second))
	}
	h.Expect(last.Reason).To(Equal(inband.ReasonUpstreamDead))
}

// Guards against resets while nothing that upstreams send now reaches the callers (review/1 with TROUBLE=0), because of
// packets that acknowledge what was sent before: the first packet of a flow that moves here from a daemon that leaves,
// the answer to an earlier copy of an opening packet, and the response to an earlier request.
func TestOldAnswersShowNoResponse(t *testing.T) {
	for name, sendOldAnswer := range map[string]func(h *harness, early *platform.Packet){
		"moved flow": func(h *harness, _ *platform.Packet) {
			h.decide(withData(platform.Packet{Flow: h.newFlowKey(downloadAddress), Token: h.token("elsewhere", downloadAddress),
				Sequence: 1, Acknowledged: 100, Acknowledges: true}))
		},
		"copy of an opening packet": func(h *harness, _ *platform.Packet) {
			p := platform.Packet{Flow: h.newFlowKey(downloadAddress), Opens: true, Acknowledged: 1}
			h.decide(p)
			p.Opens, p.Acknowledges, p.Token, p.Sequence = false, true, h.token("elsewhere", downloadAddress), 1
			h.decide(p)
		},
		"earlier request": func(h *harness, early *platform.Packet) {
			early.Acknowledged += 100
			h.decide(*early)
		},
	} {
		h := newHarness(t, upstream("a", "bindery", "schuur"), upstream("elsewhere", "galerij", "schuur"))
		first, _ := h.open(safeAddress)
		second, _ := h.open(safeAddress)
		early, _ := h.open(downloadAddress)
		h.decide(withData(early))
		for _, gap := range []time.Duration{time.Second, 200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond} {
			for ; gap > 0; gap -= 100 * time.Millisecond {
				h.advance(100 * time.Millisecond)
				sendOldAnswer(h, &early)
			}
			for _, p := range []platform.Packet{first, second} {
				h.Expect(h.decide(withData(p)).Action).To(Equal(inband.ActionForward), name)
			}
		}
		h.Expect(h.steerer.TakeEndedFlows()).To(BeEmpty(), name)
	}
}

// Guards against a reset by a daemon that has not read yet that an upstream registered again after seconds: the
// flow was opened through another daemon, after the list from which the upstream was missing.
func TestDeregistrationIsNewerThanTheFlow(t *testing.T) {
	h := newHarness(t, upstream("a", "bindery", "schuur"))
	known, _ := h.open(unsafeAddress)
	h.catalog.ApplyChanges(nil, []string{"a"}, nil)
	h.advance(catalog.ReregistrationGrace)
	h.validate()
	moved := withData(platform.Packet{Flow: h.newFlowKey(unsafeAddress), Token: h.token("a", unsafeAddress), Sequence: 1,
		Acknowledged: 100, Acknowledges: true})
	v := h.decide(moved)
	h.Expect(v.Action).To(Equal(inband.ActionForward), "%s", v.Reason)
	h.Expect(v.Reason).To(Equal(inband.ReasonMissingUpstream))
	h.Expect(h.steerer.TakeEndedFlows()).To(ConsistOf(HaveField("Flow", known.Flow)), "it was open before the list")
	h.advance(200 * time.Millisecond)
	h.Expect(h.decide(moved).Action).To(Equal(inband.ActionForward))
	h.listedAt = h.now
	h.advance(200 * time.Millisecond)
	v = h.decide(moved)
	h.Expect(v.Action).To(Equal(inband.ActionReset))
	h.Expect(v.Reason).To(Equal(inband.ReasonUpstreamDeregistered))
}
