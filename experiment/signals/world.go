package signals

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/fulmarfield/fulmarfield/catalog"
	"github.com/fulmarfield/fulmarfield/inband"
	"github.com/fulmarfield/fulmarfield/platform"
	"github.com/fulmarfield/fulmarfield/suspicion"
	"github.com/fulmarfield/fulmarfield/wire"
)

const (
	// meanWork and roundTrip are those of the users' sheets: requests of 30 to 52 ms, 3 ms to callers.
	meanWork  = 40 * time.Millisecond
	roundTrip = 6 * time.Millisecond
	// meanPause lies between two requests of a flow, deadline ends one; requestsAFlow is the
	// mean number of requests before the caller opens another flow.
	meanPause     = 500 * time.Millisecond
	deadline      = 1500 * time.Millisecond
	requestsAFlow = 12
	// slowFactor and hangShare are those of upstreams that are slow or answer a part only.
	slowFactor = 8
	hangShare  = 0.4
	// answerBytes is one answer, payloadBytes one request.
	answerBytes, payloadBytes = 2000, 900
)

// A caller sends an opening packet again after these times and gives up after the last; data is sent
// again after retransmitAfter and then each time after twice as long.
var openingCopies = []time.Duration{200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond}

const retransmitAfter = 200 * time.Millisecond

var (
	service = netip.MustParseAddrPort("198.18.0.1:8443")
	epoch   = time.Unix(1_700_000_000, 0)
)

type task struct {
	at time.Duration
	// order keeps tasks of one moment in the order in which they were added.
	order int
	do    func()
}

type tasks []task

func (t tasks) Len() int { return len(t) }
func (t tasks) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].order < t[j].order
}
func (t tasks) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *tasks) Push(x any)   { *t = append(*t, x.(task)) } //nolint:forcetypeassert // Only tasks are pushed.
func (t *tasks) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

// world is one case in simulated time.
type world struct {
	c         Case
	now       time.Duration
	queue     tasks
	added     int
	random    *rand.Rand
	catalog   *catalog.Catalog
	daemons   []*inband.Steerer
	condition map[uint64]Condition
	nextPort  int
	// onBelief is told each change of a daemon's belief.
	onBelief func(daemon int, c suspicion.HealthChange)
}

func (w *world) clock() time.Time                    { return epoch.Add(w.now) }
func (w *world) ConfigValidatedAt() time.Time        { return w.clock() }
func (w *world) UpstreamsValidatedAt() time.Time     { return w.clock() }
func (w *world) UpstreamsListedSince(time.Time) bool { return false }
func (w *world) chance(share float64) bool           { return w.random.Float64() < share }
func (w *world) about(mean time.Duration) time.Duration {
	return time.Duration(w.random.ExpFloat64() * float64(mean))
}
func (w *world) after(d time.Duration, do func()) {
	w.added++
	heap.Push(&w.queue, task{w.now + d, w.added, do})
}

func newWorld(c Case, seed uint64) *world {
	w := &world{c: c, random: rand.New(rand.NewPCG(seed, 1)), condition: map[uint64]Condition{}}
	w.catalog = catalog.New(w.clock)
	w.catalog.SetConfiguration(&catalog.Configuration{Version: 1, Routes: map[netip.AddrPort]*catalog.Route{
		service: {Address: service, Kind: catalog.KindSafe, Targets: []catalog.Target{{Service: "s", Weight: 1}}},
	}})
	var upstreams []*catalog.Upstream
	for i := range c.Upstreams {
		id := fmt.Sprintf("i-%04x", i)
		upstreams = append(upstreams, &catalog.Upstream{
			ID: id, Key: catalog.IncarnationKey(id, 1), Instance: uint64(i), Service: "s", Zone: "z", Slots: 2, StartedAt: 1,
		})
	}
	w.catalog.SetUpstreams(upstreams)
	for range c.Daemons {
		w.daemons = append(w.daemons, inband.NewSteerer(inband.Options{
			Zone: "z", Catalog: w.catalog, Freshness: w, PropagationBound: 3 * time.Second,
			Random: rand.New(rand.NewPCG(seed, uint64(len(w.daemons)+2))),
		}))
	}
	return w
}

// run plays until a time.
func (w *world) run(end time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= end {
		next := heap.Pop(&w.queue).(task) //nolint:forcetypeassert // Only tasks are pushed.
		w.now = next.at
		next.do()
	}
	w.now = end
}

// caller uses one flow after the other.
type caller struct {
	w      *world
	daemon int
	flow   wire.FlowKey
	// upstream is where the flow opened, nil before.
	upstream *catalog.Upstream
	// sequence is the next byte to send, acknowledged the next that is expected.
	sequence, acknowledged uint32
	// serial ends timers of flows and requests that are over.
	serial int
}

