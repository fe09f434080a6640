package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"google.golang.org/protobuf/proto"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/load"
)

// Notices declares the experiment on load information: flow owners send each request to the one of two
// random upstreams with the shorter queue. They receive the queue lengths from the upstreams' admission
// daemons by periodic notices, by notices on change (load.Announcer), or by a query before a decision.
// Reports print the fields under their Go names.
type Notices struct {
	Owners    int `yaml:"owners"`
	Upstreams int `yaml:"upstreams"`
	Slots     int `yaml:"slots"`
	// Rates are the decisions per second of each owner that are compared.
	Rates []float64 `yaml:"rates"`
	// Budget is the budget in bytes per second and daemon of the variants with a budget. Up to ten seconds
	// of it can be spent at once.
	Budget float64 `yaml:"budget"`
	// Service is the mean service time, and Load the mean load of the upstreams as a share of their
	// capacity.
	Service  time.Duration `yaml:"service"`
	Load     float64       `yaml:"load"`
	Duration time.Duration `yaml:"duration"`
}

const (
	// meanLoadPhase is the mean time for which the background load of an upstream stays high or low.
	meanLoadPhase = 2 * time.Second
	// highLoadRatio is the ratio of the high background load to the low one.
	highLoadRatio = 3.0
	// budgetBurstSeconds bounds the unspent part of a budget, in seconds of the budget.
	budgetBurstSeconds = 10.0
)

// noticeVariant is a way in which the owners receive the queue lengths of the upstreams.
type noticeVariant struct {
	name string
	// period is the interval between notices, 0 for none.
	period   time.Duration
	onChange bool
	query    bool
	// budget bounds the queries and their answers, in bytes per second; 0 is no bound.
	budget float64
}

// noticeResult is the result of one variant: the control traffic of a daemon in bytes per second, the age
// of the information at a decision and the wait from a decision until the request starts.
type noticeResult struct {
	rate      float64
	variant   string
	bytes     float64
	age, wait *hdrhistogram.Histogram
}

var (
	noticeBytes = proto.Size(&pb.PeerDatagram{Body: &pb.PeerDatagram_UpstreamNotice{UpstreamNotice: &pb.UpstreamNotice{
		Upstream: 9, Service: 1, State: pb.UpstreamState_UPSTREAM_STATE_OK, GuardToken: 1 << 60, InProgress: 2, Queued: 9}}}) + datagramOverhead
	// queryBytes is the size of a query, which is modelled as a notice without state.
	queryBytes = proto.Size(&pb.PeerDatagram{Body: &pb.PeerDatagram_UpstreamNotice{UpstreamNotice: &pb.UpstreamNotice{Upstream: 9}}}) + datagramOverhead
)

func (c *checker) checkNotices(n Notices) {
	c.checkRange("notices.owners", float64(n.Owners), 1, maxDaemons)
	c.checkRange("notices.upstreams", float64(n.Upstreams), 2, maxUpstreams)
	c.checkRange("notices.slots", float64(n.Slots), 1, maxUpstreams)
	c.checkRange("notices.load", n.Load, 0.01, 2)
	c.checkRange("notices.budget", n.Budget, 1, 1e6)
	c.checkRange("notices.service", n.Service.Seconds(), 0.001, 60)
	c.checkRange("notices.duration", n.Duration.Seconds(), 1, 1e5)
	if len(n.Rates) == 0 {
		c.addError("notices.rates", "at least one rate is needed")
	}
}

// variants returns the variants that are compared at a rate of decisions. The first periodic variant
// sends as many bytes as the queries without a budget.
func (n Notices) variants(rate float64) []noticeVariant {
	queryRate := rate * 2 * float64(queryBytes+noticeBytes)
	periodFor := func(bytes float64) time.Duration {
		return time.Duration(float64(n.Upstreams*noticeBytes) / bytes * float64(time.Second))
	}
	return []noticeVariant{
		{name: "asked for", query: true},
		{name: "periodic, same bytes", period: periodFor(queryRate)},
		{name: "asked for, in budget", query: true, budget: n.Budget},
		{name: "periodic, in budget", period: periodFor(n.Budget)},
		{name: "on change (today)", onChange: true},
		{name: "no information"},
	}
}

