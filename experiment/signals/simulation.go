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
	// meanServiceTime and roundTrip follow the users' data sheets: requests take 30 to 52 ms, and callers
	// are 3 ms away.
	meanServiceTime = 40 * time.Millisecond
	roundTrip       = 6 * time.Millisecond
	// meanPause is the mean pause between two requests of a flow, and deadline the time after which a caller
	// abandons a request. meanRequestsPerFlow is the mean number of requests before a caller opens another
	// flow.
	meanPause           = 500 * time.Millisecond
	deadline            = 1500 * time.Millisecond
	meanRequestsPerFlow = 12
	// slowFactor multiplies the service time of slow upstreams. hangShare is the share of requests that
	// hanging upstreams never answer.
	slowFactor = 8
	hangShare  = 0.4
	// answerBytes is the size of an answer, and payloadBytes that of a request.
	answerBytes, payloadBytes = 2000, 900
)

// openRetransmits contains the times, since the first transmission, at which a caller retransmits an
// opening packet. At the last of these times the caller abandons the flow instead.
var openRetransmits = []time.Duration{200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond}

// retransmitAfter is the time after which data is retransmitted. It doubles with each retransmission.
const retransmitAfter = 200 * time.Millisecond

var (
	service = netip.MustParseAddrPort("198.18.0.1:8443")
	epoch   = time.Unix(1_700_000_000, 0)
)

// event is a function that runs at a simulated time.
type event struct {
	at time.Duration
	// order keeps events of equal time in the order in which they were added.
	order int
	do    func()
}

// eventQueue is a heap of events in order of time.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) } //nolint:forcetypeassert // Only events are pushed.
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simulation is the state of one case in simulated time.
type simulation struct {
	params     Case
	now        time.Duration
	events     eventQueue
	eventCount int
	random     *rand.Rand
	catalog    *catalog.Catalog
	daemons    []*inband.Steerer
	conditions map[uint64]Condition
	// slotsFreeAt holds, for each upstream, the times at which its slots are free again.
	slotsFreeAt map[uint64][]time.Duration
	nextPort    int
	// onHealthChange is called for each health change that a daemon reports.
	onHealthChange func(daemon int, change suspicion.HealthChange)
	// onDecision is called, if it is set, after each decision of a daemon.
	onDecision func(daemon int)
}

// clock returns the simulated time. The next three methods make the simulation an inband.Freshness, by which
// all records are always validated at the current time and no complete list of upstreams is ever read.
func (sim *simulation) clock() time.Time                    { return epoch.Add(sim.now) }
func (sim *simulation) ConfigValidatedAt() time.Time        { return sim.clock() }
func (sim *simulation) UpstreamsValidatedAt() time.Time     { return sim.clock() }
func (sim *simulation) UpstreamsListedSince(time.Time) bool { return false }
func (sim *simulation) ConfigValidatedSince(time.Time) bool { return false }
func (sim *simulation) withProbability(share float64) bool  { return sim.random.Float64() < share }

// exponentialDuration returns an exponentially distributed duration.
func (sim *simulation) exponentialDuration(mean time.Duration) time.Duration {
	return time.Duration(sim.random.ExpFloat64() * float64(mean))
}

// scheduleAfter adds an event after a delay.
func (sim *simulation) scheduleAfter(d time.Duration, do func()) {
	sim.eventCount++
	heap.Push(&sim.events, event{sim.now + d, sim.eventCount, do})
}

// newSimulation returns a simulation of healthy upstreams that are all registered, and of daemons without
// flows.
func newSimulation(params Case, seed uint64) *simulation {
	sim := &simulation{params: params, random: rand.New(rand.NewPCG(seed, 1)), conditions: map[uint64]Condition{}, slotsFreeAt: map[uint64][]time.Duration{}}
	sim.catalog = catalog.New(sim.clock)
	sim.catalog.SetConfiguration(&catalog.Configuration{Version: 1, Routes: map[netip.AddrPort]*catalog.Route{
		service: {Address: service, Kind: catalog.KindSafe, Targets: []catalog.Target{{Service: "s", Weight: 1}}},
	}})
	var upstreams []*catalog.Upstream
	for i := range params.Upstreams {
		id := fmt.Sprintf("i-%04x", i)
		upstreams = append(upstreams, &catalog.Upstream{
			ID: id, Key: catalog.IncarnationKey(id, 1), Instance: uint64(i), Service: "s", Zone: "z", Slots: 2, StartedAt: 1,
		})
	}
	sim.catalog.SetUpstreams(upstreams)
	for range params.Daemons {
		sim.daemons = append(sim.daemons, inband.NewSteerer(inband.Options{
			Zone: "z", Catalog: sim.catalog, Freshness: sim, PropagationBound: 3 * time.Second,
			Random:      rand.New(rand.NewPCG(seed, uint64(len(sim.daemons)+2))),
			DaemonCount: func() int { return params.Daemons },
		}))
	}
	return sim
}

