package steering

import (
	"sync"
	"time"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/ownership"
	"github.com/fulmarfield/fulmarfield/wire"
)

const (
	// copyLife is how long a released partition's flows are kept to answer queries: the new
	// holder's claim and the retransmissions of callers are over by then.
	copyLife = 60 * time.Second
	// maxCopiedFlows bounds the flows in all copies, about 30 bytes each.
	maxCopiedFlows = 200_000
	// fullExport is the number of flows of a partition up to which all are exported.
	fullExport = 2000
)

// Activate starts to serve a partition. Replicas of the former owner's exceptions are added to
// the records.
func (s *Steerer) Activate(r ownership.Resource, records *pb.ResourceRecords, provenance ownership.Provenance) {
	owner := s.service(r.Service, true)
	p := newPartition(r, owner)
	if current := owner.partitions[r.Index].Load(); current != nil {
		p = current
	}
	now := s.now()
	p.mu.Lock()
	// Stored before the view is loaded, so that a configuration change sees the partition or
	// has replaced the service's view. Packets wait for the lock.
	owner.partitions[r.Index].Store(p)
	if p.view == nil {
		p.view = owner.view.Load()
	}
	v := p.view
	p.base, p.baseAt = v.table, now
	// In a minority the former owner is rather alive behind a cut and may place flows by the new table.
	if provenance == ownership.Recovered && (s.Isolated == nil || !s.Isolated()) {
		p.base, p.baseAt = v.tableOfDead(now)
	}
	released := s.copies.take(r)
	if provenance == ownership.Transferred {
		released = nil // The records are newer and complete.
	}
	s.merge(p, v, released, now)
	s.merge(p, v, s.replicas.take(r), now)
	s.merge(p, v, recordsOf(records, now.tick), now)
	p.mu.Unlock()
	s.orphans.Store(true)
	s.wake()
}

// Release stops serving a partition and returns its flows. For a while, queries for them are
// answered from a copy. Packets held for a peer's answer are dropped and counted, and the
// placements that they wait for are undone.
func (s *Steerer) Release(r ownership.Resource) *pb.ResourceRecords {
	records := &pb.ResourceRecords{Resource: &pb.Resource{Kind: r.Kind, Service: r.Service, Index: r.Index}}
	owner := s.service(r.Service, false)
	if owner == nil {
		return records
	}
	p := owner.partitions[r.Index].Swap(nil)
	if p == nil {
		return records
	}
	now := s.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.released = true
	v := p.view
	for flow, w := range p.waits {
		s.Counters.Add("drop.released", int64(len(w.finish())))
		if w.kind == waitAck {
			p.remove(v, flow)
		}
	}
	compact := len(p.flows) > fullExport
	for flow, f := range p.flows {
		if u := v.upstreams[f.upstream]; u != nil && !f.has(flagClosed) {
			u.flows.Add(-1)
		}
		if f.has(flagClosed) || compact && !p.needsReplica(v, flow, f.upstream, now.unixMS) {
			continue
		}
		records.Flows = append(records.Flows, f.flowRecord(flow, now.tick))
	}
	released := releasedCopy{flows: p.flows, at: now.tick, view: v, base: p.base, baseAt: p.baseAt}
	if !p.isBaseValid(v, now) {
		released.base = nil
	}
	s.copies.add(r, released)
	return records
}

// Merge adds the records of another former holder. Of two records of a flow, the one with the
// later packet stays.
func (s *Steerer) Merge(r ownership.Resource, records *pb.ResourceRecords) {
	owner := s.service(r.Service, false)
	if owner == nil {
		return
	}
	p := owner.partitions[r.Index].Load()
	if p == nil {
		return
	}
	now := s.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.released {
		s.merge(p, p.view, recordsOf(records, now.tick), now)
	}
}

func recordsOf(m *pb.ResourceRecords, now uint32) map[wire.FlowKey]record {
	records := make(map[wire.FlowKey]record, len(m.GetFlows()))
	for _, f := range m.GetFlows() {
		records[wire.FlowKeyFromProto(f.GetFlow())] = recordOf(f, now)
	}
	return records
}

// merge adds records where the partition has none with a later packet. A flow that is being
// placed is left alone. The caller holds p.mu.
func (s *Steerer) merge(p *partition, v *serviceView, records map[wire.FlowKey]record, now instant) {
	for flow, r := range records {
		current, known := p.flows[flow]
		w := p.waits[flow]
		if w != nil && w.kind == waitAck || r.upstream == 0 || known && current.last >= r.last {
			continue
		}
		s.insert(p, v, flow, r, now)
	}
}

// copyStore keeps the flows of released partitions for a while.
type copyStore struct {
	mu     sync.Mutex
	copies map[ownership.Resource]releasedCopy
	total  int
}

type releasedCopy struct {
	flows map[wire.FlowKey]record
	at    uint32
	// base, at baseAt, tells of flows that were idle while the partition was held here, and so
	// have no record; nil when none can have been idle for so long. view is the last one.
	view   *serviceView
	base   *table
	baseAt instant
}

// derived returns the record of an idle flow, if the base tells its upstream.
func (c releasedCopy) derived(flow wire.FlowKey) (record, bool) {
	bucket := bucketOf(flow.Hash())
	if c.base == nil || c.base == c.view.table || !c.base.stable(bucket, c.baseAt.unixMS, c.view.idleLimit) {
		return record{}, false
	}
	number, ok := c.base.upstream(bucket)
	return record{upstream: number, last: c.baseAt.tick}, ok
}

func newCopyStore() *copyStore { return &copyStore{copies: map[ownership.Resource]releasedCopy{}} }

// add keeps a copy, whose flows must not change afterwards, and makes room by dropping the oldest.
func (c *copyStore) add(r ownership.Resource, released releasedCopy) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drop(r)
	for c.total+len(released.flows) > maxCopiedFlows && len(c.copies) > 0 {
		oldest, found := ownership.Resource{}, false
		for candidate, kept := range c.copies {
			if !found || kept.at < c.copies[oldest].at {
				oldest, found = candidate, true
			}
		}
		c.drop(oldest)
	}
	c.copies[r] = released
	c.total += len(released.flows)
}

func (c *copyStore) drop(r ownership.Resource) {
	c.total -= len(c.copies[r].flows)
	delete(c.copies, r)
}

// take removes and returns the open flows of a copy.
func (c *copyStore) take(r ownership.Resource) map[wire.FlowKey]record {
	c.mu.Lock()
	defer c.mu.Unlock()
	flows := c.copies[r].flows
	c.drop(r)
	for flow, f := range flows {
		if f.has(flagClosed) {
			delete(flows, flow)
		}
	}
	return flows
}

func (c *copyStore) find(r ownership.Resource, flow wire.FlowKey) (record, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept, held := c.copies[r]
	f, ok := kept.flows[flow]
	if held && !ok {
		return kept.derived(flow)
	}
	return f, ok && !f.has(flagClosed)
}

func (c *copyStore) expire(now uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for r, kept := range c.copies {
		if now-kept.at > uint32(copyLife/tickLength) {
			c.drop(r)
		}
	}
}
