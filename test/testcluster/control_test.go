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
	"testing/synctest"
	"time"

	"connectrpc.com/connect"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/config/declaration"
	"github.com/fulmarfield/fulmarfield/wire"
)

// Load of the control runs. Of the two services the first has 15 upstreams, and the flows and
// requests are spread over all upstreams alike.
const (
	opensPerSecond = 42 // for each daemon
	requestShare   = 0.75
	slots          = 3
	serviceTime    = time.Second
	loadTick       = 20 * time.Millisecond
	sampleInterval = 5 * time.Second
	budgetWindow   = time.Minute
)

var upstreamCounts = []int{15, 4}

// controlRun is a deployment under load, of which the control bytes are sampled.
type controlRun struct {
	t        *testing.T
	cluster  *Cluster
	daemons  int
	meanLife time.Duration
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

func startControlRun(t *testing.T, daemons int, meanLife time.Duration) *controlRun {
	c := Start(t, Options{Declaration: writeDeclaration(t, daemons), Seed: 1, MeanService: serviceTime})
	r := &controlRun{
		t: t, cluster: c, daemons: daemons, meanLife: meanLife, rng: rand.New(rand.NewPCG(1, 1)),
		conn: c.listen(netip.MustParseAddrPort("127.9.0.1:40000")),
		ends: map[int64][]wire.FlowKey{}, samples: map[string][]int64{},
	}
	c.onClose(r.conn)
	if _, err := c.Apply(context.Background(), "z1-d1", "declare", "test"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(3 * time.Second)
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
	recent := r.flows[max(0, len(r.flows)-opensPerSecond*r.daemons*20):]
	flow := recent[r.rng.IntN(len(recent))]
	r.send(flow, &pb.Packet{
		Kind: pb.Kind_KIND_REQUEST, RequestId: uint64(time.Now().UnixMicro()), Attempt: 1, Idempotent: true,
		DeadlineMs: 10_000, Payload: []byte("request"),
	})
}

// load runs for a time and samples what each daemon has sent.
func (r *controlRun) load(d time.Duration, opens float64) {
	capacity := float64((upstreamCounts[0]+upstreamCounts[1])*slots) / serviceTime.Seconds()
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

// phase runs a minute of load after an event and returns the busiest daemon's bytes a second.
func (r *controlRun) phase(name string, event func()) float64 {
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
	r.load(budgetWindow, opensPerSecond)
	total, live := map[string]int64{}, r.cluster.Live()
	all, over, flows := int64(0), int64(0), uint64(0)
	for _, d := range live {
		byKind, _ := sentBytes(d)
		for kind, n := range byKind {
			total[kind] += n - before[string(d.Member.ID)][kind]
			all += n - before[string(d.Member.ID)][kind]
		}
		over += d.Node.Counters().Get("exception.over_budget")
		flows += r.flowCount(d)
	}
	kinds := make([]string, 0, len(total))
	for kind := range total {
		kinds = append(kinds, kind)
	}
	sort.Slice(kinds, func(i, j int) bool { return total[kinds[i]] > total[kinds[j]] })
	per := func(n int64) float64 { return float64(n) / float64(len(live)) / budgetWindow.Seconds() }
	var b strings.Builder
	for _, kind := range kinds {
		if per(total[kind]) >= 0.5 {
			fmt.Fprintf(&b, " %s %.0f", kind, per(total[kind]))
		}
	}
	id, busiest := r.busiest()
	r.t.Logf("%d daemons, %s: %.0f B/s on average, %.0f by the busiest (%s);%s; %d flows, %d over budget",
		r.daemons, name, per(all), busiest, id, b.String(), flows, over)
	return busiest
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

// phases runs the planned and unplanned changes one after another.
func (r *controlRun) phases(check func(phase string, busiest float64)) {
	nothing := func() {}
	check("steady", r.phase("steady", nothing))
	check("upstream added", r.phase("upstream added", func() {
		address := netip.MustParseAddrPort("127.1.1.99:9000")
		r.cluster.StartUpstream(declaration.Upstream{Name: "u1-99", Service: "service-1", Zone: "z1", Address: address, Slots: slots}, 99)
		r.command("add upstream u1-99 to service-1 zone z1 address 127.1.1.99:9000 slots 3")
	}))
	check("a minute later", r.phase("a minute later", nothing))
	check("upstream drained", r.phase("upstream drained", func() { r.command("drain upstream u1-5") }))
	check("daemon killed", r.phase("daemon killed", func() { r.cluster.Kill("z2-d1") }))
	check("daemon joined", r.phase("daemon joined", func() {
		r.cluster.StartDaemon("z3-8", "z3", netip.MustParseAddr("127.1.3.8"))
	}))
}

// TestMeasureControlTraffic prints the control bytes that whole daemons send, by kind. It runs
// only when asked for, since it takes minutes: FULMAR_MEASURE=1.
func TestMeasureControlTraffic(t *testing.T) {
	if os.Getenv("FULMAR_MEASURE") == "" {
		t.Skip("a measurement; set FULMAR_MEASURE=1")
	}
	for _, n := range []int{6, 12, 24} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := startControlRun(t, n, time.Minute)
				defer r.cluster.Close()
				// A minute's flows at once; their remaining lives are those of the steady state.
				r.load(10*time.Second, opensPerSecond*6)
				r.load(30*time.Second, opensPerSecond)
				r.samples = map[string][]int64{}
				r.phases(func(string, float64) {})
			})
		})
	}
}
