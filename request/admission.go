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

// admission admits the requests to one upstream. After a release it stays until its requests
// in progress have ended, with active false.
type admission struct {
	engine   *Engine
	resource ownership.Resource
	wake     chan struct{}

	// claimed is true from an activation to the release; the Engine's mutex protects it.
	claimed bool

	mu     sync.Mutex
	active bool
	token  uint64
	// unconfirmed is set after the loss of the previous holder until the upstream is heard
	// from here. The holder may be alive on the other side of a cut, together with the
	// upstream; answers about stale tokens would then be given for requests that it can run.
	unconfirmed bool
	guard       guard
	queue       []*record
	// busy holds the records that occupy a slot.
	busy     map[requestKey]*record
	tracker  *load.Tracker
	announce load.Announcer
	watches  map[wire.FlowKey]*watch
	heard    recentFlows
	// references holds flows of waiting requests that were probed to see whether the upstream
	// answers; referenceAt is the time of the last such probe.
	references  map[wire.FlowKey]struct{}
	referenceAt time.Time
	released    time.Time
	// handback holds requests that were queued at the release.
	handback []*record

	out []effect
}

// effect is a packet or notice that leaves after the mutex is released.
type effect struct {
	kind   effectKind
	addr   netip.AddrPort
	target uint32 // upstream, for toAdmission
	packet *pb.Packet
	notice *pb.UpstreamNotice
}

type effectKind int

const (
	toUpstream effectKind = iota
	toCaller
	toAdmission
	toFlowOwner
	notify
)

func newAdmission(e *Engine, r ownership.Resource) *admission {
	return &admission{
		engine:   e,
		resource: r,
		wake:     make(chan struct{}, 1),
		guard:    newGuard(),
		busy:     map[requestKey]*record{},
		tracker:  load.NewTracker(1),
		watches:  map[wire.FlowKey]*watch{},
	}
}

// locked runs f under the mutex and then sends what f decided to send.
func (a *admission) locked(f func()) {
	a.mu.Lock()
	f()
	out := a.out
	a.out = nil
	idle := len(a.busy) == 0 && len(a.queue) == 0 && len(a.watches) == 0 && len(a.handback) == 0
	a.mu.Unlock()
	if !idle {
		a.awake()
	}
	for _, s := range out {
		a.send(s)
	}
}

func (a *admission) send(s effect) {
	output := a.engine.options.Output
	switch s.kind {
	case toUpstream:
		output.ToUpstream(s.addr, s.packet)
	case toCaller:
		output.ToCaller(s.packet)
	case toAdmission:
		output.ToAdmission(a.resource.Service, s.target, s.packet)
	case toFlowOwner:
		output.ToFlowOwner(s.packet)
	case notify:
		output.Notify(s.notice)
	}
}

// awake makes the task look at the admission at its short interval.
func (a *admission) awake() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

func (a *admission) counters() *telemetry.Counters { return a.engine.options.Counters }

func (a *admission) toUpstream(addr netip.AddrPort, p *pb.Packet) {
	a.out = append(a.out, effect{kind: toUpstream, addr: addr, packet: p})
}

func (a *admission) toCaller(p *pb.Packet) {
	a.out = append(a.out, effect{kind: toCaller, packet: p})
}

// packet returns a packet of this upstream on a flow.
func (a *admission) packet(flow wire.FlowKey, kind pb.Kind) *pb.Packet {
	return &pb.Packet{Flow: flow.Proto(), Kind: kind, Service: a.resource.Service, Upstream: a.resource.Index}
}

// reset breaks a flow at the caller.
func (a *admission) reset(flow wire.FlowKey, reason pb.Reason) {
	p := a.packet(flow, pb.Kind_KIND_RESET)
	p.Reason = reason
	a.toCaller(p)
}

// answerStatus sends a final status without payload.
func (a *admission) answerStatus(r *record) {
	p := a.packet(r.key.flow, pb.Kind_KIND_ANSWER)
	p.RequestId, p.Attempt = r.key.id, r.attempt
	p.Status, p.Reason, p.Parts = r.status, r.reason, 1
	if !r.spilled {
		p.GuardToken = a.token
	}
	a.toCaller(p)
}

// finish records the final status of a request and tells the caller. The slot, if the request
// occupies one, is freed separately.
func (a *admission) finish(r *record, status pb.Status, reason pb.Reason) {
	if status == pb.Status_STATUS_NOT_RUN && r.mayHaveRun {
		status = pb.Status_STATUS_OUTCOME_UNKNOWN
	}
	r.status, r.reason = status, reason
	if status != pb.Status_STATUS_OK {
		a.counters().Refusal(reason)
	}
	a.guard.finish(r, time.Now())
	a.answerStatus(r)
}
