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

// fakeRoles records the packets that reach the roles of a daemon, and the hops of forwarded ones. The
// daemon holds all resources if holdsAll is set, and otherwise none.
type fakeRoles struct {
	holdsAll                   bool
	hops                       []uint32
	steered                    [][]byte
	paused                     bool
	fromCallers, fromUpstreams []*pb.Packet
}

func (r *fakeRoles) Route(ownership.Resource) (membership.DaemonID, bool, bool) {
	return "other", r.holdsAll, true
}
func (r *fakeRoles) Successor(ownership.Resource) (membership.DaemonID, bool) { return "", false }
func (r *fakeRoles) PreviousHolders(ownership.Resource) []membership.DaemonID { return nil }
func (r *fakeRoles) Current() *config.Snapshot                                { return snapshot() }
func (r *fakeRoles) Subscribe(func(previous, current *config.Snapshot))       {}
func (r *fakeRoles) SendForward(_ membership.DaemonID, hops uint32, _ pb.ForwardRole, _ []byte) error {
	r.hops = append(r.hops, hops)
	return nil
}

type fakeSteerer struct{ r *fakeRoles }

func (s fakeSteerer) HandleCaller(_ wire.Header, raw []byte) { s.r.steered = append(s.r.steered, raw) }

type fakeAdmitter struct{ r *fakeRoles }

func (a fakeAdmitter) HandleCaller(p *pb.Packet)   { a.r.fromCallers = append(a.r.fromCallers, p) }
func (a fakeAdmitter) HandleUpstream(p *pb.Packet) { a.r.fromUpstreams = append(a.r.fromUpstreams, p) }

func snapshot() *config.Snapshot {
	return config.NewSnapshot(&pb.Configuration{Generation: 1, Services: []*pb.Service{
		{Number: 1, Address: "127.2.1.1:8001", Upstreams: []*pb.Upstream{{Number: 1, Address: "127.1.1.51:9000"}}},
		{Number: 2, Address: "127.2.2.1:8002", Upstreams: []*pb.Upstream{{Number: 2, Address: "127.1.1.52:9000"}}},
	}})
}

var testKey = []byte("a key of at least 16 bytes")

func newDispatcher(r *fakeRoles) *dispatcher {
	return &dispatcher{config: r, router: r, forwarder: r, steerer: fakeSteerer{r}, admitter: fakeAdmitter{r},
		verifier: wire.NewVerifier(testKey), counters: telemetry.NewCounters(), paused: func() bool { return r.paused }}
}

// encodePacket sets the flow of p to one of service 1 and returns the encoded packet.
func encodePacket(t *testing.T, p *pb.Packet) []byte {
	t.Helper()
	k, err := wire.NewFlowKey(netip.MustParseAddrPort("127.9.0.1:4000"), netip.MustParseAddrPort("127.2.1.1:8001"))
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	p.Flow = k.Proto()
	raw, err := wire.EncodePacket(p)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return raw
}

// Guards against a daemon that after a pause handles packets which queued meanwhile, before it has
// released the resources that other daemons took over.
func TestPausedDaemonDropsPackets(t *testing.T) {
	g := NewWithT(t)
	r := &fakeRoles{holdsAll: true, paused: true}
	d := newDispatcher(r)
	fromCaller := encodePacket(t, &pb.Packet{Kind: pb.Kind_KIND_REQUEST, RequestId: 1})
	toAdmission := encodePacket(t, &pb.Packet{Kind: pb.Kind_KIND_REQUEST, RequestId: 1, Service: 1, Upstream: 1})
	handle := func() {
		d.handleIngress(fromCaller)
		d.handleForwarded("other", 1, pb.ForwardRole_FORWARD_ROLE_FLOW_OWNER, fromCaller)
		d.handleForwarded("other", 1, pb.ForwardRole_FORWARD_ROLE_ADMISSION, toAdmission)
	}
	handle()
	g.Expect(r.steered).To(BeEmpty())
	g.Expect(r.fromCallers).To(BeEmpty())
	g.Expect(r.hops).To(BeEmpty())
	g.Expect(d.counters.Get("drop.paused")).To(BeEquivalentTo(3))
	r.paused = false
	handle()
	g.Expect(r.steered).To(HaveLen(2))
	g.Expect(r.fromCallers).To(HaveLen(1))
}

