package wire_test

import (
	"net/netip"
	"testing"

	. "github.com/onsi/gomega"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/wire"
)

func flowKeyFor(caller, service string) wire.FlowKey {
	k, err := wire.NewFlowKey(netip.MustParseAddrPort(caller), netip.MustParseAddrPort(service))
	if err != nil {
		panic(err)
	}
	return k
}

// Guards against a tag that is valid for another flow, upstream or cluster key, and against a tag
// that another daemon with the same key does not accept after a hand-over.
func TestVerificationTag(t *testing.T) {
	g := NewWithT(t)
	v := wire.NewVerifier(clusterKey)
	flow := flowKeyFor("127.9.0.1:4000", "127.2.1.1:8001")
	tag := v.Tag(flow, 7)
	g.Expect(wire.NewVerifier(clusterKey).IsValid(wire.Header{Flow: flow, Upstream: 7, VerificationTag: tag})).To(BeTrue())
	wrongTags := map[string]uint64{
		"none":            0,
		"one bit":         tag ^ 1,
		"caller address":  v.Tag(flowKeyFor("127.9.0.2:4000", "127.2.1.1:8001"), 7),
		"caller port":     v.Tag(flowKeyFor("127.9.0.1:4001", "127.2.1.1:8001"), 7),
		"service address": v.Tag(flowKeyFor("127.9.0.1:4000", "127.2.2.1:8001"), 7),
		"service port":    v.Tag(flowKeyFor("127.9.0.1:4000", "127.2.1.1:8002"), 7),
		"upstream":        v.Tag(flow, 8),
		"key":             wire.NewVerifier([]byte("another key")).Tag(flow, 7),
	}
	for name, wrong := range wrongTags {
		g.Expect(v.IsValid(wire.Header{Flow: flow, Upstream: 7, VerificationTag: wrong})).To(BeFalse(), name)
	}
}

// Guards against a tag that the header decoder does not find, and against a tag set by a caller that
// still takes precedence after the daemon appended its tag.
func TestVerificationTagOnTheWire(t *testing.T) {
	g := NewWithT(t)
	flow := flowKeyFor("127.9.0.1:4000", "127.2.1.1:8001")
	raw, err := wire.EncodePacket(&pb.Packet{Flow: flow.Proto(), Kind: pb.Kind_KIND_DATA, VerificationTag: 5})
	g.Expect(err).NotTo(HaveOccurred())
	raw = wire.AppendVerificationTag(raw, 6)
	h, err := wire.ParseHeader(raw)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(h.VerificationTag).To(Equal(uint64(6)))
	p, err := wire.DecodePacket(raw)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(p.GetVerificationTag()).To(Equal(uint64(6)))
	_, err = wire.ParseHeader(raw[:len(raw)-1])
	g.Expect(err).To(MatchError(wire.ErrMalformed))
}

func BenchmarkVerificationTag(b *testing.B) {
	v := wire.NewVerifier(clusterKey)
	h := wire.Header{Flow: flowKeyFor("127.9.0.1:4000", "127.2.1.1:8001"), Upstream: 7}
	b.ReportAllocs()
	for b.Loop() {
		h.VerificationTag = v.Tag(h.Flow, h.Upstream)
	}
}
