package steering

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/config"
	"github.com/fulmarfield/fulmarfield/ownership"
	"github.com/fulmarfield/fulmarfield/peer"
	"github.com/fulmarfield/fulmarfield/telemetry"
	"github.com/fulmarfield/fulmarfield/wire"
)

// Output receives the packets that leave the flow owner. Its methods are called concurrently and
// must not retain raw after they return.
type Output interface {
	// ToAdmission forwards a packet to the admission holder of an upstream. The numbers of the
	// service and the upstream are already appended to raw.
	ToAdmission(service, upstream uint32, raw []byte)
	// ToCaller sends a packet to the caller that its flow key names.
	ToCaller(p *pb.Packet)
}

// Options configure a Steerer. All fields are required, except Isolated and Budget.
type Options struct {
	Config   config.Provider
	Router   ownership.Router
	Sender   peer.Sender
	Output   Output
	Counters *telemetry.Counters
	Logger   zerolog.Logger
	// Isolated reports whether this daemon cannot reach a majority of the daemons that it knows;
	// nil means never.
	Isolated func() bool
	// Budget bounds exceptions together with all other control traffic of the daemon. The Steerer
	// charges exceptions to it, and the Sender acknowledgements and queries. nil means a budget
	// that the Steerer does not share.
	Budget *peer.Budget
}

// Steerer serves the flow partitions that this daemon holds. It implements the interface through
// which ownership activates, releases and merges partitions. Its methods may be called
// concurrently.
type Steerer struct {
	Options
	epoch   time.Time
	wakeups chan struct{}

	// mu serializes replacements of services.
	mu       sync.Mutex
	services atomic.Pointer[map[uint32]*service]

	replicas           *replicaStore
	releasedPartitions *releasedStore
	replicator         *replicator
	waits              waitList
	pacedPackets       pacer
	notices            noticeStore
	opened             atomic.Uint64
	diverted           atomic.Uint64
	// successorsUnknown is set when the successor of some partition may not be known yet.
	successorsUnknown atomic.Bool
	// visitOffset is the index modulo visitTicks of the partitions that Run visited last.
	visitOffset int
}

var _ ownership.ResourceHandler = (*Steerer)(nil)

// New returns a Steerer without partitions that is subscribed to configuration changes. Packets
// that wait for another daemon are processed only while Run is running.
func New(o Options) *Steerer {
	if o.Budget == nil {
		o.Budget = peer.NewBudget(peer.BudgetBytesPerSecond, peer.BudgetBurst)
	}
	s := &Steerer{
		Options:            o,
		epoch:              time.Now().Add(-epochLead),
		wakeups:            make(chan struct{}, 1),
		replicas:           newReplicaStore(),
		releasedPartitions: newReleasedStore(),
		replicator:         newReplicator(time.Now(), o.Budget),
		notices:            noticeStore{notices: map[uint32]noticedState{}},
	}
	s.services.Store(&map[uint32]*service{})
	o.Config.Subscribe(s.handleConfiguration)
	return s
}

func (s *Steerer) now() instant {
	now := time.Now()
	return instant{tick: uint32(now.Sub(s.epoch) / tickLength), unixMS: now.UnixMilli()}
}

// wake requests that Run checks for pending work. It does not block.
func (s *Steerer) wake() {
	select {
	case s.wakeups <- struct{}{}:
	default:
	}
}

// service returns the state of a service. When there is none, it creates one if create is set and
// otherwise returns nil.
func (s *Steerer) service(number uint32, create bool) *service {
	if found := (*s.services.Load())[number]; found != nil || !create {
		return found
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if found := (*s.services.Load())[number]; found != nil {
		return found
	}
	created := &service{number: number}
	created.view.Store(newServiceView(nil, nil, nil))
	next := maps.Clone(*s.services.Load())
	next[number] = created
	s.services.Store(&next)
	// The configuration is read after the service is stored, so that no concurrent configuration
	// change is missed.
	s.updateService(created, s.Config.Current())
	return created
}

// partition returns the partition of a flow, or nil when this daemon does not hold it.
func (s *Steerer) partition(number uint32, hash uint64) *partition {
	found := s.service(number, false)
	if found == nil {
		return nil
	}
	return found.partitions[ownership.FlowPartition(number, hash).Index].Load()
}

// HandleCaller steers a packet of a caller. The daemon calls it while it is the active holder of
// the flow's partition; otherwise the packet is dropped and counted. raw is not retained.
func (s *Steerer) HandleCaller(h wire.Header, raw []byte) {
	declared, ok := s.Config.Current().ServiceForFlow(h.Flow)
	if !ok {
		s.Counters.CountDrop("unknown_service")
		return
	}
	number := declared.GetNumber()
	if h.Service != 0 && h.Service != number {
		s.Counters.CountDrop("wrong_service")
		return
	}
	hash := h.Flow.Hash()
	p := s.partition(number, hash)
	if p == nil {
		s.Counters.CountDrop("not_holder")
		return
	}
	p.mu.Lock()
	d := s.decide(p, h, hash, raw)
	p.mu.Unlock()
	s.perform(p, h.Flow, raw, d)
}

// perform carries out a decision. It is called without any lock.
func (s *Steerer) perform(p *partition, flow wire.FlowKey, raw []byte, d decision) {
	switch d.action {
	case actionSend:
		s.forward(p.service.number, d.upstream, raw)
	case actionReset:
		s.sendReset(flow, p.service.number, d.reason)
	case actionReplicate:
		s.replicateNow(p, flow)
	case actionQuery:
		s.startQuery(d.wait)
	case actionDrop:
		s.Counters.CountDrop(d.dropReason)
	case actionHold:
	}
}

// bufferPool holds datagram buffers that have room for the appended route.
var bufferPool = sync.Pool{New: func() any {
	b := make([]byte, 0, wire.MaxPacketBytes+64)
	return &b
}}

// forward passes a packet with its route appended to the admission holder of the upstream.
func (s *Steerer) forward(service, upstream uint32, raw []byte) {
	b := bufferPool.Get().(*[]byte)
	*b = wire.AppendRoute(append((*b)[:0], raw...), service, upstream)
	s.Output.ToAdmission(service, upstream, *b)
	bufferPool.Put(b)
}

// sendReset notifies the caller that its flow cannot continue.
func (s *Steerer) sendReset(flow wire.FlowKey, service uint32, reason pb.Reason) {
	s.Counters.CountRefusal(reason)
	s.Output.ToCaller(&pb.Packet{Flow: flow.Proto(), Kind: pb.Kind_KIND_RESET, Service: service, Reason: reason})
}
