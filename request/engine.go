package request

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/config"
	"github.com/fulmarfield/fulmarfield/load"
	"github.com/fulmarfield/fulmarfield/membership"
	"github.com/fulmarfield/fulmarfield/ownership"
	"github.com/fulmarfield/fulmarfield/telemetry"
	"github.com/fulmarfield/fulmarfield/wire"
)

// Output sends the packets and notices of the Engine. It may be called concurrently and must not
// keep or modify a packet after it returns.
type Output interface {
	// ToUpstream sends a packet to an upstream's address.
	ToUpstream(addr netip.AddrPort, p *pb.Packet)
	// ToCaller sends a packet to the caller of its flow key.
	ToCaller(p *pb.Packet)
	// ToAdmission sends a packet to the holder of an upstream's admission, which may be
	// this daemon.
	ToAdmission(service, upstream uint32, p *pb.Packet)
	// ToFlowOwner sends a packet to the daemon that owns the flow, which may be this one, as if
	// the caller had sent it. The flow owner forwards it to the admission holder, whose
	// HandleCaller receives it.
	ToFlowOwner(p *pb.Packet)
	// Notify sends a notice to the flow owners.
	Notify(n *pb.UpstreamNotice)
}

// Tuning disables single mechanisms so that experiments can show their effect. The zero value
// disables none.
type Tuning struct {
	// NoQueueDeadline admits requests to the queue that cannot be answered before their deadline.
	NoQueueDeadline bool
	// NoRetryBudget allows retries without a budget.
	NoRetryBudget bool
	// NoGuardToken accepts requests with any guard token.
	NoGuardToken bool
}

// Options configures an Engine. Load, Counters and Rand may be nil.
type Options struct {
	Self     membership.DaemonID
	Config   config.Provider
	Router   ownership.Router
	Output   Output
	Load     *load.Table
	Counters *telemetry.Counters
	Logger   zerolog.Logger
	// Rand generates guard tokens, run numbers and jitter. If it is nil, New creates a generator
	// with a random seed.
	Rand   *rand.Rand
	Tuning Tuning
}

// Engine handles the admissions that one daemon holds. It is the ownership.ResourceHandler of
// admission resources. Its methods are safe for concurrent use.
type Engine struct {
	options Options
	done    chan struct{}

	// mu protects admissions. It is locked before the mutex of an admission, never after it.
	mu         sync.RWMutex
	admissions map[uint32]*admission

	budgetMu sync.Mutex
	budgets  map[uint32]*retryBudget

	randMu sync.Mutex

	// transmissions is the last transmission number. Each run that is sent to an upstream gets
	// the next number. The numbers start at a random value, so that two daemons do not use the
	// same ones.
	transmissions atomic.Uint64
}

var _ ownership.ResourceHandler = (*Engine)(nil)

