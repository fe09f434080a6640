package experiment

import (
	"math"
	"time"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/wire"
)

const (
	// rampTime is the time over which the initial flows open.
	rampTime = 20 * time.Second
	// A packet without an answer is sent maxTries times, one retransmitInterval apart.
	retransmitInterval = time.Second
	maxTries           = 6
	// maxReopenDelay bounds the random delay before a caller reconnects.
	maxReopenDelay = time.Second
)

// flow is a caller's connection.
type flow struct {
	key  wire.FlowKey
	hash uint64
	// upstream is 0 until the flow is open.
	upstream uint32
	// serial counts the packets sent, and answeredSerial is the serial of the last answered packet. A
	// packet is retransmitted until it is answered.
	serial, answeredSerial uint64
	isEnded                bool
	token                  uint64
	lastRequestID          uint64
	requests               map[uint64]*attempt
	isHeavy                bool
}

// openInitialFlows opens the declared flows at random times of the ramp.
func (sim *simulation) openInitialFlows() {
	for i := range sim.settings.Flows {
		isHeavy := float64(i) < sim.settings.HeavyCallers*float64(sim.settings.Flows)
		sim.clock.scheduleAt(time.Duration(float64(rampTime)*sim.rand.Float64()), func() { sim.openFlow(isHeavy) })
	}
}

// openFlow opens a flow from a new caller port.
func (sim *simulation) openFlow(isHeavy bool) {
	i := sim.nextPort
	sim.nextPort++
	f := &flow{isHeavy: isHeavy, requests: map[uint64]*attempt{}, key: wire.FlowKey{CallerIP: 0x7f090000 + uint32(i>>15),
		CallerPort: uint16(i&0x7fff) + 1024, ServiceIP: serviceIP, ServicePort: servicePort}}
	f.hash = f.key.Hash()
	sim.flows[f.key] = f
	sim.measures.openedFlows++
	sim.transmit(f, pb.Kind_KIND_OPEN)
	if sim.settings.MeanLife > 0 {
		sim.clock.scheduleAfter(sim.randomLifetime(), func() { sim.closeFlow(f) })
	}
	sim.sendPackets(f)
}

// randomLifetime returns a flow lifetime from a Pareto distribution with the declared mean.
func (sim *simulation) randomLifetime() time.Duration {
	least := float64(sim.settings.MeanLife) * (sim.settings.Tail - 1) / sim.settings.Tail
	return time.Duration(min(least*math.Pow(1-sim.rand.Float64(), -1/sim.settings.Tail), float64(maxDuration)))
}

// sendPackets sends data packets on a flow at random intervals until the flow ends. It sends none if
// requests are offered, which keep the flows in use.
func (sim *simulation) sendPackets(f *flow) {
	sim.clock.scheduleAfter(time.Duration(float64(sim.settings.PacketEvery)*(0.5+sim.rand.Float64())), func() {
		if f.isEnded {
			return
		}
		if f.upstream != 0 && sim.settings.Offered == 0 {
			sim.transmit(f, pb.Kind_KIND_DATA)
		}
		sim.sendPackets(f)
	})
}

// transmit sends a packet until it is answered. Without an answer to the last transmission the flow
// counts as broken.
func (sim *simulation) transmit(f *flow, kind pb.Kind) {
	f.serial++
	sim.sendTransmission(f, kind, f.serial, 1)
}

// sendTransmission sends the given transmission of a packet and schedules the next one.
func (sim *simulation) sendTransmission(f *flow, kind pb.Kind, serial uint64, tries int) {
	if f.isEnded || f.answeredSerial >= serial {
		return
	}
	if tries > maxTries {
		sim.breakFlow(f, "no answer")
		return
	}
	sim.sendThroughFabric(f, &pb.Packet{Flow: f.key.Proto(), Kind: kind})
	sim.clock.scheduleAfter(retransmitInterval, func() { sim.sendTransmission(f, kind, serial, tries+1) })
}

