package steering

import (
	"time"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
)

const (
	// A cold upstream takes coldShare of the new flows that fall to it, rising to all of them
	// over coldRamp.
	coldSharePercent = 25
	coldRamp         = 10 * time.Second
	// candidateDraws bounds the hashes drawn for the two candidates of a diverted flow; all
	// upstreams are compared when these give no usable one.
	candidateDraws = 8
)

// placement is the upstream chosen for a new flow.
type placement struct {
	upstream *upstream
	// diverted is set when it is not the bucket's upstream.
	diverted bool
	// byState is set when the bucket's upstream takes no new flows, whatever its load.
	byState bool
}

// place chooses the upstream of a new flow; ok is false when the service has none.
func (v *serviceView) place(hash uint64, nowMS int64) (p placement, ok bool) {
	number, ok := v.table.upstream(bucketOf(hash))
	if !ok {
		return placement{}, false
	}
	first := v.upstreams[number]
	load := v.load()
	usable := first.takesNew(hash, nowMS)
	if usable && !load.full(first) {
		return placement{upstream: first}, true
	}
	u := v.twoChoices(hash, nowMS, load)
	if u == nil {
		u = v.leastFilled(hash, nowMS)
	}
	if u == nil {
		u = first
	}
	return placement{upstream: u, diverted: u != first, byState: !usable}, true
}

// twoChoices returns the less filled of the first two usable upstreams by further hashes, or
// nil. Drawing from the table keeps the weights.
func (v *serviceView) twoChoices(hash uint64, nowMS int64, load load) *upstream {
	var found *upstream
	for range candidateDraws {
		hash = rehash(hash)
		number, _ := v.table.upstream(bucketOf(hash))
		u := v.upstreams[number]
		if u == found || !u.takesNew(hash, nowMS) || load.full(u) {
			continue
		}
		if found != nil {
			return lessFilled(found, u)
		}
		found = u
	}
	return found
}

func (v *serviceView) leastFilled(hash uint64, nowMS int64) *upstream {
	var least *upstream
	for _, u := range v.active {
		if !u.takesNew(hash, nowMS) {
			continue
		}
		if least == nil {
			least = u
			continue
		}
		least = lessFilled(least, u)
	}
	return least
}

func lessFilled(a, b *upstream) *upstream {
	if b.flows.Load()*a.weight.Load() < a.flows.Load()*b.weight.Load() {
		return b
	}
	return a
}

// load is the total of this owner's open flows on a service's active upstreams.
type load struct {
	flows, weight, boundPercent int64
}

func (v *serviceView) load() load {
	l := load{boundPercent: v.boundPercent}
	for _, u := range v.active {
		l.flows += u.flows.Load()
		l.weight += u.weight.Load()
	}
	return l
}

// full reports whether one more flow would put u above bound times its weighted mean,
// rounded up.
func (l load) full(u *upstream) bool {
	share := l.boundPercent * (l.flows + 1) * u.weight.Load()
	whole := 100 * l.weight
	return u.flows.Load()+1 > (share+whole-1)/whole
}

// takesNew reports whether a new flow may go to u by its state. A cold upstream takes a share
// of the hashes.
func (u *upstream) takesNew(hash uint64, nowMS int64) bool {
	if u.draining.Load() {
		return false
	}
	switch pb.UpstreamState(u.notice.Load()) {
	case pb.UpstreamState_UPSTREAM_STATE_SHEDDING, pb.UpstreamState_UPSTREAM_STATE_SILENT,
		pb.UpstreamState_UPSTREAM_STATE_DRAINING:
		return false
	case pb.UpstreamState_UPSTREAM_STATE_COLD:
		elapsed := nowMS - u.noticedAt.Load()
		share := coldSharePercent + (100-coldSharePercent)*elapsed/coldRamp.Milliseconds()
		return int64(rehash(hash)>>32%100) < share
	default:
		return true
	}
}

// reachable reports whether u may serve a flow for which no better upstream can be had.
func (u *upstream) reachable() bool {
	state := pb.UpstreamState(u.notice.Load())
	return !u.draining.Load() && state != pb.UpstreamState_UPSTREAM_STATE_SILENT &&
		state != pb.UpstreamState_UPSTREAM_STATE_DRAINING
}

// rehash gives a further independent hash (the finalizer of splitmix64).
func rehash(h uint64) uint64 {
	h += 0x9e3779b97f4a7c15
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}
