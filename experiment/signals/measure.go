package signals

import (
	"time"

	"github.com/fulmarfield/fulmarfield/suspicion"
)

// Condition is the simulated condition of an upstream.
type Condition int

// Conditions of upstreams. A Slow upstream takes eight times as long for a request, a Hanging one never
// answers two of five requests, and a Dead one accepts no packet.
const (
	Healthy Condition = iota
	Slow
	Hanging
	Dead
)

// String returns the name of the condition in tables.
func (c Condition) String() string { return [...]string{"healthy", "slow", "hanging", "dead"}[c] }

// Case is the input of one measurement.
type Case struct {
	Daemons, Upstreams, Callers int
	// Loss is the share of packets that the links to upstreams lose in each direction.
	Loss      float64
	Condition Condition
	// Slots is the number of requests that an upstream processes at once, while others wait. 0 means
	// that none waits.
	Slots int
	// AcknowledgesEarly makes upstreams acknowledge a request before the caller retransmits it, however
	// long they take to answer.
	AcknowledgesEarly bool
	// SlowFactor and MuteShare replace slowFactor and hangShare if they are not 0.
	SlowFactor, MuteShare float64
}

const (
	// changeTime is the time at which upstreams change their condition, when the flows are distributed over
	// all upstreams. A suspicion within detectionWindow after it is a hit. False alarms are counted from
	// changeTime until falseAlarmPeriod after that window.
	changeTime       = 10 * time.Second
	detectionWindow  = 2 * time.Second
	falseAlarmPeriod = 10 * time.Second
	// changedShare is the share of the upstreams that change.
	changedShare = 0.15
	// suspicionDuration is the time for which a daemon avoids an upstream that does not respond.
	suspicionDuration = 2500 * time.Millisecond
)

// Result is the result of a case. All values except FalseDead are shares from 0 to 1.
type Result struct {
	Case Case
	// HitsPerDaemon is the share of pairs of a daemon and a changed upstream in which the daemon suspected the
	// upstream within 2 s. HitsByAny is the share of changed upstreams that at least one daemon suspected, and
	// HitsByTwo the share that two daemons suspected at the same time.
	HitsPerDaemon, HitsByAny, HitsByTwo float64
	// DeclaredDead is the share of changed upstreams that at least one daemon declared dead.
	DeclaredDead float64
	// FalsePerDaemon is the share of time in which a daemon avoided a healthy upstream. FalseByAny is that
	// share if each daemon adopted the suspicions of every daemon, and FalseByTwo if it adopted only those
	// that two daemons share.
	FalsePerDaemon, FalseByAny, FalseByTwo float64
	// FalseDead is how often a daemon declared a healthy upstream dead, per upstream and minute.
	FalseDead float64
}

// agreement tracks which daemons suspect an upstream, by upstream and daemon. An alarm is open while at
// least two daemons suspect the upstream.
type agreement struct {
	alarms
	suspectedAt map[uint64]map[uint64]time.Duration
}

func newAgreement() agreement { return agreement{newAlarms(), map[uint64]map[uint64]time.Duration{}} }

// begin records a suspicion. It opens an alarm and returns true if the suspicion of another daemon has not
// expired yet.
func (a *agreement) begin(daemon, upstream uint64, now time.Duration) bool {
	times := a.suspectedAt[upstream]
	if times == nil {
		times = map[uint64]time.Duration{}
		a.suspectedAt[upstream] = times
	}
	times[daemon] = now
	recent := 0
	for _, at := range times {
		if now-at < suspicionDuration {
			recent++
		}
	}
	if recent < 2 {
		return false
	}
	a.alarms.begin(0, upstream, now)
	return true
}

// end removes all suspicions of an upstream and closes its alarm.
func (a *agreement) end(upstream uint64, now time.Duration) {
	delete(a.suspectedAt, upstream)
	a.alarms.end(0, upstream, now)
}

