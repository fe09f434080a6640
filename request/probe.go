package request

import (
	"time"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/wire"
)

const (
	// probeAfter, probeInterval and probeCount determine when a flow is probed and found
	// half-open: after three probes, 7 s after the first unanswered packet. A half-open flow must
	// be reset within 10 s.
	probeAfter    = time.Second
	probeInterval = 2 * time.Second
	probeCount    = 3
	// probeAfterRetransmissions is the number of retransmissions of a request after which its flow
	// is probed without waiting for probeAfter. This is about nine service times after the request
	// was sent. Before, a lost packet or a long run is more likely than a half-open flow.
	probeAfterRetransmissions = 2
	// reassignAfter is how long a probe must be unanswered before the slots of the flow are
	// reassigned. It is far above the time until an acknowledgement arrives, so an unanswered
	// probe distinguishes a half-open flow from a request that runs long.
	reassignAfter = 250 * time.Millisecond
	// heldBackProbeInterval is the interval between probes of a flow whose requests are held back
	// until a probe is answered. It is much shorter than probeInterval, which is longer than many
	// deadlines.
	heldBackProbeInterval = 250 * time.Millisecond
	// lossMemory is the time for which a lost packet indicates that more may be lost. It is longer
	// than it takes to find a flow half-open.
	lossMemory = 10 * time.Second
	// referenceProbeInterval is the interval between reference probes, which are sent on flows with
	// waiting requests.
	referenceProbeInterval = 100 * time.Millisecond
	// maxReferenceProbes bounds the memory for flows with a pending reference probe. The
	// acknowledgement of such a probe is not forwarded to the caller.
	maxReferenceProbes = 64
	// maxWatches bounds the memory for flows with unanswered packets.
	maxWatches = 65536
)

// watch is the state of a flow on which a packet to the upstream is unanswered, or whose last request
// was answered lately. Other flows have no watch.
type watch struct {
	// isIdle is set while nothing on the flow is unanswered. Such a flow is probed as well, so that a
	// later request on a half-open flow occupies no slot, but it is not reset.
	isIdle bool
	// missedIdleProbe is set when the flow was used again while an answer to a probe was missing.
	missedIdleProbe bool
	// unansweredSince is the time of the first unanswered packet.
	unansweredSince time.Time
	// probes counts the probes of the flow that count towards probeCount.
	probes       int
	firstProbeAt time.Time
	lastProbeAt  time.Time
	// extraProbeAt is the time of the last probe that does not count towards probeCount.
	extraProbeAt time.Time
	// probeEarly is set when a request of the flow was retransmitted probeAfterRetransmissions times.
	probeEarly bool
	// othersResponded is set when the upstream sent a packet on another flow between the first
	// unanswered packet of this flow and its second probe.
	othersResponded bool
}

// recentFlows holds the two flows on which the upstream last sent a packet, so that for any flow
// the time of the last packet on another flow is known.
type recentFlows [2]struct {
	flow wire.FlowKey
	at   time.Time
}

// recordSeen records that the upstream sent a packet on the flow.
func (f *recentFlows) recordSeen(k wire.FlowKey, now time.Time) {
	if f[0].flow != k {
		f[1] = f[0]
		f[0].flow = k
	}
	f[0].at = now
}

// seenOtherSince reports whether the upstream sent a packet on another flow after since.
func (f *recentFlows) seenOtherSince(k wire.FlowKey, since time.Time) bool {
	for _, e := range f {
		if e.flow != k && e.at.After(since) {
			return true
		}
	}
	return false
}

// isSuspect reports whether a probe of the flow is unanswered.
func (w *watch) isSuspect() bool { return w.probes > 0 || w.missedIdleProbe }

// recordUse ends the idle time of a flow. Only probes that are sent from now on count towards
// probeCount.
func (w *watch) recordUse(now time.Time) {
	if w.isIdle {
		w.isIdle, w.missedIdleProbe = false, w.probes > 0
		w.probes, w.unansweredSince = 0, now
	}
}

