package steering

import (
	"sync"
	"time"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/membership"
	"github.com/fulmarfield/fulmarfield/ownership"
	"github.com/fulmarfield/fulmarfield/wire"
)

// tickLength is the unit of the time of a record's last packet.
const tickLength = 100 * time.Millisecond

// epochLead is the time from tick 0 to the start of the daemon, so that the last packet of a flow
// that was idle before the start can be expressed as a tick.
const epochLead = 24 * time.Hour

// instant is a point in time, as the tick that records use and as the Unix time that the
// configuration uses.
type instant struct {
	tick   uint32
	unixMS int64
}

// flags are the flags of a record.
type flags uint8

const (
	// flagEstablished: the caller has sent a packet after OPEN.
	flagEstablished flags = 1 << iota
	// flagException: the successor needs a replica of the record, since the upstream does not
	// follow from the table alone.
	flagException
	// flagClosed: the flow has been closed or reset. The record steers late packets and is not
	// counted.
	flagClosed
)

// record is the state of a flow at its owner. It holds no pointer, so that the garbage collector
// does not scan the maps of records.
type record struct {
	upstream uint32
	// lastPacket is the tick of the last packet.
	lastPacket uint32
	flags      flags
}

func (r record) has(f flags) bool { return r.flags&f != 0 }

// exception is the replication state of a flow with flagException.
type exception struct {
	// sentTick is the tick of the last transmission to the successor, 0 before the first.
	sentTick uint32
	// queued is set while the flow is in the outbox of the successor.
	queued bool
}

// partition holds the flows of one flow partition that this daemon serves. mu guards the fields
// below it.
type partition struct {
	resource ownership.Resource
	service  *service

	mu       sync.Mutex
	released bool
	// view is the view of the service by which all records are counted and marked as exceptions.
	// A configuration change replaces it and updates the records under the same lock.
	view       *serviceView
	flows      map[wire.FlowKey]record
	exceptions map[wire.FlowKey]exception
	waits      map[wire.FlowKey]*wait
	successor  membership.DaemonID
	// initialTable is the table that the former owner used until it lost the partition at
	// initialTableAt. A flow of which this daemon received no record was on the upstream of its
	// bucket in that table, if the bucket was stable at that time.
	initialTable   *table
	initialTableAt instant
}

func newPartition(r ownership.Resource, s *service) *partition {
	return &partition{
		resource:   r,
		service:    s,
		flows:      map[wire.FlowKey]record{},
		exceptions: map[wire.FlowKey]exception{},
		waits:      map[wire.FlowKey]*wait{},
	}
}

// insert adds or replaces the record of a flow and counts it. It reports whether the flow became
// an exception. The caller holds p.mu.
func (p *partition) insert(v *serviceView, flow wire.FlowKey, r record, nowMS int64) bool {
	if _, ok := p.flows[flow]; ok {
		p.remove(v, flow)
	}
	r.flags &^= flagException
	needed := !r.has(flagClosed) && p.needsReplica(v, flow, r.upstream, nowMS)
	if needed {
		r.flags |= flagException
		p.exceptions[flow] = exception{}
	}
	p.flows[flow] = r
	if u := v.upstreams[r.upstream]; u != nil && !r.has(flagClosed) {
		u.flows.Add(1)
	}
	return needed
}

// needsReplica reports whether the upstream of a flow does not follow from the table alone: it
// differs from the bucket's upstream, or the bucket is not stable.
func (p *partition) needsReplica(v *serviceView, flow wire.FlowKey, upstream uint32, nowMS int64) bool {
	bucket := bucketFor(flow.Hash())
	number, ok := v.table.upstream(bucket)
	return !ok || number != upstream || !v.table.isStable(bucket, nowMS, v.idleLimit)
}

// remove deletes a record and reports whether the successor must be notified. The caller holds
// p.mu.
func (p *partition) remove(v *serviceView, flow wire.FlowKey) (notify bool) {
	r, ok := p.flows[flow]
	if !ok {
		return false
	}
	notify = p.removeFromCounts(v, flow, r)
	delete(p.flows, flow)
	return notify
}

// removeFromCounts removes a flow that ends from the count of its upstream and from the exceptions.
// It reports whether the exception was sent to the successor, which must then be notified. The
// caller holds p.mu.
func (p *partition) removeFromCounts(v *serviceView, flow wire.FlowKey, r record) (notify bool) {
	if u := v.upstreams[r.upstream]; u != nil && !r.has(flagClosed) {
		u.flows.Add(-1)
	}
	e, ok := p.exceptions[flow]
	delete(p.exceptions, flow)
	return ok && e.sentTick > 0
}

// toProto converts a record to its message. It leaves out the service, which the resource of the
// surrounding message names; other users set it.
func (r record) toProto(flow wire.FlowKey, now uint32) *pb.FlowRecord {
	idle := uint64(now-min(r.lastPacket, now)) * uint64(tickLength.Milliseconds())
	return &pb.FlowRecord{
		Flow: flow.Proto(), Upstream: r.upstream, Established: r.has(flagEstablished),
		Exception: r.has(flagException), IdleMs: uint32(min(idle, 1<<32-1)),
	}
}

// recordFromProto converts a message to a record without flagException and flagClosed.
func recordFromProto(m *pb.FlowRecord, now uint32) record {
	r := record{upstream: m.GetUpstream(), lastPacket: now - min(now, m.GetIdleMs()/uint32(tickLength.Milliseconds()))}
	if m.GetEstablished() {
		r.flags |= flagEstablished
	}
	return r
}

// idle returns the time since the last packet of the flow.
func (r record) idle(now uint32) time.Duration {
	return time.Duration(now-min(r.lastPacket, now)) * tickLength
}
