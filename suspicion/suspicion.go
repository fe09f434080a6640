// Package suspicion implements passive health checks of upstreams. Upstreams respond to callers
// directly, so the evidence comes from the packets that callers send: retransmissions of opening
// packets, retransmissions of data, and acknowledgements that show progress. A Tracker owns the
// evidence and must be used by one goroutine only.
package suspicion

import "time"

const (
	// suspectDuration is how long new flows avoid an upstream that did not respond. It is longer
	// than the 1.4 s after which a caller gives up opening a flow, so that the next attempt of the
	// same caller goes to another upstream.
	suspectDuration = 2500 * time.Millisecond
	// progressTimeout is how long an upstream must have made no progress before retransmissions
	// count as evidence against it, and the longest time for which all other upstreams may have made none.
	// It is longer than the 200 ms until a caller's first retransmission.
	progressTimeout = 300 * time.Millisecond
	// minStalledFlows is the number of flows with one retransmission that make an upstream suspect,
	// as one flow with two retransmissions does. One such flow is not enough, since a single lost
	// packet causes one retransmission on one flow.
	minStalledFlows = 2
	// RetransmissionsUntilDead is the number of retransmissions from which on a flow counts as dead
	// if its upstream makes no progress on other flows either, and another flow is stalled, too. Callers
	// send the second one 600 ms after the data.
	RetransmissionsUntilDead = 2
	// RetransmissionsUntilDeadAlone is that number if no other flow is stalled. Two lost datagrams cause
	// two retransmissions. Callers send the third one 1.4 s after the data.
	RetransmissionsUntilDeadAlone = 3
	// minRetransmissionDelay and minSecondRetransmissionDelay are the shortest times from data to
	// its first and second retransmission at which the retransmission is evidence on the upstream.
	// Callers send them after 200 ms and 600 ms; those that arrive sooner were queued on this VM
	// while it was paused.
	minRetransmissionDelay       = 150 * time.Millisecond
	minSecondRetransmissionDelay = 500 * time.Millisecond
	// deadDuration is how long an upstream counts as dead after the last evidence. It is longer than
	// 800 ms, the longest interval between the first retransmissions of a flow.
	deadDuration = time.Second
)

// upstreamEvidence is the evidence on one upstream.
type upstreamEvidence struct {
	lastProgress time.Time
	suspectUntil time.Time
	deadUntil    time.Time
	// stalledFlows holds the flows with retransmissions since the last progress.
	stalledFlows map[uint64]struct{}
}

// HealthChange is a change of an upstream's health state.
type HealthChange struct {
	Upstream uint64
	// State is "suspect", "dead" or, when the upstream responds again, "heard".
	State string
	// Evidence describes what caused the change.
	Evidence string
}

// maxPendingChanges bounds the memory of the changes that TakeChanges has not returned yet; further
// changes are dropped.
const maxPendingChanges = 256

// Tracker holds the evidence on each upstream, by upstream key.
type Tracker struct {
	evidence map[uint64]*upstreamEvidence
	progress progressHistory
	changes  []HealthChange
}

// TakeChanges returns the changes since the last call and removes them.
func (t *Tracker) TakeChanges() []HealthChange {
	changes := t.changes
	t.changes = nil
	return changes
}

// recordChange records a change for TakeChanges, unless maxPendingChanges are pending.
func (t *Tracker) recordChange(upstream uint64, state, evidence string) {
	if len(t.changes) < maxPendingChanges {
		t.changes = append(t.changes, HealthChange{upstream, state, evidence})
	}
}

// markSuspect makes an upstream suspect for suspectDuration.
func (t *Tracker) markSuspect(upstream uint64, now time.Time, evidence string) {
	e := t.evidenceFor(upstream)
	if !now.Before(e.suspectUntil) {
		t.recordChange(upstream, "suspect", evidence)
	}
	e.suspectUntil = now.Add(suspectDuration)
}

// NewTracker returns a Tracker without evidence.
func NewTracker() *Tracker { return &Tracker{evidence: map[uint64]*upstreamEvidence{}} }

// evidenceFor returns the evidence on an upstream, which it creates if there is none.
func (t *Tracker) evidenceFor(upstream uint64) *upstreamEvidence {
	e := t.evidence[upstream]
	if e == nil {
		e = &upstreamEvidence{stalledFlows: map[uint64]struct{}{}}
		t.evidence[upstream] = e
	}
	return e
}

