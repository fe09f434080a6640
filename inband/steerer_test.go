package inband_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarfield/fulmarfield/catalog"
	"github.com/fulmarfield/fulmarfield/inband"
	"github.com/fulmarfield/fulmarfield/platform"
	"github.com/fulmarfield/fulmarfield/wire"
)

var (
	bindery = netip.MustParseAddrPort("198.18.0.1:8443")
	orders  = netip.MustParseAddrPort("198.18.0.1:8080")
	gallery = netip.MustParseAddrPort("198.18.0.2:8443")
	start   = time.Unix(1_700_000_000, 0)
)

// world is a catalog, a clock and one daemon.
type world struct {
	*WithT
	now       time.Time
	catalog   *catalog.Catalog
	confirmed time.Time
	// upstreamsConfirmed is when the upstreams were last known to be the newest.
	upstreamsConfirmed time.Time
	listed             time.Time
	steerer            *inband.Steerer
	nextPort           uint16
}

func (w *world) ConfigValidatedAt() time.Time              { return w.confirmed }
func (w *world) UpstreamsValidatedAt() time.Time           { return w.upstreamsConfirmed }
func (w *world) UpstreamsListedSince(t time.Time) bool     { return w.listed.After(t) }
func (w *world) wait(d time.Duration)                      { w.now = w.now.Add(d) }
func (w *world) decide(p platform.Packet) inband.Verdict   { return w.steerer.Decide(p, w.now) }
func (w *world) token(id string, at netip.AddrPort) uint32 { return upstream(id, "", "").Token(at) }
func (w *world) key(service netip.AddrPort) wire.FlowKey {
	w.nextPort++
	k, err := wire.NewFlowKey(netip.AddrPortFrom(netip.MustParseAddr("100.64.0.7"), w.nextPort), service)
	w.Expect(err).NotTo(HaveOccurred())
	return k
}

func upstream(id, service, zone string) *catalog.Upstream {
	return &catalog.Upstream{ID: id, Key: catalog.KeyOf(id, 1), Service: service, Zone: zone, Slots: 2, StartedAt: 1}
}

func routes(version int64, targets ...string) *catalog.Configuration {
	c := &catalog.Configuration{Version: version, Routes: map[netip.AddrPort]*catalog.Route{
		orders:  {Address: orders, Kind: catalog.KindUnsafe, Targets: []catalog.Target{{Service: "bindery", Weight: 1}}},
		gallery: {Address: gallery, Kind: catalog.KindDownload, Targets: []catalog.Target{{Service: "galerij", Weight: 1}}},
	}}
	feed := &catalog.Route{Address: bindery, Kind: catalog.KindSafe}
	for _, t := range targets {
		feed.Targets = append(feed.Targets, catalog.Target{Service: t, Weight: 1})
	}
	c.Routes[bindery] = feed
	return c
}

func newWorld(t *testing.T, upstreams ...*catalog.Upstream) *world {
	w := &world{WithT: NewWithT(t), now: start, confirmed: start, nextPort: 1000}
	w.catalog = catalog.New(func() time.Time { return w.now })
	w.catalog.SetConfiguration(routes(1, "bindery"))
	w.catalog.SetUpstreams(upstreams)
	w.restart()
	return w
}

// restart is a daemon that has seen no flow.
func (w *world) restart() {
	w.steerer = inband.NewSteerer(inband.Options{
		Zone: "schuur", Catalog: w.catalog, Belief: w, Bound: 3 * time.Second, Random: rand.New(rand.NewPCG(1, 2)),
	})
}

// open opens a flow and returns a packet on it.
func (w *world) open(service netip.AddrPort) (platform.Packet, *catalog.Upstream) {
	key := w.key(service)
	v := w.decide(platform.Packet{Flow: key, Opens: true})
	w.Expect(v.Action).To(Equal(inband.ActionForward), "%s", v.Reason)
	p := platform.Packet{Flow: key, Token: v.Upstream.Token(service), Sequence: 1, Acknowledged: 100, Acknowledges: true}
	w.Expect(w.decide(p).Action).To(Equal(inband.ActionForward))
	return p, v.Upstream
}

func withData(p platform.Packet) platform.Packet {
	p.PayloadBytes = 200
	return p
}