// run executes events until the given time.
func (sim *simulation) run(end time.Duration) {
	for len(sim.events) > 0 && sim.events[0].at <= end {
		next := heap.Pop(&sim.events).(event) //nolint:forcetypeassert // Only events are pushed.
		sim.now = next.at
		next.do()
	}
	sim.now = end
}

// caller opens one flow after the other and sends requests on it.
type caller struct {
	sim    *simulation
	daemon int
	flow   wire.FlowKey
	// upstream is the upstream on which the flow opened, or nil before that.
	upstream *catalog.Upstream
	// sequence is the number of the next byte to send, and acknowledged the number of the next byte that
	// the caller expects.
	sequence, acknowledged uint32
	// serial counts the flows. A timer that was set for an earlier flow does nothing.
	serial int
}

// openFlow ends the current flow and opens another one after a pause.
func (c *caller) openFlow(pause time.Duration) {
	c.serial++
	timerSerial := c.serial
	c.sim.scheduleAfter(pause, func() {
		c.sim.nextPort++
		port := c.sim.nextPort
		source := netip.AddrFrom4([4]byte{100, 64, byte(port >> 14), 1})
		flow, err := wire.NewFlowKey(netip.AddrPortFrom(source, uint16(1024+port&0x3fff)), service)
		if err != nil {
			panic(err) // The addresses are built here.
		}
		c.flow, c.upstream, c.sequence, c.acknowledged = flow, nil, 1, 0
		c.daemon = c.sim.random.IntN(len(c.sim.daemons))
		c.sendOpen(timerSerial, 0)
	})
}

// sendOpen sends an opening packet and schedules its retransmissions.
func (c *caller) sendOpen(timerSerial, retransmissions int) {
	if timerSerial != c.serial || c.upstream != nil {
		return
	}
	if retransmissions == len(openRetransmits) {
		c.openFlow(0)
		return
	}
	v := c.send(platform.Packet{Flow: c.flow, Opens: true, Acknowledged: uint32(retransmissions)})
	if u := v.Upstream; v.Action == inband.ActionForward && c.sim.reaches(u) && !c.sim.isLost() {
		c.sim.scheduleAfter(roundTrip, func() {
			if timerSerial == c.serial && c.upstream == nil {
				c.upstream, c.acknowledged = u, 1000
				c.send(c.packet(0))
				c.scheduleRequest(timerSerial)
			}
		})
	}
	wait := openRetransmits[retransmissions]
	if retransmissions > 0 {
		wait -= openRetransmits[retransmissions-1]
	}
	c.sim.scheduleAfter(wait, func() { c.sendOpen(timerSerial, retransmissions+1) })
}

// packet returns a packet of the open flow with a number of payload bytes.
func (c *caller) packet(bytes int) platform.Packet {
	return platform.Packet{
		Flow: c.flow, Token: c.upstream.Token(service), Sequence: c.sequence, Acknowledged: c.acknowledged,
		Acknowledges: true, PayloadBytes: bytes,
	}
}

// send passes a packet to the caller's daemon and returns its verdict.
func (c *caller) send(p platform.Packet) inband.Verdict {
	d := c.sim.daemons[c.daemon]
	v := d.Decide(p, c.sim.clock())
	for _, change := range d.TakeHealthChanges() {
		c.sim.onHealthChange(c.daemon, change)
	}
	if c.sim.onDecision != nil {
		c.sim.onDecision(c.daemon)
	}
	return v
}