// watch starts watching a flow on which a packet was sent to the upstream.
func (a *admission) watch(k wire.FlowKey, now time.Time) {
	if w := a.watches[k]; w != nil {
		w.recordUse(now)
	} else if a.active && len(a.watches) < maxWatches {
		a.watches[k] = &watch{unansweredSince: now}
	}
}

// recordContact records that the upstream sent a packet on the flow and so knows it. It ends the
// watch of the flow and reports whether a probe was pending.
func (a *admission) recordContact(k wire.FlowKey, now time.Time) (probed bool) {
	a.lastSeen.recordSeen(k, now)
	_, isReference := a.referenceProbes[k]
	delete(a.referenceProbes, k)
	w := a.watches[k]
	if w == nil {
		return isReference
	}
	delete(a.watches, k)
	if w.probes > 0 && now.Sub(w.firstProbeAt) >= reassignAfter {
		a.lastLoss = now
	}
	for _, r := range a.occupying {
		if r.key.flow == k && r.state == running && !r.fromRedirect {
			a.restoreSlot(r)
			a.watch(k, now)
		}
	}
	return w.isSuspect() || isReference
}

// markIdle marks the watch of a flow as idle if no request on the flow is unanswered. It must be
// called after the packet that recordContact recorded was handled.
func (a *admission) markIdle(k wire.FlowKey) {
	w := a.watches[k]
	if w == nil {
		return
	}
	for _, r := range a.occupying {
		if r.key.flow == k && r.state == running && !r.fromRedirect {
			return
		}
	}
	w.isIdle = true
}

// isSuspect reports whether a probe of the flow is unanswered. Queued requests of such a flow are
// held back and do not use free slots.
func (a *admission) isSuspect(k wire.FlowKey) bool {
	w := a.watches[k]
	return w != nil && w.isSuspect()
}

// isHeldBack reports whether a queued request waits until a probe of its flow is answered. A
// request that another admission redirected is never held back, since its flow does not belong to
// this upstream.
func (a *admission) isHeldBack(r *record) bool { return !r.fromRedirect && a.isSuspect(r.key.flow) }

// probeHeldBack probes the flows of requests that are held back, so that these requests continue
// as soon as the flow works again. These probes do not count towards probeCount.
func (a *admission) probeHeldBack(t target, now time.Time) {
	for _, r := range a.queue {
		if !a.isHeldBack(r) {
			continue
		}
		w := a.watches[r.key.flow]
		w.recordUse(now)
		a.sendExtraProbe(t, r.key.flow, w, now)
	}
}

// sendExtraProbe sends a probe that does not count towards probeCount, unless one was sent within
// heldBackProbeInterval.
func (a *admission) sendExtraProbe(t target, k wire.FlowKey, w *watch, now time.Time) {
	if now.Sub(w.extraProbeAt) >= heldBackProbeInterval {
		w.extraProbeAt = now
		a.sendToUpstream(t.address, a.packet(k, pb.Kind_KIND_KEEPALIVE))
	}
}

// losesPackets reports whether packets to or from the upstream were lost lately. Then three lost
// acknowledgements are no evidence of a half-open flow, and more probes are sent in the same time. A
// paused daemon that the network still sends a sixth of all packets loses three in a row of each 216.
func (a *admission) losesPackets(now time.Time) bool {
	return !a.lastLoss.IsZero() && now.Sub(a.lastLoss) < lossMemory
}

// numWaiting returns the number of queued requests that are not held back and so use the next free
// slots.
func (a *admission) numWaiting() int {
	n := 0
	for _, r := range a.queue {
		if !a.isHeldBack(r) {
			n++
		}
	}
	return n
}

