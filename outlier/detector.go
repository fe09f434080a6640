package outlier

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"time"
)

const (
	// minSlowResponses is the number of slow responses that make an upstream an outlier. Lost
	// packets slow down single responses of healthy upstreams.
	minSlowResponses = 3
	// minSlowOrigins is the number of daemons that must have observed them if this daemon has not
	// observed minSlowResponses itself, so that one mistaken daemon ejects no upstream.
	minSlowOrigins = 2
	// noiseWeight is how many more slow responses are required for each slow response that an upstream
	// has by chance. Reports tell of slow responses only, so that their share is not known.
	noiseWeight = 10.0
	// maxNoisyShare bounds the share of upstreams with slow responses from which the number by chance
	// is derived.
	maxNoisyShare = 0.95
	// minSlowShare is the least share of slow responses of an outlier. The share must also be
	// minShareFactor times as large as the share of all upstreams, so that a burst of traffic, in
	// which several upstreams have queues, ejects none of them. A share of certainSlowShare is
	// always enough: a daemon may have few other upstreams in its zone.
	minSlowShare     = 0.2
	minShareFactor   = 2.0
	certainSlowShare = 0.9
	// minAllResponses is the number of this daemon's recent responses from which on the share of
	// all upstreams is known. Until then only a share of certainSlowShare is enough.
	minAllResponses = 8
	// minOwnFast is the number of responses from which on this daemon relies on its own evidence if
	// all of them were fast.
	minOwnFast = 3
	// minEjection is how long an upstream is ejected the first time. The time doubles with each
	// ejection that follows a probation, up to maxEjection.
	minEjection = 2 * time.Second
	maxEjection = 16 * time.Second
	// fastUntilAccepted is the number of fast responses that end a probation.
	fastUntilAccepted = 3
	// maxProbation bounds a probation in which there is too little evidence.
	maxProbation = 10 * time.Second
	// probesPerSecond is the rate at which all daemons together place probes on an upstream on
	// probation.
	probesPerSecond = 8.0
	// reportInterval is the shortest time between two reports of this daemon on an upstream.
	reportInterval = 250 * time.Millisecond
	// sufficientReports is the number of daemons whose reports of slow responses decide on an upstream,
	// so that further reports would only be traffic.
	sufficientReports = 8
	// maxReportsPerUpstream and maxUpstreams bound the memory that reports can take up.
	maxReportsPerUpstream = 64
	maxUpstreams          = 4096
)

// State is whether new flows may use an upstream.
type State uint8

// States of an upstream.
const (
	// Accepted upstreams receive new flows.
	Accepted State = iota
	// Ejected upstreams receive no new flows.
	Ejected
	// OnProbation upstreams receive single flows, which show whether they have recovered.
	OnProbation
)

// String returns the state as it is written in counters and log lines.
func (s State) String() string { return [...]string{"accepted", "ejected", "on_probation"}[s] }

// Change is a change of an upstream's state.
type Change struct {
	Upstream uint64
	State    State
	// Evidence describes what caused the change.
	Evidence string
}

// upstreamState is the state of one upstream and the evidence on it.
type upstreamState struct {
	state State
	// since is the time of the last change of the state.
	since time.Time
	// ejection is the duration of the last ejection.
	ejection time.Duration
	own      responseCounts
	// reports holds the latest report of each other daemon.
	reports map[netip.Addr]Report
	// reportedAt is the time of this daemon's last report.
	reportedAt time.Time
	// nextProbeAt is when this daemon may place the next probe.
	nextProbeAt time.Time
}

// Detector decides on the state of upstreams.
type Detector struct {
	upstreams map[uint64]*upstreamState
	// daemons returns the number of daemons, this one included.
	daemons func() int
	random  *rand.Rand
	// all counts the responses of all upstreams that this daemon has observed.
	all responseCounts
	// noisyShare is the share of upstreams with a slow response within evidenceLifetime, as of the last
	// call of Retain.
	noisyShare float64
	serial     uint32
	reports    []Report
	changes    []Change
}

// NewDetector returns a Detector that accepts all upstreams. daemons returns the number of daemons, as
// far as it is known; it determines how seldom each of them places a probe.
func NewDetector(daemons func() int, random *rand.Rand) *Detector {
	return &Detector{upstreams: map[uint64]*upstreamState{}, daemons: daemons, random: random, serial: random.Uint32()}
}