// New returns an Engine that holds no admissions.
func New(o Options) *Engine {
	if o.Counters == nil {
		o.Counters = telemetry.NewCounters()
	}
	if o.Load == nil {
		o.Load = load.NewTable()
	}
	if o.Rand == nil {
		o.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	e := &Engine{
		options:    o,
		done:       make(chan struct{}),
		admissions: map[uint32]*admission{},
		budgets:    map[uint32]*retryBudget{},
	}
	e.transmissions.Store(e.randomUint64() ^ xxhash.Sum64String(string(o.Self)))
	return e
}

// Run blocks until ctx ends and then stops the task of each admission. It may be called only once.
func (e *Engine) Run(ctx context.Context) {
	<-ctx.Done()
	close(e.done)
}

// HandleCaller handles a caller's packet to the upstream that the packet names. The flow owner
// forwards such packets to the daemon that holds the upstream's admission. The Engine keeps p.
func (e *Engine) HandleCaller(p *pb.Packet) {
	target, ok := e.findTarget(p)
	if !ok {
		e.resetIfRemoved(p)
		return
	}
	a := e.admission(p.GetUpstream())
	if a == nil {
		e.countDrop("not_holder")
		return
	}
	a.withLock(func() { a.handleCaller(target, p) })
}

// HandleUpstream handles a packet from the upstream that the packet names. The Engine keeps p.
func (e *Engine) HandleUpstream(p *pb.Packet) {
	target, ok := e.findTarget(p)
	if !ok {
		return
	}
	a := e.admission(p.GetUpstream())
	if a == nil {
		e.countDrop("not_holder")
		return
	}
	a.withLock(func() { a.handleUpstream(target, p) })
}

// target is an upstream and its service in the configuration in force, with the flow of a packet.
type target struct {
	service  *pb.Service
	upstream *pb.Upstream
	address  netip.AddrPort
	flow     wire.FlowKey
}

// findTarget looks up the upstream of a packet. It returns false, and counts a drop, if the upstream
// is unknown or if the flow or service number of the packet belongs to another service than the
// upstream.
func (e *Engine) findTarget(p *pb.Packet) (target, bool) {
	current := e.options.Config.Current()
	t := target{flow: wire.FlowKeyFromProto(p.GetFlow())}
	var ok bool
	t.upstream, t.service, t.address, ok = current.Upstream(p.GetUpstream())
	if !ok {
		e.countDrop("unknown_upstream")
		return t, false
	}
	byAddress, ok := current.ServiceForFlow(t.flow)
	if !ok || byAddress.GetNumber() != t.service.GetNumber() ||
		(p.GetService() != 0 && p.GetService() != t.service.GetNumber()) {
		e.countDrop("wrong_service")
		return t, false
	}
	return t, true
}

func (e *Engine) countDrop(reason string) { e.options.Counters.CountDrop(reason) }

// resetIfRemoved resets a flow whose upstream was removed. An upstream number above the highest of
// the configuration belongs to a newer generation. The flow is then not reset, since this daemon may
// have received that generation by the time of the caller's retransmission.
func (e *Engine) resetIfRemoved(p *pb.Packet) {
	current := e.options.Config.Current()
	_, _, _, exists := current.Upstream(p.GetUpstream())
	service, ok := current.ServiceForFlow(wire.FlowKeyFromProto(p.GetFlow()))
	if exists || !ok || p.GetUpstream() > current.Proto.GetLastUpstreamNumber() {
		return
	}
	e.options.Counters.CountRefusal(pb.Reason_REASON_UPSTREAM_REMOVED)
	e.options.Output.ToCaller(&pb.Packet{Flow: p.GetFlow(), Kind: pb.Kind_KIND_RESET, Service: service.GetNumber(),
		Upstream: p.GetUpstream(), Reason: pb.Reason_REASON_UPSTREAM_REMOVED})
}

func (e *Engine) admission(upstream uint32) *admission {
	e.mu.RLock()
	defer e.mu.RUnlock()
	return e.admissions[upstream]
}

func (e *Engine) allAdmissions() []*admission {
	e.mu.RLock()
	defer e.mu.RUnlock()
	list := make([]*admission, 0, len(e.admissions))
	for _, a := range e.admissions {
		list = append(list, a)
	}
	return list
}

// InProgress returns the number of requests that this daemon has sent to upstreams and not yet
// finished, for admissions that it holds or has released. A graceful shutdown waits until the number
// is 0.
func (e *Engine) InProgress() int {
	n := 0
	for _, a := range e.allAdmissions() {
		n += a.numUnfinished()
	}
	return n
}

func (e *Engine) randomUint64() uint64 {
	e.randMu.Lock()
	defer e.randMu.Unlock()
	return e.options.Rand.Uint64()
}

func (e *Engine) randomFloat64() float64 {
	e.randMu.Lock()
	defer e.randMu.Unlock()
	return e.options.Rand.Float64()
}

// serviceBudget returns the retry budget of a service and creates it if necessary.
func (e *Engine) serviceBudget(service uint32) *retryBudget {
	e.budgetMu.Lock()
	defer e.budgetMu.Unlock()
	if e.budgets[service] == nil {
		e.budgets[service] = newRetryBudget()
	}
	return e.budgets[service]
}
