package daemon

import (
	"errors"
	"net/netip"

	"google.golang.org/protobuf/proto"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/config"
	"github.com/fulmarfield/fulmarfield/membership"
	"github.com/fulmarfield/fulmarfield/ownership"
	"github.com/fulmarfield/fulmarfield/telemetry"
	"github.com/fulmarfield/fulmarfield/wire"
)

// maxHops bounds forwards of one packet, so that daemons with different views cannot send it
// around in a loop.
const maxHops = 4

type forwarder interface {
	SendForward(to membership.DaemonID, hops uint32, role pb.ForwardRole, raw []byte) error
}

type steerer interface {
	HandleCaller(h wire.Header, raw []byte)
}

type admitter interface {
	HandleCaller(p *pb.Packet)
	HandleUpstream(p *pb.Packet)
}

// dispatcher moves packets between the roles of a daemon: ingress, flow owner, admission. A
// packet for a role that another daemon holds is forwarded there.
type dispatcher struct {
	conn      wire.Conn
	config    config.Provider
	router    ownership.Router
	forwarder forwarder
	steerer   steerer
	admitter  admitter
	verifier  *wire.Verifier
	counters  *telemetry.Counters
	// paused reports that this daemon may have lost its resources in a pause that it has not
	// dealt with: packets that queued meanwhile may be for flows that a new owner placed.
	paused func() bool
}

// ingress takes a packet from the fabric.
func (d *dispatcher) ingress(raw []byte) {
	if d.paused() {
		d.counters.Drop("paused")
		return
	}
	h, err := wire.ParseHeader(raw)
	if err != nil {
		d.counters.Drop(decodeReason(err))
		return
	}
	if h.IsFromUpstream() {
		d.fromUpstream(h, raw, 0)
		return
	}
	switch {
	case len(raw) > wire.MaxCallerPacketBytes:
		d.counters.Drop("oversized")
	case !isCallerKind(h.Kind):
		d.counters.Drop("unexpected_kind")
	case h.Kind == pb.Kind_KIND_REQUEST:
		d.toFlowOwner(h, wire.AppendZeroStatus(raw), 0)
	default:
		d.toFlowOwner(h, raw, 0)
	}
}

// isCallerKind reports whether callers may send packets of the kind. An answer of a caller
// would otherwise reach another caller as that of an upstream.
func isCallerKind(k pb.Kind) bool {
	switch k {
	case pb.Kind_KIND_OPEN, pb.Kind_KIND_REQUEST, pb.Kind_KIND_CANCEL, pb.Kind_KIND_CLOSE, pb.Kind_KIND_RESET,
		pb.Kind_KIND_KEEPALIVE, pb.Kind_KIND_KEEPALIVE_ACK, pb.Kind_KIND_DATA:
		return true
	default:
		return false
	}
}

// forwarded takes a packet that another daemon passed on. It does not keep raw.
func (d *dispatcher) forwarded(_ membership.DaemonID, hops uint32, role pb.ForwardRole, raw []byte) {
	if d.paused() {
		d.counters.Drop("paused")
		return
	}
	h, err := wire.ParseHeader(raw)
	if err != nil {
		d.counters.Drop(decodeReason(err))
		return
	}
	switch role {
	case pb.ForwardRole_FORWARD_ROLE_FLOW_OWNER:
		d.toFlowOwner(h, raw, hops)
	case pb.ForwardRole_FORWARD_ROLE_ADMISSION:
		d.toAdmission(h, raw, hops)
	case pb.ForwardRole_FORWARD_ROLE_ANSWER:
		d.fromUpstream(h, raw, hops)
	default:
		d.counters.Drop("unknown_role")
	}
}

func (d *dispatcher) toFlowOwner(h wire.Header, raw []byte, hops uint32) {
	service, ok := d.config.Current().ServiceForFlow(h.Flow)
	if !ok {
		d.counters.Refusal(pb.Reason_REASON_UNKNOWN_SERVICE)
		return
	}
	to, active, ok := d.router.Route(ownership.FlowPartition(service.GetNumber(), h.Flow.Hash()))
	if active {
		d.steerer.HandleCaller(h, raw)
		return
	}
	d.forward(to, ok, hops, pb.ForwardRole_FORWARD_ROLE_FLOW_OWNER, raw)
}

func (d *dispatcher) toAdmission(h wire.Header, raw []byte, hops uint32) {
	if p := d.atAdmission(h, raw, hops, pb.ForwardRole_FORWARD_ROLE_ADMISSION); p != nil {
		d.admitter.HandleCaller(p)
	}
}

func (d *dispatcher) fromUpstream(h wire.Header, raw []byte, hops uint32) {
	if p := d.atAdmission(h, raw, hops, pb.ForwardRole_FORWARD_ROLE_ANSWER); p != nil {
		d.admitter.HandleUpstream(p)
	}
}

// atAdmission returns the decoded packet when this daemon holds the admission of its upstream,
// and otherwise forwards or drops it and returns nil.
func (d *dispatcher) atAdmission(h wire.Header, raw []byte, hops uint32, role pb.ForwardRole) *pb.Packet {
	resource, ok := d.admissionOf(h)
	if !ok {
		return nil
	}
	// Only what comes from the fabric can be forged; a daemon that forwards has checked it.
	if role == pb.ForwardRole_FORWARD_ROLE_ANSWER && hops == 0 && !d.verifier.IsValid(h) {
		d.counters.Drop("verification_tag")
		return nil
	}
	to, active, ok := d.router.Route(resource)
	if !active {
		d.forward(to, ok, hops, role, raw)
		return nil
	}
	p := &pb.Packet{}
	if err := proto.Unmarshal(raw, p); err != nil {
		d.counters.Drop("malformed")
		return nil
	}
	return p
}