// alarms measures the total time in which upstreams were suspected.
type alarms struct {
	// openSince is the time at which each open alarm began, by daemon and upstream.
	openSince map[[2]uint64]time.Duration
	total     time.Duration
}

func newAlarms() alarms { return alarms{openSince: map[[2]uint64]time.Duration{}} }

// begin opens an alarm, after it has closed an open one of the same daemon and upstream.
func (a *alarms) begin(daemon, upstream uint64, now time.Duration) {
	key := [2]uint64{daemon, upstream}
	if _, isOpen := a.openSince[key]; isOpen {
		a.end(daemon, upstream, now)
	}
	a.openSince[key] = now
}

// end closes an alarm and adds its duration, which is at most suspicionDuration, since a suspicion expires
// then.
func (a *alarms) end(daemon, upstream uint64, now time.Duration) {
	key := [2]uint64{daemon, upstream}
	if openSince, isOpen := a.openSince[key]; isOpen {
		a.total += min(now-openSince, suspicionDuration)
		delete(a.openSince, key)
	}
}

// endAll closes all open alarms.
func (a *alarms) endAll(now time.Duration) {
	for key := range a.openSince {
		a.end(key[0], key[1], now)
	}
}

// Measure simulates a case and returns its result.
func Measure(c Case, seed uint64) Result {
	sim := newSimulation(c, seed)
	changed := map[uint64]bool{}
	for _, u := range sim.catalog.Current().Ready("s")[:max(int(changedShare*float64(c.Upstreams)), 1)] {
		changed[u.Key] = true
	}
	hits, suspectedByAny, suspectedByTwo, declaredDead := map[[2]uint64]bool{}, map[uint64]bool{},
		map[uint64]bool{}, map[uint64]bool{}
	perDaemon, byAny := newAlarms(), newAlarms()
	byTwo, changedByTwo := newAgreement(), newAgreement()
	falseDead := 0
	sim.onHealthChange = func(daemon int, change suspicion.HealthChange) {
		u, d := change.Upstream, uint64(daemon)
		switch {
		case sim.now < changeTime:
		case changed[u] && change.State == "heard":
			changedByTwo.end(u, sim.now)
		case changed[u]:
			if sim.now < changeTime+detectionWindow {
				hits[[2]uint64{d, u}], suspectedByAny[u] = true, true
				if changedByTwo.begin(d, u, sim.now) {
					suspectedByTwo[u] = true
				}
				if change.State == "dead" {
					declaredDead[u] = true
				}
			}
		case change.State == "heard":
			perDaemon.end(d, u, sim.now)
			byAny.end(0, u, sim.now)
			byTwo.end(u, sim.now)
		case change.State == "dead":
			falseDead++
		default:
			perDaemon.begin(d, u, sim.now)
			byAny.begin(0, u, sim.now)
			byTwo.begin(d, u, sim.now)
		}
	}
	for range c.Callers {
		(&caller{sim: sim}).openFlow(sim.exponentialDuration(meanPause))
	}
	sim.run(changeTime)
	for u := range changed {
		sim.conditions[u] = c.Condition
	}
	end := changeTime + detectionWindow + falseAlarmPeriod
	sim.run(end)
	perDaemon.endAll(end)
	byAny.endAll(end)
	byTwo.endAll(end)
	span := (end - changeTime).Seconds() * float64(c.Upstreams-len(changed))
	return Result{
		Case: c, HitsPerDaemon: float64(len(hits)) / float64(len(changed)*c.Daemons),
		HitsByAny:      float64(len(suspectedByAny)) / float64(len(changed)),
		HitsByTwo:      float64(len(suspectedByTwo)) / float64(len(changed)),
		DeclaredDead:   float64(len(declaredDead)) / float64(len(changed)),
		FalsePerDaemon: perDaemon.total.Seconds() / span / float64(c.Daemons),
		FalseByAny:     byAny.total.Seconds() / span, FalseByTwo: byTwo.total.Seconds() / span,
		FalseDead: float64(falseDead) / span * 60,
	}
}
