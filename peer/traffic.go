package peer

import (
	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/encoding/protowire"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/membership"
	"github.com/fulmarfield/fulmarfield/telemetry"
)

// bodyKind enumerates the bodies of a PeerDatagram.
type bodyKind int

const (
	kindProbe bodyKind = iota
	kindProbeAck
	kindProbeRequest
	kindFlowQuery
	kindFlowReply
	kindExceptionBatch
	kindExceptionAck
	kindUpstreamNotice
	kindForward
	kindUnknown
	kindCount
)

// kindNames are the names of the kinds in the names of counters.
var kindNames = [kindCount]string{
	"probe", "probe_ack", "probe_request", "flow_query", "flow_reply",
	"exception_batch", "exception_ack", "upstream_notice", "forward", "unknown",
}

// isBudgetExempt reports whether the messenger does not charge datagrams of the kind to the budget:
// forwards are not control traffic, and the senders of exceptions and notices charge the budget
// before they send.
func (k bodyKind) isBudgetExempt() bool {
	return k == kindForward || k == kindExceptionBatch || k == kindUpstreamNotice
}

func classifyBody(d *pb.PeerDatagram) bodyKind {
	switch d.GetBody().(type) {
	case *pb.PeerDatagram_Probe:
		return kindProbe
	case *pb.PeerDatagram_ProbeAck:
		return kindProbeAck
	case *pb.PeerDatagram_ProbeRequest:
		return kindProbeRequest
	case *pb.PeerDatagram_Forward:
		return kindForward
	case *pb.PeerDatagram_FlowQuery:
		return kindFlowQuery
	case *pb.PeerDatagram_FlowReply:
		return kindFlowReply
	case *pb.PeerDatagram_ExceptionBatch:
		return kindExceptionBatch
	case *pb.PeerDatagram_ExceptionAck:
		return kindExceptionAck
	case *pb.PeerDatagram_UpstreamNotice:
		return kindUpstreamNotice
	}
	return kindUnknown
}

// traffic counts the bytes of datagrams, with IP and UDP headers, as control.sent.<kind> and
// control.received.<kind>. Forwards are not control traffic and are counted as forward.sent and
// forward.received.
type traffic struct {
	out, in [kindCount]metrics.Counter
}

func newTraffic(counters *telemetry.Counters) *traffic {
	t := &traffic{}
	for k, name := range kindNames {
		sent, received := "control.sent."+name, "control.received."+name
		if bodyKind(k) == kindForward {
			sent, received = "forward.sent", "forward.received"
		}
		t.out[k] = metrics.GetOrRegisterCounter(sent, counters.Registry())
		t.in[k] = metrics.GetOrRegisterCounter(received, counters.Registry())
	}
	return t
}

func (t *traffic) addSent(k bodyKind, bytes int)     { t.out[k].Inc(int64(bytes + headerBytes)) }
func (t *traffic) addReceived(k bodyKind, bytes int) { t.in[k].Inc(int64(bytes + headerBytes)) }

// Field numbers of PeerDatagram and Forward that the fast path reads and writes.
const (
	fieldSender      = 1
	fieldIncarnation = 2
	fieldSequence    = 3
	fieldReceiver    = 4
	fieldForward     = 13

	fieldHops   = 1
	fieldRole   = 2
	fieldPacket = 3
)

func appendHeader(b []byte, from, to membership.DaemonID, incarnation, sequence uint64) []byte {
	b = protowire.AppendTag(b, fieldSender, protowire.BytesType)
	b = protowire.AppendString(b, string(from))
	b = protowire.AppendTag(b, fieldIncarnation, protowire.Fixed64Type)
	b = protowire.AppendFixed64(b, incarnation)
	b = protowire.AppendTag(b, fieldSequence, protowire.VarintType)
	b = protowire.AppendVarint(b, sequence)
	b = protowire.AppendTag(b, fieldReceiver, protowire.BytesType)
	return protowire.AppendString(b, string(to))
}

func appendForward(b []byte, hops uint32, role pb.ForwardRole, packet []byte) []byte {
	size := protowire.SizeTag(fieldHops) + protowire.SizeVarint(uint64(hops)) +
		protowire.SizeTag(fieldRole) + protowire.SizeVarint(uint64(role)) +
		protowire.SizeTag(fieldPacket) + protowire.SizeBytes(len(packet))
	b = protowire.AppendTag(b, fieldForward, protowire.BytesType)
	b = protowire.AppendVarint(b, uint64(size))
	b = protowire.AppendTag(b, fieldHops, protowire.VarintType)
	b = protowire.AppendVarint(b, uint64(hops))
	b = protowire.AppendTag(b, fieldRole, protowire.VarintType)
	b = protowire.AppendVarint(b, uint64(role))
	b = protowire.AppendTag(b, fieldPacket, protowire.BytesType)
	return protowire.AppendBytes(b, packet)
}
