package daemon

import (
	"net/netip"
	"testing"

	. "github.com/onsi/gomega"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/wire"
)

// recordingConn is a wire.Conn that records the sent datagrams.
type recordingConn struct{ data [][]byte }

func (s *recordingConn) ReadBatch([]wire.Datagram) (int, error) { return 0, wire.ErrClosed }
func (s *recordingConn) Close() error                           { return nil }
func (s *recordingConn) LocalAddr() netip.AddrPort              { return netip.AddrPort{} }
func (s *recordingConn) Send(_ netip.AddrPort, data []byte) error {
	s.data = append(s.data, append([]byte(nil), data...))
	return nil
}

// upstreamKinds are the kinds of packets that upstreams send.
var upstreamKinds = []pb.Kind{pb.Kind_KIND_OPENED, pb.Kind_KIND_ANSWER, pb.Kind_KIND_CLOSE, pb.Kind_KIND_RESET,
	pb.Kind_KIND_KEEPALIVE, pb.Kind_KIND_KEEPALIVE_ACK, pb.Kind_KIND_DATA}

// Guards against packets that a caller forges as an upstream, with a guessed tag or the tag of another
// flow or upstream, and that the receiving daemon accepts or forwards.
func TestForgedPacketsOfUpstreams(t *testing.T) {
	flow := wire.FlowKeyFromProto(decodePacket(t, encodePacket(t, &pb.Packet{Kind: pb.Kind_KIND_OPEN})).GetFlow())
	other := flow
	other.CallerPort++
	v := wire.NewVerifier(testKey)
	for _, kind := range upstreamKinds {
		for name, c := range map[string]struct {
			tag   uint64
			valid bool
		}{
			"none":           {},
			"guessed":        {tag: 1},
			"other flow":     {tag: v.Tag(other, 1)},
			"other upstream": {tag: v.Tag(flow, 2)},
			"echoed":         {tag: v.Tag(flow, 1), valid: true},
		} {
			for _, isHeldHere := range []bool{true, false} {
				g := NewWithT(t)
				r := &fakeRoles{holdsAll: isHeldHere}
				d := newDispatcher(r)
				d.handleIngress(encodePacket(t, &pb.Packet{Kind: kind, Upstream: 1, VerificationTag: c.tag}))
				passed := len(r.fromUpstreams) + len(r.hops)
				g.Expect(passed == 1).To(Equal(c.valid), "%v %s", kind, name)
				g.Expect(d.counters.Get("drop.verification_tag") == 0).To(Equal(c.valid), "%v %s", kind, name)
			}
		}
	}
}

// Guards against a packet to an upstream without the verification tag that its answer has to echo,
// against a tag that the caller set, and against a tag that is sent to a caller.
func TestVerificationTagIsSentToUpstreamsOnly(t *testing.T) {
	g := NewWithT(t)
	conn := &recordingConn{}
	d := newDispatcher(&fakeRoles{holdsAll: true})
	d.conn = conn
	p := decodePacket(t, encodePacket(t, &pb.Packet{Kind: pb.Kind_KIND_OPEN, Upstream: 1, VerificationTag: 5}))
	requestOutput{d: d}.ToUpstream(netip.MustParseAddrPort("127.1.1.51:9000"), p)
	flow := wire.FlowKeyFromProto(p.GetFlow())
	tag := d.verifier.Tag(flow, 1)
	g.Expect(decodePacket(t, conn.data[0]).GetVerificationTag()).To(Equal(tag))
	g.Expect(p.GetVerificationTag()).To(Equal(uint64(5)), "the output must not modify the packet of the admission")
	for _, kind := range upstreamKinds {
		p := &pb.Packet{Flow: p.GetFlow(), Kind: kind, Upstream: 1, VerificationTag: tag}
		requestOutput{d: d}.ToCaller(p)
		steeringOutput{d}.ToCaller(p)
	}
	g.Expect(conn.data).To(HaveLen(1 + 2*len(upstreamKinds)))
	for _, raw := range conn.data[1:] {
		g.Expect(decodePacket(t, raw).GetVerificationTag()).To(BeZero())
	}
}

func decodePacket(t *testing.T, raw []byte) *pb.Packet {
	t.Helper()
	p, err := wire.DecodePacket(raw)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return p
}