// scheduleRequest sends the next request after a pause, or ends the flow.
func (c *caller) scheduleRequest(timerSerial int) {
	c.sim.scheduleAfter(c.sim.exponentialDuration(meanPause), func() {
		if timerSerial != c.serial {
			return
		}
		if c.sim.withProbability(1.0 / meanRequestsPerFlow) {
			p := c.packet(0)
			p.Finishes = true
			c.send(p)
			c.openFlow(c.sim.exponentialDuration(meanPause))
			return
		}
		r := &request{caller: c, timerSerial: timerSerial}
		c.sim.scheduleAfter(deadline, r.expire)
		r.transmit(retransmitAfter)
	})
}

// request is one request of a caller.
type request struct {
	caller *caller
	// timerSerial is the serial of the flow on which the request was sent.
	timerSerial int
	// isReceived is set when the upstream has received the data, isAcknowledged when the caller has received
	// the acknowledgement of the data, and isOver when it has received the answer.
	isReceived, isAcknowledged, isOver bool
}

// transmit sends the data and retransmits it until the upstream acknowledges it. The upstream acknowledges
// the first packet that it receives with the answer, and retransmissions immediately.
func (r *request) transmit(next time.Duration) {
	c := r.caller
	if r.timerSerial != c.serial || r.isAcknowledged || r.isOver {
		return
	}
	v := c.send(c.packet(payloadBytes))
	if v.Action == inband.ActionReset {
		c.openFlow(0)
		return
	}
	if v.Action == inband.ActionForward && c.sim.reaches(v.Upstream) {
		if r.isReceived {
			r.isAcknowledged = !c.sim.isLost()
		} else {
			r.isReceived = true
			r.isAcknowledged = c.sim.params.AcknowledgesEarly && !c.sim.isLost()
			r.serve(v.Upstream)
		}
	}
	c.sim.scheduleAfter(next, func() { r.transmit(2 * next) })
}

// serve schedules the answer of the upstream, unless its condition prevents an answer.
func (r *request) serve(u *catalog.Upstream) {
	sim := r.caller.sim
	duration := sim.exponentialDuration(meanServiceTime)
	switch sim.conditions[u.Key] {
	case Dead:
		return
	case Hanging:
		if sim.withProbability(orDefault(sim.params.MuteShare, hangShare)) {
			return
		}
	case Slow:
		duration = time.Duration(float64(duration) * orDefault(sim.params.SlowFactor, slowFactor))
	case Healthy:
	}
	r.deliverAnswer(sim.waitForSlot(u, duration) + duration + roundTrip)
}

// orDefault returns value, or the default if value is 0.
func orDefault(value, byDefault float64) float64 {
	if value == 0 {
		return byDefault
	}
	return value
}

// waitForSlot returns how long a request waits at an upstream, and occupies the slot for its duration.
func (sim *simulation) waitForSlot(u *catalog.Upstream, duration time.Duration) time.Duration {
	if sim.params.Slots == 0 {
		return 0
	}
	slots := sim.slotsFreeAt[u.Key]
	if slots == nil {
		slots = make([]time.Duration, sim.params.Slots)
		sim.slotsFreeAt[u.Key] = slots
	}
	first := 0
	for i, at := range slots {
		if at < slots[first] {
			first = i
		}
	}
	wait := max(slots[first]-sim.now, 0)
	slots[first] = sim.now + wait + duration
	return wait
}

// deliverAnswer delivers the answer after a time, and retransmits it until it is not lost.
func (r *request) deliverAnswer(after time.Duration) {
	c := r.caller
	c.sim.scheduleAfter(after, func() {
		switch {
		case r.timerSerial != c.serial || r.isOver:
		case c.sim.isLost():
			r.deliverAnswer(retransmitAfter)
		default:
			r.isOver = true
			c.sequence += payloadBytes
			c.acknowledged += answerBytes
			c.send(c.packet(0))
			c.scheduleRequest(r.timerSerial)
		}
	})
}

// expire resets the flow of a request that was not answered within the deadline, and opens another one.
func (r *request) expire() {
	c := r.caller
	if r.timerSerial != c.serial || r.isOver {
		return
	}
	p := c.packet(0)
	p.Resets = true
	c.send(p)
	c.openFlow(0)
}

// reaches reports whether a packet reaches an upstream that is not dead.
func (sim *simulation) reaches(u *catalog.Upstream) bool {
	return !sim.isLost() && sim.conditions[u.Key] != Dead
}

// isLost determines at random whether the link loses a packet.
func (sim *simulation) isLost() bool { return sim.withProbability(sim.params.Loss) }
