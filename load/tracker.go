package load

import (
	"math"
	"time"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
)

const (
	// coldShare is the share of slots that a cold upstream starts with.
	coldShare = 0.25
	// coldTime is the time until a cold upstream has all its slots.
	coldTime = 10 * time.Second
	// silenceLimit is above the 3 s after which a flow is probed, so that one probe has
	// had time to be answered.
	silenceLimit = 4 * time.Second
	// reportLife bounds how long a report above the own count holds slots. Without it a
	// frozen report would starve an upstream that sends nothing because it gets nothing.
	reportLife = time.Second
	// sheddingHold is the time after the back-off after which an upstream that got no work
	// counts as recovered; without work it cannot prove it.
	sheddingHold = 5 * time.Second
	// sheddingMin keeps the state from changing at each refusal.
	sheddingMin = time.Second

	// unknownBackoff is the first back-off until a service time was measured.
	unknownBackoff = 100 * time.Millisecond
	minBackoff     = 10 * time.Millisecond
	maxBackoff     = 5 * time.Second
	// maxDoublings keeps the shift below an overflow; the back-off is at its limit by then.
	maxDoublings = 9
	// ewmaWeight gives the last ten service times most of the weight.
	ewmaWeight = 0.2
	// measureLife is the age at which the service time of an idle upstream is in doubt.
	measureLife = time.Second

	// stuckAfter is the number of time-outs without an answer in between after which an
	// upstream that still acknowledges probes counts as silent.
	stuckAfter = 3
	// stuckHold is the time after which a stuck upstream that gets no work is tried again.
	stuckHold = 10 * time.Second
)

// Tracker follows one upstream from its admission. It has no lock: the admission's lock
// protects it.
type Tracker struct {
	slots      int
	inProgress int
	declared   bool // draining by the configuration
	service    time.Duration
	measured   time.Time // of the last service time

	heard   time.Time
	waiting time.Time // since when work waits without a packet from the upstream
	silent  bool

	timeouts    int // since the last answer
	lastTimeout time.Time

	cold      bool
	coldSince time.Time

	shedding    bool
	refusals    int
	lastRefusal time.Time
	heldUntil   time.Time

	report   *pb.LoadReport
	reported time.Time
	foreign  int // work that a report shows beyond the own count

	lent int // slots of requests on dead flows that others may use
}

// NewTracker returns a tracker for an upstream with the given number of slots.
func NewTracker(slots int) *Tracker { return &Tracker{slots: max(slots, 1)} }

// Declare takes over slots and drain from the configuration.
func (t *Tracker) Declare(slots int, draining bool) {
	t.slots, t.declared = max(slots, 1), draining
}

// Started counts a request sent to the upstream.
func (t *Tracker) Started(now time.Time) {
	if t.inProgress == 0 {
		t.waiting = now
	}
	t.inProgress++
}

// Finished counts an answered request and measures its service time.
func (t *Tracker) Finished(now time.Time, took time.Duration) {
	t.Abandoned()
	if t.service == 0 || now.Sub(t.measured) > measureLife+took {
		t.service = took
	} else {
		t.service += time.Duration(ewmaWeight * float64(took-t.service))
	}
	t.refusals, t.measured = 0, now
	t.answered(now)
	if t.shedding && now.Sub(t.lastRefusal) >= sheddingMin {
		t.shedding = false
	}
}

// Abandoned frees the slot of a request that ended without an answer.
func (t *Tracker) Abandoned() { t.inProgress = max(t.inProgress-1, 0) }

// TimedOut notes that a request got no answer by its deadline; its slot is freed separately.
func (t *Tracker) TimedOut(now time.Time) {
	t.timeouts++
	t.lastTimeout = now
}

// answered ends a row of time-outs. An upstream that was stuck starts cold.
func (t *Tracker) answered(now time.Time) {
	if t.isStuck() {
		t.warmUp(now)
	}
	t.timeouts = 0
}

func (t *Tracker) isStuck() bool { return t.timeouts >= stuckAfter }

// Heard notes a packet from the upstream. One that was silent starts cold.
func (t *Tracker) Heard(now time.Time) {
	t.heard, t.waiting = now, now
	if t.silent {
		t.silent = false
		t.warmUp(now)
	}
}

// Report takes over a load report. It must be called before the request that the report came
// with is counted as finished.
func (t *Tracker) Report(now time.Time, r *pb.LoadReport) {
	if r == nil {
		return
	}
	if r.GetCold() && (t.report == nil || !t.report.GetCold()) {
		t.warmUp(now)
	}
	t.report, t.reported = r, now
	t.foreign = max(min(int(r.GetInProgress()), t.slots)-t.inProgress, 0)
}

