package peer

import (
	"google.golang.org/protobuf/encoding/protowire"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/wire"
)

// header holds the fields of a serialized PeerDatagram that the messenger itself reads. Its slices
// point into the datagram.
type header struct {
	sender, receiver      []byte
	incarnation, sequence uint64
	// forward is the serialized Forward, nil for other bodies.
	forward []byte
}

// parseHeader decodes the header without allocating. It returns wire.ErrMalformed.
func parseHeader(b []byte) (h header, err error) {
	for len(b) > 0 {
		num, typ, n := protowire.ConsumeTag(b)
		if n < 0 {
			return h, wire.ErrMalformed
		}
		b = b[n:]
		var bytes []byte
		var number uint64
		switch typ {
		case protowire.BytesType:
			bytes, n = protowire.ConsumeBytes(b)
		case protowire.Fixed64Type:
			number, n = protowire.ConsumeFixed64(b)
		case protowire.VarintType:
			number, n = protowire.ConsumeVarint(b)
		default:
			n = protowire.ConsumeFieldValue(num, typ, b)
		}
		if n < 0 {
			return h, wire.ErrMalformed
		}
		h.setField(num, typ, bytes, number)
		b = b[n:]
	}
	if len(h.sender) == 0 {
		return h, wire.ErrMalformed
	}
	return h, nil
}

func (h *header) setField(num protowire.Number, typ protowire.Type, bytes []byte, number uint64) {
	switch {
	case num == fieldSender && typ == protowire.BytesType:
		h.sender = bytes
	case num == fieldReceiver && typ == protowire.BytesType:
		h.receiver = bytes
	case num == fieldIncarnation && typ == protowire.Fixed64Type:
		h.incarnation = number
	case num == fieldSequence && typ == protowire.VarintType:
		h.sequence = number
	case num == fieldForward && typ == protowire.BytesType:
		h.forward = bytes
	}
}

// parseForward decodes a serialized Forward without allocating. It returns wire.ErrMalformed.
func parseForward(b []byte) (hops uint32, role pb.ForwardRole, packet []byte, err error) {
	for len(b) > 0 {
		num, typ, n := protowire.ConsumeTag(b)
		if n < 0 {
			return 0, 0, nil, wire.ErrMalformed
		}
		b = b[n:]
		var number uint64
		switch {
		case typ == protowire.VarintType:
			number, n = protowire.ConsumeVarint(b)
		case num == fieldPacket && typ == protowire.BytesType:
			packet, n = protowire.ConsumeBytes(b)
		default:
			n = protowire.ConsumeFieldValue(num, typ, b)
		}
		if n < 0 {
			return 0, 0, nil, wire.ErrMalformed
		}
		if typ == protowire.VarintType && num == fieldHops {
			hops = uint32(number)
		}
		if typ == protowire.VarintType && num == fieldRole {
			role = pb.ForwardRole(int32(number))
		}
		b = b[n:]
	}
	return hops, role, packet, nil
}
