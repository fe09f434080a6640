package steering

import (
	"time"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/wire"
)

// reuseAfter is the idle time after which an OPEN on an established flow is taken for a new
// flow on a reused port rather than for a retransmission.
const reuseAfter = 60 * time.Second

// drainGrace is how long a retransmitted OPEN still goes to a draining upstream, which gets
// no new work after 3 s.
const drainGrace = 2 * time.Second

type action uint8

const (
	actionSend action = iota + 1
	actionReset
	actionDrop
	// actionHold: the packet is kept until a peer has answered.
	actionHold
	// actionReplicate: as actionHold, and the exception must be sent to the successor.
	actionReplicate
	// actionQuery: as actionHold, and other daemons must be asked for the flow.
	actionQuery
)

// decision is what happens to one packet.
type decision struct {
	action   action
	upstream uint32
	reason   pb.Reason
	drop     string
	wait     *wait
}

func sendTo(upstream uint32) decision    { return decision{action: actionSend, upstream: upstream} }
func resetFor(reason pb.Reason) decision { return decision{action: actionReset, reason: reason} }
func dropAs(reason string) decision      { return decision{action: actionDrop, drop: reason} }
func endsFlow(kind pb.Kind) bool         { return kind == pb.Kind_KIND_CLOSE || kind == pb.Kind_KIND_RESET }

// decide steers one packet. The caller holds p.mu.
func (s *Steerer) decide(p *partition, h wire.Header, hash uint64, raw []byte) decision {
	if p.released {
		return dropAs("not_holder")
	}
	if len(p.waits) > 0 {
		if w := p.waits[h.Flow]; w != nil {
			return w.hold(raw)
		}
	}
	v := p.view
	now := s.now()
	r, known := p.flows[h.Flow]
	if !known {
		// The replica of a former owner may have come after the activation.
		if r, known = s.replicas.find(p.service.number, h.Flow, now.tick); known {
			s.insert(p, v, h.Flow, r, now)
			r = p.flows[h.Flow]
		}
	}
	if known && h.Kind == pb.Kind_KIND_OPEN && v.replaceable(r, now) {
		s.end(p, v, h.Flow)
		known = false
	}
	switch {
	case known:
		return s.steerKnown(p, v, h, r, now)
	case h.Kind == pb.Kind_KIND_OPEN:
		return s.open(p, v, h, hash, raw, now)
	default:
		return s.resolve(p, v, h, hash, raw, now)
	}
}

// replaceable reports whether an OPEN on a record begins a new flow that may be placed
// anew. A draining upstream must not get new work, not even a flow that it has not answered.
func (v *serviceView) replaceable(r record, now instant) bool {
	u := v.upstreams[r.upstream]
	switch {
	case u == nil:
		return v.removed(r.upstream)
	case r.idle(now.tick) > reuseAfter:
		return true
	case r.has(flagClosed):
		return !r.has(flagEstablished) || u.draining.Load()
	default:
		return !r.has(flagEstablished) && u.draining.Load() &&
			now.unixMS-u.drainingSinceMS.Load() > drainGrace.Milliseconds()
	}
}

// steerKnown sends a packet of a known flow to its upstream, or resets the flow when that is
// gone.
func (s *Steerer) steerKnown(p *partition, v *serviceView, h wire.Header, r record, now instant) decision {
	if reason := v.deathOf(r, now.unixMS); reason != pb.Reason_REASON_UNSPECIFIED {
		s.close(p, v, h.Flow, now)
		return resetFor(reason)
	}
	if v.upstreams[r.upstream] == nil {
		return dropAs("upstream_not_known_yet")
	}
	before := r
	r.last = now.tick
	switch {
	case endsFlow(h.Kind):
		s.close(p, v, h.Flow, now)
		return sendTo(r.upstream)
	case h.Kind == pb.Kind_KIND_OPEN:
		if r.has(flagClosed) {
			s.insert(p, v, h.Flow, record{upstream: r.upstream, last: now.tick}, now)
			return sendTo(r.upstream)
		}
	case !r.has(flagClosed):
		r.flags |= flagEstablished
	}
	if r != before {
		p.flows[h.Flow] = r
	}
	return sendTo(r.upstream)
}

// open places a new flow. When more flows are diverted than the budget of control traffic can
// replicate at once, a service that weighs connections more leaves them on their bucket's upstream
// unless that takes no new flows; else they are diverted all the same and replicated later. The
// caller holds p.mu.
func (s *Steerer) open(p *partition, v *serviceView, h wire.Header, hash uint64, raw []byte, now instant) decision {
	placed, ok := v.place(hash, now.unixMS)
	if !ok {
		return resetFor(pb.Reason_REASON_NO_UPSTREAM)
	}
	s.opened.Add(1)
	r := record{upstream: placed.upstream.number, last: now.tick}
	if !placed.diverted {
		if p.insert(v, h.Flow, r, now.unixMS) {
			s.queueSoon(p, h.Flow)
		}
		return sendTo(r.upstream)
	}
	s.diverted.Add(1)
	p.insert(v, h.Flow, r, now.unixMS)
	if p.successor != "" && !s.replicator.allowUrgent(time.Now()) {
		s.Counters.Count("exception.over_budget")
		if !s.staysForBudget(p, v, placed) {
			s.queueBulk(p, h.Flow)
			return sendTo(r.upstream)
		}
		return sendTo(s.settleUnreplicated(p, v, h.Flow, now))
	}
	w := s.startWait(p, h.Flow, waitAck, ackTimeout)
	if w == nil {
		return sendTo(s.settleUnreplicated(p, v, h.Flow, now))
	}
	w.hold(raw)
	return decision{action: actionReplicate, wait: w}
}

// staysForBudget reports whether a diverted flow stays on its bucket's upstream when the budget
// does not allow to replicate it at once. The caller holds p.mu.
func (s *Steerer) staysForBudget(p *partition, v *serviceView, placed placement) bool {
	return p.successor != "" && !placed.byState && v.declared.GetAim() != pb.Aim_AIM_BALANCE
}

// insert adds a record and queues it for the successor, without waiting, if it needs a
// replica. The caller holds p.mu.
func (s *Steerer) insert(p *partition, v *serviceView, flow wire.FlowKey, r record, now instant) {
	if p.insert(v, flow, r, now.unixMS) {
		s.queueBulk(p, flow)
	}
}

// close ends a flow but keeps its record for a while: late packets get the same upstream or the
// same reset, and not that of the bucket. The caller holds p.mu.
func (s *Steerer) close(p *partition, v *serviceView, flow wire.FlowKey, now instant) {
	r := p.flows[flow]
	if !r.has(flagClosed) {
		s.tellEnded(p, flow, p.uncount(v, flow, r))
		r.flags = r.flags&^flagException | flagClosed
	}
	r.last = now.tick
	p.flows[flow] = r
}

// end removes a record and tells the successor if it knows the flow. The caller holds p.mu.
func (s *Steerer) end(p *partition, v *serviceView, flow wire.FlowKey) {
	s.tellEnded(p, flow, p.remove(v, flow))
}