// TakeReports returns the reports of this daemon since the last call and removes them.
func (d *Detector) TakeReports() []Report {
	reports := d.reports
	d.reports = nil
	return reports
}

// TakeChanges returns the changes since the last call and removes them.
func (d *Detector) TakeChanges() []Change {
	changes := d.changes
	d.changes = nil
	return changes
}

// stateOf returns the state of an upstream, which it creates if there is none, or nil if there are too
// many upstreams.
func (d *Detector) stateOf(upstream uint64) *upstreamState {
	s := d.upstreams[upstream]
	if s == nil && len(d.upstreams) < maxUpstreams {
		s = &upstreamState{reports: map[netip.Addr]Report{}}
		d.upstreams[upstream] = s
	}
	return s
}

// RecordResponse records a response of an upstream that this daemon has observed.
func (d *Detector) RecordResponse(upstream uint64, isSlow bool, now time.Time) {
	s := d.stateOf(upstream)
	if s == nil {
		return
	}
	s.own.add(isSlow, now)
	d.all.add(isSlow, now)
	if s.needsReport(isSlow, now) {
		d.report(upstream, s, now)
	}
	d.evaluate(upstream, s, now)
}

// needsReport reports whether a response that was observed now matters to other daemons: they decide on
// accepted upstreams by slow responses only, and on ejected ones when the ejection ends.
func (s *upstreamState) needsReport(isSlow bool, now time.Time) bool {
	switch {
	case now.Sub(s.reportedAt) < reportInterval || s.slowReports(now) >= sufficientReports:
		return false
	case s.state == Ejected:
		return now.Sub(s.since) > s.ejection-evidenceLifetime/2
	default:
		return isSlow || s.state == OnProbation
	}
}

// report adds a report on an upstream to those that TakeReports returns.
func (d *Detector) report(upstream uint64, s *upstreamState, now time.Time) {
	s.reportedAt = now
	d.serial++
	slow, fast := s.own.recent(now)
	d.reports = append(d.reports, Report{Upstream: upstream, Serial: d.serial, ObservedAt: now, Slow: slow, Fast: fast})
}

// RecordReport records the report of another daemon.
func (d *Detector) RecordReport(r Report, now time.Time) {
	if now.Sub(r.ObservedAt) > evidenceLifetime {
		return
	}
	s := d.stateOf(r.Upstream)
	if s == nil {
		return
	}
	if _, known := s.reports[r.Origin]; !known && len(s.reports) >= maxReportsPerUpstream {
		return
	}
	s.reports[r.Origin] = r
	d.evaluate(r.Upstream, s, now)
}

// State returns the state of an upstream.
func (d *Detector) State(upstream uint64, now time.Time) State {
	s := d.upstreams[upstream]
	if s == nil {
		return Accepted
	}
	if s.state != Accepted {
		d.evaluate(upstream, s, now)
	}
	return s.state
}

// IsProbeDue reports whether this daemon may place a probe on an upstream on probation.
func (d *Detector) IsProbeDue(upstream uint64, now time.Time) bool {
	s := d.upstreams[upstream]
	return s != nil && s.state == OnProbation && !now.Before(s.nextProbeAt)
}

// RecordPlacement records that a flow was placed on an upstream, which is a probe if the upstream is on
// probation.
func (d *Detector) RecordPlacement(upstream uint64, now time.Time) {
	if s := d.upstreams[upstream]; s != nil && s.state == OnProbation {
		d.scheduleProbe(s, now)
	}
}

// scheduleProbe sets the time of the next probe. The times of the daemons are spread at random, so that
// an upstream that has not recovered receives few flows before its state is known again.
func (d *Detector) scheduleProbe(s *upstreamState, now time.Time) {
	mean := float64(d.daemons()) / probesPerSecond
	s.nextProbeAt = now.Add(time.Duration(2 * mean * d.random.Float64() * float64(time.Second)))
}

// evaluate changes the state of an upstream if the evidence demands it.
func (d *Detector) evaluate(upstream uint64, s *upstreamState, now time.Time) {
	t := s.totals(now)
	switch s.state {
	case Accepted:
		if d.isOutlier(t, now) {
			d.eject(upstream, s, t, now)
		}
	case Ejected:
		d.evaluateEjected(upstream, s, t, now)
	case OnProbation:
		switch {
		case d.hasFailedProbes(t, now):
			d.eject(upstream, s, t, now)
		case t.slow == 0 && t.fast >= fastUntilAccepted || now.Sub(s.since) > maxProbation:
			d.change(upstream, s, Accepted, t, now)
		}
	}
}

