package daemon

import (
	"context"
	"fmt"
	"strings"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/config/declaration"
)

// checkRemovals returns an error for a change that removes an upstream with possible established
// flows: an upstream that is not draining may receive new ones at any time, and a draining one may
// still have some. The errors are declaration.ErrNotDraining, declaration.ErrHasFlows and
// declaration.ErrFlowsUnknown.
func (s operatorService) checkRemovals(ctx context.Context, previous, next *pb.Configuration) error {
	removed := removedUpstreams(previous, next)
	if len(removed) == 0 {
		return nil
	}
	for _, u := range removed {
		if u.GetState() != pb.DeclaredState_DECLARED_STATE_DRAINING {
			return fmt.Errorf("%w: %q", declaration.ErrNotDraining, u.GetName())
		}
	}
	freshness, statuses := s.newStatusCollector().collect(ctx, &pb.StatusRequest{})
	flowCounts := countFlowsByUpstream(statuses)
	for _, u := range removed {
		if n := flowCounts[u.GetNumber()]; n > 0 {
			return fmt.Errorf("%w: %q has %s", declaration.ErrHasFlows, u.GetName(), formatFlowCount(n, freshness.GetMissing()))
		}
	}
	if len(freshness.GetMissing()) > 0 {
		return fmt.Errorf("%w: %s", declaration.ErrFlowsUnknown, strings.Join(freshness.GetMissing(), ", "))
	}
	return nil
}

// removedUpstreams returns the upstreams whose numbers are not in the next configuration. An upstream
// that is declared with another address has another number, and so counts as removed.
func removedUpstreams(previous, next *pb.Configuration) []*pb.Upstream {
	kept := map[uint32]bool{}
	for _, s := range next.GetServices() {
		for _, u := range s.GetUpstreams() {
			kept[u.GetNumber()] = true
		}
	}
	var removed []*pb.Upstream
	for _, s := range previous.GetServices() {
		for _, u := range s.GetUpstreams() {
			if !kept[u.GetNumber()] {
				removed = append(removed, u)
			}
		}
	}
	return removed
}
