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

// maxHops limits how often a packet is forwarded, so that daemons with different membership views
// cannot forward it in a loop.
const maxHops = 4

// forwarder sends packets to other daemons.
type forwarder interface {
	SendForward(to membership.DaemonID, hops uint32, role pb.ForwardRole, raw []byte) error
}

// steerer handles packets in the role of flow owner.
type steerer interface {
	HandleCaller(h wire.Header, raw []byte)
}

// admitter handles packets in the role of admission holder.
type admitter interface {
	HandleCaller(p *pb.Packet)
	HandleUpstream(p *pb.Packet)
}

// dispatcher passes packets between the roles of a daemon: ingress, flow owner and admission holder.
// It forwards a packet to another daemon if that daemon holds the flow partition or the admission.
type dispatcher struct {
	conn      wire.Conn
	config    config.Provider
	router    ownership.Router
	forwarder forwarder
	steerer   steerer
	admitter  admitter
	verifier  *wire.Verifier
	counters  *telemetry.Counters
	// paused reports whether this daemon was paused and has not yet released the resources that other
	// daemons may have claimed meanwhile. Packets that queued during the pause may belong to flows that
	// a new owner placed.
	paused func() bool
}

// handleIngress handles a packet that the fabric delivered.
func (d *dispatcher) handleIngress(raw []byte) {
	if d.paused() {
		d.counters.CountDrop("paused")
		return
	}
	h, err := wire.ParseHeader(raw)
	if err != nil {
		d.counters.CountDrop(dropReason(err))
		return
	}
	if h.IsFromUpstream() {
		d.deliverFromUpstream(h, raw, 0)
		return
	}
	switch {
	case len(raw) > wire.MaxCallerPacketBytes:
		d.counters.CountDrop("oversized")
	case !isCallerKind(h.Kind):
		d.counters.CountDrop("unexpected_kind")
	case h.Kind == pb.Kind_KIND_REQUEST:
		d.deliverToFlowOwner(h, wire.AppendZeroStatus(raw), 0)
	default:
		d.deliverToFlowOwner(h, raw, 0)
	}
}

// isCallerKind reports whether callers may send packets of the kind. Without this check, an answer
// packet sent by a caller would reach another caller as if an upstream had sent it.
func isCallerKind(k pb.Kind) bool {
	switch k {
	case pb.Kind_KIND_OPEN, pb.Kind_KIND_REQUEST, pb.Kind_KIND_CANCEL, pb.Kind_KIND_CLOSE, pb.Kind_KIND_RESET,
		pb.Kind_KIND_KEEPALIVE, pb.Kind_KIND_KEEPALIVE_ACK, pb.Kind_KIND_DATA:
		return true
	default:
		return false
	}
}

// handleForwarded handles a packet that another daemon forwarded. It does not retain raw.
func (d *dispatcher) handleForwarded(_ membership.DaemonID, hops uint32, role pb.ForwardRole, raw []byte) {
	if d.paused() {
		d.counters.CountDrop("paused")
		return
	}
	h, err := wire.ParseHeader(raw)
	if err != nil {
		d.counters.CountDrop(dropReason(err))
		return
	}
	switch role {
	case pb.ForwardRole_FORWARD_ROLE_FLOW_OWNER:
		d.deliverToFlowOwner(h, raw, hops)
	case pb.ForwardRole_FORWARD_ROLE_ADMISSION:
		d.deliverToAdmission(h, raw, hops)
	case pb.ForwardRole_FORWARD_ROLE_ANSWER:
		d.deliverFromUpstream(h, raw, hops)
	default:
		d.counters.CountDrop("unknown_role")
	}
}

// deliverToFlowOwner passes a packet to the owner of its flow: this daemon or another one.
func (d *dispatcher) deliverToFlowOwner(h wire.Header, raw []byte, hops uint32) {
	service, ok := d.config.Current().ServiceForFlow(h.Flow)
	if !ok {
		d.counters.CountRefusal(pb.Reason_REASON_UNKNOWN_SERVICE)
		return
	}
	to, active, ok := d.router.Route(ownership.FlowPartition(service.GetNumber(), h.Flow.Hash()))
	if active {
		d.steerer.HandleCaller(h, raw)
		return
	}
	d.forward(to, ok, hops, pb.ForwardRole_FORWARD_ROLE_FLOW_OWNER, raw)
}

// deliverToAdmission passes a packet of a caller to the holder of the admission that it names.
func (d *dispatcher) deliverToAdmission(h wire.Header, raw []byte, hops uint32) {
	if p := d.decodeForAdmission(h, raw, hops, pb.ForwardRole_FORWARD_ROLE_ADMISSION); p != nil {
		d.admitter.HandleCaller(p)
	}
}

// deliverFromUpstream passes a packet of an upstream to the holder of its admission.
func (d *dispatcher) deliverFromUpstream(h wire.Header, raw []byte, hops uint32) {
	if p := d.decodeForAdmission(h, raw, hops, pb.ForwardRole_FORWARD_ROLE_ANSWER); p != nil {
		d.admitter.HandleUpstream(p)
	}
}

// decodeForAdmission returns the decoded packet if this daemon holds the admission of the packet's
// upstream. Otherwise it forwards or drops the packet and returns nil.
func (d *dispatcher) decodeForAdmission(h wire.Header, raw []byte, hops uint32, role pb.ForwardRole) *pb.Packet {
	resource, ok := d.admissionFor(h)
	if !ok {
		return nil
	}
	// Only packets from the fabric can be forged; a daemon verifies the tag before it forwards.
	if role == pb.ForwardRole_FORWARD_ROLE_ANSWER && hops == 0 && !d.verifier.IsValid(h) {
		d.counters.CountDrop("verification_tag")
		return nil
	}
	to, active, ok := d.router.Route(resource)
	if !active {
		d.forward(to, ok, hops, role, raw)
		return nil
	}
	p := &pb.Packet{}
	if err := proto.Unmarshal(raw, p); err != nil {
		d.counters.CountDrop("malformed")
		return nil
	}
	return p
}

