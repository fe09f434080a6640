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
	"github.com/fulmarfield/fulmarfield/steering"
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
	basis, statuses := s.newCensus().gather(ctx, q.Caller())
	response := &pb.RunResponse{Basis: basis}
	facts := query.Facts{Snapshot: s.n.relay.Current(), Statuses: statuses, Missing: basis.GetMissing(), Now: time.Now()}
	if q.NeedsHistory() {
		facts.Changes = s.changes(ctx)
		basis.PlatformReachable = facts.Changes.FromStore
	}
	if q.Drain != nil {
		facts.Blockers = s.blockers(q.Drain.Upstream)
	}
	if q.Route != nil {
		facts.Route = s.routeFacts(q)
	}
	response.Table, err = q.Evaluate(facts)
	if err != nil {
		response.Errors = []string{query.Locate(line, err).Error()}
	}
	return response
}

// changes reads the history in the store, or falls back to what this daemon has.
func (s operatorService) changes(ctx context.Context) *query.ChangeFacts {
	ctx, cancel := context.WithTimeout(ctx, historyTimeout)
	defer cancel()
	records, err := commit.History(ctx, s.n.store)
	if err != nil {
		return &query.ChangeFacts{Records: s.n.relay.Current().Proto.GetHistory()}
	}
	return &query.ChangeFacts{Records: records, FromStore: true}
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

// routeFacts explains a flow by what this daemon knows; nil when the service is not declared.
func (s operatorService) routeFacts(q *query.Query) *query.RouteFacts {
	caller, err := netip.ParseAddrPort(q.Caller())
	if err != nil {
		return nil
	}
	for _, service := range s.n.relay.Current().Services() {
		if service.GetName() != q.Service() {
			continue
		}
		address, err := netip.ParseAddrPort(service.GetAddress())
		if err != nil {
			return nil
		}
		flow, err := wire.NewFlowKey(caller, address)
		if err != nil {
			return nil
		}
		facts := &query.RouteFacts{Explanation: s.n.steerer.Explain(flow)}
		to, active, ok := s.n.ownership.Route(ownership.FlowPartition(service.GetNumber(), flow.Hash()))
		if active {
			to, ok = s.n.self.ID, true
		}
		if ok {
			facts.Owner = string(to)
		}
		if !active {
			// A partition that was given away an instant ago is no longer this daemon's to explain.
			facts.Cause = steering.CauseNotHeld
		}
		return facts
	}
	return nil
}
