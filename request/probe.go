package request

import (
	"time"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/wire"
)

const (
	// probeAfter and probeInterval give three probes and a verdict 7 s after the first
	// unanswered packet, within the limit of 10 s.
	probeAfter    = time.Second
	probeInterval = 2 * time.Second
	probeCount    = 3
	// probeAfterRepeats probes the flow of a request sooner, about nine service times after it
	// was sent. Until then a lost packet or a long run is more likely than a dead flow.
	probeAfterRepeats = 2
	// lendAfter is far above the time of an acknowledgement. An unanswered probe then tells a
	// dead flow from a request that runs long.
	lendAfter = 250 * time.Millisecond
	// heldBackInterval is the time between two probes of a flow whose requests wait for one to
	// be answered. Waiting for the next of the three probes would outlast many deadlines.
	heldBackInterval = 250 * time.Millisecond
	// referenceInterval is the time between two probes of flows with waiting requests.
	referenceInterval = 100 * time.Millisecond
	// maxReferences bounds the flows whose acknowledgement is still kept from the caller.
	maxReferences = 64
	// maxWatches bounds the memory for flows with unanswered packets.
	maxWatches = 65536
)

// watch follows a flow that has something unanswered. Flows without are not kept.
type watch struct {
	since  time.Time // of the first unanswered packet
	probes int
	first  time.Time // of the first probe
	last   time.Time
	asked  time.Time // of the last probe for a request that is held back
	// early is set when a request of the flow was repeated often enough for a probe.
	early bool
	// othersAnswer is whether the upstream answered other flows by the second probe.
	othersAnswer bool
}

// recentFlows holds the two flows that the upstream was last heard on, so that for any flow
// the last time of another one is known.
type recentFlows [2]struct {
	flow wire.FlowKey
	at   time.Time
}

func (h *recentFlows) note(k wire.FlowKey, now time.Time) {
	if h[0].flow != k {
		h[1] = h[0]
		h[0].flow = k
	}
	h[0].at = now
}

// otherSince reports whether the upstream was heard on another flow since then.
func (h *recentFlows) otherSince(k wire.FlowKey, since time.Time) bool {
	for _, e := range h {
		if e.flow != k && e.at.After(since) {
			return true
		}
	}
	return false
}

// watch starts to follow a flow on which something was sent to the upstream.
func (a *admission) watch(k wire.FlowKey, now time.Time) {
	if a.active && a.watches[k] == nil && len(a.watches) < maxWatches {
		a.watches[k] = &watch{since: now}
	}
}

// heardFrom notes that the upstream knows the flow. It reports whether a probe was pending.
func (a *admission) heardFrom(k wire.FlowKey, now time.Time) (probed bool) {
	a.heard.note(k, now)
	_, isReference := a.references[k]
	delete(a.references, k)
	w := a.watches[k]
	if w == nil {
		return isReference
	}
	delete(a.watches, k)
	for _, r := range a.busy {
		if r.key.flow == k && r.state == running && !r.spilled {
			a.reclaim(r)
			a.watch(k, now)
		}
	}
	return w.probes > 0 || isReference
}

// isSuspect reports whether a probe of the flow is unanswered. Requests of such a flow wait
// outside the slots.
func (a *admission) isSuspect(k wire.FlowKey) bool {
	w := a.watches[k]
	return w != nil && w.probes > 0
}

// isHeldBack reports whether a queued request waits until its flow has answered a probe. One
// that another admission handed on is not on a flow of this upstream.
func (a *admission) isHeldBack(r *record) bool { return !r.spilled && a.isSuspect(r.key.flow) }

// probeHeldBack probes the flows of requests that are held back, beside the probes that end in
// a verdict, so that they go on as soon as the flow works again.
func (a *admission) probeHeldBack(t target, now time.Time) {
	for _, r := range a.queue {
		if !a.isHeldBack(r) {
			continue
		}
		if w := a.watches[r.key.flow]; now.Sub(w.asked) >= heldBackInterval {
			w.asked = now
			a.toUpstream(t.address, a.packet(r.key.flow, pb.Kind_KIND_KEEPALIVE))
		}
	}
}

