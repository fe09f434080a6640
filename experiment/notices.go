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

// Notices declares the experiment on information from sparse peers: daemons that send requests
// to the shorter of two upstreams learn the queues from the upstreams' admission daemons, by
// periodic notices, by notices on change (load.Announcer), or by asking before a decision.
type Notices struct {
	Owners    int `yaml:"owners"`
	Upstreams int `yaml:"upstreams"`
	Slots     int `yaml:"slots"`
	// Rates are decisions a second of each owner.
	Rates []float64 `yaml:"rates"`
	// Budget is in bytes a second and daemon, for the variants that must keep to it; ten
	// seconds of it can be spent at once.
	Budget float64 `yaml:"budget"`
	// Service is the mean service time, and Load the mean load of the upstreams.
	Service  time.Duration `yaml:"service"`
	Load     float64       `yaml:"load"`
	Duration time.Duration `yaml:"duration"`
}

const (
	// phaseMean is the mean time that the other load of an upstream stays high or low.
	phaseMean = 2 * time.Second
	// highShare is the high load over the low.
	highShare = 3.0
	// burstSeconds is the credit of a budget.
	burstSeconds = 10.0
)

// noticeVariant is a way to learn the state of upstreams.
type noticeVariant struct {
	name string
	// every is the period of notices, 0 for none.
	every    time.Duration
	onChange bool
	ask      bool
	// budget bounds asking, in bytes a second; 0 is no bound.
	budget float64
}

type noticeResult struct {
	rate      float64
	variant   string
	bytes     float64
	age, wait *hdrhistogram.Histogram
}

var (
	noticeBytes = proto.Size(&pb.PeerDatagram{Body: &pb.PeerDatagram_UpstreamNotice{UpstreamNotice: &pb.UpstreamNotice{
		Upstream: 9, Service: 1, State: pb.UpstreamState_UPSTREAM_STATE_OK, GuardToken: 1 << 60, InProgress: 2, Queued: 9}}}) + datagramOverhead
	// askBytes is a question, sized as a notice without its state.
	askBytes = proto.Size(&pb.PeerDatagram{Body: &pb.PeerDatagram_UpstreamNotice{UpstreamNotice: &pb.UpstreamNotice{Upstream: 9}}}) + datagramOverhead
)

func (c *check) notices(n Notices) {
	c.between("notices.owners", float64(n.Owners), 1, maxDaemons)
	c.between("notices.upstreams", float64(n.Upstreams), 2, maxUpstreams)
	c.between("notices.slots", float64(n.Slots), 1, maxUpstreams)
	c.between("notices.load", n.Load, 0.01, 2)
	c.between("notices.budget", n.Budget, 1, 1e6)
	c.between("notices.service", n.Service.Seconds(), 0.001, 60)
	c.between("notices.duration", n.Duration.Seconds(), 1, 1e5)
	if len(n.Rates) == 0 {
		c.fail("notices.rates", "at least one rate is needed")
	}
}

// variants returns the ways that are compared at a rate of decisions. The first periodic one
// has the bytes of asking without a bound.
func (n Notices) variants(rate float64) []noticeVariant {
	asking := rate * 2 * float64(askBytes+noticeBytes)
	period := func(bytes float64) time.Duration {
		return time.Duration(float64(n.Upstreams*noticeBytes) / bytes * float64(time.Second))
	}
	return []noticeVariant{
		{name: "asked for", ask: true},
		{name: "periodic, same bytes", every: period(asking)},
		{name: "asked for, in budget", ask: true, budget: n.Budget},
		{name: "periodic, in budget", every: period(n.Budget)},
		{name: "on change (today)", onChange: true},
		{name: "no information"},
	}
}

// noticeRun is the model of one variant.
type noticeRun struct {
	Notices
	variant noticeVariant
	rate    float64
	clock   *clock
	rand    *rand.Rand
	ups     []*noticeUpstream
	known   [][]knownQueue
	credit  []float64
	asked   []time.Duration
	bytes   int
	result  *noticeResult
}

type knownQueue struct {
	length int
	at     time.Duration
}

type noticeUpstream struct {
	busy   int
	queue  []func()
	isHigh bool
	said   load.Announcer
}

// run simulates one variant in a bubble.
func (n Notices) run(rate float64, v noticeVariant, seed uint64) *noticeResult {
	r := &noticeRun{Notices: n, variant: v, rate: rate, clock: newClock(), rand: rand.New(rand.NewPCG(seed, 11)),
		credit: make([]float64, n.Owners), asked: make([]time.Duration, n.Owners),
		result: &noticeResult{rate: rate, variant: v.name, age: hdrhistogram.New(1, int64(n.Duration/time.Microsecond), 3),
			wait: hdrhistogram.New(1, maxMicroseconds, 3)}}
	for i := range n.Upstreams {
		u := &noticeUpstream{isHigh: i%2 == 0}
		r.ups = append(r.ups, u)
		r.arrive(u)
		r.toggle(u)
		r.tell(i, u)
	}
	for i := range n.Owners {
		r.known = append(r.known, make([]knownQueue, n.Upstreams))
		r.clock.after(r.after(rate), func() { r.decide(i) })
	}
	r.clock.run(n.Duration)
	r.result.bytes = float64(r.bytes) / n.Duration.Seconds() / float64(n.Owners)
	return r.result
}