// admissionFor returns the admission of the packet's upstream. It counts a drop and returns false for a
// packet whose upstream is not declared, or whose service address belongs to another service than the
// upstream.
func (d *dispatcher) admissionFor(h wire.Header) (ownership.Resource, bool) {
	snapshot := d.config.Current()
	_, service, _, ok := snapshot.Upstream(h.Upstream)
	if !ok {
		d.counters.CountDrop("unknown_upstream")
		return ownership.Resource{}, false
	}
	addressed, ok := snapshot.ServiceForFlow(h.Flow)
	if !ok || addressed.GetNumber() != service.GetNumber() {
		d.counters.CountDrop("wrong_service")
		return ownership.Resource{}, false
	}
	return ownership.Admission(service.GetNumber(), h.Upstream), true
}

// forward sends a packet to the daemon that holds its resource. It drops a packet whose resource has no
// known holder, and a packet that was already forwarded maxHops times.
func (d *dispatcher) forward(to membership.DaemonID, hasHolder bool, hops uint32, role pb.ForwardRole, raw []byte) {
	if !hasHolder {
		d.counters.CountDrop("no_holder")
		return
	}
	if hops >= maxHops {
		d.counters.CountDrop("hop_limit")
		return
	}
	if err := d.forwarder.SendForward(to, hops+1, role, raw); err != nil {
		d.counters.CountDrop("forward_failed")
	}
}

// deliverRawToAdmission passes a packet to the admission that its header names. Steering and the request
// engine, which redirects requests to other upstreams, send their packets with it.
func (d *dispatcher) deliverRawToAdmission(raw []byte) {
	h, err := wire.ParseHeader(raw)
	if err != nil {
		d.counters.CountDrop(dropReason(err))
		return
	}
	d.deliverToAdmission(h, raw, 0)
}

func (d *dispatcher) send(to netip.AddrPort, p *pb.Packet) {
	raw, err := wire.EncodePacket(p)
	if err != nil {
		d.counters.CountDrop(dropReason(err))
		return
	}
	d.transmit(to, raw)
}

// sendToUpstream sends a packet with the verification tag that the upstream has to echo. The tag
// replaces any tag that the caller set.
func (d *dispatcher) sendToUpstream(to netip.AddrPort, p *pb.Packet) {
	raw, err := wire.EncodePacket(p)
	if err != nil {
		d.counters.CountDrop(dropReason(err))
		return
	}
	raw = wire.AppendVerificationTag(raw, d.verifier.Tag(wire.FlowKeyFromProto(p.GetFlow()), p.GetUpstream()))
	if len(raw) > wire.MaxPacketBytes {
		d.counters.CountDrop("oversized")
		return
	}
	d.transmit(to, raw)
}

func (d *dispatcher) transmit(to netip.AddrPort, raw []byte) {
	if err := d.conn.Send(to, raw); err != nil {
		d.counters.CountDrop("send_failed")
	}
}

// dropReason returns the name of the drop counter for an error of package wire.
func dropReason(err error) string {
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

// steeringOutput implements the output of package steering with the dispatcher.
type steeringOutput struct{ d *dispatcher }

func (o steeringOutput) ToAdmission(_, _ uint32, raw []byte) { o.d.deliverRawToAdmission(raw) }

func (o steeringOutput) ToCaller(p *pb.Packet) { o.d.sendToCaller(p) }

// requestOutput implements the output of package request with the dispatcher.
type requestOutput struct {
	d      *dispatcher
	notify func(n *pb.UpstreamNotice)
}

func (o requestOutput) ToUpstream(addr netip.AddrPort, p *pb.Packet) { o.d.sendToUpstream(addr, p) }

func (o requestOutput) ToCaller(p *pb.Packet) { o.d.sendToCaller(p) }

func (o requestOutput) ToAdmission(service, upstream uint32, p *pb.Packet) {
	p.Service, p.Upstream = service, upstream
	raw, err := wire.EncodePacket(p)
	if err != nil {
		o.d.counters.CountDrop(dropReason(err))
		return
	}
	o.d.deliverRawToAdmission(raw)
}

func (o requestOutput) ToFlowOwner(p *pb.Packet) {
	raw, err := wire.EncodePacket(p)
	if err != nil {
		o.d.counters.CountDrop(dropReason(err))
		return
	}
	h, err := wire.ParseHeader(raw)
	if err != nil {
		o.d.counters.CountDrop(dropReason(err))
		return
	}
	o.d.deliverToFlowOwner(h, raw, 0)
}

func (o requestOutput) Notify(n *pb.UpstreamNotice) { o.notify(n) }

// sendToCaller sends a packet to the caller's address in its flow key. It leaves out the routing
// fields: callers never set the upstream number, and a daemon would handle a packet of a caller that
// echoed the number as a packet of the upstream.
func (d *dispatcher) sendToCaller(p *pb.Packet) {
	flow := wire.FlowKeyFromProto(p.GetFlow())
	if flow.IsZero() {
		d.counters.CountDrop("no_flow")
		return
	}
	d.send(flow.Caller(), &pb.Packet{
		Flow: p.GetFlow(), Kind: p.GetKind(), RequestId: p.GetRequestId(), Attempt: p.GetAttempt(),
		Idempotent: p.GetIdempotent(), GuardToken: p.GetGuardToken(), Status: p.GetStatus(),
		Reason: p.GetReason(), Part: p.GetPart(), Parts: p.GetParts(), Payload: p.GetPayload(),
	})
}
