package steering

import (
	"strings"
	"time"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/ownership"
	"github.com/fulmarfield/fulmarfield/wire"
)

// Stats is what this daemon knows of its flows.
type Stats struct {
	// Flows counts the open flows, and ByUpstream those of each upstream number.
	Flows      uint64
	ByUpstream map[uint32]uint32
	// Exceptions counts the flows whose upstream the table alone does not tell.
	Exceptions uint64
	// Replicas counts the exceptions of other owners that are kept here.
	Replicas uint64
	// Partitions counts the flow partitions that are served here.
	Partitions uint32
	// Opened counts the flows placed since the start, and Diverted those of them that did not
	// go to their bucket's upstream at first.
	Opened, Diverted uint64
}

// Stats returns the counts of this moment. Partitions are read one after another.
func (s *Steerer) Stats() Stats {
	stats := Stats{
		ByUpstream: map[uint32]uint32{}, Opened: s.opened.Load(), Diverted: s.diverted.Load(),
		Replicas: uint64(s.replicas.count()),
	}
	for _, owner := range *s.services.Load() {
		for number, u := range owner.view.Load().upstreams {
			if n := u.flows.Load(); n > 0 {
				stats.ByUpstream[number] = uint32(n)
				stats.Flows += uint64(n)
			}
		}
	}
	for _, p := range s.held() {
		p.mu.Lock()
		stats.Exceptions += uint64(len(p.exceptions))
		p.mu.Unlock()
		stats.Partitions++
	}
	return stats
}

// Flows returns at most limit open flows whose caller matches the filter: an IP, an IP:port,
// or empty for all.
func (s *Steerer) Flows(callerFilter string, limit int) []*pb.FlowRecord {
	var found []*pb.FlowRecord
	now := s.now().tick
	for _, p := range s.held() {
		p.mu.Lock()
		for flow, r := range p.flows {
			if len(found) >= limit || p.released {
				break
			}
			if !r.has(flagClosed) && matchesCaller(flow, callerFilter) {
				m := r.flowRecord(flow, now)
				m.Service = p.service.number
				found = append(found, m)
			}
		}
		p.mu.Unlock()
	}
	return found
}

func matchesCaller(flow wire.FlowKey, filter string) bool {
	if filter == "" {
		return true
	}
	caller := flow.Caller()
	if strings.Contains(filter, ":") {
		return caller.String() == filter
	}
	return caller.Addr().String() == filter
}

// Cause says what decides the upstream of a flow.
type Cause int

// Causes, as Explain gives them.
const (
	// CauseUnknownService: no service has the flow's service address.
	CauseUnknownService Cause = iota + 1
	// CauseNotHeld: another daemon holds the flow's partition.
	CauseNotHeld
	// CauseRecord: this daemon has a record of the flow, on the bucket's upstream.
	CauseRecord
	// CauseException: this daemon has a record of the flow, which the successor knows too.
	CauseException
	// CauseClosed: the flow was closed a short while ago.
	CauseClosed
	// CauseWaiting: the flow waits for the answer of another daemon.
	CauseWaiting
	// CauseBucket: there is no record; an OPEN goes by the bucket, and so would a packet of
	// the flow, since the bucket is stable.
	CauseBucket
	// CauseUnstableBucket: there is no record; an OPEN goes by the bucket, and other daemons
	// are asked for any other packet.
	CauseUnstableBucket
	// CauseNoUpstream: the service has no active upstream.
	CauseNoUpstream
)

// Explanation says where a flow goes and why.
type Explanation struct {
	Flow        wire.FlowKey
	Cause       Cause
	Service     uint32
	ServiceName string
	Partition   uint32
	Bucket      uint32
	// BucketUpstream is 0 when the service has no active upstream.
	BucketUpstream uint32
	BucketStable   bool
	// Upstream is where a packet goes now, 0 when that is not known here.
	Upstream    uint32
	Established bool
	Idle        time.Duration
	Generation  uint64
}

// Explain tells where a packet of the flow would go now.
func (s *Steerer) Explain(flow wire.FlowKey) Explanation {
	hash := flow.Hash()
	e := Explanation{Flow: flow, Bucket: bucketOf(hash), Cause: CauseUnknownService}
	declared, ok := s.Config.Current().ServiceOf(flow)
	if !ok {
		return e
	}
	e.Service, e.ServiceName = declared.GetNumber(), declared.GetName()
	e.Partition = ownership.FlowPartition(e.Service, hash).Index
	p := s.partition(e.Service, hash)
	if p == nil {
		e.Cause = CauseNotHeld
		return e
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	e.fill(p, s.now())
	return e
}

// fill adds what a partition tells. The caller holds p.mu.
func (e *Explanation) fill(p *partition, now instant) {
	v := p.view
	e.Generation = v.generation
	e.BucketUpstream, _ = v.table.upstream(e.Bucket)
	e.BucketStable = v.table.stable(e.Bucket, now.unixMS, v.idleLimit)
	r, known := p.flows[e.Flow]
	if known {
		e.Upstream, e.Established, e.Idle = r.upstream, r.has(flagEstablished), r.idle(now.tick)
	}
	switch {
	case p.waits[e.Flow] != nil:
		e.Cause, e.Upstream = CauseWaiting, 0
	case known && r.has(flagClosed):
		e.Cause = CauseClosed
	case known && r.has(flagException):
		e.Cause = CauseException
	case known:
		e.Cause = CauseRecord
	case e.BucketUpstream == 0:
		e.Cause = CauseNoUpstream
	case e.BucketStable:
		e.Cause, e.Upstream = CauseBucket, e.BucketUpstream
	default:
		e.Cause = CauseUnstableBucket
	}
}