// probeFlows sends the probes that are due. It resets a flow that is not idle when the upstream
// answered none of its probes but sent packets on other flows.
func (a *admission) probeFlows(t target, now time.Time) {
	for k, w := range a.watches {
		due := w.unansweredSince.Add(probeAfter)
		switch {
		case w.probes > 0:
			due = w.lastProbeAt.Add(probeInterval)
		case w.probeEarly:
			due = now
		}
		if now.Before(due) {
			if w.probes > 0 && now.Sub(w.lastProbeAt) >= heldBackProbeInterval && a.losesPackets(now) {
				a.sendExtraProbe(t, k, w, now)
			}
			continue
		}
		if w.probes < probeCount {
			if w.probes == 0 {
				w.firstProbeAt = now
			}
			w.probes++
			w.lastProbeAt = now
			if w.probes == probeCount-1 {
				w.othersResponded = a.lastSeen.seenOtherSince(k, w.unansweredSince)
			}
			a.sendToUpstream(t.address, a.packet(k, pb.Kind_KIND_KEEPALIVE))
			continue
		}
		if w.isIdle {
			delete(a.watches, k)
			continue
		}
		if !w.othersResponded {
			// The upstream sent nothing on other flows either, so it may be unreachable as a whole. That
			// is no evidence of a half-open flow, so the probes start again.
			a.watches[k] = &watch{unansweredSince: now}
			continue
		}
		a.breakHalfOpen(t, k)
	}
}

// reassignSlots temporarily reassigns the slots of requests whose flow leaves a probe unanswered
// while the upstream responds on another flow. Otherwise a few half-open flows, whose state was
// lost between the two ends, occupy all slots of an upstream until the deadlines of their
// requests, although the upstream does not run these requests. Without the condition on another
// flow, requests that wait for a frozen upstream would be sent and end as outcome unknown instead
// of not run.
func (a *admission) reassignSlots(t target, now time.Time) {
	for _, r := range a.occupying {
		if r.slotReassigned || r.state != running || !a.isSuspect(r.key.flow) {
			continue
		}
		w := a.watches[r.key.flow]
		if !a.lastSeen.seenOtherSince(r.key.flow, w.firstProbeAt) {
			a.probeReference(t, now)
			continue
		}
		if now.Sub(w.firstProbeAt) < reassignAfter {
			continue
		}
		r.slotReassigned = true
		a.tracker.ReassignSlot()
		a.counters().Count("request.slot_lent")
	}
}

// probeReference probes the flow of a request that waits for a slot. While half-open flows occupy
// all slots, no other packet shows whether the upstream responds at all.
func (a *admission) probeReference(t target, now time.Time) {
	if now.Sub(a.referenceProbedAt) < referenceProbeInterval {
		return
	}
	for _, r := range a.queue {
		if r.fromRedirect || a.isSuspect(r.key.flow) {
			continue
		}
		a.referenceProbedAt = now
		if a.referenceProbes == nil || len(a.referenceProbes) > maxReferenceProbes {
			a.referenceProbes = map[wire.FlowKey]struct{}{}
		}
		a.referenceProbes[r.key.flow] = struct{}{}
		a.sendToUpstream(t.address, a.packet(r.key.flow, pb.Kind_KIND_KEEPALIVE))
		return
	}
}

// restoreSlot takes back the reassigned slot of a request when the upstream sends a packet on its
// flow or the request ends.
func (a *admission) restoreSlot(r *record) {
	if r.slotReassigned {
		r.slotReassigned = false
		a.tracker.RestoreSlot()
	}
}

// breakHalfOpen resets a half-open flow at the caller, at the upstream and at the flow owner.
func (a *admission) breakHalfOpen(t target, k wire.FlowKey) {
	a.counters().CountRefusal(pb.Reason_REASON_HALF_OPEN)
	a.engine.options.Logger.Info().Str("event", "flow_half_open").Stringer("flow", k).
		Uint32("upstream", a.resource.Index).Send()
	a.endFlow(k, pb.Reason_REASON_HALF_OPEN)
	a.resetFlow(k, pb.Reason_REASON_HALF_OPEN)
	p := a.packet(k, pb.Kind_KIND_RESET)
	p.Reason = pb.Reason_REASON_HALF_OPEN
	a.sendToUpstream(t.address, p)
	// Without the reset, the flow owner would keep its record until the idle limit.
	a.out = append(a.out, outMessage{kind: toFlowOwner, packet: &pb.Packet{Flow: k.Proto(), Kind: pb.Kind_KIND_RESET,
		Service: a.resource.Service, Reason: pb.Reason_REASON_HALF_OPEN}})
}
