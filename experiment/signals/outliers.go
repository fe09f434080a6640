package signals

import (
	"net/netip"
	"time"

	"github.com/fulmarfield/fulmarfield/outlier"
	"github.com/fulmarfield/fulmarfield/suspicion"
)

// reportDelay is the time after which a report has reached all daemons. The test of package fleet measures
// the delay.
const reportDelay = 300 * time.Millisecond

// OutlierResult is the result of a case for the ejection of upstreams by response times.
type OutlierResult struct {
	Case Case
	// EjectedIn2s and EjectedIn4s are the shares of pairs of a daemon and a changed upstream in which the
	// daemon ejected the upstream within that time.
	EjectedIn2s, EjectedIn4s float64
	// FalseTime is the share of time in which a daemon avoids a healthy upstream, and FalseEjections how
	// often a daemon ejects one, per upstream and minute.
	FalseTime, FalseEjections float64
	// ReportsPerSecond is the mean number of reports of one daemon.
	ReportsPerSecond float64
}

// outlierMeter follows the outlier states of all upstreams on all daemons.
type outlierMeter struct {
	sim     *simulation
	changed map[uint64]bool
	// firstEjection holds the time from the change to the first ejection, by daemon and upstream.
	firstEjection map[[2]uint64]time.Duration
	// avoidedSince holds since when a daemon avoids a healthy upstream.
	avoidedSince     map[[2]uint64]time.Duration
	falseTime        time.Duration
	falseCount       int
	reports          int
	deliversReports  bool
	observationStart time.Duration
}

// afterDecision records the state changes of a daemon and delivers its reports to the others.
func (m *outlierMeter) afterDecision(daemon int) {
	d := m.sim.daemons[daemon]
	for _, c := range d.TakeOutlierChanges() {
		m.recordChange([2]uint64{uint64(daemon), c.Upstream}, c.State)
	}
	for _, r := range d.TakeReports() {
		m.reports++
		r.Origin = netip.AddrFrom4([4]byte{10, 0, byte(daemon >> 8), byte(daemon)})
		m.sim.scheduleAfter(reportDelay, func() {
			for i, other := range m.sim.daemons {
				if i != daemon && m.deliversReports {
					other.RecordReport(r, m.sim.clock())
				}
			}
		})
	}
}

func (m *outlierMeter) recordChange(key [2]uint64, state outlier.State) {
	switch {
	case m.sim.now < m.observationStart:
	case m.changed[key[1]]:
		if _, known := m.firstEjection[key]; !known && state == outlier.Ejected {
			m.firstEjection[key] = m.sim.now - m.observationStart
		}
	case state == outlier.Ejected:
		m.falseCount++
		if _, avoided := m.avoidedSince[key]; !avoided {
			m.avoidedSince[key] = m.sim.now
		}
	case state == outlier.Accepted:
		m.endAvoidance(key)
	}
}

func (m *outlierMeter) endAvoidance(key [2]uint64) {
	if since, avoided := m.avoidedSince[key]; avoided {
		m.falseTime += m.sim.now - since
		delete(m.avoidedSince, key)
	}
}

// ejectedWithin returns the share of pairs that were ejected within a time after the change.
func (m *outlierMeter) ejectedWithin(limit time.Duration, pairs int) float64 {
	count := 0
	for _, after := range m.firstEjection {
		if after <= limit {
			count++
		}
	}
	return float64(count) / float64(max(pairs, 1))
}

// MeasureOutliers simulates a case and returns its result. Without reports each daemon decides alone.
func MeasureOutliers(c Case, withReports bool, seed uint64) OutlierResult {
	sim := newSimulation(c, seed)
	sim.onHealthChange = func(int, suspicion.HealthChange) {}
	m := &outlierMeter{
		sim: sim, changed: map[uint64]bool{}, firstEjection: map[[2]uint64]time.Duration{},
		avoidedSince: map[[2]uint64]time.Duration{}, deliversReports: withReports, observationStart: changeTime,
	}
	if c.Condition != Healthy {
		for _, u := range sim.catalog.Current().Ready("s")[:max(int(changedShare*float64(c.Upstreams)), 1)] {
			m.changed[u.Key] = true
		}
	}
	sim.onDecision = m.afterDecision
	for range c.Callers {
		(&caller{sim: sim}).openFlow(sim.exponentialDuration(meanPause))
	}
	sim.run(changeTime)
	for u := range m.changed {
		sim.conditions[u] = c.Condition
	}
	m.reports = 0
	end := changeTime + detectionWindow + falseAlarmPeriod
	sim.run(end)
	for key := range m.avoidedSince {
		m.endAvoidance(key)
	}
	seconds := (end - changeTime).Seconds()
	healthyTime := seconds * float64((c.Upstreams-len(m.changed))*c.Daemons)
	pairs := len(m.changed) * c.Daemons
	return OutlierResult{
		Case: c, EjectedIn2s: m.ejectedWithin(2*time.Second, pairs), EjectedIn4s: m.ejectedWithin(4*time.Second, pairs),
		FalseTime: m.falseTime.Seconds() / healthyTime, FalseEjections: float64(m.falseCount) / healthyTime * 60,
		ReportsPerSecond: float64(m.reports) / seconds / float64(c.Daemons),
	}
}
