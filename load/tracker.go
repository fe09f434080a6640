package load

import (
	"math"
	"time"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
)

const (
	// initialColdShare is the share of its slots that a cold upstream may use at first.
	initialColdShare = 0.25
	// coldDuration is the time until a cold upstream may use all its slots.
	coldDuration = 10 * time.Second
	// silenceTimeout is how long an upstream with work in progress may send no packet before it
	// counts as silent. It is longer than the 3 s after which a flow is probed, so that one probe
	// has time to be acknowledged.
	silenceTimeout = 4 * time.Second
	// reportLifetime limits how long a report of more work than this daemon counts occupies slots.
	// Without the limit, an outdated report would starve an upstream, which sends no newer report
	// because it gets no requests.
	reportLifetime = time.Second
	// sheddingTimeout is the time after the back-off after which a shedding upstream without work
	// counts as recovered, since only an upstream with work can show that it has recovered. It is
	// also the time for which a report with the state shedding counts.
	sheddingTimeout = 5 * time.Second
	// minSheddingDuration is the shortest duration of the state shedding, so that the state does
	// not flap when some requests are refused.
	minSheddingDuration = time.Second

	// defaultBackoff is the initial back-off until a service time was measured. minBackoff and
	// maxBackoff limit all back-offs.
	defaultBackoff = 100 * time.Millisecond
	minBackoff     = 10 * time.Millisecond
	maxBackoff     = 5 * time.Second
	// maxBackoffDoublings limits the doublings of the back-off, so that the shift does not overflow.
	// After so many, the back-off is at least maxBackoff anyway.
	maxBackoffDoublings = 9
	// ewmaWeight is the weight of a new service time in the moving average. With it, the last ten
	// service times have most of the weight.
	ewmaWeight = 0.2
	// serviceTimeLifetime is the age from which on the service time of an idle upstream is not
	// used any more.
	serviceTimeLifetime = time.Second

	// minStuckTimeouts is the number of successive time-outs from which on an upstream counts as
	// stuck and therefore as silent, even if it still acknowledges probes.
	minStuckTimeouts = 3
	// stuckRetryDelay is the time after the last time-out after which a stuck upstream is tried again.
	stuckRetryDelay = 10 * time.Second
)

// Tracker tracks the load and state of one upstream for its admission. It has no lock: the
// admission's lock protects it.
type Tracker struct {
	slots              int
	inProgress         int
	configuredDraining bool          // draining according to the configuration
	serviceTime        time.Duration // moving average, 0 until one was measured
	measuredAt         time.Time     // time of the last measurement of serviceTime

	lastContact  time.Time
	waitingSince time.Time // start of the period with work and without a packet from the upstream
	silent       bool

	timeouts    int // number of time-outs since the last response
	lastTimeout time.Time

	cold      bool // in the slow start
	coldSince time.Time

	shedding     bool
	refusals     int
	lastRefusal  time.Time
	backoffUntil time.Time

	report          *pb.LoadReport
	reportedAt      time.Time
	otherInProgress int // requests in the report beyond inProgress

	reassignedSlots int // slots of requests on dead flows that other requests may use
}

// NewTracker returns a tracker for an upstream with the given number of slots.
func NewTracker(slots int) *Tracker { return &Tracker{slots: max(slots, 1)} }

// Configure sets the number of slots and the draining state from the configuration.
func (t *Tracker) Configure(slots int, draining bool) {
	t.slots, t.configuredDraining = max(slots, 1), draining
}

// RecordStart records that a request was sent to the upstream.
func (t *Tracker) RecordStart(now time.Time) {
	if t.inProgress == 0 {
		t.waitingSince = now
	}
	t.inProgress++
}

// RecordFinish records the response to a request and its service time.
func (t *Tracker) RecordFinish(now time.Time, took time.Duration) {
	t.ReleaseSlot()
	if t.serviceTime == 0 || now.Sub(t.measuredAt) > serviceTimeLifetime+took {
		t.serviceTime = took
	} else {
		t.serviceTime += time.Duration(ewmaWeight * float64(took-t.serviceTime))
	}
	t.refusals, t.measuredAt = 0, now
	t.recordSuccess(now)
	if t.shedding && now.Sub(t.lastRefusal) >= minSheddingDuration {
		t.shedding = false
	}
}

// ReleaseSlot releases the slot of a request that ended.
func (t *Tracker) ReleaseSlot() { t.inProgress = max(t.inProgress-1, 0) }

// RecordTimeout records that a request got no response by its deadline. The caller of the method
// releases the slot separately.
func (t *Tracker) RecordTimeout(now time.Time) {
	t.timeouts++
	t.lastTimeout = now
}

// recordSuccess resets the count of successive time-outs. An upstream that was stuck becomes cold.
func (t *Tracker) recordSuccess(now time.Time) {
	if t.isStuck() {
		t.startCold(now)
	}
	t.timeouts = 0
}

// isStuck reports whether so many requests in a row timed out that the upstream counts as silent.
func (t *Tracker) isStuck() bool { return t.timeouts >= minStuckTimeouts }

// RecordContact records a packet from the upstream. An upstream that was silent becomes cold.
func (t *Tracker) RecordContact(now time.Time) {
	t.lastContact, t.waitingSince = now, now
	if t.silent {
		t.silent = false
		t.startCold(now)
	}
}

// RecordReport records a load report. It must be called before RecordFinish for the request with whose
// response the report arrived.
func (t *Tracker) RecordReport(now time.Time, r *pb.LoadReport) {
	if r == nil {
		return
	}
	if r.GetCold() && (t.report == nil || !t.report.GetCold()) {
		t.startCold(now)
	}
	t.report, t.reportedAt = r, now
	t.otherInProgress = max(min(int(r.GetInProgress()), t.slots)-t.inProgress, 0)
}

