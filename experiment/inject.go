package experiment

import (
	"slices"
	"time"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
)

// inject makes a change or fault happen now.
func (w *world) inject(f Fault) {
	number := uint32(f.Target)
	switch f.Kind {
	case "add":
		w.declare(func(s *pb.Service) {
			s.Upstreams = append(s.Upstreams, w.newUpstream(w.latest.Proto.GetLastUpstreamNumber()+1))
		})
	case "drain":
		w.declare(func(s *pb.Service) {
			for _, u := range s.GetUpstreams() {
				if u.GetNumber() == number {
					u.State, u.DrainingSinceMs = pb.DeclaredState_DECLARED_STATE_DRAINING, time.Now().UnixMilli()
				}
			}
		})
	case "remove":
		w.declare(func(s *pb.Service) {
			s.Upstreams = slices.DeleteFunc(s.Upstreams, func(u *pb.Upstream) bool { return u.GetNumber() == number })
		})
		w.ups[number].isGone = true
	case "join":
		w.nodes = append(w.nodes, newNode(w.ctx, w, len(w.nodes)))
		w.rebalance()
	case "leave", "kill":
		w.end(w.nodes[f.Target-1], f.Kind == "kill")
	default:
		w.ups[number].inject(f)
	}
}

// end takes a daemon away: a leaving one hands over first.
func (w *world) end(n *node, isKilled bool) {
	if !isKilled {
		n.isListed = false
		w.rebalance()
		return
	}
	w.m.onKilled = w.openFlowsOf(n)
	n.dead.Store(true)
	if n.index < len(w.stops) {
		w.stops[n.index]()
	}
	w.clock.after(fabricDelay, func() { n.isListed = false })
	w.clock.after(detection, func() { w.rebalance() })
}

// openFlowsOf counts the flows whose owner is n.
func (w *world) openFlowsOf(n *node) int {
	if w.policy != Fulmar {
		return 0
	}
	return int(n.steerer.Stats().Flows)
}
