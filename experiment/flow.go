package experiment

import (
	"math"
	"time"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/wire"
)

const (
	// rampTime is the time over which the first flows open.
	rampTime = 20 * time.Second
	// retransmit and maxTries bound the transmissions of a packet without an answer.
	retransmit = time.Second
	maxTries   = 6
	// reopenSpread is the largest wait before a caller reconnects.
	reopenSpread = time.Second
)

// flow is a caller's connection.
type flow struct {
	key  wire.FlowKey
	hash uint64
	// upstream is 0 until the flow is open.
	upstream uint32
	// serial counts packets, so that an answer ends the retransmissions of its packet.
	serial, answered uint64
	isEnded          bool
	token            uint64
	nextID           uint64
	requests         map[uint64]*attempt
	isHeavy          bool
}

func (w *world) openAll() {
	for i := range w.s.Flows {
		isHeavy := float64(i) < w.s.HeavyCallers*float64(w.s.Flows)
		w.clock.at(time.Duration(float64(rampTime)*w.rand.Float64()), func() { w.open(isHeavy) })
	}
}

// open starts a flow on a new port.
func (w *world) open(isHeavy bool) {
	i := w.nextPort
	w.nextPort++
	f := &flow{isHeavy: isHeavy, requests: map[uint64]*attempt{}, key: wire.FlowKey{CallerIP: 0x7f090000 + uint32(i>>15),
		CallerPort: uint16(i&0x7fff) + 1024, ServiceIP: serviceIP, ServicePort: servicePort}}
	f.hash = f.key.Hash()
	w.flows[f.key] = f
	w.m.opened++
	w.transmit(f, pb.Kind_KIND_OPEN)
	if w.s.MeanLife > 0 {
		w.clock.after(w.life(), func() { w.close(f) })
	}
	w.tick(f)
}

// life draws from a Pareto distribution with the declared mean.
func (w *world) life() time.Duration {
	least := float64(w.s.MeanLife) * (w.s.Tail - 1) / w.s.Tail
	return time.Duration(min(least*math.Pow(1-w.rand.Float64(), -1/w.s.Tail), float64(maxDuration)))
}

// tick sends a packet on the flow again and again.
func (w *world) tick(f *flow) {
	w.clock.after(time.Duration(float64(w.s.PacketEvery)*(0.5+w.rand.Float64())), func() {
		if f.isEnded {
			return
		}
		if f.upstream != 0 && w.s.Offered == 0 {
			w.transmit(f, pb.Kind_KIND_DATA)
		}
		w.tick(f)
	})
}

// transmit sends a packet until it is answered. After the last try the flow counts as broken.
func (w *world) transmit(f *flow, kind pb.Kind) {
	f.serial++
	w.try(f, kind, f.serial, 1)
}

func (w *world) try(f *flow, kind pb.Kind, serial uint64, tries int) {
	if f.isEnded || f.answered >= serial {
		return
	}
	if tries > maxTries {
		w.broke(f, "no answer")
		return
	}
	w.send(f, &pb.Packet{Flow: f.key.Proto(), Kind: kind})
	w.clock.after(retransmit, func() { w.try(f, kind, serial, tries+1) })
}

// send hands a packet of a flow to the fabric.
func (w *world) send(f *flow, p *pb.Packet) {
	n := w.ingress(f.hash)
	if n == nil {
		return
	}
	if w.policy != Fulmar {
		if u := w.choose(n, f, p.GetKind()); u != 0 {
			p.Upstream = u
			w.steered(u, p)
		}
		return
	}
	holder := w.holders.of(partitionOf(f.hash))
	if holder < 0 || w.nodes[holder].dead.Load() {
		return
	}
	raw, err := wire.EncodePacket(p)
	if err != nil {
		return
	}
	w.nodes[holder].steerer.HandleCaller(wire.Header{Flow: f.key, Kind: p.GetKind()}, raw)
}

// steered takes a packet that steering sends to an upstream.
func (w *world) steered(u uint32, p *pb.Packet) {
	f := w.flows[wire.FlowKeyFromProto(p.GetFlow())]
	if f == nil || f.isEnded {
		return
	}
	target := w.ups[u]
	switch {
	case target == nil || target.isGone:
		if f.upstream == u {
			w.broke(f, "upstream removed")
		}
		return
	case f.upstream == 0:
		f.upstream = u
		target.flows++
		w.opened(f)
	case f.upstream != u:
		w.broke(f, "other upstream")
		return
	}
	f.answered = f.serial
	if !w.m.hasRequests {
		return
	}
	p.Upstream = u
	if w.policy == Fulmar {
		w.toAdmission(p)
		return
	}
	w.toUpstream(p)
}

// opened notes an open flow as a source of requests.
func (w *world) opened(f *flow) {
	if f.isHeavy {
		w.heavy = append(w.heavy, f)
		return
	}
	w.light = append(w.light, f)
}

// fromService takes a packet that a daemon sends to a caller.
func (w *world) fromService(p *pb.Packet) {
	f := w.flows[wire.FlowKeyFromProto(p.GetFlow())]
	if f == nil || f.isEnded {
		return
	}
	if token := p.GetGuardToken(); token != 0 {
		f.token = token
	}
	switch p.GetKind() {
	case pb.Kind_KIND_RESET:
		w.broke(f, resetCause(p.GetReason()))
	case pb.Kind_KIND_ANSWER:
		if a := f.requests[p.GetRequestId()]; a != nil {
			w.ended(a, p.GetStatus(), p.GetReason())
		}
	default:
	}
}

func resetCause(r pb.Reason) string {
	switch r {
	case pb.Reason_REASON_UPSTREAM_DRAINING:
		return "drain limit"
	case pb.Reason_REASON_UPSTREAM_REMOVED:
		return "upstream removed"
	default:
		return "reset"
	}
}

// close ends a flow at the end of its life; the caller then opens another.
func (w *world) close(f *flow) {
	if f.isEnded {
		return
	}
	if f.upstream != 0 {
		w.send(f, &pb.Packet{Flow: f.key.Proto(), Kind: pb.Kind_KIND_CLOSE})
	}
	w.forget(f)
	w.reopen(f)
}

// broke counts a broken connection and reconnects.
func (w *world) broke(f *flow, cause string) {
	w.forget(f)
	if w.clock.now() >= w.measure {
		w.m.broken[cause]++
	}
	w.reopen(f)
}

func (w *world) reopen(f *flow) {
	w.clock.after(time.Duration(float64(reopenSpread)*w.rand.Float64()), func() { w.open(f.isHeavy) })
}

func (w *world) forget(f *flow) {
	f.isEnded = true
	delete(w.flows, f.key)
	if f.upstream != 0 {
		w.ups[f.upstream].flows--
	}
	for _, n := range w.nodes {
		delete(n.local, f.key)
	}
}
