package daemon

import (
	"context"
	"net/netip"
	"time"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/config/commit"
	"github.com/fulmarfield/fulmarfield/ownership"
	"github.com/fulmarfield/fulmarfield/query"
	"github.com/fulmarfield/fulmarfield/request"
	"github.com/fulmarfield/fulmarfield/wire"
)

// historyTimeout is how long an answer waits for the store before it falls back to the change
// records that this daemon has.
const historyTimeout = 2 * time.Second

// query answers one line that asks.
func (s operatorService) query(ctx context.Context, line string) *pb.RunResponse {
	q, err := query.Parse(line)
	if err != nil {
		return &pb.RunResponse{Basis: s.askAll(ctx), Errors: []string{err.Error()}}
	}
	ask := &pb.StatusRequest{Caller: q.Caller()}
	flow, isRoute := s.routeOf(q)
	if isRoute {
		ask.Route = flow.Proto()
	}
	basis, statuses := s.newCensus().gather(ctx, ask)
	response := &pb.RunResponse{Basis: basis}
	input := query.Input{Snapshot: s.n.relay.Current(), Statuses: statuses, Missing: basis.GetMissing(), Now: time.Now()}
	if q.NeedsHistory() {
		input.Changes = s.changes(ctx)
		basis.PlatformReachable = input.Changes.FromStore
	}
	if q.Drain != nil {
		input.Blockers = s.blockers(q.Drain.Upstream)
	}
	if isRoute {
		input.Route = s.n.explain(flow)
	}
	response.Table, err = q.Evaluate(input)
	if err != nil {
		response.Errors = []string{query.Locate(line, err).Error()}
	}
	return response
}

// changes reads the history in the store, or falls back to what this daemon has.
func (s operatorService) changes(ctx context.Context) *query.ChangeHistory {
	ctx, cancel := context.WithTimeout(ctx, historyTimeout)
	defer cancel()
	records, err := commit.History(ctx, s.n.store)
	if err != nil {
		return &query.ChangeHistory{Records: s.n.relay.Current().Proto.GetHistory()}
	}
	return &query.ChangeHistory{Records: records, FromStore: true}
}

// blockers returns the requests that keep an upstream busy when its admission is held here.
func (s operatorService) blockers(name string) []request.Blocker {
	for _, service := range s.n.relay.Current().Services() {
		for _, u := range service.GetUpstreams() {
			if u.GetName() == name {
				return s.n.admissions.Blockers(u.GetNumber())
			}
		}
	}
	return nil
}

// routeOf returns the flow of a route query; false when the service is not declared.
func (s operatorService) routeOf(q *query.Query) (wire.FlowKey, bool) {
	caller, err := netip.ParseAddrPort(q.Caller())
	if err != nil || q.Route == nil {
		return wire.FlowKey{}, false
	}
	for _, service := range s.n.relay.Current().Services() {
		if service.GetName() != q.Service() {
			continue
		}
		address, err := netip.ParseAddrPort(service.GetAddress())
		if err != nil {
			return wire.FlowKey{}, false
		}
		flow, err := wire.NewFlowKey(caller, address)
		return flow, err == nil
	}
	return wire.FlowKey{}, false
}

// explain tells what this daemon knows of a flow's way; only the owner knows its upstream.
func (n *Node) explain(flow wire.FlowKey) *pb.RouteExplanation {
	e := n.steerer.Explain(flow)
	r := &pb.RouteExplanation{
		Cause: e.Cause, Partition: e.Partition, Bucket: e.Bucket, BucketUpstream: e.BucketUpstream, Upstream: e.Upstream,
		Opens: e.Opens, BucketStable: e.BucketStable, ResetReason: e.Reset, IdleMs: uint32(e.Idle.Milliseconds()),
	}
	for _, id := range e.Queried {
		r.Queried = append(r.Queried, string(id))
	}
	to, active, ok := n.ownership.Route(ownership.FlowPartition(e.Service, flow.Hash()))
	if active {
		to = n.self.ID
	}
	if active || ok {
		r.Owner = string(to)
	}
	return r
}
