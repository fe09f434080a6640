package experiment

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
)

// Point is a value at a time or setting.
type Point struct{ X, Y float64 }

// Measures are the results of one case.
type Measures struct {
	Policy, Scenario string
	Settings         Settings

	opened      int
	broken      map[string]int
	onKilled    int
	hasRequests bool
	// capacity is in requests a second, of all slots.
	capacity float64
	span     time.Duration

	imbalance           []Point
	meanImbalance, most float64
	after60             float64
	// draining are the flows on draining upstreams over time, and left60 those 60 s after the
	// first drain.
	draining         []Point
	left60           float64
	flowsAtEnd       int
	diverted, placed uint64
	exceptions       uint64

	offered, attempts, callerRetries int
	finished, good                   int
	statuses                         map[string]int
	wait                             *hdrhistogram.Histogram
	latency                          *hdrhistogram.Histogram
	goodput                          []Point
	lastGood                         int
	mostWork                         float64
	refusals, retries                map[string]int64
	control                          map[string]int64
	controlBytes                     float64
	recovery                         time.Duration
	unfinished, flowsOnUpstreams     int
	mostRunning                      int
	// runs are the requests that upstreams started, and mostRuns those of the busiest one.
	runs, mostRuns int
}

// maxMicroseconds bounds the histograms.
const maxMicroseconds = int64(time.Minute / time.Microsecond)

func newMeasures(label, scenario string, s Settings) *Measures {
	return &Measures{Policy: label, Scenario: scenario, Settings: s, broken: map[string]int{}, statuses: map[string]int{},
		capacity: float64(s.Upstreams*s.Slots) / s.Service.Seconds(),
		wait:     hdrhistogram.New(1, maxMicroseconds, 3), latency: hdrhistogram.New(1, maxMicroseconds, 3),
		refusals: map[string]int64{}, retries: map[string]int64{}}
}

func (m *Measures) ends(a *attempt, status pb.Status, reason pb.Reason, now time.Duration, isCounted bool) {
	m.finished++
	name := status.String()[len("STATUS_"):]
	if status != pb.Status_STATUS_OK {
		name += " " + reason.String()[len("REASON_"):]
	}
	if status == pb.Status_STATUS_OK {
		m.good++
	}
	if !isCounted {
		return
	}
	m.statuses[name]++
	if status == pb.Status_STATUS_OK {
		_ = m.latency.RecordValue(int64((now - a.sent) / time.Microsecond))
	}
}

func (m *Measures) waited(a *attempt, isCounted bool) {
	if isCounted {
		_ = m.wait.RecordValue(int64((a.started - a.sent) / time.Microsecond))
	}
}

// sample notes the imbalance and goodput of the moment.
func (m *Measures) sample(w *world, now time.Duration) {
	largest, sum, active := 0, 0, active(w.service())
	for _, number := range active {
		n := w.ups[number].flows
		largest, sum = max(largest, n), sum+n
	}
	left := 0
	for _, u := range w.service().GetUpstreams() {
		if !isActive(u) {
			left += w.ups[u.GetNumber()].flows
		}
	}
	m.draining = append(m.draining, Point{now.Seconds(), float64(left)})
	for _, u := range w.ups {
		m.mostWork = max(m.mostWork, float64(u.most)/float64(u.slots))
	}
	if sum > 0 {
		m.imbalance = append(m.imbalance, Point{now.Seconds(), float64(largest*len(active)) / float64(sum)})
	}
	m.goodput = append(m.goodput, Point{now.Seconds(), float64(m.good - m.lastGood)})
	m.lastGood = m.good
}

// finish computes what the report gives.
func (m *Measures) finish(w *world, d *Declaration) {
	m.span = d.Duration - d.Measure
	samples := 0
	for _, p := range m.imbalance {
		if p.X > d.Measure.Seconds() {
			m.meanImbalance += p.Y
			m.most = max(m.most, p.Y)
			samples++
		}
	}
	m.meanImbalance /= float64(max(samples, 1))
	m.count(w)
	m.control, m.controlBytes = w.control.totals(w.s.Daemons, d.Duration)
	m.imbalanceAfterDrain(d)
	m.recoveryAfter(w.s)
	if w.policy != Fulmar {
		return
	}
	for _, n := range w.nodes {
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

// count notes what is open at the end.
func (m *Measures) count(w *world) {
	for _, f := range w.flows {
		m.unfinished += len(f.requests)
		if f.upstream != 0 {
			m.flowsAtEnd++
		}
	}
	for _, u := range w.ups {
		m.runs += u.runs
		m.mostRuns = max(m.mostRuns, u.runs)
		m.flowsOnUpstreams += u.flows
		m.mostRunning = max(m.mostRunning, u.mostRunning)
	}
}

// imbalanceAfterDrain takes the imbalance 60 s after the first drain of the scenario.
func (m *Measures) imbalanceAfterDrain(d *Declaration) {
	for _, sc := range d.Scenarios {
		for _, f := range sc.Faults {
			if sc.Name != m.Scenario || f.Kind != "drain" {
				continue
			}
			m.after60 = lastBefore(m.imbalance, f.At+time.Minute)
			m.left60 = lastBefore(m.draining, f.At+time.Minute)
			return
		}
	}
}

func lastBefore(points []Point, t time.Duration) float64 {
	last := 0.0
	for _, p := range points {
		if p.X <= t.Seconds() {
			last = p.Y
		}
	}
	return last
}

// recoveryAfter is the time from the end of an overload until five seconds of goodput are at
// least 95 % of the offered load; -1 if that does not happen.
func (m *Measures) recoveryAfter(s Settings) {
	if s.Overload == 0 {
		return
	}
	const window = 5
	m.recovery = -1
	for i := range len(m.goodput) - window {
		sum := 0.0
		for _, p := range m.goodput[i : i+window] {
			sum += p.Y
		}
		start := time.Duration(m.goodput[i].X*float64(time.Second)) - samples
		if start >= s.OverloadTo && sum >= window*0.95*s.Offered*m.capacity {
			m.recovery = start - s.OverloadTo
			return
		}
	}
}

// controlBytes counts control traffic by kind. Tasks of daemons add to it.
type controlBytes struct {
	mu     sync.Mutex
	byKind map[string]int64
}

func newControlBytes() *controlBytes { return &controlBytes{byKind: map[string]int64{}} }

func (c *controlBytes) add(kind string, bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.byKind[kind] += int64(bytes)
}

// totals returns the bytes by kind, and the mean of all in bytes a second and daemon.
func (c *controlBytes) totals(daemons int, d time.Duration) (map[string]int64, float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var sum int64
	for _, n := range c.byKind {
		sum += n
	}
	return c.byKind, float64(sum) / float64(daemons) / d.Seconds()
}