// admissionOf returns the admission of the packet's upstream. A packet whose service address
// is not that of the upstream's service is dropped and counted.
func (d *dispatcher) admissionOf(h wire.Header) (ownership.Resource, bool) {
	snapshot := d.config.Current()
	_, service, _, ok := snapshot.Upstream(h.Upstream)
	if !ok {
		d.counters.Drop("unknown_upstream")
		return ownership.Resource{}, false
	}
	addressed, ok := snapshot.ServiceForFlow(h.Flow)
	if !ok || addressed.GetNumber() != service.GetNumber() {
		d.counters.Drop("wrong_service")
		return ownership.Resource{}, false
	}
	return ownership.Admission(service.GetNumber(), h.Upstream), true
}

func (d *dispatcher) forward(to membership.DaemonID, known bool, hops uint32, role pb.ForwardRole, raw []byte) {
	if !known {
		d.counters.Drop("no_holder")
		return
	}
	if hops >= maxHops {
		d.counters.Drop("hop_limit")
		return
	}
	if err := d.forwarder.SendForward(to, hops+1, role, raw); err != nil {
		d.counters.Drop("forward_failed")
	}
}

// routedToAdmission passes a packet to the admission that its header names; it is the output
// of steering and of requests that are retried at another upstream.
func (d *dispatcher) routedToAdmission(raw []byte) {
	h, err := wire.ParseHeader(raw)
	if err != nil {
		d.counters.Drop(decodeReason(err))
		return
	}
	d.toAdmission(h, raw, 0)
}

func (d *dispatcher) send(to netip.AddrPort, p *pb.Packet) {
	raw, err := wire.EncodePacket(p)
	if err != nil {
		d.counters.Drop(decodeReason(err))
		return
	}
	d.transmit(to, raw)
}

// toUpstream sends a packet with the verification tag that the upstream must echo. A tag that
// the caller set is replaced.
func (d *dispatcher) toUpstream(to netip.AddrPort, p *pb.Packet) {
	raw, err := wire.EncodePacket(p)
	if err != nil {
		d.counters.Drop(decodeReason(err))
		return
	}
	raw = wire.AppendVerificationTag(raw, d.verifier.Tag(wire.FlowKeyFromProto(p.GetFlow()), p.GetUpstream()))
	if len(raw) > wire.MaxPacketBytes {
		d.counters.Drop("oversized")
		return
	}
	d.transmit(to, raw)
}

func (d *dispatcher) transmit(to netip.AddrPort, raw []byte) {
	if err := d.conn.Send(to, raw); err != nil {
		d.counters.Drop("send_failed")
	}
}

func decodeReason(err error) string {
	switch {
	case errors.Is(err, wire.ErrOversized):
		return "oversized"
	case errors.Is(err, wire.ErrNoFlow):
		return "no_flow"
	case errors.Is(err, wire.ErrNoKind):
		return "no_kind"
	default:
		return "malformed"
	}
}

// steeringOutput and requestOutput adapt the dispatcher to the two layers.
type steeringOutput struct{ d *dispatcher }

func (o steeringOutput) ToAdmission(_, _ uint32, raw []byte) { o.d.routedToAdmission(raw) }

func (o steeringOutput) ToCaller(p *pb.Packet) { o.d.toCaller(p) }

type requestOutput struct {
	d      *dispatcher
	notify func(n *pb.UpstreamNotice)
}

func (o requestOutput) ToUpstream(addr netip.AddrPort, p *pb.Packet) { o.d.toUpstream(addr, p) }

func (o requestOutput) ToCaller(p *pb.Packet) { o.d.toCaller(p) }

func (o requestOutput) ToAdmission(service, upstream uint32, p *pb.Packet) {
	p.Service, p.Upstream = service, upstream
	raw, err := wire.EncodePacket(p)
	if err != nil {
		o.d.counters.Drop(decodeReason(err))
		return
	}
	o.d.routedToAdmission(raw)
}

func (o requestOutput) ToFlowOwner(p *pb.Packet) {
	raw, err := wire.EncodePacket(p)
	if err != nil {
		o.d.counters.Drop(decodeReason(err))
		return
	}
	h, err := wire.ParseHeader(raw)
	if err != nil {
		o.d.counters.Drop(decodeReason(err))
		return
	}
	o.d.toFlowOwner(h, raw, 0)
}

func (o requestOutput) Notify(n *pb.UpstreamNotice) { o.notify(n) }

// toCaller sends a packet to the caller's address in its flow key. Callers never set the
// upstream number, so they must not learn it either: a caller that echoed it would look like
// an upstream.
func (d *dispatcher) toCaller(p *pb.Packet) {
	flow := wire.FlowKeyFromProto(p.GetFlow())
	if flow.IsZero() {
		d.counters.Drop("no_flow")
		return
	}
	d.send(flow.Caller(), &pb.Packet{
		Flow: p.GetFlow(), Kind: p.GetKind(), RequestId: p.GetRequestId(), Attempt: p.GetAttempt(),
		Idempotent: p.GetIdempotent(), GuardToken: p.GetGuardToken(), Status: p.GetStatus(),
		Reason: p.GetReason(), Part: p.GetPart(), Parts: p.GetParts(), Payload: p.GetPayload(),
	})
}
