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

// Output takes the packets that leave the flow owner. Its methods are called concurrently and
// must not keep raw after they return.
type Output interface {
	// ToAdmission passes a packet on to the admission daemon of an upstream. The service and
	// upstream are already appended to raw.
	ToAdmission(service, upstream uint32, raw []byte)
	// ToCaller sends a packet to the caller of its flow key.
	ToCaller(p *pb.Packet)
}

// Options are what a Steerer needs; all are required.
type Options struct {
	Config   config.Provider
	Router   ownership.Router
	Sender   peer.Sender
	Output   Output
	Counters *telemetry.Counters
	Logger   zerolog.Logger
	// Isolated reports whether this daemon does not hear a majority of the daemons that it
	// knows; nil means never.
	Isolated func() bool
	// Budget bounds exceptions together with all other control traffic of the daemon. Exceptions
	// take from it here; acknowledgements and queries are counted by the Sender. nil means one
	// that nothing else uses.
	Budget *peer.Budget
}

// Steerer serves the flow partitions that this daemon holds. It implements ownership.Keeper.
// Its methods may be called concurrently.
type Steerer struct {
	Options
	epoch time.Time
	kick  chan struct{}

	mu       sync.Mutex
	services atomic.Pointer[map[uint32]*service]

	replicas   *replicaStore
	copies     *copyStore
	replicator *replicator
	waits      waitList
	paced      pacer
	notices    noticeStore
	opened     atomic.Uint64
	diverted   atomic.Uint64
	// orphans is set when a partition may have no known successor yet.
	orphans atomic.Bool
	// cursor is the part of the partitions that Run has visited last.
	cursor int
}

var _ ownership.Keeper = (*Steerer)(nil)

// New returns a Steerer without partitions, which follows the configuration from now on. Run
// must be running for anything that waits for another daemon.
func New(o Options) *Steerer {
	if o.Budget == nil {
		o.Budget = peer.NewBudget(peer.BudgetBytesPerSecond, peer.BudgetBurst)
	}
	s := &Steerer{
		Options:    o,
		epoch:      time.Now().Add(-clockLead),
		kick:       make(chan struct{}, 1),
		replicas:   newReplicaStore(),
		copies:     newCopyStore(),
		replicator: newReplicator(time.Now(), o.Budget),
		notices:    noticeStore{notices: map[uint32]notice{}},
	}
	s.services.Store(&map[uint32]*service{})
	o.Config.Subscribe(s.changed)
	return s
}

func (s *Steerer) now() instant {
	now := time.Now()
	return instant{tick: uint32(now.Sub(s.epoch) / tickLength), unixMS: now.UnixMilli()}
}

// wake makes Run look for work at once.
func (s *Steerer) wake() {
	select {
	case s.kick <- struct{}{}:
	default:
	}
}

// service returns the state of a service, creating it when create is set.
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
	// Only now, so that a configuration that comes meanwhile is not missed.
	s.update(created, s.Config.Current())
	return created
}

// partition returns the partition that a flow falls into, nil when it is not held here.
func (s *Steerer) partition(number uint32, hash uint64) *partition {
	found := s.service(number, false)
	if found == nil {
		return nil
	}
	return found.partitions[ownership.FlowPartition(number, hash).Index].Load()
}

// HandleCaller steers a packet of a caller. The daemon calls it while it is the active holder
// of the flow's partition; otherwise the packet is dropped and counted. raw is not kept.
func (s *Steerer) HandleCaller(h wire.Header, raw []byte) {
	declared, ok := s.Config.Current().ServiceForFlow(h.Flow)
	if !ok {
		s.Counters.Drop("unknown_service")
		return
	}
	number := declared.GetNumber()
	if h.Service != 0 && h.Service != number {
		s.Counters.Drop("wrong_service")
		return
	}
	hash := h.Flow.Hash()
	p := s.partition(number, hash)
	if p == nil {
		s.Counters.Drop("not_holder")
		return
	}
	p.mu.Lock()
	d := s.decide(p, h, hash, raw)
	p.mu.Unlock()
	s.perform(p, h.Flow, raw, d)
}

// perform carries out a decision without any lock.
func (s *Steerer) perform(p *partition, flow wire.FlowKey, raw []byte, d decision) {
	switch d.action {
	case actionSend:
		s.send(p.service.number, d.upstream, raw)
	case actionReset:
		s.reset(flow, p.service.number, d.reason)
	case actionReplicate:
		s.replicateNow(p, flow)
	case actionQuery:
		s.query(d.wait)
	case actionDrop:
		s.Counters.Drop(d.drop)
	case actionHold:
	}
}

// buffers holds datagram buffers with room for the route.
var buffers = sync.Pool{New: func() any {
	b := make([]byte, 0, wire.MaxPacketBytes+64)
	return &b
}}

// send passes a packet on with its route appended.
func (s *Steerer) send(service, upstream uint32, raw []byte) {
	b := buffers.Get().(*[]byte)
	*b = wire.AppendRoute(append((*b)[:0], raw...), service, upstream)
	s.Output.ToAdmission(service, upstream, *b)
	buffers.Put(b)
}

// reset tells the caller that its flow is dead.
func (s *Steerer) reset(flow wire.FlowKey, service uint32, reason pb.Reason) {
	s.Counters.Refusal(reason)
	s.Output.ToCaller(&pb.Packet{Flow: flow.Proto(), Kind: pb.Kind_KIND_RESET, Service: service, Reason: reason})
}