// IsSuspect reports whether new flows should avoid an upstream.
func (t *Tracker) IsSuspect(upstream uint64, now time.Time) bool {
	e := t.evidence[upstream]
	return e != nil && now.Before(e.suspectUntil)
}

// IsDead reports whether an upstream responds on none of its flows, so that callers should retry on
// another upstream at once instead of after their time-outs.
func (t *Tracker) IsDead(upstream uint64, now time.Time) bool {
	e := t.evidence[upstream]
	return e != nil && now.Before(e.deadUntil)
}

// RecordProgress records that a caller received packets from the upstream, which ends the states
// suspect and dead. They respond to a packet that was first forwarded at sentAt.
func (t *Tracker) RecordProgress(upstream uint64, sentAt, now time.Time) {
	e := t.evidenceFor(upstream)
	if now.Before(e.suspectUntil) {
		t.recordChange(upstream, "heard", "a caller received packets from the upstream")
	}
	e.lastProgress, e.suspectUntil, e.deadUntil = now, time.Time{}, time.Time{}
	t.progress.record(upstream, sentAt, now)
	clear(e.stalledFlows)
}

// RecordOpenRetransmission records that a caller retransmitted an opening packet that was sent to the
// upstream at sentAt.
func (t *Tracker) RecordOpenRetransmission(upstream uint64, sentAt, now time.Time) {
	if now.Sub(sentAt) < minRetransmissionDelay {
		return
	}
	t.markSuspect(upstream, now, "an opening packet was repeated")
}

// RecordUnansweredOpen records that neither a retransmission nor an acknowledgement followed an
// opening packet that was sent at sentAt: the upstream refused the caller, or the caller has stopped.
// It makes the upstream suspect and returns true, unless the upstream made progress since sentAt.
func (t *Tracker) RecordUnansweredOpen(upstream uint64, sentAt, now time.Time) bool {
	if t.evidenceFor(upstream).lastProgress.After(sentAt) {
		return false
	}
	t.markSuspect(upstream, now, "nothing followed an opening packet")
	return true
}

// RecordRetransmission records a retransmission on a flow: the count-th one of data that was first
// sent at sentAt, and last before this one at copiedAt. It reports whether the flow counts as dead, which it
// does only if other upstreams have responded all the time since.
func (t *Tracker) RecordRetransmission(upstream, flow uint64, count int, sentAt, copiedAt, now time.Time) bool {
	e := t.evidenceFor(upstream)
	if now.Sub(sentAt) < minRetransmissionDelay {
		return false
	}
	e.stalledFlows[flow] = struct{}{}
	if now.Sub(e.lastProgress) <= progressTimeout {
		return false
	}
	// While other upstreams are silent as well, the callers may receive nothing at all.
	isFlowDead := count >= RetransmissionsUntilDead && now.Sub(sentAt) >= minSecondRetransmissionDelay &&
		t.isSilentAlone(upstream, sentAt, copiedAt, now)
	if isFlowDead || len(e.stalledFlows) >= minStalledFlows {
		t.markSuspect(upstream, now, "data was repeated")
	}
	// A single stalled flow may have failed alone. Two stalled flows, without progress on any flow
	// since the data was sent, are evidence that the upstream is dead.
	if len(e.stalledFlows) >= minStalledFlows && (isFlowDead && e.lastProgress.Before(sentAt) || now.Before(e.deadUntil)) {
		if !now.Before(e.deadUntil) {
			t.recordChange(upstream, "dead", "data of several flows was repeated")
		}
		e.deadUntil = now.Add(deadDuration)
	}
	return isFlowDead && (len(e.stalledFlows) >= minStalledFlows || count >= RetransmissionsUntilDeadAlone)
}

// isSilentAlone reports whether an upstream that has not responded to data since sentAt, nor to the last copy of it, is the
// cause itself: others made progress all the time, and have responded to packets that were forwarded after the copy. So
// their callers receive what upstreams send now, and this daemon receives what callers send.
func (t *Tracker) isSilentAlone(upstream uint64, sentAt, copiedAt, now time.Time) bool {
	since := later(sentAt, now.Add(historyInterval-historyLength))
	return t.progress.haveOthersRespondedSince(upstream, copiedAt) &&
		t.progress.longestSilenceOfOthers(upstream, since, now) <= progressTimeout
}

// later returns the later one of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Retain drops the evidence on upstreams for which keep returns false.
func (t *Tracker) Retain(keep func(upstream uint64) bool) {
	for upstream := range t.evidence {
		if !keep(upstream) {
			delete(t.evidence, upstream)
		}
	}
}