// noticeRun is the state of the run of one variant. The index of knownQueues, credit and creditUpdatedAt
// is the owner.
type noticeRun struct {
	Notices
	variant         noticeVariant
	rate            float64
	clock           *clock
	rand            *rand.Rand
	upstreams       []*noticeUpstream
	knownQueues     [][]knownQueue
	credit          []float64
	creditUpdatedAt []time.Duration
	bytes           int
	result          *noticeResult
}

// knownQueue is the number of requests at an upstream at the time of observation.
type knownQueue struct {
	length     int
	observedAt time.Duration
}

// noticeUpstream models an upstream with a number of slots and a queue. The queue contains the functions
// that are called when a request starts.
type noticeUpstream struct {
	busy        int
	queue       []func()
	hasHighLoad bool
	announcer   load.Announcer
}

// run simulates one variant. It must be called in a synctest bubble.
func (n Notices) run(rate float64, v noticeVariant, seed uint64) *noticeResult {
	r := &noticeRun{Notices: n, variant: v, rate: rate, clock: newClock(), rand: rand.New(rand.NewPCG(seed, 11)),
		credit: make([]float64, n.Owners), creditUpdatedAt: make([]time.Duration, n.Owners),
		result: &noticeResult{rate: rate, variant: v.name, age: hdrhistogram.New(1, int64(n.Duration/time.Microsecond), 3),
			wait: hdrhistogram.New(1, maxLatencyMicroseconds, 3)}}
	for i := range n.Upstreams {
		u := &noticeUpstream{hasHighLoad: i%2 == 0}
		r.upstreams = append(r.upstreams, u)
		r.generateBackgroundLoad(u)
		r.scheduleLoadPhase(u)
		r.sendNotices(i, u)
	}
	for i := range n.Owners {
		r.knownQueues = append(r.knownQueues, make([]knownQueue, n.Upstreams))
		r.clock.scheduleAfter(r.randomInterval(rate), func() { r.decide(i) })
	}
	r.clock.run(n.Duration)
	r.result.bytes = float64(r.bytes) / n.Duration.Seconds() / float64(n.Owners)
	return r.result
}

// randomInterval returns an exponentially distributed interval for a rate per second.
func (r *noticeRun) randomInterval(rate float64) time.Duration {
	return time.Duration(r.rand.ExpFloat64() / rate * float64(time.Second))
}

// generateBackgroundLoad adds the requests at an upstream that do not come from the owners' decisions.
func (r *noticeRun) generateBackgroundLoad(u *noticeUpstream) {
	capacity := float64(r.Slots) / r.Service.Seconds()
	mean := r.Load*capacity - r.rate*float64(r.Owners)/float64(r.Upstreams)
	rate := mean * 2 / (highLoadRatio + 1)
	if u.hasHighLoad {
		rate *= highLoadRatio
	}
	r.clock.scheduleAfter(r.randomInterval(max(rate, 1e-3)), func() {
		r.enqueue(u, func() {})
		r.generateBackgroundLoad(u)
	})
}

// scheduleLoadPhase switches the background load of an upstream between high and low at random times.
func (r *noticeRun) scheduleLoadPhase(u *noticeUpstream) {
	r.clock.scheduleAfter(r.randomInterval(1/meanLoadPhase.Seconds()), func() {
		u.hasHighLoad = !u.hasHighLoad
		r.scheduleLoadPhase(u)
	})
}

// enqueue adds a request to an upstream; started is called when the request starts.
func (r *noticeRun) enqueue(u *noticeUpstream, started func()) {
	u.queue = append(u.queue, started)
	r.startQueued(u)
}

// startQueued starts queued requests while slots are free.
func (r *noticeRun) startQueued(u *noticeUpstream) {
	for len(u.queue) > 0 && u.busy < r.Slots {
		u.queue[0]()
		u.queue = u.queue[1:]
		u.busy++
		r.clock.scheduleAfter(r.randomInterval(1/r.Service.Seconds()), func() {
			u.busy--
			r.startQueued(u)
		})
	}
}

