package experiment

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
)

// Point is a value Y at a time or for a setting X.
type Point struct{ X, Y float64 }

// Measures contains the results of one case.
type Measures struct {
	Policy, Scenario string
	Settings         Settings

	openedFlows int
	// broken counts the broken flows by cause, and flowsOnKilled the open flows of the daemon that was
	// killed last.
	broken        map[string]int
	flowsOnKilled int
	hasRequests   bool
	// capacity is the number of requests per second that all slots together can serve.
	capacity     float64
	measuredTime time.Duration

	// imbalance is the ratio of the largest number of flows of an active upstream to the mean, over time.
	// imbalanceAt60s is its value 60 s after the first drain.
	imbalance                   []Point
	meanImbalance, maxImbalance float64
	imbalanceAt60s              float64
	// flowsOnDraining is the number of flows on draining upstreams over time, and drainingFlowsAt60s the
	// number 60 s after the first drain.
	drainingFlows      []Point
	drainingFlowsAt60s float64
	flowsAtEnd         int
	// placed counts the flows that steering opened, and diverted the placed flows that were not opened on
	// their bucket's upstream. exceptions is the number of exceptions at the end.
	diverted, placed uint64
	exceptions       uint64

	// offered and callerRetries are counted from MeasureFrom on, attempts, finished and answeredOK from the
	// start. statuses counts the ends of attempts from MeasureFrom on by status and reason.
	offered, attempts, callerRetries int
	finished, answeredOK             int
	statuses                         map[string]int
	waitTimes                        *hdrhistogram.Histogram
	latency                          *hdrhistogram.Histogram
	goodput                          []Point
	lastAnsweredOK                   int
	// maxWorkPerSlot is the largest number of queued and running requests of an upstream per slot.
	maxWorkPerSlot    float64
	refusals, retries map[string]int64
	controlTraffic    map[string]int64
	controlRate       float64
	recoveryTime      time.Duration
	// unfinished counts the requests without an end, and flowsOnUpstreams the flows by the upstreams' own
	// count, both at the end of the run.
	unfinished, flowsOnUpstreams int
	maxRunning                   int
	// runs is the number of requests that upstreams started, and maxRuns the number that the busiest
	// upstream started.
	runs, maxRuns int
}

// maxLatencyMicroseconds is the largest value that the histograms of wait and latency record.
const maxLatencyMicroseconds = int64(time.Minute / time.Microsecond)

func newMeasures(label, scenario string, s Settings) *Measures {
	return &Measures{Policy: label, Scenario: scenario, Settings: s, broken: map[string]int{}, statuses: map[string]int{},
		capacity:  float64(s.Upstreams*s.Slots) / s.Service.Seconds(),
		waitTimes: hdrhistogram.New(1, maxLatencyMicroseconds, 3), latency: hdrhistogram.New(1, maxLatencyMicroseconds, 3),
		refusals: map[string]int64{}, retries: map[string]int64{}}
}

// recordEnd counts the end of an attempt. Status and latency count only if measuring has begun.
func (m *Measures) recordEnd(a *attempt, status pb.Status, reason pb.Reason, now time.Duration, isCounted bool) {
	m.finished++
	name := status.String()[len("STATUS_"):]
	if status != pb.Status_STATUS_OK {
		name += " " + reason.String()[len("REASON_"):]
	}
	if status == pb.Status_STATUS_OK {
		m.answeredOK++
	}
	if !isCounted {
		return
	}
	m.statuses[name]++
	if status == pb.Status_STATUS_OK {
		_ = m.latency.RecordValue(int64((now - a.sentAt) / time.Microsecond))
	}
}

// recordWait records the time from the transmission of a request until its upstream started it.
func (m *Measures) recordWait(a *attempt, isCounted bool) {
	if isCounted {
		_ = m.waitTimes.RecordValue(int64((a.startedAt - a.sentAt) / time.Microsecond))
	}
}

// sample records the current imbalance, the flows on draining upstreams and the goodput since the last
// sample.
func (m *Measures) sample(sim *simulation, now time.Duration) {
	largest, sum, activeUpstreams := 0, 0, activeUpstreams(sim.service())
	for _, number := range activeUpstreams {
		n := sim.upstreams[number].flows
		largest, sum = max(largest, n), sum+n
	}
	flowsOnDraining := 0
	for _, u := range sim.service().GetUpstreams() {
		if !isActive(u) {
			flowsOnDraining += sim.upstreams[u.GetNumber()].flows
		}
	}
	m.drainingFlows = append(m.drainingFlows, Point{now.Seconds(), float64(flowsOnDraining)})
	for _, u := range sim.upstreams {
		m.maxWorkPerSlot = max(m.maxWorkPerSlot, float64(u.maxPresent)/float64(u.slots))
	}
	if sum > 0 {
		m.imbalance = append(m.imbalance, Point{now.Seconds(), float64(largest*len(activeUpstreams)) / float64(sum)})
	}
	m.goodput = append(m.goodput, Point{now.Seconds(), float64(m.answeredOK - m.lastAnsweredOK)})
	m.lastAnsweredOK = m.answeredOK
}