// Guards against a latency that counts every packet, or flows that another daemon opened.
func TestTimeToOpenIsToldOnce(t *testing.T) {
	w := newWorld(t, upstream("a", "bindery", "schuur"))
	key := w.key(bindery)
	w.Expect(w.decide(platform.Packet{Flow: key, Opens: true}).OpenedAfter).To(BeZero())
	w.wait(8 * time.Millisecond)
	p := platform.Packet{Flow: key, Token: w.token("a", bindery), Sequence: 1, Acknowledged: 100, Acknowledges: true}
	w.Expect(w.decide(p).OpenedAfter).To(Equal(8 * time.Millisecond))
	w.wait(8 * time.Millisecond)
	w.Expect(w.decide(withData(p)).OpenedAfter).To(BeZero())
	w.restart()
	w.Expect(w.decide(withData(p)).OpenedAfter).To(BeZero())
}

// Guards against flows that need the daemon that opened them: any other one, and one that has
// just started, finds their upstream from the packet.
func TestAnyDaemonSteersOpenFlow(t *testing.T) {
	w := newWorld(t, upstream("a", "bindery", "schuur"), upstream("b", "bindery", "winkel"), upstream("c", "bindery", "winkel"))
	for range 50 {
		p, u := w.open(bindery)
		w.restart()
		v := w.decide(withData(p))
		w.Expect(v.Action).To(Equal(inband.ActionForward))
		w.Expect(v.Upstream.ID).To(Equal(u.ID))
	}
}

// Guards against a reset of flows whose route has other services since: a daemon that joined
// after the change did not know that the route had the flow's service (hunted days broke FLOW).
func TestFlowSurvivesChangeOfItsRoutesServices(t *testing.T) {
	w := newWorld(t, upstream("g", "galerij", "schuur"), upstream("b", "bindery", "schuur"))
	w.catalog.SetConfiguration(routes(2, "galerij"))
	p, u := w.open(bindery)
	w.Expect(u.ID).To(Equal("g"))
	w.catalog.SetConfiguration(routes(3, "bindery"))
	w.restart()
	w.listed = w.now.Add(time.Hour)
	for range 3 {
		v := w.decide(p)
		w.Expect(v.Action).To(Equal(inband.ActionForward), "%s", v.Reason)
		w.Expect(v.Upstream.ID).To(Equal("g"))
		w.wait(time.Second)
	}
}

// Guards against a caller that writes the token of a flow to one service into packets to the
// address of another service.
func TestTokenIsBoundToItsAddress(t *testing.T) {
	w := newWorld(t, upstream("b", "bindery", "schuur"), upstream("g", "galerij", "schuur"))
	p := platform.Packet{Flow: w.key(gallery), Token: w.token("b", bindery), Sequence: 1, Acknowledges: true}
	w.Expect(w.decide(p).Reason).To(Equal(inband.ReasonUnknownToken))
	p.Token = w.token("g", gallery)
	w.Expect(w.decide(p).Action).To(Equal(inband.ActionForward))
}

// Guards against packets of a flow that reach another upstream with the same token: no flow is
// placed on the younger of two, and all daemons agree on which that is.
func TestUpstreamsWithOneToken(t *testing.T) {
	w := newWorld(t)
	seen := map[uint32]string{}
	var a, b *catalog.Upstream
	for i := 0; a == nil; i++ {
		id := fmt.Sprint(i)
		token := w.token(id, bindery)
		if other, taken := seen[token]; taken {
			a, b = upstream(other, "bindery", "schuur"), upstream(id, "bindery", "schuur")
		}
		seen[token] = id
	}
	w.catalog.SetUpstreams([]*catalog.Upstream{a, b})
	_, first := w.open(bindery)
	for range 20 {
		w.restart()
		p, u := w.open(bindery)
		w.Expect(u.ID).To(Equal(first.ID))
		w.Expect(w.decide(p).Upstream.ID).To(Equal(first.ID))
	}
	_, u := w.open(orders)
	w.Expect([]string{a.ID, b.ID}).To(ContainElement(u.ID))
}

// Guards against a token that reaches an upstream which it does not name at the packet's address.
func FuzzToken(f *testing.F) {
	f.Add(uint32(0xC6120001), uint16(8443), uint32(1), uint32(100))
	f.Add(uint32(0xC6120002), uint16(8443), upstream("b", "", "").Token(bindery), uint32(1))
	f.Fuzz(func(t *testing.T, ip uint32, servicePort uint16, token, acknowledged uint32) {
		w := newWorld(t, upstream("b", "bindery", "schuur"), upstream("g", "galerij", "schuur"))
		key := wire.FlowKey{CallerIP: 1, CallerPort: 2, ServiceIP: ip, ServicePort: servicePort}
		p := platform.Packet{Flow: key, Token: token, Acknowledged: acknowledged, Acknowledges: true}
		if v := w.decide(p); v.Action == inband.ActionForward && v.Upstream.Token(key.Service()) != token {
			t.Fatalf("token %x of %s reaches %s", token, key, v.Upstream.ID)
		}
	})
}

