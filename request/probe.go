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
	// lendAfter is far above the time of an acknowledgement. An unanswered probe then tells a
	// dead flow from a request that runs long.
	lendAfter = 500 * time.Millisecond
	// maxWatches bounds the memory for flows with unanswered packets.
	maxWatches = 65536
)

// watch follows a flow that has something unanswered. Flows without are not kept.
type watch struct {
	since  time.Time // of the first unanswered packet
	probes int
	last   time.Time
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
	w := a.watches[k]
	if w == nil {
		return false
	}
	delete(a.watches, k)
	for _, r := range a.busy {
		if r.key.flow == k && r.state == running && !r.spilled {
			a.reclaim(r)
			a.watch(k, now)
		}
	}
	return w.probes > 0
}

// probe sends the probes that are due and resets flows that answered none of them while the
// upstream answered others.
func (a *admission) probe(t target, now time.Time) {
	for k, w := range a.watches {
		due := w.since.Add(probeAfter)
		if w.probes > 0 {
			due = w.last.Add(probeInterval)
		}
		if now.Before(due) {
			continue
		}
		if w.probes < probeCount {
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

// lendSlots lets other requests use the slots of those whose flow does not answer a probe.
// Without this, a few flows that something between the two ends has lost track of hold all
// slots of an upstream, which does not use them, until their requests' deadlines.
func (a *admission) lendSlots(now time.Time) {
	for _, r := range a.busy {
		w := a.watches[r.key.flow]
		if r.lent || r.state != running || w == nil || w.probes == 0 || now.Sub(w.last) < lendAfter {
			continue
		}
		r.lent = true
		a.tracker.Lend()
		a.counters().Count("request.slot_lent")
	}
}

// reclaim ends the lending of a slot, when its flow is heard from or its request ends.
func (a *admission) reclaim(r *record) {
	if r.lent {
		r.lent = false
		a.tracker.Reclaim()
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
}
