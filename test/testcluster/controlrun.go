package testcluster

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/config/declaration"
	"github.com/fulmarfield/fulmarfield/peer"
	"github.com/fulmarfield/fulmarfield/wire"
)

// controlLoad is the load of a control run. Flows and requests are spread over all upstreams alike.
type controlLoad struct {
	daemons     int
	opens       float64 // new flows a second for each daemon
	meanLife    time.Duration
	serviceTime time.Duration
}

const (
	requestShare   = 0.75
	slots          = 3
	settleTime     = 10 * time.Second
	loadTick       = 20 * time.Millisecond
	sampleInterval = 5 * time.Second
	budgetWindow   = time.Minute
)

var upstreamCounts = []int{15, 4}

// controlRun is a deployment under load, of which the control bytes are sampled.
type controlRun struct {
	controlLoad
	t        *testing.T
	cluster  *Cluster
	rng      *rand.Rand
	conn     wire.Conn
	flows    []wire.FlowKey
	ends     map[int64][]wire.FlowKey
	opened   uint32
	due      float64
	requests float64
	tick     int64
	samples  map[string][]int64
}

// writeDeclaration writes a deployment of four zones to a file.
func writeDeclaration(t *testing.T, daemons int) string {
	var b strings.Builder
	b.WriteString("deployment: control\nzones: [z1, z2, z3, z4]\ndaemons:\n")
	for i := range daemons {
		zone := i%4 + 1
		fmt.Fprintf(&b, "  - {name: z%d-d%d, zone: z%d, address: 127.1.%d.%d}\n", zone, i/4+1, zone, zone, i/4+1)
	}
	b.WriteString("services:\n")
	for s := range upstreamCounts {
		fmt.Fprintf(&b, "  - {name: service-%d, address: \"127.2.%d.1:8000\", aim: balance}\n", s+1, s+1)
	}
	b.WriteString("upstreams:\n")
	for s, n := range upstreamCounts {
		for i := range n {
			zone := i%4 + 1
			fmt.Fprintf(&b, "  - {name: u%d-%d, service: service-%d, zone: z%d, address: \"127.1.%d.%d:9000\", slots: %d}\n",
				s+1, i+1, s+1, zone, zone, 50+20*s+i/4, slots)
		}
	}
	path := filepath.Join(t.TempDir(), "control.yaml")
	if err := os.WriteFile(path, []byte(b.String()), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// startControlRun starts the deployment and opens the flows of the steady state, whose remaining
// lives are those of new ones.
func startControlRun(t *testing.T, l controlLoad) *controlRun {
	c := Start(t, Options{Declaration: writeDeclaration(t, l.daemons), Seed: 1, MeanService: l.serviceTime})
	r := &controlRun{
		t: t, cluster: c, controlLoad: l, rng: rand.New(rand.NewPCG(1, 1)),
		conn: c.listen(netip.MustParseAddrPort("127.9.0.1:40000")),
		ends: map[int64][]wire.FlowKey{}, samples: map[string][]int64{},
	}
	c.onClose(r.conn)
	if _, err := c.Apply(context.Background(), "z1-d1", "declare", "test"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(3 * time.Second)
	const prefill = 10 * time.Second
	r.load(prefill, l.opens*l.meanLife.Seconds()/prefill.Seconds())
	r.load(settleTime, l.opens)
	r.samples = map[string][]int64{}
	return r
}

// service draws a service in proportion to its upstreams.
func (r *controlRun) service() netip.AddrPort {
	n := r.rng.IntN(upstreamCounts[0] + upstreamCounts[1])
	if n < upstreamCounts[0] {
		return r.cluster.Declaration.Services[0].Address
	}
	return r.cluster.Declaration.Services[1].Address
}

func (r *controlRun) send(flow wire.FlowKey, p *pb.Packet) {
	p.Flow = flow.Proto()
	raw, err := wire.EncodePacket(p)
	if err != nil {
		r.t.Fatal(err)
	}
	_ = r.conn.Send(flow.Service(), raw)
}

// open opens a flow from an address at which nothing listens: answers to callers are lost.
func (r *controlRun) open() {
	r.opened++
	caller := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 16 + byte(r.opened>>16), byte(r.opened >> 8), byte(r.opened)}), 40000)
	flow, err := wire.NewFlowKey(caller, r.service())
	if err != nil {
		r.t.Fatal(err)
	}
	r.send(flow, &pb.Packet{Kind: pb.Kind_KIND_OPEN})
	end := r.tick + 1 + int64(r.rng.ExpFloat64()*float64(r.meanLife)/float64(loadTick))
	r.ends[end] = append(r.ends[end], flow)
	r.flows = append(r.flows, flow)
}

