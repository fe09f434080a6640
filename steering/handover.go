package steering

import (
	"sync"
	"time"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/ownership"
	"github.com/fulmarfield/fulmarfield/wire"
)

const (
	// releasedRetention is how long the flows of a released partition are retained to respond to
	// queries. By then the new holder's claim and the retransmissions of callers have ended.
	releasedRetention = 60 * time.Second
	// maxReleasedFlows limits the retained flows of all released partitions, about 30 bytes each.
	maxReleasedFlows = 200_000
	// fullExportLimit is the number of flows up to which a released partition exports all of
	// them. A larger one leaves out the flows whose upstream follows from the table.
	fullExportLimit = 2000
)

// Activate starts to serve a partition. It merges the given records with the replicas of the former
// owner's exceptions and with the flows that this daemon retained when it last released the
// partition. The latter are ignored after a transfer.
func (s *Steerer) Activate(r ownership.Resource, records *pb.ResourceRecords, provenance ownership.Provenance) {
	svc := s.service(r.Service, true)
	p := newPartition(r, svc)
	if current := svc.partitions[r.Index].Load(); current != nil {
		p = current
	}
	now := s.now()
	p.mu.Lock()
	// The partition is stored before the view is loaded, so that a concurrent configuration change
	// either finds the partition or has already replaced the view. Packets wait for the lock.
	svc.partitions[r.Index].Store(p)
	if p.view == nil {
		p.view = svc.view.Load()
	}
	v := p.view
	p.initialTable, p.initialTableAt = v.table, now
	// When this daemon is isolated, the former owner is more likely running on the other side of a
	// network partition, where it may place flows by the new table.
	if provenance == ownership.Recovered && (s.Isolated == nil || !s.Isolated()) {
		p.initialTable, p.initialTableAt = v.recoveryTable(now)
	}
	released := s.releasedPartitions.take(r)
	if provenance == ownership.Transferred {
		released = nil // The transferred records are newer and complete.
	}
	s.merge(p, v, released, now)
	s.merge(p, v, s.replicas.take(r), now)
	s.merge(p, v, recordsFromProto(records, now.tick), now)
	p.mu.Unlock()
	s.successorsUnknown.Store(true)
	s.wake()
}

// Release stops serving a partition and returns its flows. It retains them for releasedRetention to
// respond to queries. Packets that wait for the response of a peer are dropped and counted, and
// placements that wait for an acknowledgement are undone.
func (s *Steerer) Release(r ownership.Resource) *pb.ResourceRecords {
	records := &pb.ResourceRecords{Resource: &pb.Resource{Kind: r.Kind, Service: r.Service, Index: r.Index}}
	svc := s.service(r.Service, false)
	if svc == nil {
		return records
	}
	p := svc.partitions[r.Index].Swap(nil)
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
	compact := len(p.flows) > fullExportLimit
	for flow, f := range p.flows {
		if u := v.upstreams[f.upstream]; u != nil && !f.has(flagClosed) {
			u.flows.Add(-1)
		}
		if f.has(flagClosed) || compact && !p.needsReplica(v, flow, f.upstream, now.unixMS) {
			continue
		}
		records.Flows = append(records.Flows, f.toProto(flow, now.tick))
	}
	released := releasedPartition{flows: p.flows, releasedAt: now.tick, view: v,
		initialTable: p.initialTable, initialTableAt: p.initialTableAt}
	if !p.isInitialTableValid(v, now) {
		released.initialTable = nil
	}
	s.releasedPartitions.add(r, released)
	return records
}

// Merge adds the records of another former holder. Of two records of a flow, it keeps the one with
// the later packet.
func (s *Steerer) Merge(r ownership.Resource, records *pb.ResourceRecords) {
	svc := s.service(r.Service, false)
	if svc == nil {
		return
	}
	p := svc.partitions[r.Index].Load()
	if p == nil {
		return
	}
	now := s.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.released {
		s.merge(p, p.view, recordsFromProto(records, now.tick), now)
	}
}

