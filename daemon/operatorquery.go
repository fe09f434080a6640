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

// historyTimeout limits the read of the change history from the store. After it, a query falls back to
// the change records of the configuration at this daemon.
const historyTimeout = 2 * time.Second

// runQuery runs one query.
func (s operatorService) runQuery(ctx context.Context, line string) *pb.RunResponse {
	q, err := query.Parse(line)
	if err != nil {
		return &pb.RunResponse{Basis: s.collectFreshness(ctx), Errors: []string{err.Error()}}
	}
	statusRequest := &pb.StatusRequest{Caller: q.Caller()}
	flow, isRoute := s.routeFlow(q)
	if isRoute {
		statusRequest.Route = flow.Proto()
	}
	freshness, statuses := s.newStatusCollector().collect(ctx, statusRequest)
	response := &pb.RunResponse{Basis: freshness}
	input := query.Input{Snapshot: s.node.relay.Current(), Statuses: statuses, Missing: freshness.GetMissing(), Now: time.Now()}
	if q.NeedsHistory() {
		input.Changes = s.changeHistory(ctx)
		freshness.PlatformReachable = input.Changes.FromStore
	}
	if q.Drain != nil {
		input.Blockers = s.drainBlockers(q.Drain.Upstream)
	}
	if isRoute {
		input.Route = s.node.explainRoute(flow)
	}
	response.Table, err = q.Evaluate(input)
	if err != nil {
		response.Errors = []string{query.Locate(line, err).Error()}
	}
	return response
}

// changeHistory reads the change history from the store. If that fails, it returns the change records
// of the configuration at this daemon.
func (s operatorService) changeHistory(ctx context.Context) *query.ChangeHistory {
	ctx, cancel := context.WithTimeout(ctx, historyTimeout)
	defer cancel()
	records, err := commit.History(ctx, s.node.store)
	if err != nil {
		return &query.ChangeHistory{Records: s.node.relay.Current().Proto.GetHistory()}
	}
	return &query.ChangeHistory{Records: records, FromStore: true}
}

// drainBlockers returns the requests that the drain of an upstream waits for, if this daemon holds the
// upstream's admission.
func (s operatorService) drainBlockers(name string) []request.Blocker {
	for _, service := range s.node.relay.Current().Services() {
		for _, u := range service.GetUpstreams() {
			if u.GetName() == name {
				return s.node.requests.Blockers(u.GetNumber())
			}
		}
	}
	return nil
}

// routeFlow returns the flow of a route query. It returns false if q is not a route query or names a
// service that is not declared.
func (s operatorService) routeFlow(q *query.Query) (wire.FlowKey, bool) {
	caller, err := netip.ParseAddrPort(q.Caller())
	if err != nil || q.Route == nil {
		return wire.FlowKey{}, false
	}
	for _, service := range s.node.relay.Current().Services() {
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

// explainRoute returns the route of a flow as this daemon sees it. Only the owner of the flow knows its
// upstream.
func (n *Node) explainRoute(flow wire.FlowKey) *pb.RouteExplanation {
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