// Guards against a reset of a flow whose upstream another daemon learned of earlier, and against
// a caller that waits for its deadline on an upstream that is known to have ended.
func TestUnknownTokenIsResetOnlyAfterLaterList(t *testing.T) {
	w := newWorld(t, upstream("b", "bindery", "schuur"))
	p := withData(platform.Packet{Flow: w.key(bindery), Token: 12345, Sequence: 1, Acknowledges: true})
	w.Expect(w.decide(p).Action).To(Equal(inband.ActionDrop))
	w.wait(200 * time.Millisecond)
	w.Expect(w.decide(p).Action).To(Equal(inband.ActionDrop), "no list since")
	w.listed = w.now
	w.wait(200 * time.Millisecond)
	w.Expect(w.decide(p).Action).To(Equal(inband.ActionReset))
}

// Guards against a reset before the state is known: after a start any token is unknown.
func TestNothingIsResetBeforeStateIsKnown(t *testing.T) {
	w := newWorld(t)
	w.catalog = catalog.New(func() time.Time { return w.now })
	w.restart()
	for _, p := range []platform.Packet{
		{Flow: w.key(bindery), Opens: true},
		withData(platform.Packet{Flow: w.key(bindery), Token: 12345}),
	} {
		w.Expect(w.decide(p).Action).To(Equal(inband.ActionDrop))
	}
}

// Guards against callers that are told that a route does not exist by a daemon that may have
// missed it, and against callers that wait when it is known not to exist.
func TestMissingRoute(t *testing.T) {
	w := newWorld(t, upstream("b", "bindery", "schuur"))
	p := platform.Packet{Flow: w.key(netip.MustParseAddrPort("198.18.0.9:80")), Opens: true}
	w.Expect(w.decide(p)).To(Equal(inband.Verdict{Action: inband.ActionReset, Reason: inband.ReasonNoRoute}))
	w.wait(2500 * time.Millisecond)
	w.Expect(w.decide(p)).To(Equal(inband.Verdict{Action: inband.ActionDrop, Reason: inband.ReasonRouteUnconfirmed}))
}

// Guards against an opening packet that goes a second time to an upstream that did not answer.
func TestCopyOfOpeningGoesElsewhere(t *testing.T) {
	w := newWorld(t, upstream("a", "bindery", "schuur"), upstream("b", "bindery", "schuur"), upstream("c", "bindery", "schuur"))
	for range 20 {
		p := platform.Packet{Flow: w.key(bindery), Opens: true}
		first := w.decide(p).Upstream
		w.wait(200 * time.Millisecond)
		p.Acknowledged = 1
		second := w.decide(p).Upstream
		w.Expect(second.ID).NotTo(Equal(first.ID))
		w.wait(5 * time.Second)
	}
}

// Guards against an upstream that refuses all flows and looks idle therefore: none of its
// openings is followed by anything.
func TestRefusingUpstreamIsAvoided(t *testing.T) {
	w := newWorld(t, upstream("a", "bindery", "schuur"), upstream("refuses", "bindery", "schuur"))
	placed := 0
	for range 100 {
		key := w.key(bindery)
		v := w.decide(platform.Packet{Flow: key, Opens: true})
		w.wait(20 * time.Millisecond)
		if v.Upstream.ID == "refuses" {
			placed++
			continue
		}
		w.decide(platform.Packet{Flow: key, Token: v.Upstream.Token(bindery), Sequence: 1, Acknowledged: 5, Acknowledges: true, Finishes: true})
	}
	w.Expect(placed).To(BeNumerically("<", 20))
}

// Guards against callers that wait on a silent upstream although they could ask another one, and
// against a reset of requests that may run only once.
func TestSilentUpstream(t *testing.T) {
	for _, c := range []struct {
		address netip.AddrPort
		want    inband.Action
	}{{bindery, inband.ActionReset}, {orders, inband.ActionForward}} {
		w := newWorld(t, upstream("a", "bindery", "schuur"))
		p, _ := w.open(c.address)
		p = withData(p)
		w.wait(time.Second)
		w.Expect(w.decide(p).Action).To(Equal(inband.ActionForward))
		w.wait(200 * time.Millisecond)
		w.Expect(w.decide(p).Action).To(Equal(inband.ActionForward), "one retransmission may be a lost packet")
		w.wait(400 * time.Millisecond)
		w.Expect(w.decide(p).Action).To(Equal(c.want))
	}
}

