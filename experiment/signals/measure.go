package signals

import (
	"time"

	"github.com/fulmarfield/fulmarfield/suspicion"
)

// Condition is the state of an upstream.
type Condition int

// Conditions of upstreams: Slow ones work eight times as long, Hanging ones never answer two of
// five requests, Dead ones take no packet.
const (
	Healthy Condition = iota
	Slow
	Hanging
	Dead
)

// String returns the condition as tables name it.
func (c Condition) String() string { return [...]string{"healthy", "slow", "hanging", "dead"}[c] }

// Case is one measurement.
type Case struct {
	Daemons, Upstreams, Callers int
	// Loss is the share of packets that links to upstreams lose, each way.
	Loss      float64
	Condition Condition
}

const (
	// onset is when upstreams change, after the flows have spread; window is in how much time
	// daemons are to notice, and rest how long false alarms are counted afterwards.
	onset  = 10 * time.Second
	window = 2 * time.Second
	rest   = 10 * time.Second
	// changedShare is the part of the upstreams that change.
	changedShare = 0.15
	// suspicionLasts is for how long a daemon avoids an upstream that it does not hear.
	suspicionLasts = 2500 * time.Millisecond
)

// Result is what a case showed. All are shares from 0 to 1.
type Result struct {
	Case Case
	// HitsAlone is the share of pairs of a daemon and a changed upstream in which the daemon
	// suspected it within 2 s; HitsShared that of changed upstreams which any daemon suspected,
	// HitsAgreed of those which two did.
	HitsAlone, HitsShared, HitsAgreed float64
	// Dead is the share of changed upstreams that some daemon took for dead.
	Dead float64
	// FalseAlone is the share of time in which a daemon avoided a healthy upstream, FalseShared
	// the same if each daemon took over the suspicions of all, FalseAgreed those of any two.
	FalseAlone, FalseShared, FalseAgreed float64
	// FalseDead is the number of healthy upstreams that a daemon took for dead, an upstream and
	// minute.
	FalseDead float64
}

// agreement follows which daemons suspect an upstream.
type agreement struct {
	alarms
	holders map[uint64]map[uint64]time.Duration
}

func newAgreement() agreement { return agreement{newAlarms(), map[uint64]map[uint64]time.Duration{}} }

// begin notes a suspicion and opens an alarm at the second one that is still held.
func (a *agreement) begin(holder, upstream uint64, now time.Duration) bool {
	held := a.holders[upstream]
	if held == nil {
		held = map[uint64]time.Duration{}
		a.holders[upstream] = held
	}
	held[holder] = now
	recent := 0
	for _, at := range held {
		if now-at < suspicionLasts {
			recent++
		}
	}
	if recent < 2 {
		return false
	}
	a.alarms.begin(0, upstream, now)
	return true
}

// end takes all suspicions of an upstream back.
func (a *agreement) end(upstream uint64, now time.Duration) {
	delete(a.holders, upstream)
	a.alarms.end(0, upstream, now)
}

// alarms are the times in which upstreams were suspected.
type alarms struct {
	// since is when open alarms began, by holder and upstream.
	since map[[2]uint64]time.Duration
	total time.Duration
}

func newAlarms() alarms { return alarms{since: map[[2]uint64]time.Duration{}} }

func (a *alarms) begin(holder, upstream uint64, now time.Duration) {
	key := [2]uint64{holder, upstream}
	if _, isOpen := a.since[key]; isOpen {
		a.end(holder, upstream, now)
	}
	a.since[key] = now
}

// end closes an alarm; one that was never taken back has lasted suspicionLasts.
func (a *alarms) end(holder, upstream uint64, now time.Duration) {
	key := [2]uint64{holder, upstream}
	if since, isOpen := a.since[key]; isOpen {
		a.total += min(now-since, suspicionLasts)
		delete(a.since, key)
	}
}

func (a *alarms) endAll(now time.Duration) {
	for key := range a.since {
		a.end(key[0], key[1], now)
	}
}

// Measure plays a case.
func Measure(c Case, seed uint64) Result {
	w := newWorld(c, seed)
	changed := map[uint64]bool{}
	for _, u := range w.catalog.Current().Ready("s")[:max(int(changedShare*float64(c.Upstreams)), 1)] {
		changed[u.Key] = true
	}
	hits, shared, agreed, dead := map[[2]uint64]bool{}, map[uint64]bool{}, map[uint64]bool{}, map[uint64]bool{}
	alone, together := newAlarms(), newAlarms()
	two, twoChanged := newAgreement(), newAgreement()
	falseDead := 0
	w.onBelief = func(daemon int, change suspicion.HealthChange) {
		u, d := change.Upstream, uint64(daemon)
		switch {
		case w.now < onset:
		case changed[u] && change.State == "heard":
			twoChanged.end(u, w.now)
		case changed[u]:
			if w.now < onset+window {
				hits[[2]uint64{d, u}], shared[u] = true, true
				if twoChanged.begin(d, u, w.now) {
					agreed[u] = true
				}
				if change.State == "dead" {
					dead[u] = true
				}
			}
		case change.State == "heard":
			alone.end(d, u, w.now)
			together.end(0, u, w.now)
			two.end(u, w.now)
		case change.State == "dead":
			falseDead++
		default:
			alone.begin(d, u, w.now)
			together.begin(0, u, w.now)
			two.begin(d, u, w.now)
		}
	}
	for range c.Callers {
		(&caller{w: w}).open(w.about(meanPause))
	}
	w.run(onset)
	for u := range changed {
		w.condition[u] = c.Condition
	}
	end := onset + window + rest
	w.run(end)
	alone.endAll(end)
	together.endAll(end)
	two.endAll(end)
	span := (end - onset).Seconds() * float64(c.Upstreams-len(changed))
	return Result{
		Case: c, HitsAlone: float64(len(hits)) / float64(len(changed)*c.Daemons),
		HitsShared: float64(len(shared)) / float64(len(changed)), HitsAgreed: float64(len(agreed)) / float64(len(changed)),
		Dead:        float64(len(dead)) / float64(len(changed)),
		FalseAlone:  alone.total.Seconds() / span / float64(c.Daemons),
		FalseShared: together.total.Seconds() / span, FalseAgreed: two.total.Seconds() / span,
		FalseDead: float64(falseDead) / span * 60,
	}
}
