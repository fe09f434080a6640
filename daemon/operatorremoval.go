package daemon

import (
	"context"
	"fmt"
	"strings"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/config/declaration"
)

// checkRemovals refuses a change that removes an upstream which may have established flows:
// one that is not draining may get another at any moment, and one that drains may have some
// left. It returns declaration.ErrNotDraining, declaration.ErrHasFlows or declaration.ErrFlowsUnknown.
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
	basis, statuses := s.newCensus().gather(ctx, &pb.StatusRequest{})
	open := openFlows(statuses)
	for _, u := range removed {
		if n := open[u.GetNumber()]; n > 0 {
			return fmt.Errorf("%w: %q has %s", declaration.ErrHasFlows, u.GetName(), flowCount(n, basis.GetMissing()))
		}
	}
	if len(basis.GetMissing()) > 0 {
		return fmt.Errorf("%w: %s", declaration.ErrFlowsUnknown, strings.Join(basis.GetMissing(), ", "))
	}
	return nil
}

// removedUpstreams returns the upstreams of a configuration that the next one lacks. One that
// comes back with another address is another upstream.
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