// Guards against requests that are lost on flows which are known to be dead: callers of idle flows
// are told before they send, and repeatable requests go elsewhere at once.
func TestFlowsOfDeadUpstream(t *testing.T) {
	w := newWorld(t, upstream("a", "bindery", "schuur"))
	first, _ := w.open(orders)
	second, _ := w.open(orders)
	idle, _ := w.open(orders)
	feed, _ := w.open(bindery)
	w.wait(time.Second)
	for _, p := range []*platform.Packet{&first, &second} {
		w.decide(withData(*p))
		p.Acknowledged, p.Sequence = p.Acknowledged+600, p.Sequence+200
		w.decide(*p)
	}
	w.wait(time.Second)
	for _, gap := range []time.Duration{0, 200 * time.Millisecond, 400 * time.Millisecond} {
		w.wait(gap)
		w.Expect(w.steerer.TakeEnded()).To(BeEmpty())
		for _, p := range []platform.Packet{first, second} {
			w.Expect(w.decide(withData(p)).Action).To(Equal(inband.ActionForward), "it may have run")
		}
	}
	var ended []wire.FlowKey
	for _, e := range w.steerer.TakeEnded() {
		ended = append(ended, e.Flow)
	}
	w.Expect(ended).To(ConsistOf(idle.Flow, feed.Flow))
}

// Guards against flows that end because this VM stood still: data and its retransmissions waited
// in the socket and are read at once (soak, seed 157).
func TestPausedDaemonEndsNoFlow(t *testing.T) {
	w := newWorld(t, upstream("a", "bindery", "schuur"), upstream("b", "bindery", "winkel"))
	first, _ := w.open(orders)
	second, _ := w.open(orders)
	w.open(bindery)
	w.wait(2 * time.Second)
	opening := platform.Packet{Flow: w.key(bindery), Opens: true}
	for range 4 {
		for _, p := range []platform.Packet{withData(first), withData(second), opening} {
			w.Expect(w.decide(p).Action).To(Equal(inband.ActionForward))
		}
		opening.Acknowledged++
	}
	w.Expect(w.steerer.TakeEnded()).To(BeEmpty())
	first.Finishes, second.Finishes = true, true
	w.decide(first)
	w.decide(second)
	_, placed := w.open(bindery)
	w.Expect(placed.ID).To(Equal("a"), "it is not suspect either")
}

// Guards against flows of an upstream that has ended whose callers learn it from a lost request.
func TestFlowsOfGoneUpstreamEnd(t *testing.T) {
	w := newWorld(t, upstream("a", "bindery", "schuur"))
	p, _ := w.open(orders)
	w.catalog.Change(nil, []string{"a"}, nil)
	w.wait(time.Second)
	w.decide(platform.Packet{Flow: w.key(gallery), Token: 1})
	w.Expect(w.steerer.TakeEnded()).To(BeEmpty(), "its entry may come back")
	w.wait(2 * time.Second)
	w.upstreamsConfirmed = w.now
	w.decide(platform.Packet{Flow: w.key(gallery), Token: 1})
	w.Expect(w.steerer.TakeEnded()).To(ConsistOf(HaveField("Flow", p.Flow)))
}

// Guards against flows that end because somebody else wrote their upstream's entry.
func TestUnreadableEntryEndsNoFlow(t *testing.T) {
	w := newWorld(t, upstream("a", "bindery", "schuur"), upstream("b", "bindery", "winkel"))
	p, _ := w.open(orders)
	w.catalog.Change(nil, nil, []string{"a", "unknown"})
	w.wait(time.Minute)
	w.Expect(w.decide(p).Action).To(Equal(inband.ActionForward))
	_, placed := w.open(orders)
	w.Expect(placed.ID).To(Equal("b"))
}

// Guards against a reset of a flow whose upstream works on a long request: callers of other flows
// hear from it.
func TestSlowRequestIsNotReset(t *testing.T) {
	w := newWorld(t, upstream("a", "bindery", "schuur"))
	slow, _ := w.open(bindery)
	other, _ := w.open(bindery)
	slow = withData(slow)
	w.decide(slow)
	for range 20 {
		w.wait(200 * time.Millisecond)
		other.Acknowledged += 2000
		w.decide(other)
		w.Expect(w.decide(slow).Action).To(Equal(inband.ActionForward))
	}
}

