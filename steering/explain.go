package steering

import (
	"slices"
	"time"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/membership"
	"github.com/fulmarfield/fulmarfield/ownership"
	"github.com/fulmarfield/fulmarfield/wire"
)

// Explanation says where a flow goes and why.
type Explanation struct {
	Flow      wire.FlowKey
	Cause     pb.RouteCause
	Service   uint32
	Partition uint32
	Bucket    uint32
	// BucketUpstream is 0 when the service has no active upstream.
	BucketUpstream uint32
	BucketStable   bool
	// Upstream is where a packet of an open flow goes now, 0 when that is not known here.
	Upstream uint32
	// Opens is where an OPEN goes when there is no record.
	Opens uint32
	// Reset is the reason for which the next packet of a recorded flow ends it.
	Reset       pb.Reason
	Established bool
	Idle        time.Duration
	// Queried are the daemons that are asked, or would be, for what this one does not know.
	Queried []membership.DaemonID
}

// Explain tells where a packet of the flow would go now.
func (s *Steerer) Explain(flow wire.FlowKey) Explanation {
	hash := flow.Hash()
	e := Explanation{Flow: flow, Bucket: bucketOf(hash), Cause: pb.RouteCause_ROUTE_CAUSE_UNKNOWN_SERVICE}
	declared, ok := s.Config.Current().ServiceForFlow(flow)
	if !ok {
		return e
	}
	e.Service = declared.GetNumber()
	e.Partition = ownership.FlowPartition(e.Service, hash).Index
	e.Cause = pb.RouteCause_ROUTE_CAUSE_NOT_HELD
	p := s.partition(e.Service, hash)
	if p == nil {
		return e
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.released {
		return e
	}
	e.fill(s, p, hash)
	return e
}

// fill adds what a partition tells. The caller holds p.mu.
func (e *Explanation) fill(s *Steerer, p *partition, hash uint64) {
	v, now := p.view, s.now()
	e.BucketUpstream, _ = v.table.upstream(e.Bucket)
	e.BucketStable = v.table.stable(e.Bucket, now.unixMS, v.idleLimit)
	r, known := p.flows[e.Flow]
	if !known {
		r, known = s.replicas.find(e.Service, e.Flow, now.tick)
	}
	if w := p.waits[e.Flow]; w != nil {
		e.Cause = pb.RouteCause_ROUTE_CAUSE_WAITING
		e.Queried = slices.Clone(w.pending)
		if successor, ok := s.Router.Successor(p.resource); w.kind == waitAck && ok {
			e.Queried = []membership.DaemonID{successor}
		}
		return
	}
	if known {
		e.Upstream, e.Established, e.Idle = r.upstream, r.has(flagEstablished), r.idle(now.tick)
		e.Reset = v.deathOf(r, now.unixMS)
		e.Cause = causeOfRecord(r)
		return
	}
	placed, ok := v.place(hash, now.unixMS)
	if !ok {
		e.Cause = pb.RouteCause_ROUTE_CAUSE_NO_UPSTREAM
		return
	}
	e.Opens = placed.upstream.number
	if placed.diverted && s.staysForBudget(p, v, placed) && !s.replicator.couldUrgent(time.Now()) {
		e.Opens, _ = v.table.upstream(bucketOf(hash))
	}
	e.Cause = pb.RouteCause_ROUTE_CAUSE_BUCKET
	if e.Upstream, ok = p.derived(v, hash, now); !ok {
		e.Cause = pb.RouteCause_ROUTE_CAUSE_UNSTABLE_BUCKET
		e.Queried = s.askedFor(p.resource)
	}
}

func causeOfRecord(r record) pb.RouteCause {
	switch {
	case r.has(flagClosed):
		return pb.RouteCause_ROUTE_CAUSE_CLOSED
	case r.has(flagException):
		return pb.RouteCause_ROUTE_CAUSE_EXCEPTION
	default:
		return pb.RouteCause_ROUTE_CAUSE_RECORD
	}
}

// askedFor returns the daemons that a query for a flow of the partition goes to.
func (s *Steerer) askedFor(r ownership.Resource) []membership.DaemonID {
	targets := slices.Clone(s.Router.PreviousHolders(r))
	if successor, ok := s.Router.Successor(r); ok && !slices.Contains(targets, successor) {
		targets = slices.Insert(targets, min(len(targets), maxAsked-1), successor)
	}
	return targets[:min(len(targets), maxAsked)]
}
