package peer

import (
	"bytes"
	"testing"

	"google.golang.org/protobuf/proto"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
)

// Guards against a header or a forward that the fast path decodes differently from protobuf.
func FuzzParseHeader(f *testing.F) {
	raw := appendHeader(nil, "sender", "receiver", 5, 6)
	f.Add(raw)
	f.Add(appendForward(raw, 2, pb.ForwardRole_FORWARD_ROLE_ANSWER, []byte("packet")))
	f.Add([]byte{0x6a, 0x02, 0x08})
	f.Fuzz(func(t *testing.T, raw []byte) {
		h, err := parseHeader(raw)
		d := &pb.PeerDatagram{}
		if err != nil || proto.Unmarshal(raw, d) != nil {
			return
		}
		if d.GetSender() != string(h.sender) || d.GetReceiver() != string(h.receiver) ||
			d.GetIncarnation() != h.incarnation || d.GetSequence() != h.sequence {
			t.Fatalf("header %+v, protobuf decodes %v", h, d)
		}
		// Protobuf merges a second Forward, and the fast path does not; the sender never writes two.
		forward := &pb.Forward{}
		if h.forward == nil || proto.Unmarshal(h.forward, forward) != nil {
			return
		}
		hops, role, packet, err := parseForward(h.forward)
		if err != nil || hops != forward.GetHops() || role != forward.GetRole() || !bytes.Equal(packet, forward.GetPacket()) {
			t.Fatalf("forward %d %v %x %v, protobuf decodes %v", hops, role, packet, err, forward)
		}
	})
}
