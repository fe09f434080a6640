package steering

import (
	"sync"
	"time"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/membership"
	"github.com/fulmarfield/fulmarfield/ownership"
	"github.com/fulmarfield/fulmarfield/wire"
)

// tickLength is the unit of a record's last packet time.
const tickLength = 100 * time.Millisecond

// clockLead dates the first tick before the start, so that flows that were idle before this
// daemon started have a tick.
const clockLead = 24 * time.Hour

// instant is one moment in the two forms that records and the configuration use.
type instant struct {
	tick   uint32
	unixMS int64
}

// flags of a record.
type flags uint8

const (
	// flagEstablished: the caller has sent a packet after OPEN.
	flagEstablished flags = 1 << iota
	// flagException: the successor must know the flow, since the table alone does not tell
	// its upstream.
	flagException
	// flagClosed: an end closed the flow; the record steers late packets and is not counted.
	flagClosed
)

// record is what the owner keeps of a flow. It holds no pointer, so that the garbage
// collector does not scan the maps of records.
type record struct {
	upstream uint32
	last     uint32
	flags    flags
}

func (r record) has(f flags) bool { return r.flags&f != 0 }

// exception is the replication state of a flow with flagException.
type exception struct {
	// sent is the tick of the last transmission to the successor, 0 before the first.
	sent uint32
	// queued is set while the flow waits in the outbox of the successor.
	queued bool
}

// partition holds the flows of one flow partition. Each has its own lock.
type partition struct {
	resource ownership.Resource
	service  *service

	mu       sync.Mutex
	released bool
	// view is that of the service under which all records are counted and marked. A
	// configuration change replaces it together with its walk over the records.
	view       *serviceView
	flows      map[wire.FlowKey]record
	exceptions map[wire.FlowKey]exception
	waits      map[wire.FlowKey]*wait
	successor  membership.DaemonID
	// base is the table of the former owner when it lost the partition, at baseAt: flows that no
	// record came of were on its upstreams then, if their bucket was stable.
	base   *table
	baseAt instant
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

// insert adds or replaces the record of a flow and counts it. It returns whether the flow
// became an exception. The caller holds p.mu.
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

// needsReplica reports whether the table alone does not tell a flow's upstream.
func (p *partition) needsReplica(v *serviceView, flow wire.FlowKey, upstream uint32, nowMS int64) bool {
	bucket := bucketOf(flow.Hash())
	number, ok := v.table.upstream(bucket)
	return !ok || number != upstream || !v.table.stable(bucket, nowMS, v.idleLimit)
}

// remove deletes a record and returns whether the successor has to be told. The caller holds
// p.mu.
func (p *partition) remove(v *serviceView, flow wire.FlowKey) (tell bool) {
	r, ok := p.flows[flow]
	if !ok {
		return false
	}
	tell = p.uncount(v, flow, r)
	delete(p.flows, flow)
	return tell
}

// uncount takes a record that ends out of the counts and exceptions.
func (p *partition) uncount(v *serviceView, flow wire.FlowKey, r record) (tell bool) {
	if u := v.upstreams[r.upstream]; u != nil && !r.has(flagClosed) {
		u.flows.Add(-1)
	}
	e, ok := p.exceptions[flow]
	delete(p.exceptions, flow)
	return ok && e.sent > 0
}

// flowRecord gives the message form. The service is left out: it is that of the resource.
func (r record) flowRecord(flow wire.FlowKey, now uint32) *pb.FlowRecord {
	idle := uint64(now-min(r.last, now)) * uint64(tickLength.Milliseconds())
	return &pb.FlowRecord{
		Flow: flow.Proto(), Upstream: r.upstream, Established: r.has(flagEstablished),
		Exception: r.has(flagException), IdleMs: uint32(min(idle, 1<<32-1)),
	}
}

// recordOf is the inverse of flowRecord.
func recordOf(m *pb.FlowRecord, now uint32) record {
	r := record{upstream: m.GetUpstream(), last: now - min(now, m.GetIdleMs()/uint32(tickLength.Milliseconds()))}
	if m.GetEstablished() {
		r.flags |= flagEstablished
	}
	return r
}

// idle returns how long ago the last packet of the flow came.
func (r record) idle(now uint32) time.Duration {
	return time.Duration(now-min(r.last, now)) * tickLength
}
