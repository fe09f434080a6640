package steering

import (
	"slices"
	"time"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/membership"
	"github.com/fulmarfield/fulmarfield/ownership"
	"github.com/fulmarfield/fulmarfield/wire"
)

// Explanation describes the route of a flow and the reason for it.
type Explanation struct {
	Flow      wire.FlowKey
	Cause     pb.RouteCause
	Service   uint32
	Partition uint32
	Bucket    uint32
	// BucketUpstream is 0 when the service has no active upstream.
	BucketUpstream uint32
	BucketStable   bool
	// Upstream is the upstream that receives the next packet of an open flow, 0 when this daemon
	// does not know it.
	Upstream uint32
	// Opens is the upstream on which an OPEN would be placed when the flow has no record.
	Opens uint32
	// Reset is the reason for which the next packet of a recorded flow causes a reset.
	Reset       pb.Reason
	Established bool
	Idle        time.Duration
	// Queried are the daemons from which this daemon awaits a response for the flow, or would
	// query it.
	Queried []membership.DaemonID
}

// Explain returns the route that a packet of the flow would take now.
func (s *Steerer) Explain(flow wire.FlowKey) Explanation {
	hash := flow.Hash()
	e := Explanation{Flow: flow, Bucket: bucketFor(hash), Cause: pb.RouteCause_ROUTE_CAUSE_UNKNOWN_SERVICE}
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

// fill adds the fields that depend on the state of the partition. The caller holds p.mu.
func (e *Explanation) fill(s *Steerer, p *partition, hash uint64) {
	v, now := p.view, s.now()
	e.BucketUpstream, _ = v.table.upstream(e.Bucket)
	e.BucketStable = v.table.isStable(e.Bucket, now.unixMS, v.idleLimit)
	r, known := p.flows[e.Flow]
	if !known {
		r, known = s.replicas.find(e.Service, e.Flow, now.tick)
	}
	if w := p.waits[e.Flow]; w != nil {
		e.Cause = pb.RouteCause_ROUTE_CAUSE_WAITING
		e.Queried = slices.Clone(w.pendingPeers)
		if successor, ok := s.Router.Successor(p.resource); w.kind == waitAck && ok {
			e.Queried = []membership.DaemonID{successor}
		}
		return
	}
	if known {
		e.Upstream, e.Established, e.Idle = r.upstream, r.has(flagEstablished), r.idle(now.tick)
		e.Reset = v.resetReason(r, now.unixMS)
		e.Cause = routeCause(r)
		return
	}
	placed, ok := v.place(hash, now.unixMS)
	if !ok {
		e.Cause = pb.RouteCause_ROUTE_CAUSE_NO_UPSTREAM
		return
	}
	e.Opens = placed.upstream.number
	if placed.diverted && s.staysOnBucketUpstream(p, v, placed) && !s.replicator.hasUrgentBudget(time.Now()) {
		e.Opens, _ = v.table.upstream(bucketFor(hash))
	}
	e.Cause = pb.RouteCause_ROUTE_CAUSE_BUCKET
	if e.Upstream, ok = p.deriveUpstream(v, hash, now); !ok {
		e.Cause = pb.RouteCause_ROUTE_CAUSE_UNSTABLE_BUCKET
		e.Queried = s.queryTargets(p.resource)
	}
}

// routeCause returns the cause of the route of a recorded flow.
func routeCause(r record) pb.RouteCause {
	switch {
	case r.has(flagClosed):
		return pb.RouteCause_ROUTE_CAUSE_CLOSED
	case r.has(flagException):
		return pb.RouteCause_ROUTE_CAUSE_EXCEPTION
	default:
		return pb.RouteCause_ROUTE_CAUSE_RECORD
	}
}

// queryTargets returns the daemons to which a query for a flow of the partition is sent: the
// previous holders and the successor, at most maxQueryTargets.
func (s *Steerer) queryTargets(r ownership.Resource) []membership.DaemonID {
	targets := slices.Clone(s.Router.PreviousHolders(r))
	if successor, ok := s.Router.Successor(r); ok && !slices.Contains(targets, successor) {
		targets = slices.Insert(targets, min(len(targets), maxQueryTargets-1), successor)
	}
	return targets[:min(len(targets), maxQueryTargets)]
}
