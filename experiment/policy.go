package experiment

import (
	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/ownership"
)

func partitionOf(hash uint64) ownership.Resource { return ownership.FlowPartition(serviceNumber, hash) }

// choose returns the upstream of a packet under a policy other than the project's own, 0 for
// none. Random, round robin and least reported load have a flow table that all daemons share
// and no fault loses, so their broken connections are a lower bound.
func (w *world) choose(n *node, f *flow, kind pb.Kind) uint32 {
	s, _ := n.Current().Service(serviceNumber)
	upstreams := active(s)
	if len(upstreams) == 0 {
		return 0
	}
	switch w.policy {
	case Modulo:
		return upstreams[f.hash%uint64(len(upstreams))]
	case TableAlone:
		return w.tableAlone(n, f, kind)
	}
	if f.upstream != 0 {
		return f.upstream
	}
	switch w.policy {
	case RoundRobin:
		w.turn++
		return upstreams[w.turn%len(upstreams)]
	case LeastReport:
		return w.leastReported(upstreams)
	default:
		return upstreams[w.rand.IntN(len(upstreams))]
	}
}

// tableAlone takes the daemon's own record of the flow, or else the bucket's upstream.
func (w *world) tableAlone(n *node, f *flow, kind pb.Kind) uint32 {
	if u, ok := n.local[f.key]; ok && kind != pb.Kind_KIND_OPEN {
		return u
	}
	u := n.steerer.Explain(f.key).BucketUpstream
	if u != 0 {
		n.local[f.key] = u
	}
	return u
}

// leastReported returns the upstream with the fewest connections by the last reports, the
// first of equals after a random start.
func (w *world) leastReported(upstreams []uint32) uint32 {
	start := w.rand.IntN(len(upstreams))
	best := upstreams[start]
	for i := range upstreams {
		u := upstreams[(start+i)%len(upstreams)]
		if w.reports[u] < w.reports[best] {
			best = u
		}
	}
	return best
}
