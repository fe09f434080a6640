package daemon

import (
	"context"
	"time"

	"connectrpc.com/connect"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/config/declaration"
)

// Plan reports what a declaration would change in the configuration in force at this daemon. It
// changes nothing.
func (s operatorService) Plan(ctx context.Context, r *connect.Request[pb.PlanRequest]) (*connect.Response[pb.PlanResponse], error) {
	freshness, statuses := s.newStatusCollector().collect(ctx, &pb.StatusRequest{})
	response := &pb.PlanResponse{Basis: freshness}
	d, errs := declaration.Parse(r.Msg.GetFileName(), r.Msg.GetDeclaration())
	if len(errs) > 0 {
		response.Errors = errs.Lines()
		return connect.NewResponse(response), nil
	}
	lines, err := planLines(s.node.relay.Current().Proto, d, statuses, freshness.GetMissing())
	response.Lines = lines
	if err != nil {
		response.Errors = []string{r.Msg.GetFileName() + ": " + err.Error()}
	}
	return connect.NewResponse(response), nil
}

// planLines lists the differences and their effects. It returns declaration.ErrOtherDeployment for a
// declaration of another deployment.
func planLines(previous *pb.Configuration, d *declaration.Declaration, statuses []*pb.StatusResponse, missing []string) ([]string, error) {
	if err := declaration.CheckDeployment(previous, d); err != nil {
		return nil, err
	}
	next, lines := declaration.Build(previous, d, "plan", "", time.Now())
	if len(lines) == 0 {
		lines = append(lines, "nothing changes")
	}
	lines = append(lines, planEffects(previous, next, statuses, missing)...)
	return lines, nil
}

// Apply commits a declaration and waits until it is in force.
func (s operatorService) Apply(ctx context.Context, r *connect.Request[pb.ApplyRequest]) (*connect.Response[pb.ApplyResponse], error) {
	m := r.Msg
	response := &pb.ApplyResponse{ChangeId: m.GetChangeId()}
	d, errs := declaration.Parse(m.GetFileName(), m.GetDeclaration())
	if len(errs) > 0 {
		response.Outcome, response.Reason = pb.Outcome_OUTCOME_REFUSED, "the declaration has errors"
		response.Errors = errs.Lines()
		response.Basis = s.collectFreshness(ctx)
		return connect.NewResponse(response), nil
	}
	at := time.Now()
	result := s.commit(ctx, m.GetChangeId(), m.GetExpectedGeneration(), func(previous *pb.Configuration) (*pb.Configuration, error) {
		if err := declaration.CheckDeployment(previous, d); err != nil {
			return nil, err
		}
		next, _ := declaration.Build(previous, d, m.GetChangeId(), m.GetAuthor(), at)
		if !m.GetForce() {
			return next, s.checkRemovals(ctx, previous, next)
		}
		return next, nil
	})
	s.logChange("apply "+m.GetFileName(), m.GetAuthor(), m.GetChangeId(), result)
	response.Outcome, response.Generation, response.Reason = result.outcome, result.generation, result.reason
	collector := s.newStatusCollector()
	response.InForce, response.NotConfirmed = collector.waitUntilInForce(ctx, result, m.GetWaitMs())
	response.Basis, _ = collector.collect(ctx, &pb.StatusRequest{})
	return connect.NewResponse(response), nil
}
