package steering

import (
	"sync"
	"time"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/membership"
	"github.com/fulmarfield/fulmarfield/ownership"
	"github.com/fulmarfield/fulmarfield/wire"
)

// tombstoneRetention is how long the end of a flow is retained as a tombstone, so that a reordered
// batch that arrives later does not restore the flow.
const tombstoneRetention = 10 * time.Second

// replica is the replicated record of an exception of another owner, or a tombstone of one.
type replica struct {
	record
	service uint32
	sender  uint32
	// batch is the number of the batch that carried the record. It orders the updates that one
	// sender sent for the flow.
	batch uint64
	// ended marks a tombstone.
	ended bool
}

// replicaStore holds the replicas in one shard per partition index. The services share the shards,
// since a flow key contains the address of its service.
type replicaStore struct {
	mu sync.Mutex
	// senders numbers the daemons that sent batches. Replicas refer to a daemon by this number.
	senders map[membership.DaemonID]uint32
	shards  [ownership.PartitionCount]map[wire.FlowKey]replica
}

func newReplicaStore() *replicaStore {
	return &replicaStore{senders: map[membership.DaemonID]uint32{}}
}

// apply stores the records and ends of a batch. It returns wire.ErrMalformed for a malformed batch
// and then stores nothing of it.
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
			record: record{lastPacket: now}, sender: sender, batch: b.GetBatch(), ended: true,
		})
	}
	for _, m := range records {
		s.put(wire.FlowKeyFromProto(m.GetFlow()), replica{
			record: recordFromProto(m, now), service: m.GetService(), sender: sender, batch: b.GetBatch(),
		})
	}
	return nil
}

// put stores a replica, unless a later batch of the same sender has already updated the flow.
func (s *replicaStore) put(flow wire.FlowKey, r replica) {
	shard := &s.shards[ownership.FlowPartition(0, flow.Hash()).Index]
	if *shard == nil {
		*shard = map[wire.FlowKey]replica{}
	}
	old, ok := (*shard)[flow]
	if ok && old.sender == r.sender && old.batch > r.batch {
		return
	}
	// The end of a flow that an earlier owner reports does not end the flow at its current owner.
	if r.ended && (!ok || old.sender != r.sender && !old.ended) {
		if ok {
			return
		}
	}
	(*shard)[flow] = r
}

// find returns the record of a replicated flow that has not ended.
func (s *replicaStore) find(service uint32, flow wire.FlowKey, now uint32) (record, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.shards[ownership.FlowPartition(0, flow.Hash()).Index][flow]
	if !ok || r.ended || r.service != service {
		return record{}, false
	}
	r.lastPacket = min(r.lastPacket, now)
	return r.record, true
}

// take removes all replicas of a partition that have not ended and returns their records.
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

// expire removes the expired tombstones of one shard and the replicas that were idle for twice the
// idle limit. The owner refreshes the replica of an open flow within one idle limit.
func (s *replicaStore) expire(index uint32, now uint32, idleLimit func(service uint32) time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for flow, r := range s.shards[index] {
		idle := r.idle(now)
		if r.ended && idle > tombstoneRetention || !r.ended && idle > 2*idleLimit(r.service) {
			delete(s.shards[index], flow)
		}
	}
	if len(s.shards[index]) == 0 {
		s.shards[index] = nil
	}
}

// count returns the number of replicas, without tombstones.
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
