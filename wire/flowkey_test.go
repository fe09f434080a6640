package wire_test

import (
	"net/netip"
	"testing"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/wire"
)

func testFlowKey(t *testing.T) wire.FlowKey {
	t.Helper()
	k, err := wire.NewFlowKey(netip.MustParseAddrPort("127.9.0.1:4242"), netip.MustParseAddrPort("127.2.1.1:8001"))
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return k
}

// Guards against a header decoder that reads other values than the generated protobuf decoder.
func TestParseHeaderMatchesProtobuf(t *testing.T) {
	g := NewWithT(t)
	p := &pb.Packet{Flow: testFlowKey(t).Proto(), Kind: pb.Kind_KIND_REQUEST, RequestId: 7, Service: 2, Payload: []byte("x")}
	raw, err := wire.EncodePacket(p)
	g.Expect(err).NotTo(HaveOccurred())
	raw = wire.AppendRoute(raw, 3, 9)
	h, err := wire.ParseHeader(raw)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(h).To(Equal(wire.Header{Flow: testFlowKey(t), Kind: pb.Kind_KIND_REQUEST, Service: 3, Upstream: 9}))
	decoded := &pb.Packet{}
	g.Expect(proto.Unmarshal(raw, decoded)).To(Succeed())
	g.Expect(decoded.GetUpstream()).To(Equal(h.Upstream))
	g.Expect(decoded.GetService()).To(Equal(h.Service))
}

// Guards against an allocation for each packet that is steered.
func TestParseHeaderDoesNotAllocate(t *testing.T) {
	g := NewWithT(t)
	raw, err := wire.EncodePacket(&pb.Packet{Flow: testFlowKey(t).Proto(), Kind: pb.Kind_KIND_DATA})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(testing.AllocsPerRun(100, func() { _, _ = wire.ParseHeader(raw) })).To(BeZero())
}

// Guards against a panic on any input, and against a header whose fields differ from those that
// protobuf decodes.
func FuzzParseHeader(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte{0x0a, 0x05, 0x0d})
	f.Add(make([]byte, wire.MaxPacketBytes+1))
	if raw, err := wire.EncodePacket(&pb.Packet{Flow: &pb.FlowKey{CallerIp: 1, CallerPort: 2, ServiceIp: 3, ServicePort: 4}, Kind: pb.Kind_KIND_OPEN}); err == nil {
		f.Add(raw)
		f.Add(raw[:len(raw)-1])
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		h, err := wire.ParseHeader(raw)
		if err != nil {
			return
		}
		p := &pb.Packet{}
		if proto.Unmarshal(raw, p) != nil {
			return // ParseHeader does not check the fields that it skips.
		}
		if wire.FlowKeyFromProto(p.GetFlow()) != h.Flow || p.GetKind() != h.Kind || p.GetUpstream() != h.Upstream ||
			p.GetVerificationTag() != h.VerificationTag {
			t.Fatalf("header %+v differs from packet %v", h, p)
		}
	})
}
