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

// Output sends what the Engine decides. It may be called concurrently and must not keep or
// change a packet after it returns.
type Output interface {
	// ToUpstream sends a packet to an upstream's address.
	ToUpstream(addr netip.AddrPort, p *pb.Packet)
	// ToCaller sends a packet to the caller of its flow key.
	ToCaller(p *pb.Packet)
	// ToAdmission sends a packet to the holder of an upstream's admission, which may be
	// this daemon.
	ToAdmission(service, upstream uint32, p *pb.Packet)
	// ToFlowOwner sends a packet of the caller's side to the daemon that decides the flow's
	// upstream, which may be this one. It comes back by HandleCaller.
	ToFlowOwner(p *pb.Packet)
	// Notify sends a notice to the flow owners.
	Notify(n *pb.UpstreamNotice)
}

// Tuning switches mechanisms off so that experiments can show their effect. The zero value is
// the design.
type Tuning struct {
	// NoQueueDeadline queues requests that cannot be answered before their deadline.
	NoQueueDeadline bool
	// NoRetryBudget retries without a budget.
	NoRetryBudget bool
	// NoGuardToken accepts any guard token.
	NoGuardToken bool
}

// Options are the parts that an Engine works with. Load, Counters and Rand may be nil.
type Options struct {
	Self     membership.DaemonID
	Config   config.Provider
	Router   ownership.Router
	Output   Output
	Load     *load.Table
	Counters *telemetry.Counters
	Logger   zerolog.Logger
	// Rand gives guard tokens and jitter; nil means a random seed.
	Rand   *rand.Rand
	Tuning Tuning
}

// Engine is the admission side of one daemon. It is the Keeper of admission resources. Its
// methods may be called concurrently.
type Engine struct {
	options Options
	done    chan struct{}

	// mu is taken before the mutex of an admission, never after it.
	mu         sync.RWMutex
	admissions map[uint32]*admission

	budgetMu sync.Mutex
	budgets  map[uint32]*budget

	randMu sync.Mutex

	// transmissions numbers the runs that are asked for, from a random start, so that the
	// numbers of two daemons do not meet.
	transmissions atomic.Uint64
}

var _ ownership.Keeper = (*Engine)(nil)

// New returns an Engine that holds no admission.
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
		budgets:    map[uint32]*budget{},
	}
	e.transmissions.Store(e.random() ^ xxhash.Sum64String(string(o.Self)))
	return e
}

// Run blocks until ctx ends and then stops the task of each admission. It may be called once.
func (e *Engine) Run(ctx context.Context) {
	<-ctx.Done()
	close(e.done)
}

// HandleCaller takes a caller's packet for the upstream in it. The flow owner sends such
// packets to the daemon that holds the upstream's admission. The Engine keeps p.
func (e *Engine) HandleCaller(p *pb.Packet) {
	target, ok := e.target(p)
	if !ok {
		e.resetIfRemoved(p)
		return
	}
	a := e.admission(p.GetUpstream())
	if a == nil {
		e.drop("not_holder")
		return
	}
	a.locked(func() { a.fromCaller(target, p) })
}

// HandleUpstream takes a packet of the upstream whose number is in it. The Engine keeps p.
func (e *Engine) HandleUpstream(p *pb.Packet) {
	target, ok := e.target(p)
	if !ok {
		return
	}
	a := e.admission(p.GetUpstream())
	if a == nil {
		e.drop("not_holder")
		return
	}
	a.locked(func() { a.fromUpstream(target, p) })
}

// target is an upstream with its service as the configuration in force has them.
type target struct {
	service  *pb.Service
	upstream *pb.Upstream
	address  netip.AddrPort
	flow     wire.FlowKey
}

// target finds the upstream of a packet and drops a packet whose flow or service number
// belongs to another service than the upstream.
func (e *Engine) target(p *pb.Packet) (target, bool) {
	current := e.options.Config.Current()
	t := target{flow: wire.FlowKeyFromProto(p.GetFlow())}
	var ok bool
	t.upstream, t.service, t.address, ok = current.Upstream(p.GetUpstream())
	if !ok {
		e.drop("unknown_upstream")
		return t, false
	}
	byAddress, ok := current.ServiceForFlow(t.flow)
	if !ok || byAddress.GetNumber() != t.service.GetNumber() ||
		(p.GetService() != 0 && p.GetService() != t.service.GetNumber()) {
		e.drop("wrong_service")
		return t, false
	}
	return t, true
}

func (e *Engine) drop(reason string) { e.options.Counters.Drop(reason) }

// resetIfRemoved breaks a flow whose upstream was removed. A number above the highest of the
// configuration belongs to a newer generation; the caller's retransmission finds it then.
func (e *Engine) resetIfRemoved(p *pb.Packet) {
	current := e.options.Config.Current()
	_, _, _, exists := current.Upstream(p.GetUpstream())
	service, ok := current.ServiceForFlow(wire.FlowKeyFromProto(p.GetFlow()))
	if exists || !ok || p.GetUpstream() > current.Proto.GetLastUpstreamNumber() {
		return
	}
	e.options.Counters.Refusal(pb.Reason_REASON_UPSTREAM_REMOVED)
	e.options.Output.ToCaller(&pb.Packet{Flow: p.GetFlow(), Kind: pb.Kind_KIND_RESET, Service: service.GetNumber(),
		Upstream: p.GetUpstream(), Reason: pb.Reason_REASON_UPSTREAM_REMOVED})
}

func (e *Engine) admission(upstream uint32) *admission {
	e.mu.RLock()
	defer e.mu.RUnlock()
	return e.admissions[upstream]
}

func (e *Engine) all() []*admission {
	e.mu.RLock()
	defer e.mu.RUnlock()
	list := make([]*admission, 0, len(e.admissions))
	for _, a := range e.admissions {
		list = append(list, a)
	}
	return list
}

// InProgress returns the number of requests sent to upstreams that this daemon has yet to
// finish, of admissions that it holds or has released. A graceful shutdown waits for 0.
func (e *Engine) InProgress() int {
	n := 0
	for _, a := range e.all() {
		n += a.unfinished()
	}
	return n
}

func (e *Engine) random() uint64 {
	e.randMu.Lock()
	defer e.randMu.Unlock()
	return e.options.Rand.Uint64()
}

func (e *Engine) jitter() float64 {
	e.randMu.Lock()
	defer e.randMu.Unlock()
	return e.options.Rand.Float64()
}

// budgetOf returns the retry budget of a service.
func (e *Engine) budgetOf(service uint32) *budget {
	e.budgetMu.Lock()
	defer e.budgetMu.Unlock()
	if e.budgets[service] == nil {
		e.budgets[service] = newBudget()
	}
	return e.budgets[service]
}