// Guards against packets of a flow that reach the next upstream at the address: the entry is gone
// and the upstream may be back, or has ended.
func TestDepartedUpstream(t *testing.T) {
	w := newWorld(t, upstream("a", "bindery", "schuur"), upstream("b", "bindery", "schuur"))
	p, u := w.open(orders)
	w.catalog.Change(nil, []string{u.ID}, nil)
	v := w.decide(withData(p))
	w.Expect(v.Reason).To(Equal(inband.ReasonMissingUpstream))
	w.Expect(v.Upstream.Key).To(Equal(u.Key), "the datagram is for this incarnation only")
	w.wait(catalog.LapseGrace)
	w.Expect(w.decide(p).Action).To(Equal(inband.ActionForward), "it may be back in the store")
	w.upstreamsConfirmed = w.now
	w.Expect(w.decide(withData(p))).To(Equal(inband.Verdict{Action: inband.ActionReset, Reason: inband.ReasonUpstreamGone, Upstream: u}))
}

// Guards against new flows to a draining upstream, and against open ones that leave it.
func TestDrainingUpstream(t *testing.T) {
	w := newWorld(t, upstream("a", "bindery", "schuur"), upstream("b", "bindery", "winkel"))
	p, u := w.open(bindery)
	w.Expect(u.ID).To(Equal("a"))
	draining := *upstream("a", "bindery", "schuur")
	draining.State = catalog.StateDraining
	w.catalog.Change([]*catalog.Upstream{&draining}, nil, nil)
	for range 20 {
		_, placed := w.open(bindery)
		w.Expect(placed.ID).To(Equal("b"))
	}
	w.Expect(w.decide(withData(p)).Upstream.ID).To(Equal("a"))
}

// Guards against memory that forged tokens and flows without an end take.
func TestTablesAreBounded(t *testing.T) {
	w := newWorld(t, upstream("a", "bindery", "schuur"))
	for i := range 20_000 {
		w.decide(platform.Packet{Flow: w.key(bindery), Token: uint32(i + 1)})
	}
	for range 1000 {
		w.open(bindery)
	}
	w.Expect(w.steerer.Flows()).To(Equal(1000))
	w.wait(20 * time.Second)
	w.decide(platform.Packet{Flow: w.key(bindery), Token: 1})
	w.Expect(w.steerer.Flows()).To(Equal(0))
}

// Guards against a daemon whose work for a packet grows with the flows that it knows.
func BenchmarkSteerKnownFlow(b *testing.B) {
	for _, flows := range []int{100, 30_000} {
		b.Run(fmt.Sprint(flows), func(b *testing.B) {
			w := newWorld(&testing.T{}, upstream("a", "bindery", "schuur"), upstream("b", "bindery", "schuur"))
			var p platform.Packet
			for i := range flows {
				key := wire.FlowKey{CallerIP: uint32(i), ServiceIP: 0xC6120001, CallerPort: 1, ServicePort: 8443}
				p = platform.Packet{Flow: key, Token: w.token("a", bindery), Sequence: 1, Acknowledges: true}
				w.decide(p)
			}
			b.ReportAllocs()
			for b.Loop() {
				w.decide(p)
			}
		})
	}
}

// Measures the memory of a flow for docs/CAPACITY.md.
func BenchmarkFlowMemory(b *testing.B) {
	const flows = 100_000
	w := newWorld(&testing.T{}, upstream("a", "bindery", "schuur"))
	token := w.token("a", bindery)
	var before, after runtime.MemStats
	for b.Loop() {
		w.restart()
		runtime.GC()
		runtime.ReadMemStats(&before)
		for i := range flows {
			key := wire.FlowKey{CallerIP: uint32(i), ServiceIP: 0xC6120001, CallerPort: 1, ServicePort: 8443}
			w.decide(platform.Packet{Flow: key, Token: token, Sequence: 1, Acknowledges: true})
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/flows, "B/flow")
}

// Measures an opening packet among many upstreams for docs/CAPACITY.md.
func BenchmarkOpen(b *testing.B) {
	for _, upstreams := range []int{14, 140} {
		b.Run(fmt.Sprint(upstreams), func(b *testing.B) {
			var list []*catalog.Upstream
			for i := range upstreams {
				list = append(list, upstream(fmt.Sprint(i), "bindery", "schuur"))
			}
			w := newWorld(&testing.T{}, list...)
			i := uint32(0)
			for b.Loop() {
				i++
				key := wire.FlowKey{CallerIP: i, ServiceIP: 0xC6120001, CallerPort: 1, ServicePort: 8443}
				w.decide(platform.Packet{Flow: key, Opens: true})
				w.wait(time.Millisecond)
			}
		})
	}
}
