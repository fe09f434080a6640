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

// controlLoad is the load of a control run. Flows and requests are spread evenly over all upstreams.
type controlLoad struct {
	daemons      int
	openRate     float64 // new flows per second and daemon
	meanFlowLife time.Duration
	serviceTime  time.Duration
}

const (
	// utilization is the rate of requests as a share of the capacity of all upstreams.
	utilization      = 0.75
	slotsPerUpstream = 3
	settleTime       = 10 * time.Second
	loadTick         = 20 * time.Millisecond
	sampleInterval   = 5 * time.Second
	// budgetWindow is the time over which the limit of control traffic is averaged.
	budgetWindow = time.Minute
)

var upstreamCounts = []int{15, 4}

// controlRun is a deployment under load whose control traffic is sampled.
type controlRun struct {
	controlLoad
	t           *testing.T
	cluster     *Cluster
	rng         *rand.Rand
	conn        wire.Conn
	flows       []wire.FlowKey
	closeTicks  map[int64][]wire.FlowKey // flows to close, by load tick
	opened      uint32
	dueOpens    float64 // flows to open in the next ticks; the fraction carries over
	dueRequests float64 // requests to send in the next ticks; the fraction carries over
	tick        int64
	samples     map[string][]int64 // control bytes sent so far, by daemon, every sampleInterval
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
				s+1, i+1, s+1, zone, zone, 50+20*s+i/4, slotsPerUpstream)
		}
	}
	path := filepath.Join(t.TempDir(), "control.yaml")
	if err := os.WriteFile(path, []byte(b.String()), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// startControlRun starts the deployment and opens the flows of the steady state. Lifetimes are
// exponential, so the remaining lifetime of an open flow is distributed as that of a new one.
func startControlRun(t *testing.T, l controlLoad) *controlRun {
	c := Start(t, Options{Declaration: writeDeclaration(t, l.daemons), Seed: 1, MeanService: l.serviceTime})
	r := &controlRun{
		t: t, cluster: c, controlLoad: l, rng: rand.New(rand.NewPCG(1, 1)),
		conn:       c.listen(netip.MustParseAddrPort("127.9.0.1:40000")),
		closeTicks: map[int64][]wire.FlowKey{}, samples: map[string][]int64{},
	}
	c.closeOnShutdown(r.conn)
	if _, err := c.Apply(context.Background(), "z1-d1", "declare", "test"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(3 * time.Second)
	const prefill = 10 * time.Second
	r.runLoad(prefill, l.openRate*l.meanFlowLife.Seconds()/prefill.Seconds())
	r.runLoad(settleTime, l.openRate)
	r.samples = map[string][]int64{}
	return r
}

// randomService draws a service with a probability in proportion to its number of upstreams.
func (r *controlRun) randomService() netip.AddrPort {
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

// openFlow opens a flow from an address without a listener; packets to the caller are lost.
func (r *controlRun) openFlow() {
	r.opened++
	caller := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 16 + byte(r.opened>>16), byte(r.opened >> 8), byte(r.opened)}), 40000)
	flow, err := wire.NewFlowKey(caller, r.randomService())
	if err != nil {
		r.t.Fatal(err)
	}
	r.send(flow, &pb.Packet{Kind: pb.Kind_KIND_OPEN})
	end := r.tick + 1 + int64(r.rng.ExpFloat64()*float64(r.meanFlowLife)/float64(loadTick))
	r.closeTicks[end] = append(r.closeTicks[end], flow)
	r.flows = append(r.flows, flow)
}

// sendRequest sends an idempotent request on a random flow among those opened recently.
func (r *controlRun) sendRequest() {
	if len(r.flows) == 0 {
		return
	}
	recent := r.flows[max(0, len(r.flows)-int(r.openRate*20)*r.daemons):]
	flow := recent[r.rng.IntN(len(recent))]
	r.send(flow, &pb.Packet{
		Kind: pb.Kind_KIND_REQUEST, RequestId: uint64(time.Now().UnixMicro()), Attempt: 1, Idempotent: true,
		DeadlineMs: 10_000, Payload: []byte("request"),
	})
}

