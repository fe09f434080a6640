package steering

import (
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/membership"
	"github.com/fulmarfield/fulmarfield/wire"
)

// maxEndTransmissions limits the transmissions of the end of a flow. If all of them are lost, the
// replica expires.
const maxEndTransmissions = 8

// replicateNow queues the exception of a diverted flow for an urgent batch. The packets of the flow
// are held until the successor acknowledges the exception, or are forwarded at once when there is
// no successor. It is called without a lock.
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
	delete(p.exceptions, flow) // So that setSuccessor does not queue it for a bulk batch.
	s.setSuccessor(p, successor)
	p.exceptions[flow] = exception{queued: true}
	s.replicator.addUrgent(successor, queuedFlow{partition: p, flow: flow})
	p.mu.Unlock()
	s.wake()
}

// setSuccessor sets the successor of a partition and, when it has changed, queues all exceptions
// of the partition for it. The caller holds p.mu.
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

// queueBulk queues an exception for a bulk batch. While there is no successor, the exception is
// left to setSuccessor, which queues it once there is one. The caller holds p.mu.
func (s *Steerer) queueBulk(p *partition, flow wire.FlowKey) {
	e, ok := p.exceptions[flow]
	if !ok || e.queued {
		return
	}
	if p.successor == "" {
		if !s.successorsUnknown.Swap(true) {
			s.wake()
		}
		return
	}
	e.queued = true
	p.exceptions[flow] = e
	s.replicator.addBulk(p.successor, queuedFlow{p, flow, p.flows[flow].lastPacket})
	s.wake()
}

// queueUnstable queues a new flow that is on its bucket's upstream in an unstable bucket. The flow
// does not wait for an acknowledgement, but is queued for an urgent batch if the budget allows it,
// since it is lost if the owner fails before the successor has the replica. The caller holds p.mu.
func (s *Steerer) queueUnstable(p *partition, flow wire.FlowKey) {
	if p.successor == "" || !s.replicator.takeUnstableBudget(time.Now()) {
		s.queueBulk(p, flow)
		return
	}
	p.exceptions[flow] = exception{queued: true}
	s.replicator.addUrgent(p.successor, queuedFlow{partition: p, flow: flow})
	s.wake()
}

// queueEnd queues the end of a flow for the successor if notify is set. The caller holds p.mu.
func (s *Steerer) queueEnd(p *partition, flow wire.FlowKey, notify bool) {
	if notify && p.successor != "" {
		s.replicator.addEnded(p.successor, queuedFlow{partition: p, flow: flow})
		s.wake()
	}
}

// handleAck forwards the packets that waited until the successor acknowledged an exception.
func (s *Steerer) handleAck(to membership.DaemonID, f sentFlow) {
	p := f.partition
	p.mu.Lock()
	w := p.waits[f.flow]
	if p.released || w == nil || w.kind != waitAck || p.successor != to || p.flows[f.flow].upstream != f.upstream {
		p.mu.Unlock()
		return
	}
	packets := w.finish()
	p.mu.Unlock()
	s.replay(packets)
}

// replicate sends the batches and retransmissions that are due. Only Run calls it, so that batch
// numbers order the updates of a flow.
func (s *Steerer) replicate(now time.Time) {
	for _, d := range s.replicator.takeDueDrafts(now) {
		b := &batch{to: d.to, urgent: d.urgent, ended: d.ended, charged: d.charged}
		for _, f := range d.exceptions {
			b.exceptions = append(b.exceptions, sentFlow{queuedFlow: f})
		}
		s.transmitBatch(b, now)
	}
	for _, b := range s.replicator.chargeDueRetries(now) {
		s.Counters.Count("exception.retransmitted")
		s.transmitBatch(b, now)
	}
}

// transmitBatch sends the entries of a batch that are still current, or finishes the batch when
// there are none.
func (s *Steerer) transmitBatch(b *batch, now time.Time) {
	var records []*pb.FlowRecord
	var ended []*pb.FlowKey
	tick := s.now().tick
	next := &batch{to: b.to, urgent: b.urgent, ids: b.ids, tries: b.tries}
	for _, f := range b.exceptions {
		m := f.partition.exceptionRecord(b.to, f.flow, tick)
		// A flow that was placed again since the first transmission has been queued again.
		if m != nil && (f.upstream == 0 || f.upstream == m.GetUpstream()) {
			records = append(records, m)
			next.exceptions = append(next.exceptions, sentFlow{f.queuedFlow, m.GetUpstream()})
		}
	}
	for _, f := range b.ended {
		// A new flow with the same key may be an exception again.
		if b.tries < maxEndTransmissions && f.partition.exceptionRecord(b.to, f.flow, tick) == nil {
			ended = append(ended, f.flow.Proto())
			next.ended = append(next.ended, f)
		}
	}
	if len(next.exceptions) == 0 && len(next.ended) == 0 {
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

// exceptionRecord returns the message of an exception for the given successor and marks it as sent.
// It returns nil when the flow is not an exception, or when the partition was released or has another
// successor.
func (p *partition) exceptionRecord(to membership.DaemonID, flow wire.FlowKey, tick uint32) *pb.FlowRecord {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.exceptions[flow]; !ok || p.released || p.successor != to {
		return nil
	}
	p.exceptions[flow] = exception{sentTick: tick}
	m := p.flows[flow].toProto(flow, tick)
	m.Service = p.service.number
	return m
}