// Refused holds the upstream back after it refused a request before starting it. Jitter is
// in [0,1) and spreads the back-off from half to one and a half of its mean.
func (t *Tracker) Refused(now time.Time, jitter float64) {
	t.Abandoned()
	t.shedding, t.lastRefusal = true, now
	wait := min(t.firstBackoff()<<min(t.refusals, maxDoublings), maxBackoff)
	t.refusals++
	t.heldUntil = now.Add(time.Duration(float64(wait) * (0.5 + jitter)))
}

// firstBackoff is the time in which a slot becomes free on average. With a fixed 100 ms,
// upstreams of 50 ms that refused a tenth of the requests did 72 % of their work instead of 91 %.
func (t *Tracker) firstBackoff() time.Duration {
	if t.service == 0 {
		return unknownBackoff
	}
	return max(t.service/time.Duration(t.slots), minBackoff)
}

func (t *Tracker) warmUp(now time.Time) { t.cold, t.coldSince = true, now }

// settle lets states end that end by time, and detects silence.
func (t *Tracker) settle(now time.Time) {
	if t.inProgress > 0 && !t.silent && now.Sub(t.waiting) > silenceLimit {
		t.silent = true
	}
	if t.isStuck() && now.Sub(t.lastTimeout) >= stuckHold {
		t.answered(now)
	}
	if t.cold && now.Sub(t.coldSince) >= coldTime {
		t.cold = false
	}
	if t.shedding && now.Sub(t.heldUntil) >= sheddingHold {
		t.shedding, t.refusals = false, 0
	}
}

// State returns the state that flow owners act on.
func (t *Tracker) State(now time.Time) pb.UpstreamState {
	t.settle(now)
	switch {
	case t.declared, t.report.GetDraining():
		return pb.UpstreamState_UPSTREAM_STATE_DRAINING
	case t.silent, t.isStuck():
		return pb.UpstreamState_UPSTREAM_STATE_SILENT
	case t.shedding, t.report.GetShedding() && now.Sub(t.reported) < sheddingHold:
		return pb.UpstreamState_UPSTREAM_STATE_SHEDDING
	case t.cold:
		return pb.UpstreamState_UPSTREAM_STATE_COLD
	}
	return pb.UpstreamState_UPSTREAM_STATE_OK
}

// Usable returns the number of slots that may be in use at once: none during a back-off, one
// while the upstream is silent or has yet to prove that it takes work again, and the slow
// start's share while it is cold.
func (t *Tracker) Usable(now time.Time) int {
	t.settle(now)
	switch {
	case now.Before(t.heldUntil):
		return 0
	case t.silent, t.isStuck(), t.refusals > 0:
		return 1
	case t.cold:
		share := coldShareAfter(now.Sub(t.coldSince))
		return max(int(math.Ceil(share*float64(t.slots)-1e-9)), 1)
	}
	return t.slots
}

// coldShareAfter is the share that a cold upstream gets after a time in that state.
func coldShareAfter(d time.Duration) float64 {
	return min(coldShare+(1-coldShare)*float64(d)/float64(coldTime), 1)
}

// Free returns the number of requests that may be sent now. A report above the own count is
// believed up to the slots, but never holds back the first request.
func (t *Tracker) Free(now time.Time) int {
	usable := t.Usable(now)
	used := t.inProgress
	if t.inProgress > 0 && now.Sub(t.reported) < reportLife {
		used += t.foreign
	}
	return max(usable+t.lent-used, 0)
}

// Lend lets another request use the slot of one that the upstream does not run any more, until
// Reclaim.
func (t *Tracker) Lend() { t.lent++ }

// Reclaim ends a Lend.
func (t *Tracker) Reclaim() { t.lent = max(t.lent-1, 0) }

// ExpectedWait returns how long a request waits behind queued others; 0 until a service time
// was measured.
func (t *Tracker) ExpectedWait(now time.Time, queued int) time.Duration {
	usable := t.Usable(now)
	held := max(t.heldUntil.Sub(now), 0)
	if queued < usable-(t.inProgress-t.lent) {
		return held
	}
	return held + t.service*time.Duration(queued+1)/time.Duration(max(usable, 1))
}

// ServiceTime returns the moving average of the service time. It is 0 when none was measured,
// or when the last one is old and nothing is in progress: refusing by it would keep the upstream
// from being measured again.
func (t *Tracker) ServiceTime(now time.Time) time.Duration {
	if t.inProgress == 0 && now.Sub(t.measured) > measureLife {
		return 0
	}
	return t.service
}

// InProgress returns the requests sent and not ended.
func (t *Tracker) InProgress() int { return t.inProgress }

// LastReport returns the last report, nil if there was none.
func (t *Tracker) LastReport() *pb.LoadReport { return t.report }