// recordsFromProto converts the flows of a message to records by flow key.
func recordsFromProto(m *pb.ResourceRecords, now uint32) map[wire.FlowKey]record {
	records := make(map[wire.FlowKey]record, len(m.GetFlows()))
	for _, f := range m.GetFlows() {
		records[wire.FlowKeyFromProto(f.GetFlow())] = recordFromProto(f, now)
	}
	return records
}

// merge adds the records of flows for which the partition has no record with an equally late or
// later packet. It skips flows whose placement waits for an acknowledgement. The caller holds
// p.mu.
func (s *Steerer) merge(p *partition, v *serviceView, records map[wire.FlowKey]record, now instant) {
	for flow, r := range records {
		current, known := p.flows[flow]
		w := p.waits[flow]
		if w != nil && w.kind == waitAck || r.upstream == 0 || known && current.lastPacket >= r.lastPacket {
			continue
		}
		s.insert(p, v, flow, r, now)
	}
}

// releasedStore retains the flows of released partitions for releasedRetention.
type releasedStore struct {
	mu         sync.Mutex
	partitions map[ownership.Resource]releasedPartition
	totalFlows int
}

// releasedPartition holds the flows of a partition that this daemon has released.
type releasedPartition struct {
	flows      map[wire.FlowKey]record
	releasedAt uint32
	// view is the view that the partition had when it was released. initialTable and
	// initialTableAt determine the upstreams of flows that were idle while this daemon held the
	// partition and therefore have no record. initialTable is nil when the partition was held for
	// longer than the idle limit, so that there are no such flows.
	view           *serviceView
	initialTable   *table
	initialTableAt instant
}

// deriveRecord returns the record of a flow that was idle while this daemon held the partition, if
// the upstream of the flow follows from the initial table.
func (p releasedPartition) deriveRecord(flow wire.FlowKey) (record, bool) {
	bucket := bucketFor(flow.Hash())
	if p.initialTable == nil || p.initialTable == p.view.table ||
		!p.initialTable.isStable(bucket, p.initialTableAt.unixMS, p.view.idleLimit) {
		return record{}, false
	}
	number, ok := p.initialTable.upstream(bucket)
	return record{upstream: number, lastPacket: p.initialTableAt.tick}, ok
}

func newReleasedStore() *releasedStore {
	return &releasedStore{partitions: map[ownership.Resource]releasedPartition{}}
}

// add stores a released partition, whose flows must not be changed by the caller afterwards. It
// drops the partitions that were released earliest to stay within maxReleasedFlows.
func (s *releasedStore) add(r ownership.Resource, released releasedPartition) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(r)
	for s.totalFlows+len(released.flows) > maxReleasedFlows && len(s.partitions) > 0 {
		oldest, found := ownership.Resource{}, false
		for candidate, kept := range s.partitions {
			if !found || kept.releasedAt < s.partitions[oldest].releasedAt {
				oldest, found = candidate, true
			}
		}
		s.drop(oldest)
	}
	s.partitions[r] = released
	s.totalFlows += len(released.flows)
}

func (s *releasedStore) drop(r ownership.Resource) {
	s.totalFlows -= len(s.partitions[r].flows)
	delete(s.partitions, r)
}

// take removes a released partition and returns its open flows.
func (s *releasedStore) take(r ownership.Resource) map[wire.FlowKey]record {
	s.mu.Lock()
	defer s.mu.Unlock()
	flows := s.partitions[r].flows
	s.drop(r)
	for flow, f := range flows {
		if f.has(flagClosed) {
			delete(flows, flow)
		}
	}
	return flows
}

// find returns the record of an open flow of a released partition, or the record derived from the
// initial table when the flow has none.
func (s *releasedStore) find(r ownership.Resource, flow wire.FlowKey) (record, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept, found := s.partitions[r]
	f, ok := kept.flows[flow]
	if found && !ok {
		return kept.deriveRecord(flow)
	}
	return f, ok && !f.has(flagClosed)
}

func (s *releasedStore) expire(now uint32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for r, kept := range s.partitions {
		if now-kept.releasedAt > uint32(releasedRetention/tickLength) {
			s.drop(r)
		}
	}
}