// computeResults computes the results of the report at the end of a run.
func (m *Measures) computeResults(sim *simulation, d *Declaration) {
	m.measuredTime = d.Duration - d.MeasureFrom
	samples := 0
	for _, p := range m.imbalance {
		if p.X > d.MeasureFrom.Seconds() {
			m.meanImbalance += p.Y
			m.maxImbalance = max(m.maxImbalance, p.Y)
			samples++
		}
	}
	m.meanImbalance /= float64(max(samples, 1))
	m.countAtEnd(sim)
	m.controlTraffic, m.controlRate = sim.controlTraffic.totals(sim.settings.Daemons, d.Duration)
	m.measureAfterDrain(d)
	m.measureRecovery(sim.settings)
	if sim.policy != Fulmar {
		return
	}
	for _, n := range sim.nodes {
		stats := n.steerer.Stats()
		m.diverted, m.placed = m.diverted+stats.Diverted, m.placed+stats.Opened
		if !n.dead.Load() {
			m.exceptions += stats.Exceptions
		}
		for name, v := range n.counters.Snapshot() {
			switch {
			case len(name) > 8 && name[:8] == "refusal.":
				m.refusals[name[8:]] += v
			case len(name) > 6 && name[:6] == "retry.":
				m.retries[name[6:]] += v
			}
		}
	}
}

// countAtEnd counts the open flows and requests at the end and the requests of the upstreams.
func (m *Measures) countAtEnd(sim *simulation) {
	for _, f := range sim.flows {
		m.unfinished += len(f.requests)
		if f.upstream != 0 {
			m.flowsAtEnd++
		}
	}
	for _, u := range sim.upstreams {
		m.runs += u.runs
		m.maxRuns = max(m.maxRuns, u.runs)
		m.flowsOnUpstreams += u.flows
		m.maxRunning = max(m.maxRunning, u.maxRunning)
	}
}

// measureAfterDrain sets the imbalance and the flows on draining upstreams 60 s after the first drain of
// the scenario.
func (m *Measures) measureAfterDrain(d *Declaration) {
	for _, sc := range d.Scenarios {
		for _, f := range sc.Faults {
			if sc.Name != m.Scenario || f.Kind != "drain" {
				continue
			}
			m.imbalanceAt60s = valueAt(m.imbalance, f.At+time.Minute)
			m.drainingFlowsAt60s = valueAt(m.drainingFlows, f.At+time.Minute)
			return
		}
	}
}

// valueAt returns the last value up to a time, or 0.
func valueAt(points []Point, t time.Duration) float64 {
	last := 0.0
	for _, p := range points {
		if p.X <= t.Seconds() {
			last = p.Y
		}
	}
	return last
}

// measureRecovery sets the time from the end of an overload until the goodput over five seconds is at
// least 95 % of the offered load, or -1 if that does not happen.
func (m *Measures) measureRecovery(s Settings) {
	if s.Overload == 0 {
		return
	}
	const window = 5
	m.recoveryTime = -1
	for i := range len(m.goodput) - window {
		sum := 0.0
		for _, p := range m.goodput[i : i+window] {
			sum += p.Y
		}
		start := time.Duration(m.goodput[i].X*float64(time.Second)) - sampleInterval
		if start >= s.OverloadTo && sum >= window*0.95*s.Offered*m.capacity {
			m.recoveryTime = start - s.OverloadTo
			return
		}
	}
}

// trafficCounter counts the bytes of control traffic by kind. The daemons' goroutines add to it.
type trafficCounter struct {
	mu     sync.Mutex
	byKind map[string]int64
}

func newTrafficCounter() *trafficCounter { return &trafficCounter{byKind: map[string]int64{}} }

func (c *trafficCounter) add(kind string, bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.byKind[kind] += int64(bytes)
}

// totals returns the bytes by kind, and the mean rate of all kinds in bytes per second and daemon.
func (c *trafficCounter) totals(daemons int, d time.Duration) (map[string]int64, float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var sum int64
	for _, n := range c.byKind {
		sum += n
	}
	return c.byKind, float64(sum) / float64(daemons) / d.Seconds()
}