// request sends an idempotent request on a random flow that was opened lately.
func (r *controlRun) request() {
	if len(r.flows) == 0 {
		return
	}
	recent := r.flows[max(0, len(r.flows)-int(r.opens*20)*r.daemons):]
	flow := recent[r.rng.IntN(len(recent))]
	r.send(flow, &pb.Packet{
		Kind: pb.Kind_KIND_REQUEST, RequestId: uint64(time.Now().UnixMicro()), Attempt: 1, Idempotent: true,
		DeadlineMs: 10_000, Payload: []byte("request"),
	})
}

// load runs for a time and samples what each daemon has sent.
func (r *controlRun) load(d time.Duration, opens float64) {
	capacity := float64((upstreamCounts[0]+upstreamCounts[1])*slots) / r.serviceTime.Seconds()
	sampleTicks := int64(sampleInterval / loadTick)
	for range int64(d / loadTick) {
		time.Sleep(loadTick)
		r.tick++
		for r.due += opens * float64(r.daemons) * loadTick.Seconds(); r.due >= 1; r.due-- {
			r.open()
		}
		for _, flow := range r.ends[r.tick] {
			r.send(flow, &pb.Packet{Kind: pb.Kind_KIND_CLOSE})
		}
		delete(r.ends, r.tick)
		for r.requests += capacity * requestShare * loadTick.Seconds(); r.requests >= 1; r.requests-- {
			r.request()
		}
		if r.tick%sampleTicks == 0 {
			r.sample()
		}
	}
}

func sentBytes(d *Daemon) (byKind map[string]int64, all int64) {
	byKind = map[string]int64{}
	for name, n := range d.Node.Counters().Snapshot() {
		if kind, ok := strings.CutPrefix(name, "control.sent."); ok {
			byKind[kind] += n
			all += n
		}
	}
	return byKind, all
}

func (r *controlRun) sample() {
	for _, d := range r.cluster.Live() {
		id := string(d.Member.ID)
		if r.samples[id] == nil {
			r.samples[id] = []int64{0} // Nothing was sent before its start.
		}
		_, all := sentBytes(d)
		r.samples[id] = append(r.samples[id], all)
	}
}

// busiest returns the most that one daemon has sent in any window that ended in this phase, in
// bytes a second.
func (r *controlRun) busiest() (name string, perSecond float64) {
	window := int(budgetWindow / sampleInterval)
	for id, samples := range r.samples {
		for i, after := range samples {
			before := samples[max(0, i-window)]
			if sent := float64(after-before) / budgetWindow.Seconds(); sent > perSecond {
				name, perSecond = id, sent
			}
		}
	}
	return name, perSecond
}