// Guards against an invalid packet that reaches a role or is not counted under its drop reason.
func TestIngressRefuses(t *testing.T) {
	cases := map[string]struct {
		raw     []byte
		counter string
	}{
		"garbage":                       {[]byte{0xff, 0xff, 0xff}, "drop.malformed"},
		"truncated":                     {encodePacket(t, &pb.Packet{Kind: pb.Kind_KIND_OPEN})[:10], "drop.malformed"},
		"oversized":                     {make([]byte, wire.MaxPacketBytes+1), "drop.oversized"},
		"no room for routing fields":    {encodePacket(t, &pb.Packet{Kind: pb.Kind_KIND_REQUEST, Payload: make([]byte, wire.MaxCallerPacketBytes-20)}), "drop.oversized"},
		"no kind":                       {encodePacket(t, &pb.Packet{}), "drop.no_kind"},
		"no flow":                       {[]byte{0x10, 0x01}, "drop.no_flow"},
		"an answer sent by a caller":    {encodePacket(t, &pb.Packet{Kind: pb.Kind_KIND_ANSWER}), "drop.unexpected_kind"},
		"a token sent by a caller":      {encodePacket(t, &pb.Packet{Kind: pb.Kind_KIND_TOKEN}), "drop.unexpected_kind"},
		"upstream of another service":   {encodePacket(t, &pb.Packet{Kind: pb.Kind_KIND_ANSWER, Upstream: 2}), "drop.wrong_service"},
		"an answer without a tag":       {encodePacket(t, &pb.Packet{Kind: pb.Kind_KIND_ANSWER, Upstream: 1}), "drop.verification_tag"},
		"upstream that is not declared": {encodePacket(t, &pb.Packet{Kind: pb.Kind_KIND_ANSWER, Upstream: 9}), "drop.unknown_upstream"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			r := &fakeRoles{holdsAll: true}
			d := newDispatcher(r)
			d.handleIngress(c.raw)
			g.Expect(d.counters.Get(c.counter)).To(Equal(int64(1)), "%v", d.counters.Snapshot())
			g.Expect(r.steered).To(BeEmpty())
			g.Expect(r.fromUpstreams).To(BeEmpty())
		})
	}
}

// Guards against a request of a caller with the status that marks requests redirected by daemons.
func TestIngressClearsStatus(t *testing.T) {
	g := NewWithT(t)
	r := &fakeRoles{holdsAll: true}
	newDispatcher(r).handleIngress(encodePacket(t, &pb.Packet{Kind: pb.Kind_KIND_REQUEST, Status: pb.Status_STATUS_NOT_RUN}))
	p, err := wire.DecodePacket(r.steered[0])
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(p.GetStatus()).To(Equal(pb.Status_STATUS_UNSPECIFIED))
}

// Guards against a packet that daemons with different membership views forward in an endless loop.
func TestForwardStopsAtHopLimit(t *testing.T) {
	g := NewWithT(t)
	r := &fakeRoles{}
	d := newDispatcher(r)
	raw := encodePacket(t, &pb.Packet{Kind: pb.Kind_KIND_OPEN})
	for hops := range uint32(maxHops + 1) {
		d.handleForwarded("sender", hops, pb.ForwardRole_FORWARD_ROLE_FLOW_OWNER, raw)
	}
	g.Expect(r.hops).To(Equal([]uint32{1, 2, 3, 4}))
	g.Expect(d.counters.Get("drop.hop_limit")).To(Equal(int64(1)))
}