// RecordRefusal starts a back-off after the upstream refused a request before processing it. jitter is
// in [0,1) and spreads the back-off from 0.5 to 1.5 times its mean.
func (t *Tracker) RecordRefusal(now time.Time, jitter float64) {
	t.ReleaseSlot()
	t.shedding, t.lastRefusal = true, now
	wait := min(t.initialBackoff()<<min(t.refusals, maxBackoffDoublings), maxBackoff)
	t.refusals++
	t.backoffUntil = now.Add(time.Duration(float64(wait) * (0.5 + jitter)))
}

// initialBackoff returns the mean time until a slot becomes free. A longer back-off would leave slots idle
// after single refusals.
func (t *Tracker) initialBackoff() time.Duration {
	if t.serviceTime == 0 {
		return defaultBackoff
	}
	return max(t.serviceTime/time.Duration(t.slots), minBackoff)
}

// startCold starts the slow start of the upstream.
func (t *Tracker) startCold(now time.Time) { t.cold, t.coldSince = true, now }

// updateState ends the states whose time is over, and makes an upstream silent that has not sent a
// packet for silenceTimeout.
func (t *Tracker) updateState(now time.Time) {
	if t.inProgress > 0 && !t.silent && now.Sub(t.waitingSince) > silenceTimeout {
		t.silent = true
	}
	if t.isStuck() && now.Sub(t.lastTimeout) >= stuckRetryDelay {
		t.recordSuccess(now)
	}
	if t.cold && now.Sub(t.coldSince) >= coldDuration {
		t.cold = false
	}
	if t.shedding && now.Sub(t.backoffUntil) >= sheddingTimeout {
		t.shedding, t.refusals = false, 0
	}
}

// State returns the state that is sent to flow owners.
func (t *Tracker) State(now time.Time) pb.UpstreamState {
	t.updateState(now)
	switch {
	case t.configuredDraining, t.report.GetDraining():
		return pb.UpstreamState_UPSTREAM_STATE_DRAINING
	case t.silent, t.isStuck():
		return pb.UpstreamState_UPSTREAM_STATE_SILENT
	case t.shedding, t.report.GetShedding() && now.Sub(t.reportedAt) < sheddingTimeout:
		return pb.UpstreamState_UPSTREAM_STATE_SHEDDING
	case t.cold:
		return pb.UpstreamState_UPSTREAM_STATE_COLD
	}
	return pb.UpstreamState_UPSTREAM_STATE_OK
}

// UsableSlots returns the number of slots that may be in use at once: none during a back-off, one
// while the upstream is silent, stuck or has completed no request since its last refusal, and the share
// of the slow start while it is cold.
func (t *Tracker) UsableSlots(now time.Time) int {
	t.updateState(now)
	switch {
	case now.Before(t.backoffUntil):
		return 0
	case t.silent, t.isStuck(), t.refusals > 0:
		return 1
	case t.cold:
		share := coldShareAfter(now.Sub(t.coldSince))
		return max(int(math.Ceil(share*float64(t.slots)-1e-9)), 1)
	}
	return t.slots
}

// coldShareAfter returns the share of its slots, or of its usual new flows, that an upstream may get
// after it has been cold for d.
func coldShareAfter(d time.Duration) float64 {
	return min(initialColdShare+(1-initialColdShare)*float64(d)/float64(coldDuration), 1)
}

// FreeSlots returns the number of requests that may be sent now. A report of more work than this daemon
// counts occupies at most the upstream's slots, and has no effect while no request is in progress.
func (t *Tracker) FreeSlots(now time.Time) int {
	usable := t.UsableSlots(now)
	used := t.inProgress
	if t.inProgress > 0 && now.Sub(t.reportedAt) < reportLifetime {
		used += t.otherInProgress
	}
	return max(usable+t.reassignedSlots-used, 0)
}

// ReassignSlot lets another request use the slot of a request that the upstream no longer processes,
// until RestoreSlot is called.
func (t *Tracker) ReassignSlot() { t.reassignedSlots++ }

// RestoreSlot takes back a slot that ReassignSlot made available.
func (t *Tracker) RestoreSlot() { t.reassignedSlots = max(t.reassignedSlots-1, 0) }

// ExpectedWait estimates how long a request waits behind queued other requests. Only the remaining
// back-off is counted until a service time was measured.
func (t *Tracker) ExpectedWait(now time.Time, queued int) time.Duration {
	usable := t.UsableSlots(now)
	backoff := max(t.backoffUntil.Sub(now), 0)
	if queued < usable-(t.inProgress-t.reassignedSlots) {
		return backoff
	}
	return backoff + t.serviceTime*time.Duration(queued+1)/time.Duration(max(usable, 1))
}

// ServiceTime returns the moving average of the service time. It returns 0 if none was measured, or if
// the last measurement is old and no request is in progress: if requests were refused because of an old
// value, the service time would not be measured again.
func (t *Tracker) ServiceTime(now time.Time) time.Duration {
	if t.inProgress == 0 && now.Sub(t.measuredAt) > serviceTimeLifetime {
		return 0
	}
	return t.serviceTime
}

// InProgress returns the number of requests that were sent and have not ended.
func (t *Tracker) InProgress() int { return t.inProgress }

// LastReport returns the last report, or nil if there was none.
func (t *Tracker) LastReport() *pb.LoadReport { return t.report }
