package steering

import (
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/membership"
	"github.com/fulmarfield/fulmarfield/wire"
)

// maxEndedTries bounds the transmissions of the end of a flow: a replica that stays expires by
// itself.
const maxEndedTries = 8

// replicateNow sends a diverted flow that waits for its successor's acknowledgement. Without
// any successor the flow goes on at once. It is called without a lock.
func (s *Steerer) replicateNow(p *partition, flow wire.FlowKey) {
	successor, ok := s.Router.Successor(p.resource)
	p.mu.Lock()
	w := p.waits[flow]
	if p.released || w == nil {
		p.mu.Unlock()
		return
	}
	if !ok {
		packets := w.finish()
		p.mu.Unlock()
		s.Counters.Count("exception.no_successor")
		s.replay(packets)
		return
	}
	delete(p.exceptions, flow) // Not queued at the bulk rate with the others.
	s.setSuccessor(p, successor)
	p.exceptions[flow] = exception{queued: true}
	s.replicator.addUrgent(successor, item{partition: p, flow: flow})
	p.mu.Unlock()
	s.wake()
}

// setSuccessor notes the successor of a partition and queues all its exceptions when it has
// changed. The caller holds p.mu.
func (s *Steerer) setSuccessor(p *partition, successor membership.DaemonID) {
	if p.successor == successor {
		return
	}
	p.successor = successor
	for flow := range p.exceptions {
		p.exceptions[flow] = exception{}
		s.queueBulk(p, flow)
	}
}

// queueBulk queues an exception at the bulk rate. Without a successor it is queued when there
// is one. The caller holds p.mu.
func (s *Steerer) queueBulk(p *partition, flow wire.FlowKey) {
	e, ok := p.exceptions[flow]
	if !ok || e.queued {
		return
	}
	if p.successor == "" {
		if !s.orphans.Swap(true) {
			s.wake()
		}
		return
	}
	e.queued = true
	p.exceptions[flow] = e
	s.replicator.addBulk(p.successor, item{p, flow, p.flows[flow].last})
	s.wake()
}

// queueSoon queues a new flow in a bucket that changed lately. It is on the bucket's upstream and
// does not wait, but must be known before the owner may die. The caller holds p.mu.
func (s *Steerer) queueSoon(p *partition, flow wire.FlowKey) {
	if p.successor == "" || !s.replicator.allowSoon(time.Now()) {
		s.queueBulk(p, flow)
		return
	}
	p.exceptions[flow] = exception{queued: true}
	s.replicator.addUrgent(p.successor, item{partition: p, flow: flow})
	s.wake()
}

// tellEnded queues the end of an exception that the successor knows. The caller holds p.mu.
func (s *Steerer) tellEnded(p *partition, flow wire.FlowKey, tell bool) {
	if tell && p.successor != "" {
		s.replicator.addEnded(p.successor, item{partition: p, flow: flow})
		s.wake()
	}
}

// acknowledged notes that the successor has an exception, and passes on what waited for it.
func (s *Steerer) acknowledged(to membership.DaemonID, i sentItem) {
	p := i.partition
	p.mu.Lock()
	w := p.waits[i.flow]
	if p.released || w == nil || w.kind != waitAck || p.successor != to || p.flows[i.flow].upstream != i.upstream {
		p.mu.Unlock()
		return
	}
	packets := w.finish()
	p.mu.Unlock()
	s.replay(packets)
}

// replicate sends what is due. Only Run calls it, so that batch numbers order what is said of
// a flow.
func (s *Steerer) replicate(now time.Time) {
	for _, d := range s.replicator.due(now) {
		b := &batch{to: d.to, urgent: d.urgent, ended: d.ended, charged: d.charged}
		for _, i := range d.items {
			b.items = append(b.items, sentItem{item: i})
		}
		s.transmitBatch(b, now)
	}
	for _, b := range s.replicator.dueRetries(now) {
		s.Counters.Count("exception.retransmitted")
		s.transmitBatch(b, now)
	}
}

// transmitBatch sends what is still true of a batch.
func (s *Steerer) transmitBatch(b *batch, now time.Time) {
	var records []*pb.FlowRecord
	var ended []*pb.FlowKey
	tick := s.now().tick
	next := &batch{to: b.to, urgent: b.urgent, ids: b.ids, tries: b.tries}
	for _, i := range b.items {
		m := i.partition.exceptionRecord(b.to, i.flow, tick)
		// A flow that was placed anew since the first transmission has been queued again.
		if m != nil && (i.upstream == 0 || i.upstream == m.GetUpstream()) {
			records = append(records, m)
			next.items = append(next.items, sentItem{i.item, m.GetUpstream()})
		}
	}
	for _, i := range b.ended {
		// A new flow with the same key may be an exception again.
		if b.tries < maxEndedTries && i.partition.exceptionRecord(b.to, i.flow, tick) == nil {
			ended = append(ended, i.flow.Proto())
			next.ended = append(next.ended, i)
		}
	}
	if len(next.items) == 0 && len(next.ended) == 0 {
		s.Budget.Spend(-b.charged)
		s.replicator.finish(b)
		return
	}
	message := &pb.ExceptionBatch{Batch: s.replicator.register(next, now), Groups: wire.PackFlows(records, ended)}
	if b.charged > 0 {
		s.Budget.Spend(envelopeBytes + proto.Size(message) - b.charged)
	}
	s.Counters.Count("exception.batches")
	s.transmit(b.to, &pb.PeerDatagram{Body: &pb.PeerDatagram_ExceptionBatch{ExceptionBatch: message}})
}

// exceptionRecord returns the message form of an exception that goes to the given successor,
// nil if the flow is none. It marks the exception as sent.
func (p *partition) exceptionRecord(to membership.DaemonID, flow wire.FlowKey, tick uint32) *pb.FlowRecord {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.exceptions[flow]; !ok || p.released || p.successor != to {
		return nil
	}
	p.exceptions[flow] = exception{sent: tick}
	m := p.flows[flow].flowRecord(flow, tick)
	m.Service = p.service.number
	return m
}
