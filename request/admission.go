package request

import (
	"net/netip"
	"sync"
	"time"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/load"
	"github.com/fulmarfield/fulmarfield/ownership"
	"github.com/fulmarfield/fulmarfield/telemetry"
	"github.com/fulmarfield/fulmarfield/wire"
)

// admission admits the requests to one upstream. After a release it is kept with active false
// until its requests in progress have ended.
type admission struct {
	engine   *Engine
	resource ownership.Resource
	wake     chan struct{}

	// claimed is true between activation and release. It is protected by the Engine's mutex.
	claimed bool

	mu     sync.Mutex
	active bool
	token  uint64
	// unconfirmed is set after the loss of the previous holder until this daemon receives a
	// packet from the upstream. The previous holder may be alive on the other side of a network
	// partition, together with the upstream. Without unconfirmed, this daemon would then respond to
	// callers that their token is stale although the previous holder can run their requests.
	unconfirmed bool
	guard       guard
	queue       []*record
	// occupying holds the records of the requests that occupy a slot.
	occupying map[requestKey]*record
	tracker   *load.Tracker
	announcer load.Announcer
	// watches holds the flows on which a packet to the upstream is unanswered.
	watches map[wire.FlowKey]*watch
	// lastSeen holds the flows on which the upstream last sent a packet.
	lastSeen recentFlows
	// lastLoss is the time at which a packet of the upstream last showed that an earlier packet to it or
	// from it was lost: a probe or a request had to be sent again.
	lastLoss time.Time
	// referenceProbes holds the flows of waiting requests that were probed to check whether the
	// upstream responds. referenceProbedAt is the time of the last such probe.
	referenceProbes   map[wire.FlowKey]struct{}
	referenceProbedAt time.Time
	releasedAt        time.Time
	// releasedQueue holds the requests that were queued at the release.
	releasedQueue []*record

	// out holds the messages that are sent once the mutex is unlocked.
	out []outMessage
}

// outMessage is a packet or notice that is sent after the mutex is unlocked.
type outMessage struct {
	kind   outKind
	addr   netip.AddrPort
	target uint32 // upstream, for toAdmission
	packet *pb.Packet
	notice *pb.UpstreamNotice
}

// outKind is the receiver of an outMessage.
type outKind int

const (
	toUpstream outKind = iota
	toCaller
	toAdmission
	toFlowOwner
	notifyOwners
)

func newAdmission(e *Engine, r ownership.Resource) *admission {
	return &admission{
		engine:    e,
		resource:  r,
		wake:      make(chan struct{}, 1),
		guard:     newGuard(),
		occupying: map[requestKey]*record{},
		tracker:   load.NewTracker(1),
		watches:   map[wire.FlowKey]*watch{},
	}
}

// withLock runs f with the mutex locked and then sends the messages that f added to out.
func (a *admission) withLock(f func()) {
	a.mu.Lock()
	f()
	out := a.out
	a.out = nil
	idle := len(a.occupying) == 0 && len(a.queue) == 0 && len(a.watches) == 0 && len(a.releasedQueue) == 0
	a.mu.Unlock()
	if !idle {
		a.wakeTask()
	}
	for _, m := range out {
		a.send(m)
	}
}

func (a *admission) send(m outMessage) {
	output := a.engine.options.Output
	switch m.kind {
	case toUpstream:
		output.ToUpstream(m.addr, m.packet)
	case toCaller:
		output.ToCaller(m.packet)
	case toAdmission:
		output.ToAdmission(a.resource.Service, m.target, m.packet)
	case toFlowOwner:
		output.ToFlowOwner(m.packet)
	case notifyOwners:
		output.Notify(m.notice)
	}
}

// wakeTask requests that the admission's task runs its next tick after busyTick. It does not block.
func (a *admission) wakeTask() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

func (a *admission) counters() *telemetry.Counters { return a.engine.options.Counters }

// sendToUpstream adds a packet to out, so that it is sent to the upstream once the mutex is unlocked.
func (a *admission) sendToUpstream(addr netip.AddrPort, p *pb.Packet) {
	a.out = append(a.out, outMessage{kind: toUpstream, addr: addr, packet: p})
}

// sendToCaller adds a packet to out, so that it is sent to its caller once the mutex is unlocked.
func (a *admission) sendToCaller(p *pb.Packet) {
	a.out = append(a.out, outMessage{kind: toCaller, packet: p})
}

// packet returns a new packet of the given kind on a flow, from or to this upstream.
func (a *admission) packet(flow wire.FlowKey, kind pb.Kind) *pb.Packet {
	return &pb.Packet{Flow: flow.Proto(), Kind: kind, Service: a.resource.Service, Upstream: a.resource.Index}
}

// resetFlow sends a reset of a flow to the caller.
func (a *admission) resetFlow(flow wire.FlowKey, reason pb.Reason) {
	p := a.packet(flow, pb.Kind_KIND_RESET)
	p.Reason = reason
	a.sendToCaller(p)
}

// sendStatus sends an answer with the final status of a request and no payload to the caller.
func (a *admission) sendStatus(r *record) {
	p := a.packet(r.key.flow, pb.Kind_KIND_ANSWER)
	p.RequestId, p.Attempt = r.key.id, r.attempt
	p.Status, p.Reason, p.Parts = r.status, r.reason, 1
	if !r.fromRedirect {
		p.GuardToken = a.token
	}
	a.sendToCaller(p)
}

// finish records the final status of a request and sends it to the caller. The slot, if the
// request occupies one, is freed separately.
func (a *admission) finish(r *record, status pb.Status, reason pb.Reason) {
	if status == pb.Status_STATUS_NOT_RUN && r.mayHaveRun {
		status = pb.Status_STATUS_OUTCOME_UNKNOWN
	}
	r.status, r.reason = status, reason
	if status != pb.Status_STATUS_OK {
		a.counters().CountRefusal(reason)
	}
	a.guard.finish(r, time.Now())
	a.sendStatus(r)
}
