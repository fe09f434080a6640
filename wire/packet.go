package wire

import (
	"errors"
	"fmt"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
)

// MaxPacketBytes is the size limit of a serialized data packet. A packet of this size stays below
// the 1,500-byte MTU of Ethernet also when it is forwarded in an envelope.
const MaxPacketBytes = 1400

// MaxCallerPacketBytes is the size limit of a packet that a caller sends. Daemons add the service,
// upstream and transmission numbers, a token, a deadline and a verification tag, which take less
// than 64 bytes.
const MaxCallerPacketBytes = MaxPacketBytes - 64

// Errors of the packet decoder. The daemon counts each of them under a separate name.
var (
	ErrOversized = errors.New("packet is larger than 1400 bytes")
	ErrMalformed = errors.New("packet is malformed or truncated")
	ErrNoFlow    = errors.New("packet has no complete flow key")
	ErrNoKind    = errors.New("packet has no known kind")
)

// Field numbers of Packet and FlowKey that the header decoder reads.
const (
	fieldFlow     = 1
	fieldKind     = 2
	fieldService  = 8
	fieldUpstream = 9
	fieldStatus   = 10

	fieldVerificationTag = 18

	fieldCallerIP    = 1
	fieldCallerPort  = 2
	fieldServiceIP   = 3
	fieldServicePort = 4
)

const maxPort = 1<<16 - 1

// Header is the part of a packet that steering reads.
type Header struct {
	Flow     FlowKey
	Kind     pb.Kind
	Service  uint32
	Upstream uint32
	// VerificationTag is the tag that an upstream echoes, 0 if the packet has none.
	VerificationTag uint64
}

// ParseHeader decodes the steering header of a serialized Packet without allocating. As in
// protobuf, the last occurrence of a field takes precedence. It returns ErrOversized,
// ErrMalformed, ErrNoFlow or ErrNoKind.
func ParseHeader(raw []byte) (Header, error) {
	var h Header
	if len(raw) > MaxPacketBytes {
		return h, ErrOversized
	}
	for b := raw; len(b) > 0; {
		num, typ, n := protowire.ConsumeTag(b)
		if n < 0 {
			return h, ErrMalformed
		}
		b = b[n:]
		n, err := h.consumeField(num, typ, b)
		if err != nil {
			return h, err
		}
		b = b[n:]
	}
	if h.Flow.CallerPort == 0 || h.Flow.ServicePort == 0 || h.Flow.CallerIP == 0 || h.Flow.ServiceIP == 0 {
		return h, ErrNoFlow
	}
	if h.Kind <= pb.Kind_KIND_UNSPECIFIED || h.Kind > pb.Kind_KIND_DATA {
		return h, ErrNoKind
	}
	return h, nil
}

// consumeField decodes the field value at the start of b and returns its length.
func (h *Header) consumeField(num protowire.Number, typ protowire.Type, b []byte) (int, error) {
	if num == fieldFlow && typ == protowire.BytesType {
		v, n := protowire.ConsumeBytes(b)
		if n < 0 {
			return 0, ErrMalformed
		}
		return n, h.Flow.mergeSerialized(v)
	}
	if typ == protowire.VarintType && (num == fieldKind || num == fieldService || num == fieldUpstream) {
		v, n := protowire.ConsumeVarint(b)
		if n < 0 {
			return 0, ErrMalformed
		}
		switch num {
		case fieldKind:
			h.Kind = pb.Kind(int32(v))
		case fieldService:
			h.Service = uint32(v)
		default:
			h.Upstream = uint32(v)
		}
		return n, nil
	}
	if num == fieldVerificationTag && typ == protowire.Fixed64Type {
		v, n := protowire.ConsumeFixed64(b)
		if n < 0 {
			return 0, ErrMalformed
		}
		h.VerificationTag = v
		return n, nil
	}
	n := protowire.ConsumeFieldValue(num, typ, b)
	if n < 0 {
		return 0, ErrMalformed
	}
	return n, nil
}

// mergeSerialized merges a serialized FlowKey into k.
func (k *FlowKey) mergeSerialized(b []byte) error {
	for len(b) > 0 {
		num, typ, n := protowire.ConsumeTag(b)
		if n < 0 {
			return ErrMalformed
		}
		b = b[n:]
		if typ != protowire.Fixed32Type {
			n = protowire.ConsumeFieldValue(num, typ, b)
			if n < 0 {
				return ErrMalformed
			}
			b = b[n:]
			continue
		}
		v, n := protowire.ConsumeFixed32(b)
		if n < 0 {
			return ErrMalformed
		}
		b = b[n:]
		if err := k.setField(num, v); err != nil {
			return err
		}
	}
	return nil
}

func (k *FlowKey) setField(num protowire.Number, v uint32) error {
	switch num {
	case fieldCallerIP:
		k.CallerIP = v
	case fieldServiceIP:
		k.ServiceIP = v
	case fieldCallerPort, fieldServicePort:
		if v > maxPort {
			return ErrMalformed
		}
		if num == fieldCallerPort {
			k.CallerPort = uint16(v)
		} else {
			k.ServicePort = uint16(v)
		}
	}
	return nil
}

// AppendZeroStatus appends a zero status to a serialized Packet, which overrides a status that the
// caller set. Between daemons the status of a forwarded request has a meaning that callers must
// not be able to set.
func AppendZeroStatus(raw []byte) []byte {
	raw = protowire.AppendTag(raw, fieldStatus, protowire.VarintType)
	return protowire.AppendVarint(raw, 0)
}

// AppendRoute appends the service and upstream numbers to a serialized Packet. In protobuf the last
// occurrence of a field takes precedence, so they override earlier values.
func AppendRoute(raw []byte, service, upstream uint32) []byte {
	raw = protowire.AppendTag(raw, fieldService, protowire.VarintType)
	raw = protowire.AppendVarint(raw, uint64(service))
	raw = protowire.AppendTag(raw, fieldUpstream, protowire.VarintType)
	return protowire.AppendVarint(raw, uint64(upstream))
}

// DecodePacket decodes all fields of a packet. It returns the errors of ParseHeader.
func DecodePacket(raw []byte) (*pb.Packet, error) {
	if _, err := ParseHeader(raw); err != nil {
		return nil, err
	}
	p := &pb.Packet{}
	if err := proto.Unmarshal(raw, p); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return p, nil
}

// EncodePacket serializes a packet. It returns ErrOversized for one above MaxPacketBytes.
func EncodePacket(p *pb.Packet) ([]byte, error) {
	raw, err := proto.Marshal(p)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if len(raw) > MaxPacketBytes {
		return nil, ErrOversized
	}
	return raw, nil
}

// IsFromUpstream reports whether a packet that arrives at a service address was sent by an
// upstream: upstreams echo their upstream number and callers omit it.
func (h Header) IsFromUpstream() bool { return h.Upstream != 0 }
