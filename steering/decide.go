package steering

import (
	"time"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/wire"
)

// portReuseIdle is the idle time after which an OPEN on an established flow counts as a new flow
// on a reused port rather than as a retransmission.
const portReuseIdle = 60 * time.Second

// drainGrace is how long a retransmitted OPEN is still sent to a draining upstream. A draining
// upstream must not receive new work after 3 s.
const drainGrace = 2 * time.Second

type action uint8

const (
	actionSend action = iota + 1
	actionReset
	actionDrop
	// actionHold: the packet is held until a peer has responded.
	actionHold
	// actionReplicate: the packet is held, and the exception must be sent to the successor.
	actionReplicate
	// actionQuery: the packet is held, and the flow must be queried from other daemons.
	actionQuery
)

// decision is the action to perform for one packet, with its parameters.
type decision struct {
	action     action
	upstream   uint32
	reason     pb.Reason
	dropReason string
	wait       *wait
}

func sendDecision(upstream uint32) decision   { return decision{action: actionSend, upstream: upstream} }
func resetDecision(reason pb.Reason) decision { return decision{action: actionReset, reason: reason} }
func dropDecision(reason string) decision     { return decision{action: actionDrop, dropReason: reason} }
func endsFlow(kind pb.Kind) bool              { return kind == pb.Kind_KIND_CLOSE || kind == pb.Kind_KIND_RESET }

// decide selects the action for one packet and updates the records. The caller holds p.mu.
func (s *Steerer) decide(p *partition, h wire.Header, hash uint64, raw []byte) decision {
	if p.released {
		return dropDecision("not_holder")
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
		// A replica from the former owner may have arrived after the activation.
		if r, known = s.replicas.find(p.service.number, h.Flow, now.tick); known {
			s.insert(p, v, h.Flow, r, now)
			r = p.flows[h.Flow]
		}
	}
	if known && h.Kind == pb.Kind_KIND_OPEN && v.isReplaceable(r, now) {
		s.removeFlow(p, v, h.Flow)
		known = false
	}
	switch {
	case known:
		return s.steerKnownFlow(p, v, h, r, now)
	case h.Kind == pb.Kind_KIND_OPEN:
		return s.openFlow(p, v, h, hash, raw, now)
	default:
		return s.resolveUnknownFlow(p, v, h, hash, raw, now)
	}
}

// isReplaceable reports whether an OPEN for a recorded flow begins a new flow, which is placed
// again. A draining upstream must not receive new work, and a flow that it has not answered counts
// as new work.
func (v *serviceView) isReplaceable(r record, now instant) bool {
	u := v.upstreams[r.upstream]
	switch {
	case u == nil:
		return v.isRemoved(r.upstream)
	case r.idle(now.tick) > portReuseIdle:
		return true
	case r.has(flagClosed):
		return !r.has(flagEstablished) || u.draining.Load()
	default:
		return !r.has(flagEstablished) && u.draining.Load() &&
			now.unixMS-u.drainingSinceMS.Load() > drainGrace.Milliseconds()
	}
}

// steerKnownFlow sends a packet of a recorded flow to its upstream, or resets the flow when the
// upstream was removed or its drain limit has passed.
func (s *Steerer) steerKnownFlow(p *partition, v *serviceView, h wire.Header, r record, now instant) decision {
	if reason := v.resetReason(r, now.unixMS); reason != pb.Reason_REASON_UNSPECIFIED {
		s.closeFlow(p, v, h.Flow, now)
		return resetDecision(reason)
	}
	if v.upstreams[r.upstream] == nil {
		return dropDecision("upstream_not_known_yet")
	}
	before := r
	r.lastPacket = now.tick
	switch {
	case endsFlow(h.Kind):
		s.closeFlow(p, v, h.Flow, now)
		return sendDecision(r.upstream)
	case h.Kind == pb.Kind_KIND_OPEN:
		if r.has(flagClosed) {
			s.insert(p, v, h.Flow, record{upstream: r.upstream, lastPacket: now.tick}, now)
			return sendDecision(r.upstream)
		}
	case !r.has(flagClosed):
		r.flags |= flagEstablished
	}
	if r != before {
		p.flows[h.Flow] = r
	}
	return sendDecision(r.upstream)
}

// openFlow places a new flow. When the control traffic budget does not allow a diverted flow to be
// replicated at once, a service that gives connections priority over balance keeps the flow on its
// bucket's upstream, unless that upstream accepts no new flows. Otherwise the flow is diverted and
// replicated later. The caller holds p.mu.
func (s *Steerer) openFlow(p *partition, v *serviceView, h wire.Header, hash uint64, raw []byte, now instant) decision {
	placed, ok := v.place(hash, now.unixMS)
	if !ok {
		return resetDecision(pb.Reason_REASON_NO_UPSTREAM)
	}
	s.opened.Add(1)
	r := record{upstream: placed.upstream.number, lastPacket: now.tick}
	if !placed.diverted {
		if p.insert(v, h.Flow, r, now.unixMS) {
			s.queueUnstable(p, h.Flow)
		}
		return sendDecision(r.upstream)
	}
	s.diverted.Add(1)
	p.insert(v, h.Flow, r, now.unixMS)
	if p.successor != "" && !s.replicator.takeUrgentBudget(time.Now()) {
		s.Counters.Count("exception.over_budget")
		if !s.staysOnBucketUpstream(p, v, placed) {
			s.queueBulk(p, h.Flow)
			return sendDecision(r.upstream)
		}
		return sendDecision(s.settleUnreplicated(p, v, h.Flow, now))
	}
	w := s.startWait(p, h.Flow, waitAck, ackTimeout)
	if w == nil {
		return sendDecision(s.settleUnreplicated(p, v, h.Flow, now))
	}
	w.hold(raw)
	return decision{action: actionReplicate, wait: w}
}

// staysOnBucketUpstream reports whether a flow that is to be diverted stays on its bucket's upstream
// when the budget does not allow it to be replicated at once. The caller holds p.mu.
func (s *Steerer) staysOnBucketUpstream(p *partition, v *serviceView, placed placement) bool {
	return p.successor != "" && !placed.bucketUnavailable && v.declared.GetAim() != pb.Aim_AIM_BALANCE
}

// insert adds a record and, if the flow is an exception, queues it for the successor without
// waiting for an acknowledgement. The caller holds p.mu.
func (s *Steerer) insert(p *partition, v *serviceView, flow wire.FlowKey, r record, now instant) {
	if p.insert(v, flow, r, now.unixMS) {
		s.queueBulk(p, flow)
	}
}

// closeFlow ends a flow and keeps its record for closedRetention, so that late packets are sent to
// the same upstream or reset for the same reason and do not follow the bucket. The caller holds
// p.mu.
func (s *Steerer) closeFlow(p *partition, v *serviceView, flow wire.FlowKey, now instant) {
	r := p.flows[flow]
	if !r.has(flagClosed) {
		s.queueEnd(p, flow, p.removeFromCounts(v, flow, r))
		r.flags = r.flags&^flagException | flagClosed
	}
	r.lastPacket = now.tick
	p.flows[flow] = r
}

// removeFlow removes a record and notifies the successor if the flow was replicated. The caller
// holds p.mu.
func (s *Steerer) removeFlow(p *partition, v *serviceView, flow wire.FlowKey) {
	s.queueEnd(p, flow, p.remove(v, flow))
}