func (r *noticeRun) after(rate float64) time.Duration {
	return time.Duration(r.rand.ExpFloat64() / rate * float64(time.Second))
}

// arrive adds the load of an upstream that does not come from decisions.
func (r *noticeRun) arrive(u *noticeUpstream) {
	capacity := float64(r.Slots) / r.Service.Seconds()
	mean := r.Load*capacity - r.rate*float64(r.Owners)/float64(r.Upstreams)
	rate := mean * 2 / (highShare + 1)
	if u.isHigh {
		rate *= highShare
	}
	r.clock.after(r.after(max(rate, 1e-3)), func() {
		r.request(u, func() {})
		r.arrive(u)
	})
}

func (r *noticeRun) toggle(u *noticeUpstream) {
	r.clock.after(r.after(1/phaseMean.Seconds()), func() {
		u.isHigh = !u.isHigh
		r.toggle(u)
	})
}

func (r *noticeRun) request(u *noticeUpstream, started func()) {
	u.queue = append(u.queue, started)
	r.next(u)
}

func (r *noticeRun) next(u *noticeUpstream) {
	for len(u.queue) > 0 && u.busy < r.Slots {
		u.queue[0]()
		u.queue = u.queue[1:]
		u.busy++
		r.clock.after(r.after(1/r.Service.Seconds()), func() {
			u.busy--
			r.next(u)
		})
	}
}

// tell sends periodic notices, or those of the Announcer, to all owners.
func (r *noticeRun) tell(i int, u *noticeUpstream) {
	every := r.variant.every
	if r.variant.onChange {
		// An admission looks for changes at each of its ticks.
		every = 10 * time.Millisecond
	}
	if every == 0 {
		return
	}
	r.clock.after(time.Duration((0.5+r.rand.Float64())*float64(every)), func() {
		n := &pb.UpstreamNotice{State: pb.UpstreamState_UPSTREAM_STATE_OK, InProgress: uint32(u.busy), Queued: uint32(len(u.queue))}
		if !r.variant.onChange || u.said.RecordIfDue(time.Now(), n) {
			r.bytes += noticeBytes * r.Owners
			told := knownQueue{u.busy + len(u.queue), r.clock.now()}
			r.clock.after(hop, func() {
				for _, known := range r.known {
					known[i] = told
				}
			})
		}
		r.tell(i, u)
	})
}

// decide sends a request to the shorter of two upstreams by what an owner knows.
func (r *noticeRun) decide(owner int) {
	r.clock.after(r.after(r.rate), func() { r.decide(owner) })
	began := r.clock.now()
	a, b := r.rand.IntN(r.Upstreams), r.rand.IntN(r.Upstreams)
	if !r.variant.ask || !r.pay(owner, 2*float64(askBytes+noticeBytes)) {
		r.choose(owner, a, b, began)
		return
	}
	r.clock.after(hop, func() {
		for _, i := range []int{a, b} {
			told := knownQueue{r.ups[i].busy + len(r.ups[i].queue), r.clock.now()}
			r.clock.after(hop, func() { r.known[owner][i] = told })
		}
		r.clock.after(hop, func() { r.choose(owner, a, b, began) })
	})
}

// pay takes bytes from an owner's budget, if it has them.
func (r *noticeRun) pay(owner int, bytes float64) bool {
	if b := r.variant.budget; b > 0 {
		now := r.clock.now()
		r.credit[owner] = min(r.credit[owner]+b*(now-r.asked[owner]).Seconds(), max(b*burstSeconds, bytes))
		r.asked[owner] = now
		if r.credit[owner] < bytes {
			return false
		}
		r.credit[owner] -= bytes
	}
	r.bytes += int(bytes)
	return true
}

func (r *noticeRun) choose(owner, a, b int, began time.Duration) {
	now := r.clock.now()
	known := r.known[owner]
	if known[b].length < known[a].length {
		a = b
	}
	_ = r.result.age.RecordValue(int64((now - known[a].at) / time.Microsecond))
	r.clock.after(hop, func() {
		r.request(r.ups[a], func() {
			_ = r.result.wait.RecordValue(int64((r.clock.now() - began) / time.Microsecond))
		})
	})
}

func noticeRows(results []*noticeResult) [][]string {
	rows := [][]string{{"decisions/s", "information", "control B/s", "age p50 ms", "age p99 ms", "wait mean ms", "wait p99 ms"}}
	for _, r := range results {
		age50, age99 := ms(r.age.ValueAtQuantile(50)), ms(r.age.ValueAtQuantile(99))
		if r.variant == "no information" {
			age50, age99 = "-", "-"
		}
		rows = append(rows, []string{fmt.Sprintf("%g", r.rate), r.variant, fmt.Sprintf("%.0f", r.bytes), age50, age99,
			fmt.Sprintf("%.1f", r.wait.Mean()/1000), ms(r.wait.ValueAtQuantile(99))})
	}
	return rows
}