// sendNotices sends the notices of upstream i to all owners, periodically or when the Announcer finds
// them due.
func (r *noticeRun) sendNotices(i int, u *noticeUpstream) {
	period := r.variant.period
	if r.variant.onChange {
		// An admission checks for changes at each of its ticks.
		period = 10 * time.Millisecond
	}
	if period == 0 {
		return
	}
	r.clock.scheduleAfter(time.Duration((0.5+r.rand.Float64())*float64(period)), func() {
		n := &pb.UpstreamNotice{State: pb.UpstreamState_UPSTREAM_STATE_OK, InProgress: uint32(u.busy), Queued: uint32(len(u.queue))}
		if !r.variant.onChange || u.announcer.RecordIfDue(time.Now(), n) {
			r.bytes += noticeBytes * r.Owners
			observed := knownQueue{u.busy + len(u.queue), r.clock.now()}
			r.clock.scheduleAfter(hopLatency, func() {
				for _, knownQueues := range r.knownQueues {
					knownQueues[i] = observed
				}
			})
		}
		r.sendNotices(i, u)
	})
}

// decide sends a request of an owner to the one of two random upstreams whose queue is shorter by the
// owner's information. It queries both upstreams first if the variant has queries and the budget allows
// them.
func (r *noticeRun) decide(owner int) {
	r.clock.scheduleAfter(r.randomInterval(r.rate), func() { r.decide(owner) })
	decidedAt := r.clock.now()
	a, b := r.rand.IntN(r.Upstreams), r.rand.IntN(r.Upstreams)
	if !r.variant.query || !r.spendBudget(owner, 2*float64(queryBytes+noticeBytes)) {
		r.sendToShorterQueue(owner, a, b, decidedAt)
		return
	}
	r.clock.scheduleAfter(hopLatency, func() {
		for _, i := range []int{a, b} {
			observed := knownQueue{r.upstreams[i].busy + len(r.upstreams[i].queue), r.clock.now()}
			r.clock.scheduleAfter(hopLatency, func() { r.knownQueues[owner][i] = observed })
		}
		r.clock.scheduleAfter(hopLatency, func() { r.sendToShorterQueue(owner, a, b, decidedAt) })
	})
}

// spendBudget takes bytes from an owner's budget and reports whether the budget sufficed.
func (r *noticeRun) spendBudget(owner int, bytes float64) bool {
	if b := r.variant.budget; b > 0 {
		now := r.clock.now()
		r.credit[owner] = min(r.credit[owner]+b*(now-r.creditUpdatedAt[owner]).Seconds(), max(b*budgetBurstSeconds, bytes))
		r.creditUpdatedAt[owner] = now
		if r.credit[owner] < bytes {
			return false
		}
		r.credit[owner] -= bytes
	}
	r.bytes += int(bytes)
	return true
}

// sendToShorterQueue sends a request to upstream a or b, whichever has the shorter queue by the owner's
// information.
func (r *noticeRun) sendToShorterQueue(owner, a, b int, decidedAt time.Duration) {
	now := r.clock.now()
	knownQueues := r.knownQueues[owner]
	if knownQueues[b].length < knownQueues[a].length {
		a = b
	}
	_ = r.result.age.RecordValue(int64((now - knownQueues[a].observedAt) / time.Microsecond))
	r.clock.scheduleAfter(hopLatency, func() {
		r.enqueue(r.upstreams[a], func() {
			_ = r.result.wait.RecordValue(int64((r.clock.now() - decidedAt) / time.Microsecond))
		})
	})
}

// noticeRows returns the header and one row for each result.
func noticeRows(results []*noticeResult) [][]string {
	rows := [][]string{{"decisions/s", "information", "control B/s", "age p50 ms", "age p99 ms", "wait mean ms", "wait p99 ms"}}
	for _, r := range results {
		age50, age99 := formatMillis(r.age.ValueAtQuantile(50)), formatMillis(r.age.ValueAtQuantile(99))
		if r.variant == "no information" {
			age50, age99 = "-", "-"
		}
		rows = append(rows, []string{fmt.Sprintf("%g", r.rate), r.variant, fmt.Sprintf("%.0f", r.bytes), age50, age99,
			fmt.Sprintf("%.1f", r.wait.Mean()/1000), formatMillis(r.wait.ValueAtQuantile(99))})
	}
	return rows
}
