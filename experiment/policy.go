package experiment

import (
	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/ownership"
)

// partition returns the flow partition of a flow hash.
func partition(hash uint64) ownership.Resource { return ownership.FlowPartition(serviceNumber, hash) }

// chooseUpstream returns the upstream of a packet under a policy other than the project's own, or 0 if
// there is none. Under Random, RoundRobin and LeastReported, all daemons share a flow table that no
// fault loses, so the broken connections of these policies are a lower bound.
func (sim *simulation) chooseUpstream(n *node, f *flow, kind pb.Kind) uint32 {
	s, _ := n.Current().Service(serviceNumber)
	upstreams := activeUpstreams(s)
	if len(upstreams) == 0 {
		return 0
	}
	switch sim.policy {
	case Modulo:
		return upstreams[f.hash%uint64(len(upstreams))]
	case LocalTable:
		return sim.localTableUpstream(n, f, kind)
	}
	if f.upstream != 0 {
		return f.upstream
	}
	switch sim.policy {
	case RoundRobin:
		sim.roundRobinTurn++
		return upstreams[sim.roundRobinTurn%len(upstreams)]
	case LeastReported:
		return sim.leastReportedUpstream(upstreams)
	default:
		return upstreams[sim.rand.IntN(len(upstreams))]
	}
}

// localTableUpstream returns the upstream that the daemon has recorded for the flow, or the upstream
// of the flow's bucket if the daemon has no record or the packet opens the flow.
func (sim *simulation) localTableUpstream(n *node, f *flow, kind pb.Kind) uint32 {
	if u, ok := n.localFlows[f.key]; ok && kind != pb.Kind_KIND_OPEN {
		return u
	}
	u := n.steerer.Explain(f.key).BucketUpstream
	if u != 0 {
		n.localFlows[f.key] = u
	}
	return u
}

// leastReportedUpstream returns the upstream with the fewest connections in the last reports. Among
// equal ones it returns the first after a random start.
func (sim *simulation) leastReportedUpstream(upstreams []uint32) uint32 {
	start := sim.rand.IntN(len(upstreams))
	best := upstreams[start]
	for i := range upstreams {
		u := upstreams[(start+i)%len(upstreams)]
		if sim.reportedConnections[u] < sim.reportedConnections[best] {
			best = u
		}
	}
	return best
}
