package daemon

import (
	"net/netip"
	"testing"

	. "github.com/onsi/gomega"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/config"
	"github.com/fulmarfield/fulmarfield/membership"
	"github.com/fulmarfield/fulmarfield/ownership"
	"github.com/fulmarfield/fulmarfield/telemetry"
	"github.com/fulmarfield/fulmarfield/wire"
)

// roles records what reaches the roles of a daemon, which holds everything if active is set.
type roles struct {
	active             bool
	hops               []uint32
	steered            [][]byte
	paused             bool
	callers, upstreams []*pb.Packet
}

func (r *roles) Route(ownership.Resource) (membership.DaemonID, bool, bool) {
	return "other", r.active, true
}
func (r *roles) Successor(ownership.Resource) (membership.DaemonID, bool) { return "", false }
func (r *roles) PreviousHolders(ownership.Resource) []membership.DaemonID { return nil }
func (r *roles) Current() *config.Snapshot                                { return snapshot() }
func (r *roles) Subscribe(func(previous, current *config.Snapshot))       {}
func (r *roles) SendForward(_ membership.DaemonID, hops uint32, _ pb.ForwardRole, _ []byte) error {
	r.hops = append(r.hops, hops)
	return nil
}

type steererFake struct{ r *roles }

func (s steererFake) HandleCaller(_ wire.Header, raw []byte) { s.r.steered = append(s.r.steered, raw) }

type admitterFake struct{ r *roles }

func (a admitterFake) HandleCaller(p *pb.Packet)   { a.r.callers = append(a.r.callers, p) }
func (a admitterFake) HandleUpstream(p *pb.Packet) { a.r.upstreams = append(a.r.upstreams, p) }

func snapshot() *config.Snapshot {
	return config.NewSnapshot(&pb.Configuration{Generation: 1, Services: []*pb.Service{
		{Number: 1, Address: "127.2.1.1:8001", Upstreams: []*pb.Upstream{{Number: 1, Address: "127.1.1.51:9000"}}},
		{Number: 2, Address: "127.2.2.1:8002", Upstreams: []*pb.Upstream{{Number: 2, Address: "127.1.1.52:9000"}}},
	}})
}

var testKey = []byte("a key of at least 16 bytes")

func newDispatcher(r *roles) *dispatcher {
	return &dispatcher{config: r, router: r, forwarder: r, steerer: steererFake{r}, admitter: admitterFake{r},
		verifier: wire.NewVerifier(testKey), counters: telemetry.NewCounters(), paused: func() bool { return r.paused }}
}

func encoded(t *testing.T, p *pb.Packet) []byte {
	t.Helper()
	k, err := wire.NewFlowKey(netip.MustParseAddrPort("127.9.0.1:4000"), netip.MustParseAddrPort("127.2.1.1:8001"))
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	p.Flow = k.Proto()
	raw, err := wire.EncodePacket(p)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return raw
}

// Guards against packets that queued in a pause and are handled before the daemon has given up
// what others took over.
func TestNothingIsHandledInAPause(t *testing.T) {
	g := NewWithT(t)
	r := &roles{active: true, paused: true}
	d := newDispatcher(r)
	fromCaller := encoded(t, &pb.Packet{Kind: pb.Kind_KIND_REQUEST, RequestId: 1})
	toAdmission := encoded(t, &pb.Packet{Kind: pb.Kind_KIND_REQUEST, RequestId: 1, Service: 1, Upstream: 1})
	handle := func() {
		d.ingress(fromCaller)
		d.forwarded("other", 1, pb.ForwardRole_FORWARD_ROLE_FLOW_OWNER, fromCaller)
		d.forwarded("other", 1, pb.ForwardRole_FORWARD_ROLE_ADMISSION, toAdmission)
	}
	handle()
	g.Expect(r.steered).To(BeEmpty())
	g.Expect(r.callers).To(BeEmpty())
	g.Expect(r.hops).To(BeEmpty())
	g.Expect(d.counters.Get("drop.paused")).To(BeEquivalentTo(3))
	r.paused = false
	handle()
	g.Expect(r.steered).To(HaveLen(2))
	g.Expect(r.callers).To(HaveLen(1))
}

// Guards against a packet that ingress must refuse: each is counted under its own name.
func TestIngressRefuses(t *testing.T) {
	cases := map[string]struct {
		raw     []byte
		counter string
	}{
		"garbage":                       {[]byte{0xff, 0xff, 0xff}, "drop.malformed"},
		"truncated":                     {encoded(t, &pb.Packet{Kind: pb.Kind_KIND_OPEN})[:10], "drop.malformed"},
		"oversized":                     {make([]byte, wire.MaxPacketBytes+1), "drop.oversized"},
		"no room for routing fields":    {encoded(t, &pb.Packet{Kind: pb.Kind_KIND_REQUEST, Payload: make([]byte, wire.MaxCallerPacketBytes-20)}), "drop.oversized"},
		"no kind":                       {encoded(t, &pb.Packet{}), "drop.no_kind"},
		"no flow":                       {[]byte{0x10, 0x01}, "drop.no_flow"},
		"an answer sent by a caller":    {encoded(t, &pb.Packet{Kind: pb.Kind_KIND_ANSWER}), "drop.unexpected_kind"},
		"a token sent by a caller":      {encoded(t, &pb.Packet{Kind: pb.Kind_KIND_TOKEN}), "drop.unexpected_kind"},
		"upstream of another service":   {encoded(t, &pb.Packet{Kind: pb.Kind_KIND_ANSWER, Upstream: 2}), "drop.wrong_service"},
		"an answer without a tag":       {encoded(t, &pb.Packet{Kind: pb.Kind_KIND_ANSWER, Upstream: 1}), "drop.verification_tag"},
		"upstream that is not declared": {encoded(t, &pb.Packet{Kind: pb.Kind_KIND_ANSWER, Upstream: 9}), "drop.unknown_upstream"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			r := &roles{active: true}
			d := newDispatcher(r)
			d.ingress(c.raw)
			g.Expect(d.counters.Get(c.counter)).To(Equal(int64(1)), "%v", d.counters.Snapshot())
			g.Expect(r.steered).To(BeEmpty())
			g.Expect(r.upstreams).To(BeEmpty())
		})
	}
}

// Guards against a caller that sets the status by which daemons mark handed-on requests.
func TestIngressClearsStatus(t *testing.T) {
	g := NewWithT(t)
	r := &roles{active: true}
	newDispatcher(r).ingress(encoded(t, &pb.Packet{Kind: pb.Kind_KIND_REQUEST, Status: pb.Status_STATUS_NOT_RUN}))
	p, err := wire.DecodePacket(r.steered[0])
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(p.GetStatus()).To(Equal(pb.Status_STATUS_UNSPECIFIED))
}

// Guards against a packet that two daemons with different views send to each other for ever.
func TestForwardStopsAtHopLimit(t *testing.T) {
	g := NewWithT(t)
	r := &roles{}
	d := newDispatcher(r)
	raw := encoded(t, &pb.Packet{Kind: pb.Kind_KIND_OPEN})
	for hops := range uint32(maxHops + 1) {
		d.forwarded("sender", hops, pb.ForwardRole_FORWARD_ROLE_FLOW_OWNER, raw)
	}
	g.Expect(r.hops).To(Equal([]uint32{1, 2, 3, 4}))
	g.Expect(d.counters.Get("drop.hop_limit")).To(Equal(int64(1)))
}