// runLoad opens and closes flows and sends requests for a time, and samples the bytes that each
// daemon has sent.
func (r *controlRun) runLoad(d time.Duration, opens float64) {
	capacity := float64((upstreamCounts[0]+upstreamCounts[1])*slotsPerUpstream) / r.serviceTime.Seconds()
	sampleTicks := int64(sampleInterval / loadTick)
	for range int64(d / loadTick) {
		time.Sleep(loadTick)
		r.tick++
		for r.dueOpens += opens * float64(r.daemons) * loadTick.Seconds(); r.dueOpens >= 1; r.dueOpens-- {
			r.openFlow()
		}
		for _, flow := range r.closeTicks[r.tick] {
			r.send(flow, &pb.Packet{Kind: pb.Kind_KIND_CLOSE})
		}
		delete(r.closeTicks, r.tick)
		for r.dueRequests += capacity * utilization * loadTick.Seconds(); r.dueRequests >= 1; r.dueRequests-- {
			r.sendRequest()
		}
		if r.tick%sampleTicks == 0 {
			r.sampleSentBytes()
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

func (r *controlRun) sampleSentBytes() {
	for _, d := range r.cluster.Live() {
		id := string(d.Member.ID)
		if r.samples[id] == nil {
			r.samples[id] = []int64{0} // A daemon has sent nothing before its start.
		}
		_, all := sentBytes(d)
		r.samples[id] = append(r.samples[id], all)
	}
}

// busiestDaemon returns the daemon that sent the most in any window that ended in this phase, and its
// rate in bytes per second.
func (r *controlRun) busiestDaemon() (name string, perSecond float64) {
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

// runPhase runs an event, then load for a time, a minute in all, and returns the bytes per second of
// the busiest daemon.
func (r *controlRun) runPhase(name string, after time.Duration, event func()) float64 {
	for id, samples := range r.samples {
		r.samples[id] = samples[max(0, len(samples)-int(budgetWindow/sampleInterval)):]
	}
	before := map[string]map[string]int64{}
	if len(r.samples) == 0 {
		r.sampleSentBytes()
		for id, samples := range r.samples {
			r.samples[id] = samples[1:]
		}
	}
	for _, d := range r.cluster.Live() {
		before[string(d.Member.ID)], _ = sentBytes(d)
	}
	event()
	r.runLoad(after, r.openRate)
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
	id, busiest := r.busiestDaemon()
	own := map[string]int64{}
	if d := r.cluster.Daemon(id); d != nil {
		byKind, _ := sentBytes(d)
		for kind, n := range byKind {
			own[kind] = n - before[id][kind]
		}
	}
	r.t.Logf("%d daemons, %s: %.0f B/s on average, %.0f by the busiest (%s); %s; busiest: %s; %d flows, %d over budget, budget left at least %d",
		r.daemons, name, float64(all)/seconds, busiest, id, formatRates(total, seconds), formatRates(own, budgetWindow.Seconds()), flows, over, left)
	return busiest
}

// formatRates lists bytes per second by kind of message, in descending order.
func formatRates(bytes map[string]int64, seconds float64) string {
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

func (r *controlRun) runCommand(line string) {
	if _, err := r.cluster.Run(context.Background(), "z1-d1", line, line, "test"); err != nil {
		r.t.Fatal(err)
	}
}

func (r *controlRun) addUpstream() {
	address := netip.MustParseAddrPort("127.1.1.99:9000")
	r.cluster.StartUpstream(declaration.Upstream{Name: "u1-99", Service: "service-1", Zone: "z1", Address: address, Slots: slotsPerUpstream}, 99)
	r.runCommand("add upstream u1-99 to service-1 zone z1 address 127.1.1.99:9000 slots 3")
}

func (r *controlRun) drainUpstream() { r.runCommand("drain upstream u1-5") }

func (r *controlRun) killDaemon() { r.cluster.Kill("z2-d1") }

func (r *controlRun) joinDaemon() {
	r.cluster.StartDaemon("z3-8", "z3", netip.MustParseAddr("127.1.3.8"))
}

// runPhases runs the planned and unplanned changes one after another and calls check after each.
func (r *controlRun) runPhases(check func(phase string, busiest float64)) {
	nothing := func() {}
	for _, p := range []struct {
		name  string
		event func()
	}{
		{"steady", nothing}, {"upstream added", r.addUpstream}, {"a minute later", nothing},
		{"upstream drained", r.drainUpstream}, {"daemon killed", r.killDaemon}, {"daemon joined", r.joinDaemon},
	} {
		check(p.name, r.runPhase(p.name, budgetWindow, p.event))
	}
}