// waiting returns the number of queued requests that get the next free slots.
func (a *admission) waiting() int {
	n := 0
	for _, r := range a.queue {
		if !a.isHeldBack(r) {
			n++
		}
	}
	return n
}

// probe sends the probes that are due and resets flows that answered none of them while the
// upstream answered others.
func (a *admission) probe(t target, now time.Time) {
	for k, w := range a.watches {
		due := w.since.Add(probeAfter)
		switch {
		case w.probes > 0:
			due = w.last.Add(probeInterval)
		case w.early:
			due = now
		}
		if now.Before(due) {
			continue
		}
		if w.probes < probeCount {
			if w.probes == 0 {
				w.first = now
			}
			w.probes++
			w.last = now
			if w.probes == probeCount-1 {
				w.othersAnswer = a.heard.otherSince(k, w.since)
			}
			a.toUpstream(t.address, a.packet(k, pb.Kind_KIND_KEEPALIVE))
			continue
		}
		if !w.othersAnswer {
			// The whole upstream was silent: that says nothing of this flow.
			a.watches[k] = &watch{since: now}
			continue
		}
		a.breakHalfOpen(t, k)
	}
}

// lendSlots lets other requests use the slots of those whose flow does not answer a probe while
// the upstream answers on another flow. Without this, a few flows that something between the two
// ends has lost track of hold all slots of an upstream, which does not use them, until their
// requests' deadlines. Without the answer on another flow, requests that wait for an upstream
// that is frozen as a whole would be sent and end as outcome unknown instead of not run.
func (a *admission) lendSlots(t target, now time.Time) {
	for _, r := range a.busy {
		if r.lent || r.state != running || !a.isSuspect(r.key.flow) {
			continue
		}
		w := a.watches[r.key.flow]
		if !a.heard.otherSince(r.key.flow, w.first) {
			a.probeReference(t, now)
			continue
		}
		if now.Sub(w.first) < lendAfter {
			continue
		}
		r.lent = true
		a.tracker.ReassignSlot()
		a.counters().Count("request.slot_lent")
	}
}

// probeReference probes the flow of a request that waits for a slot: while dead flows hold all
// slots, nothing else shows whether the upstream answers at all.
func (a *admission) probeReference(t target, now time.Time) {
	if now.Sub(a.referenceAt) < referenceInterval {
		return
	}
	for _, r := range a.queue {
		if r.spilled || a.isSuspect(r.key.flow) {
			continue
		}
		a.referenceAt = now
		if a.references == nil || len(a.references) > maxReferences {
			a.references = map[wire.FlowKey]struct{}{}
		}
		a.references[r.key.flow] = struct{}{}
		a.toUpstream(t.address, a.packet(r.key.flow, pb.Kind_KIND_KEEPALIVE))
		return
	}
}

// reclaim ends the lending of a slot, when its flow is heard from or its request ends.
func (a *admission) reclaim(r *record) {
	if r.lent {
		r.lent = false
		a.tracker.RestoreSlot()
	}
}

// breakHalfOpen resets a flow that the upstream no longer knows, on both sides.
func (a *admission) breakHalfOpen(t target, k wire.FlowKey) {
	a.counters().Refusal(pb.Reason_REASON_HALF_OPEN)
	a.engine.options.Logger.Info().Str("event", "flow_half_open").Stringer("flow", k).
		Uint32("upstream", a.resource.Index).Send()
	a.dropFlow(k, pb.Reason_REASON_HALF_OPEN)
	a.reset(k, pb.Reason_REASON_HALF_OPEN)
	p := a.packet(k, pb.Kind_KIND_RESET)
	p.Reason = pb.Reason_REASON_HALF_OPEN
	a.toUpstream(t.address, p)
	// Otherwise the owner's record would stay until the idle limit.
	a.out = append(a.out, effect{kind: toFlowOwner, packet: &pb.Packet{Flow: k.Proto(), Kind: pb.Kind_KIND_RESET,
		Service: a.resource.Service, Reason: pb.Reason_REASON_HALF_OPEN}})
}
