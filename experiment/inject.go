package experiment

import (
	"slices"
	"time"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
)

// inject applies a change or fault now.
func (sim *simulation) inject(f Fault) {
	number := uint32(f.Target)
	switch f.Kind {
	case "add":
		sim.commitGeneration(func(s *pb.Service) {
			s.Upstreams = append(s.Upstreams, sim.newUpstream(sim.latestConfig.Proto.GetLastUpstreamNumber()+1))
		})
	case "drain":
		sim.commitGeneration(func(s *pb.Service) {
			for _, u := range s.GetUpstreams() {
				if u.GetNumber() == number {
					u.State, u.DrainingSinceMs = pb.DeclaredState_DECLARED_STATE_DRAINING, time.Now().UnixMilli()
				}
			}
		})
	case "remove":
		sim.commitGeneration(func(s *pb.Service) {
			s.Upstreams = slices.DeleteFunc(s.Upstreams, func(u *pb.Upstream) bool { return u.GetNumber() == number })
		})
		sim.upstreams[number].isRemoved = true
	case "join":
		sim.nodes = append(sim.nodes, newNode(sim.ctx, sim, len(sim.nodes)))
		sim.rebalance()
	case "leave", "kill":
		sim.stopNode(sim.nodes[f.Target-1], f.Kind == "kill")
	default:
		sim.upstreams[number].inject(f)
	}
}

// stopNode ends a daemon. A leaving daemon hands its resources over. Those of a killed daemon move after
// failureDetectionDelay, without their records.
func (sim *simulation) stopNode(n *node, isKilled bool) {
	if !isKilled {
		n.isListed = false
		sim.rebalance()
		return
	}
	sim.measures.flowsOnKilled = sim.ownedFlowCount(n)
	n.dead.Store(true)
	if n.index < len(sim.cancels) {
		sim.cancels[n.index]()
	}
	sim.clock.scheduleAfter(fabricWithdrawDelay, func() { n.isListed = false })
	sim.clock.scheduleAfter(failureDetectionDelay, func() { sim.rebalance() })
}

// ownedFlowCount returns the number of flows whose owner is n.
func (sim *simulation) ownedFlowCount(n *node) int {
	if sim.policy != Fulmar {
		return 0
	}
	return int(n.steerer.Stats().Flows)
}
