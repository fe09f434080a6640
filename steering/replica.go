package steering

import (
	"sync"
	"time"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/membership"
	"github.com/fulmarfield/fulmarfield/ownership"
	"github.com/fulmarfield/fulmarfield/wire"
)

// tombstoneLife is how long the end of a flow is remembered, so that a batch that was
// overtaken on the way does not bring the flow back.
const tombstoneLife = 10 * time.Second

// replica is an exception of another owner.
type replica struct {
	record
	service uint32
	sender  uint32
	// batch orders what one sender said of the flow.
	batch uint64
	ended bool
}

// replicaStore holds the replicas by partition index. Replicas of all services share the
// shards, since a flow key names its service address.
type replicaStore struct {
	mu      sync.Mutex
	senders map[membership.DaemonID]uint32
	shards  [ownership.PartitionCount]map[wire.FlowKey]replica
}

func newReplicaStore() *replicaStore {
	return &replicaStore{senders: map[membership.DaemonID]uint32{}}
}

// apply takes a batch of an owner. It returns wire.ErrMalformed and takes nothing of a batch that
// is not whole.
func (s *replicaStore) apply(from membership.DaemonID, b *pb.ExceptionBatch, now uint32) error {
	records, ended, err := wire.UnpackFlows(b.GetGroups())
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	sender, ok := s.senders[from]
	if !ok {
		sender = uint32(len(s.senders)) + 1
		s.senders[from] = sender
	}
	for _, key := range ended {
		s.put(wire.FlowKeyFromProto(key), replica{
			record: record{last: now}, sender: sender, batch: b.GetBatch(), ended: true,
		})
	}
	for _, m := range records {
		s.put(wire.FlowKeyFromProto(m.GetFlow()), replica{
			record: recordOf(m, now), service: m.GetService(), sender: sender, batch: b.GetBatch(),
		})
	}
	return nil
}

func (s *replicaStore) put(flow wire.FlowKey, r replica) {
	shard := &s.shards[ownership.FlowPartition(0, flow.Hash()).Index]
	if *shard == nil {
		*shard = map[wire.FlowKey]replica{}
	}
	old, ok := (*shard)[flow]
	if ok && old.sender == r.sender && old.batch > r.batch {
		return
	}
	// The end of a flow at an earlier owner does not end it at the present one.
	if r.ended && (!ok || old.sender != r.sender && !old.ended) {
		if ok {
			return
		}
	}
	(*shard)[flow] = r
}

// find returns the replica of a flow as a record.
func (s *replicaStore) find(service uint32, flow wire.FlowKey, now uint32) (record, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.shards[ownership.FlowPartition(0, flow.Hash()).Index][flow]
	if !ok || r.ended || r.service != service {
		return record{}, false
	}
	r.last = min(r.last, now)
	return r.record, true
}

// take removes and returns all live replicas of a partition.
func (s *replicaStore) take(p ownership.Resource) map[wire.FlowKey]record {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := map[wire.FlowKey]record{}
	for flow, r := range s.shards[p.Index] {
		if !r.ended && r.service == p.Service {
			found[flow] = r.record
			delete(s.shards[p.Index], flow)
		}
	}
	return found
}

// expire removes replicas of one shard that were idle for twice the limit, since their owner
// refreshes those of live flows within one, and old tombstones.
func (s *replicaStore) expire(index uint32, now uint32, idleLimit func(service uint32) time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for flow, r := range s.shards[index] {
		idle := r.idle(now)
		if r.ended && idle > tombstoneLife || !r.ended && idle > 2*idleLimit(r.service) {
			delete(s.shards[index], flow)
		}
	}
	if len(s.shards[index]) == 0 {
		s.shards[index] = nil
	}
}

// count returns the number of live replicas.
func (s *replicaStore) count() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, shard := range s.shards {
		for _, r := range shard {
			if !r.ended {
				n++
			}
		}
	}
	return n
}
