package steering

import (
	"context"
	"time"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/ownership"
	"github.com/fulmarfield/fulmarfield/wire"
)

const (
	// paceInterval is the interval at which Run sends paced packets and visits a part of the
	// partitions.
	paceInterval = 250 * time.Millisecond
	// visitTicks is the number of these intervals in which all partitions are visited once.
	visitTicks = 8
	// waitInterval is the interval at which the deadlines of waiting flows are checked.
	waitInterval = 5 * time.Millisecond
	// closedRetention is how long the record of a closed flow is retained to steer late packets.
	closedRetention = 60 * time.Second
)

// Run does the work that is not triggered by a packet, until ctx is done: expiry, batches,
// retransmissions, deadlines and paced packets. It always returns the error of ctx.
func (s *Steerer) Run(ctx context.Context) error {
	paceTicker := time.NewTicker(paceInterval)
	defer paceTicker.Stop()
	stepTimer := time.NewTimer(time.Hour)
	defer stepTimer.Stop()
	armed := false
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-paceTicker.C:
			s.sendPacedPackets()
			s.visitPartitions()
			continue
		case <-s.wakeups:
			// The step is delayed, since many packets may request one within the interval.
			if !armed {
				armed = true
				stepTimer.Reset(waitInterval)
			}
			continue
		case <-stepTimer.C:
		}
		next := s.runDueWork()
		if armed = next > 0; armed {
			stepTimer.Reset(next)
		}
	}
}

// runDueWork does the work that is due and returns the time until the next call, 0 when nothing is
// pending.
func (s *Steerer) runDueWork() time.Duration {
	now := time.Now()
	if s.successorsUnknown.Swap(false) {
		for _, p := range s.heldPartitions() {
			s.refreshSuccessor(p)
		}
	}
	waiting := s.expireWaits(now)
	s.replicate(now)
	pollInterval := s.replicator.pollInterval()
	if waiting {
		return waitInterval
	}
	return pollInterval
}

// refreshSuccessor looks up the successor of a partition that has exceptions or has no successor
// yet.
func (s *Steerer) refreshSuccessor(p *partition) {
	p.mu.Lock()
	needed := len(p.exceptions) > 0 || p.successor == ""
	p.mu.Unlock()
	if !needed {
		return
	}
	successor, ok := s.Router.Successor(p.resource)
	if !ok {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.released {
		s.setSuccessor(p, successor)
	}
}

// heldPartitions returns the partitions that this daemon holds.
func (s *Steerer) heldPartitions() []*partition {
	var found []*partition
	for _, svc := range *s.services.Load() {
		for i := range svc.partitions {
			if p := svc.partitions[i].Load(); p != nil {
				found = append(found, p)
			}
		}
	}
	return found
}

// visitPartitions visits a part of the partitions and of the replica shards. It expires flows and
// replicas, refreshes exceptions and looks up successors.
func (s *Steerer) visitPartitions() {
	s.visitOffset = (s.visitOffset + 1) % visitTicks
	for _, svc := range *s.services.Load() {
		for i := s.visitOffset; i < len(svc.partitions); i += visitTicks {
			if p := svc.partitions[i].Load(); p != nil {
				s.expire(p)
				s.refreshSuccessor(p)
			}
		}
	}
	now := s.now().tick
	for i := s.visitOffset; i < ownership.PartitionCount; i += visitTicks {
		s.replicas.expire(uint32(i), now, s.idleLimit)
	}
	s.releasedPartitions.expire(now)
}

// idleLimit returns the declared idle limit of a service or the default.
func (s *Steerer) idleLimit(number uint32) time.Duration {
	if declared, ok := s.Config.Current().Service(number); ok && declared.GetLimits().GetIdleLimitMs() > 0 {
		return time.Duration(declared.GetLimits().GetIdleLimitMs()) * time.Millisecond
	}
	return defaultIdleLimit
}

// expire removes idle flows, queues flows that cannot continue for a reset, and refreshes
// exceptions before their replicas expire.
func (s *Steerer) expire(p *partition) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.released {
		return
	}
	v := p.view
	now := s.now()
	for flow, r := range p.flows {
		idle := r.idle(now.tick)
		switch {
		case p.waits[flow] != nil:
		case idle > v.idleLimit || r.has(flagClosed) && idle > closedRetention:
			s.removeFlow(p, v, flow)
		case r.has(flagClosed):
		case v.resetReason(r, now.unixMS) != pb.Reason_REASON_UNSPECIFIED:
			s.pacedPackets.addReset(p, flow)
		case r.has(flagException):
			s.refreshException(p, v, flow, r, now)
		}
	}
}

// refreshException queues an exception again when half the idle limit has passed since its last
// transmission. A flow whose upstream follows from the table alone by now is no longer an
// exception. The caller holds p.mu.
func (s *Steerer) refreshException(p *partition, v *serviceView, flow wire.FlowKey, r record, now instant) {
	if !p.needsReplica(v, flow, r.upstream, now.unixMS) {
		delete(p.exceptions, flow)
		r.flags &^= flagException
		p.flows[flow] = r
		return
	}
	e := p.exceptions[flow]
	if e.sentTick == 0 || time.Duration(now.tick-e.sentTick)*tickLength > v.idleLimit/2 {
		s.queueBulk(p, flow)
	}
}