// sendThroughFabric sends a packet of a flow through the fabric to a daemon, and from there to the flow
// owner or, under the other policies, to the chosen upstream.
func (sim *simulation) sendThroughFabric(f *flow, p *pb.Packet) {
	n := sim.ingress(f.hash)
	if n == nil {
		return
	}
	if sim.policy != Fulmar {
		if u := sim.chooseUpstream(n, f, p.GetKind()); u != 0 {
			p.Upstream = u
			sim.handleSteered(u, p)
		}
		return
	}
	holder := sim.holders.currentHolder(partition(f.hash))
	if holder < 0 || sim.nodes[holder].dead.Load() {
		return
	}
	raw, err := wire.EncodePacket(p)
	if err != nil {
		return
	}
	sim.nodes[holder].steerer.HandleCaller(wire.Header{Flow: f.key, Kind: p.GetKind()}, raw)
}

// handleSteered handles a packet that steering or another policy sends to an upstream. A packet that
// reaches an upstream other than that of its flow breaks the flow.
func (sim *simulation) handleSteered(u uint32, p *pb.Packet) {
	f := sim.flows[wire.FlowKeyFromProto(p.GetFlow())]
	if f == nil || f.isEnded {
		return
	}
	target := sim.upstreams[u]
	switch {
	case target == nil || target.isRemoved:
		if f.upstream == u {
			sim.breakFlow(f, "upstream removed")
		}
		return
	case f.upstream == 0:
		f.upstream = u
		target.flows++
		sim.addOpenFlow(f)
	case f.upstream != u:
		sim.breakFlow(f, "other upstream")
		return
	}
	f.answeredSerial = f.serial
	if !sim.measures.hasRequests {
		return
	}
	p.Upstream = u
	if sim.policy == Fulmar {
		sim.deliverToAdmission(p)
		return
	}
	sim.deliverToUpstream(p)
}

// addOpenFlow adds a flow to those on which requests are sent.
func (sim *simulation) addOpenFlow(f *flow) {
	if f.isHeavy {
		sim.heavyFlows = append(sim.heavyFlows, f)
		return
	}
	sim.lightFlows = append(sim.lightFlows, f)
}

// deliverToCaller handles a packet that a daemon or an upstream sends to a caller.
func (sim *simulation) deliverToCaller(p *pb.Packet) {
	f := sim.flows[wire.FlowKeyFromProto(p.GetFlow())]
	if f == nil || f.isEnded {
		return
	}
	if token := p.GetGuardToken(); token != 0 {
		f.token = token
	}
	switch p.GetKind() {
	case pb.Kind_KIND_RESET:
		sim.breakFlow(f, resetCause(p.GetReason()))
	case pb.Kind_KIND_ANSWER:
		if a := f.requests[p.GetRequestId()]; a != nil {
			sim.endAttempt(a, p.GetStatus(), p.GetReason())
		}
	default:
	}
}

// resetCause returns the cause under which reports count a flow that was reset.
func resetCause(r pb.Reason) string {
	switch r {
	case pb.Reason_REASON_UPSTREAM_DRAINING:
		return "drain limit"
	case pb.Reason_REASON_UPSTREAM_REMOVED:
		return "upstream removed"
	default:
		return "reset"
	}
}

// closeFlow closes a flow at the end of its lifetime; the caller then opens another one.
func (sim *simulation) closeFlow(f *flow) {
	if f.isEnded {
		return
	}
	if f.upstream != 0 {
		sim.sendThroughFabric(f, &pb.Packet{Flow: f.key.Proto(), Kind: pb.Kind_KIND_CLOSE})
	}
	sim.removeFlow(f)
	sim.reopenFlow(f)
}

// breakFlow ends a flow, counts it as broken if measuring has begun, and has the caller reconnect.
func (sim *simulation) breakFlow(f *flow, cause string) {
	sim.removeFlow(f)
	if sim.clock.now() >= sim.measureFrom {
		sim.measures.broken[cause]++
	}
	sim.reopenFlow(f)
}

// reopenFlow opens a new flow of the same caller after a random delay.
func (sim *simulation) reopenFlow(f *flow) {
	sim.clock.scheduleAfter(time.Duration(float64(maxReopenDelay)*sim.rand.Float64()), func() { sim.openFlow(f.isHeavy) })
}

// removeFlow removes a flow from the model and from the flow tables of the daemons.
func (sim *simulation) removeFlow(f *flow) {
	f.isEnded = true
	delete(sim.flows, f.key)
	if f.upstream != 0 {
		sim.upstreams[f.upstream].flows--
	}
	for _, n := range sim.nodes {
		delete(n.localFlows, f.key)
	}
}
