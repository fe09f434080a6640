package steering

import (
	"time"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
)

const (
	// A cold upstream accepts coldSharePercent of the new flows that are hashed to it. The share
	// rises linearly to all of them over coldRamp.
	coldSharePercent = 25
	coldRamp         = 10 * time.Second
	// candidateDraws limits the hashes that are drawn for the two candidates of a diverted flow.
	// When they yield no usable upstream, all upstreams are compared.
	candidateDraws = 8
)

// placement is the choice of an upstream for a new flow.
type placement struct {
	upstream *upstream
	// diverted is set when upstream is not the bucket's upstream.
	diverted bool
	// bucketUnavailable is set when the state of the bucket's upstream does not allow new flows,
	// regardless of its load.
	bucketUnavailable bool
}

// place chooses the upstream of a new flow. ok is false when the service has no active upstream.
func (v *serviceView) place(hash uint64, nowMS int64) (p placement, ok bool) {
	number, ok := v.table.upstream(bucketFor(hash))
	if !ok {
		return placement{}, false
	}
	bucketUpstream := v.upstreams[number]
	load := v.load()
	usable := bucketUpstream.acceptsNewFlows(hash, nowMS)
	if usable && !load.isFull(bucketUpstream) {
		return placement{upstream: bucketUpstream}, true
	}
	u := v.twoChoices(hash, nowMS, load)
	if u == nil {
		u = v.leastLoaded(hash, nowMS)
	}
	if u == nil {
		u = bucketUpstream
	}
	return placement{upstream: u, diverted: u != bucketUpstream, bucketUnavailable: !usable}, true
}

// twoChoices rehashes the flow until it has found two usable upstreams and returns the less loaded
// one, or the only usable one, or nil. It draws from the table, so that each upstream is drawn
// according to its weight.
func (v *serviceView) twoChoices(hash uint64, nowMS int64, load load) *upstream {
	var found *upstream
	for range candidateDraws {
		hash = rehash(hash)
		number, _ := v.table.upstream(bucketFor(hash))
		u := v.upstreams[number]
		if u == found || !u.acceptsNewFlows(hash, nowMS) || load.isFull(u) {
			continue
		}
		if found != nil {
			return lessLoaded(found, u)
		}
		found = u
	}
	return found
}

// leastLoaded returns the upstream with the fewest flows per weight among those that accept the
// flow, or nil.
func (v *serviceView) leastLoaded(hash uint64, nowMS int64) *upstream {
	var least *upstream
	for _, u := range v.active {
		if !u.acceptsNewFlows(hash, nowMS) {
			continue
		}
		if least == nil {
			least = u
			continue
		}
		least = lessLoaded(least, u)
	}
	return least
}

// lessLoaded returns the upstream with fewer flows per weight, or a when they are equal.
func lessLoaded(a, b *upstream) *upstream {
	if b.flows.Load()*a.weight.Load() < a.flows.Load()*b.weight.Load() {
		return b
	}
	return a
}

// load sums up this owner's open flows on a service's active upstreams and their weights.
type load struct {
	flows, weight, loadBoundPercent int64
}

func (v *serviceView) load() load {
	l := load{loadBoundPercent: v.loadBoundPercent}
	for _, u := range v.active {
		l.flows += u.flows.Load()
		l.weight += u.weight.Load()
	}
	return l
}

// isFull reports whether one more flow would put u above the load bound times its weighted mean,
// rounded up.
func (l load) isFull(u *upstream) bool {
	numerator := l.loadBoundPercent * (l.flows + 1) * u.weight.Load()
	denominator := 100 * l.weight
	return u.flows.Load()+1 > (numerator+denominator-1)/denominator
}

// acceptsNewFlows reports whether the state of u allows a new flow with the given hash on it. A cold
// upstream accepts a share of the hashes.
func (u *upstream) acceptsNewFlows(hash uint64, nowMS int64) bool {
	if u.draining.Load() {
		return false
	}
	switch pb.UpstreamState(u.noticedState.Load()) {
	case pb.UpstreamState_UPSTREAM_STATE_SHEDDING, pb.UpstreamState_UPSTREAM_STATE_SILENT,
		pb.UpstreamState_UPSTREAM_STATE_DRAINING:
		return false
	case pb.UpstreamState_UPSTREAM_STATE_COLD:
		elapsed := nowMS - u.noticedSinceMS.Load()
		share := coldSharePercent + (100-coldSharePercent)*elapsed/coldRamp.Milliseconds()
		return int64(rehash(hash)>>32%100) < share
	default:
		return true
	}
}

// canServe reports whether u may serve a flow for which no preferred upstream is available.
func (u *upstream) canServe() bool {
	state := pb.UpstreamState(u.noticedState.Load())
	return !u.draining.Load() && state != pb.UpstreamState_UPSTREAM_STATE_SILENT &&
		state != pb.UpstreamState_UPSTREAM_STATE_DRAINING
}

// rehash derives another, independent hash with the finalizer of splitmix64.
func rehash(h uint64) uint64 {
	h += 0x9e3779b97f4a7c15
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}
