package steering

import (
	"context"
	"time"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/ownership"
	"github.com/fulmarfield/fulmarfield/wire"
)

const (
	// paceInterval is the tick of paced packets and of the walk over the partitions.
	paceInterval = 250 * time.Millisecond
	// walkTicks is the number of ticks in which all partitions are visited once.
	walkTicks = 8
	// waitInterval is how often deadlines of waiting flows are looked at.
	waitInterval = 5 * time.Millisecond
	// closedLinger is how long the record of a closed flow steers late packets.
	closedLinger = 60 * time.Second
)

// Run does what is not caused by a packet, until ctx ends: expiry, batches, retransmissions,
// deadlines and paced packets. It always returns the error of ctx.
func (s *Steerer) Run(ctx context.Context) error {
	pace := time.NewTicker(paceInterval)
	defer pace.Stop()
	soon := time.NewTimer(time.Hour)
	defer soon.Stop()
	armed := false
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-pace.C:
			s.pace()
			s.walk()
			continue
		case <-s.kick:
			// Not at once: many packets may ask for it within one interval.
			if !armed {
				armed = true
				soon.Reset(waitInterval)
			}
			continue
		case <-soon.C:
		}
		next := s.step()
		if armed = next > 0; armed {
			soon.Reset(next)
		}
	}
}

// step does what is due and returns when to look again, 0 when nothing is pending.
func (s *Steerer) step() time.Duration {
	now := time.Now()
	if s.orphans.Swap(false) {
		for _, p := range s.held() {
			s.refreshSuccessor(p)
		}
	}
	waiting := s.expireWaits(now)
	s.replicate(now)
	next := s.replicator.next()
	if waiting {
		return waitInterval
	}
	return next
}

// refreshSuccessor looks up the successor of a partition that has exceptions or knows none yet.
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

// held returns the partitions that this daemon holds.
func (s *Steerer) held() []*partition {
	var found []*partition
	for _, owner := range *s.services.Load() {
		for i := range owner.partitions {
			if p := owner.partitions[i].Load(); p != nil {
				found = append(found, p)
			}
		}
	}
	return found
}

// walk visits a part of the partitions and replica shards: successors, expiry and refreshes.
func (s *Steerer) walk() {
	s.cursor = (s.cursor + 1) % walkTicks
	for _, owner := range *s.services.Load() {
		for i := s.cursor; i < len(owner.partitions); i += walkTicks {
			if p := owner.partitions[i].Load(); p != nil {
				s.expire(p)
				s.refreshSuccessor(p)
			}
		}
	}
	now := s.now().tick
	for i := s.cursor; i < ownership.PartitionCount; i += walkTicks {
		s.replicas.expire(uint32(i), now, s.idleLimit)
	}
	s.copies.expire(now)
}

func (s *Steerer) idleLimit(number uint32) time.Duration {
	if declared, ok := s.Config.Current().Service(number); ok && declared.GetLimits().GetIdleLimitMs() > 0 {
		return time.Duration(declared.GetLimits().GetIdleLimitMs()) * time.Millisecond
	}
	return defaultIdleLimit
}

// expire ends idle flows, queues dead ones for a reset, and refreshes exceptions before their
// replicas expire.
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
		case idle > v.idleLimit || r.has(flagClosed) && idle > closedLinger:
			s.end(p, v, flow)
		case r.has(flagClosed):
		case v.deathOf(r, now.unixMS) != pb.Reason_REASON_UNSPECIFIED:
			s.paced.addReset(p, flow)
		case r.has(flagException):
			s.refresh(p, v, flow, r, now)
		}
	}
}

// refresh sends an exception again when half the idle limit has passed since the last time,
// and drops the mark when the table alone tells the flow's upstream by now.
func (s *Steerer) refresh(p *partition, v *serviceView, flow wire.FlowKey, r record, now instant) {
	if !p.needsReplica(v, flow, r.upstream, now.unixMS) {
		delete(p.exceptions, flow)
		r.flags &^= flagException
		p.flows[flow] = r
		return
	}
	e := p.exceptions[flow]
	if e.sent == 0 || time.Duration(now.tick-e.sent)*tickLength > v.idleLimit/2 {
		s.queueBulk(p, flow)
	}
}