// open begins a flow after a pause.
func (c *caller) open(pause time.Duration) {
	c.serial++
	mine := c.serial
	c.w.after(pause, func() {
		c.w.nextPort++
		port := c.w.nextPort
		source := netip.AddrFrom4([4]byte{100, 64, byte(port >> 14), 1})
		flow, err := wire.NewFlowKey(netip.AddrPortFrom(source, uint16(1024+port&0x3fff)), service)
		if err != nil {
			panic(err) // The addresses are built here.
		}
		c.flow, c.upstream, c.sequence, c.acknowledged = flow, nil, 1, 0
		c.daemon = c.w.random.IntN(len(c.w.daemons))
		c.sendOpening(mine, 0)
	})
}

func (c *caller) sendOpening(mine, copies int) {
	if mine != c.serial || c.upstream != nil {
		return
	}
	if copies == len(openingCopies) {
		c.open(0)
		return
	}
	v := c.send(platform.Packet{Flow: c.flow, Opens: true, Acknowledged: uint32(copies)})
	if u := v.Upstream; v.Action == inband.ActionForward && c.w.reaches(u) && !c.w.isLost() {
		c.w.after(roundTrip, func() {
			if mine == c.serial && c.upstream == nil {
				c.upstream, c.acknowledged = u, 1000
				c.send(c.packet(0))
				c.request(mine)
			}
		})
	}
	wait := openingCopies[copies]
	if copies > 0 {
		wait -= openingCopies[copies-1]
	}
	c.w.after(wait, func() { c.sendOpening(mine, copies+1) })
}

func (c *caller) packet(bytes int) platform.Packet {
	return platform.Packet{
		Flow: c.flow, Token: c.upstream.Token(service), Sequence: c.sequence, Acknowledged: c.acknowledged,
		Acknowledges: true, PayloadBytes: bytes,
	}
}

// send gives a packet to the caller's daemon.
func (c *caller) send(p platform.Packet) inband.Verdict {
	d := c.w.daemons[c.daemon]
	v := d.Decide(p, c.w.clock())
	for _, change := range d.TakeHealthChanges() {
		c.w.onBelief(c.daemon, change)
	}
	return v
}

// request sends requests until the flow is over.
func (c *caller) request(mine int) {
	c.w.after(c.w.about(meanPause), func() {
		if mine != c.serial {
			return
		}
		if c.w.chance(1.0 / requestsAFlow) {
			p := c.packet(0)
			p.Finishes = true
			c.send(p)
			c.open(c.w.about(meanPause))
			return
		}
		r := &request{caller: c, mine: mine}
		c.w.after(deadline, r.expire)
		r.transmit(retransmitAfter)
	})
}

// request is one request of a caller.
type request struct {
	caller *caller
	mine   int
	// isTaken is set when the upstream has the data, isOver when the caller has its answer.
	isTaken, isHeard, isOver bool
}

// transmit sends the data, and again until the upstream acknowledges it. As the first data packet of a
// pair it is acknowledged with the answer, its copies at once.
func (r *request) transmit(next time.Duration) {
	c := r.caller
	if r.mine != c.serial || r.isHeard || r.isOver {
		return
	}
	v := c.send(c.packet(payloadBytes))
	if v.Action == inband.ActionReset {
		c.open(0)
		return
	}
	if v.Action == inband.ActionForward && c.w.reaches(v.Upstream) {
		if r.isTaken {
			r.isHeard = !c.w.isLost()
		} else {
			r.isTaken = true
			r.work(v.Upstream)
		}
	}
	c.w.after(next, func() { r.transmit(2 * next) })
}

// work has the upstream answer, if it does.
func (r *request) work(u *catalog.Upstream) {
	w := r.caller.w
	took := w.about(meanWork)
	switch w.condition[u.Key] {
	case Dead:
		return
	case Hanging:
		if w.chance(hangShare) {
			return
		}
	case Slow:
		took *= slowFactor
	case Healthy:
	}
	r.answer(took + roundTrip)
}

// answer arrives after a time, later if a packet of it is lost.
func (r *request) answer(after time.Duration) {
	c := r.caller
	c.w.after(after, func() {
		switch {
		case r.mine != c.serial || r.isOver:
		case c.w.isLost():
			r.answer(retransmitAfter)
		default:
			r.isOver = true
			c.sequence += payloadBytes
			c.acknowledged += answerBytes
			c.send(c.packet(0))
			c.request(r.mine)
		}
	})
}

// expire ends the flow of a request that was not answered in time.
func (r *request) expire() {
	c := r.caller
	if r.mine != c.serial || r.isOver {
		return
	}
	p := c.packet(0)
	p.Resets = true
	c.send(p)
	c.open(0)
}

// reaches reports whether a packet reaches an upstream that takes it.
func (w *world) reaches(u *catalog.Upstream) bool {
	return !w.isLost() && w.condition[u.Key] != Dead
}

// isLost draws whether the link loses a packet.
func (w *world) isLost() bool { return w.chance(w.c.Loss) }