// phase runs an event and load for a time after it, a minute in all, and returns the busiest
// daemon's bytes a second.
func (r *controlRun) phase(name string, after time.Duration, event func()) float64 {
	for id, samples := range r.samples {
		r.samples[id] = samples[max(0, len(samples)-int(budgetWindow/sampleInterval)):]
	}
	before := map[string]map[string]int64{}
	if len(r.samples) == 0 {
		r.sample()
		for id, samples := range r.samples {
			r.samples[id] = samples[1:]
		}
	}
	for _, d := range r.cluster.Live() {
		before[string(d.Member.ID)], _ = sentBytes(d)
	}
	event()
	r.load(after, r.opens)
	total, live := map[string]int64{}, r.cluster.Live()
	all, over, flows, left := int64(0), int64(0), uint64(0), peer.BudgetBurst
	for _, d := range live {
		byKind, _ := sentBytes(d)
		for kind, n := range byKind {
			total[kind] += n - before[string(d.Member.ID)][kind]
			all += n - before[string(d.Member.ID)][kind]
		}
		left = min(left, d.budget.Available(time.Now()))
		over += d.Node.Counters().Get("exception.over_budget")
		flows += r.flowCount(d)
	}
	seconds := float64(len(live)) * budgetWindow.Seconds()
	id, busiest := r.busiest()
	own := map[string]int64{}
	if d := r.cluster.Daemon(id); d != nil {
		byKind, _ := sentBytes(d)
		for kind, n := range byKind {
			own[kind] = n - before[id][kind]
		}
	}
	r.t.Logf("%d daemons, %s: %.0f B/s on average, %.0f by the busiest (%s); %s; busiest: %s; %d flows, %d over budget, budget left at least %d",
		r.daemons, name, float64(all)/seconds, busiest, id, rates(total, seconds), rates(own, budgetWindow.Seconds()), flows, over, left)
	return busiest
}

// rates lists bytes a second by kind, the largest first.
func rates(bytes map[string]int64, seconds float64) string {
	kinds := make([]string, 0, len(bytes))
	for kind := range bytes {
		kinds = append(kinds, kind)
	}
	sort.Slice(kinds, func(i, j int) bool { return bytes[kinds[i]] > bytes[kinds[j]] })
	var b strings.Builder
	for _, kind := range kinds {
		if rate := float64(bytes[kind]) / seconds; rate >= 0.5 {
			fmt.Fprintf(&b, " %s %.0f", kind, rate)
		}
	}
	return strings.TrimSpace(b.String())
}

func (r *controlRun) flowCount(d *Daemon) uint64 {
	status, err := d.Node.PeerService().Status(context.Background(), connect.NewRequest(&pb.StatusRequest{}))
	if err != nil {
		r.t.Fatal(err)
	}
	return status.Msg.GetFlowCount()
}

func (r *controlRun) command(line string) {
	if _, err := r.cluster.Run(context.Background(), "z1-d1", line, line, "test"); err != nil {
		r.t.Fatal(err)
	}
}

func (r *controlRun) addUpstream() {
	address := netip.MustParseAddrPort("127.1.1.99:9000")
	r.cluster.StartUpstream(declaration.Upstream{Name: "u1-99", Service: "service-1", Zone: "z1", Address: address, Slots: slots}, 99)
	r.command("add upstream u1-99 to service-1 zone z1 address 127.1.1.99:9000 slots 3")
}

func (r *controlRun) drainUpstream() { r.command("drain upstream u1-5") }

func (r *controlRun) killDaemon() { r.cluster.Kill("z2-d1") }

func (r *controlRun) joinDaemon() {
	r.cluster.StartDaemon("z3-8", "z3", netip.MustParseAddr("127.1.3.8"))
}

// phases runs the planned and unplanned changes one after another.
func (r *controlRun) phases(check func(phase string, busiest float64)) {
	nothing := func() {}
	for _, p := range []struct {
		name  string
		event func()
	}{
		{"steady", nothing}, {"upstream added", r.addUpstream}, {"a minute later", nothing},
		{"upstream drained", r.drainUpstream}, {"daemon killed", r.killDaemon}, {"daemon joined", r.joinDaemon},
	} {
		check(p.name, r.phase(p.name, budgetWindow, p.event))
	}
}
