// Package suspicion judges upstreams by what callers' packets show: copies of opening packets,
// retransmissions, and progress. Upstreams answer callers directly, so nothing else is seen of
// them. A Tracker owns the evidence and belongs to one task.
package suspicion

import "time"

const (
	// suspectFor keeps new flows away from an upstream that did not answer. It is longer than
	// the 1.4 s in which a caller gives up opening, so that the second try of the same caller
	// goes elsewhere.
	suspectFor = 2500 * time.Millisecond
	// quietBefore is how long an upstream must show no progress before retransmissions count
	// against it: longer than a caller's first retransmission after 200 ms.
	quietBefore = 300 * time.Millisecond
	// stalledFlows is how many flows must be retransmitted once to stand for one that was
	// retransmitted twice; a single lost packet makes one flow retransmit once.
	stalledFlows = 2
	// CopiesUntilDead is the retransmission, 600 ms after the data was first sent, from which
	// on a flow counts as dead if its upstream shows no progress on others either.
	CopiesUntilDead = 2
	// soonestCopy and deadAfter are how long after data its retransmissions can come that say
	// something of the upstream: callers send them after 200 ms and 600 ms. Sooner ones were
	// queued on this VM while it stood still.
	soonestCopy = 150 * time.Millisecond
	deadAfter   = 500 * time.Millisecond
	// deadFor is how long an upstream counts as dead after the last sign of it. The longest gap
	// between the first retransmissions of a flow is 800 ms.
	deadFor = time.Second
)

// record is the evidence on one upstream.
type record struct {
	progressAt   time.Time
	suspectUntil time.Time
	deadUntil    time.Time
	stalled      map[uint64]struct{}
}

// Change is a change of what is believed of an upstream.
type Change struct {
	Upstream uint64
	// Belief is suspect, dead or heard.
	Belief string
	// Evidence is what decided it.
	Evidence string
}

// maxChanges bounds the changes that nobody has taken.
const maxChanges = 256

// Tracker keeps evidence by upstream key.
type Tracker struct {
	records map[uint64]*record
	changes []Change
}

// TakeChanges returns what has changed since the last call.
func (t *Tracker) TakeChanges() []Change {
	changes := t.changes
	t.changes = nil
	return changes
}

func (t *Tracker) note(upstream uint64, belief, evidence string) {
	if len(t.changes) < maxChanges {
		t.changes = append(t.changes, Change{upstream, belief, evidence})
	}
}

// suspect keeps new flows away from an upstream for a while.
func (t *Tracker) suspect(upstream uint64, now time.Time, evidence string) {
	r := t.of(upstream)
	if !now.Before(r.suspectUntil) {
		t.note(upstream, "suspect", evidence)
	}
	r.suspectUntil = now.Add(suspectFor)
}

// NewTracker returns a Tracker without evidence.
func NewTracker() *Tracker { return &Tracker{records: map[uint64]*record{}} }

func (t *Tracker) of(upstream uint64) *record {
	r := t.records[upstream]
	if r == nil {
		r = &record{stalled: map[uint64]struct{}{}}
		t.records[upstream] = r
	}
	return r
}

// IsSuspect reports whether new flows should avoid an upstream.
func (t *Tracker) IsSuspect(upstream uint64, now time.Time) bool {
	r := t.records[upstream]
	return r != nil && now.Before(r.suspectUntil)
}

// IsDead reports whether an upstream answers none of its flows: callers are better off with
// another one at once than after their time-outs.
func (t *Tracker) IsDead(upstream uint64, now time.Time) bool {
	r := t.records[upstream]
	return r != nil && now.Before(r.deadUntil)
}

// Progress notes that a caller received something from the upstream.
func (t *Tracker) Progress(upstream uint64, now time.Time) {
	r := t.of(upstream)
	if now.Before(r.suspectUntil) {
		t.note(upstream, "heard", "a caller received something")
	}
	r.progressAt, r.suspectUntil, r.deadUntil = now, time.Time{}, time.Time{}
	clear(r.stalled)
}

// OpeningCopied notes that a caller repeated an opening packet that went to the upstream at a
// time.
func (t *Tracker) OpeningCopied(upstream uint64, sentAt, now time.Time) {
	if now.Sub(sentAt) < soonestCopy {
		return
	}
	t.suspect(upstream, now, "an opening packet was repeated")
}

// OpeningUnanswered notes that neither a copy nor an acknowledgement followed an opening packet that
// was sent at a time: the caller was refused, or is gone. An upstream that was heard since is not
// suspect. It reports whether the upstream is.
func (t *Tracker) OpeningUnanswered(upstream uint64, sentAt, now time.Time) bool {
	if t.of(upstream).progressAt.After(sentAt) {
		return false
	}
	t.suspect(upstream, now, "an opening was followed by nothing")
	return true
}

// Retransmitted notes the copies-th retransmission on a flow of data that was first sent at a
// time. It reports whether the flow's upstream counts as dead for it.
func (t *Tracker) Retransmitted(upstream, flow uint64, copies int, sentAt, now time.Time) bool {
	r := t.of(upstream)
	if now.Sub(sentAt) < soonestCopy {
		return false
	}
	r.stalled[flow] = struct{}{}
	if now.Sub(r.progressAt) <= quietBefore {
		return false
	}
	isDead := copies >= CopiesUntilDead && now.Sub(sentAt) >= deadAfter
	if isDead || len(r.stalled) >= stalledFlows {
		t.suspect(upstream, now, "data was repeated")
	}
	// One flow may be the only one that is lost. Two of them, and no sign on any other flow
	// since the first one's data was sent, are not.
	if len(r.stalled) >= stalledFlows && (isDead && r.progressAt.Before(sentAt) || now.Before(r.deadUntil)) {
		if !now.Before(r.deadUntil) {
			t.note(upstream, "dead", "data of several flows was repeated")
		}
		r.deadUntil = now.Add(deadFor)
	}
	return isDead
}

// Forget drops the evidence on upstreams for which keep returns false.
func (t *Tracker) Forget(keep func(upstream uint64) bool) {
	for upstream := range t.records {
		if !keep(upstream) {
			delete(t.records, upstream)
		}
	}
}