// evaluateEjected ends an ejection when its time is over, unless the open flows of the upstream show
// that it is still an outlier.
func (d *Detector) evaluateEjected(upstream uint64, s *upstreamState, t totals, now time.Time) {
	if now.Sub(s.since) < s.ejection {
		return
	}
	if d.isOutlier(t, now) {
		d.eject(upstream, s, t, now)
		return
	}
	d.change(upstream, s, OnProbation, t, now)
	d.scheduleProbe(s, now)
}

// requiredShare returns the least share of slow responses of an outlier at present.
func (d *Detector) requiredShare(now time.Time) float64 {
	return min(max(minShareFactor*d.shareOfAll(now), minSlowShare), certainSlowShare)
}

// shareOfAll returns the share of slow responses of all upstreams that this daemon has observed lately, or
// 1 if they are too few.
func (d *Detector) shareOfAll(now time.Time) float64 {
	slow, fast := d.all.recent(now)
	if slow+fast < minAllResponses {
		return 1
	}
	return float64(slow) / float64(slow+fast)
}

// share returns the share of slow responses, or 0 if there is no response.
func share(slow, fast int) float64 { return float64(slow) / float64(max(slow+fast, 1)) }

// isOutlier reports whether an accepted upstream has to be ejected, by the responses that this daemon has
// observed or by those of all daemons.
func (d *Detector) isOutlier(t totals, now time.Time) bool {
	required := d.requiredShare(now)
	if t.ownSlow >= minSlowResponses && share(t.ownSlow, t.ownFast) >= required {
		return true
	}
	return t.slow >= d.requiredReports() && t.slowOrigins >= minSlowOrigins &&
		share(t.slow, t.fast) >= required && !t.ownEvidenceDisagrees()
}

// hasFailedProbes reports whether an upstream on probation has to be ejected again.
func (d *Detector) hasFailedProbes(t totals, now time.Time) bool {
	if share(t.slow, t.fast) < d.requiredShare(now) {
		return false
	}
	return t.ownSlow > 0 ||
		t.slowOrigins >= minSlowOrigins && t.slow >= d.requiredReports()-1 && !t.ownEvidenceDisagrees()
}

// ownEvidenceDisagrees reports whether this daemon has seen enough responses to reject the reports of
// others.
func (t totals) ownEvidenceDisagrees() bool { return t.ownSlow == 0 && t.ownFast >= minOwnFast }

// eject ejects an upstream, for twice as long as the last time unless it was accepted for long.
func (d *Detector) eject(upstream uint64, s *upstreamState, t totals, now time.Time) {
	if s.state == Accepted && now.Sub(s.since) > maxEjection {
		s.ejection = 0
	}
	s.ejection = min(max(2*s.ejection, minEjection), maxEjection)
	d.change(upstream, s, Ejected, t, now)
}

// change sets the state of an upstream.
func (d *Detector) change(upstream uint64, s *upstreamState, next State, t totals, now time.Time) {
	s.state, s.since = next, now
	d.changes = append(d.changes, Change{upstream, next, fmt.Sprintf(
		"%d slow and %d other responses, %d and %d of them seen here, slow ones seen by %d daemons, ejection %s",
		t.slow, t.fast, t.ownSlow, t.ownFast, t.slowOrigins, s.ejection)})
}

// Retain drops the state of upstreams for which isRegistered returns false, and of those that were
// accepted long ago and have not responded lately. registered is the number of registered upstreams.
func (d *Detector) Retain(isRegistered func(upstream uint64) bool, registered int, now time.Time) {
	noisy := 0
	for upstream, s := range d.upstreams {
		t := s.totals(now)
		if t.slow > 0 {
			noisy++
		}
		isOld := s.state == Accepted && now.Sub(s.since) > maxEjection
		if !isRegistered(upstream) || isOld && t == (totals{}) {
			delete(d.upstreams, upstream)
		}
	}
	d.noisyShare = float64(noisy) / float64(max(registered, noisy, 1))
}

// requiredReports returns the number of slow responses, most of them reported by others, that make an
// upstream an outlier. If slow responses are spread over many upstreams, as where the work of requests
// varies or the whole service is overloaded, an upstream has several by chance.
func (d *Detector) requiredReports() int {
	byChance := -math.Log(1 - min(d.noisyShare, maxNoisyShare))
	return minSlowResponses + int(noiseWeight*byChance)
}
