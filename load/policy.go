package load

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
)

// Candidate is an upstream on which a new flow may be placed.
type Candidate struct {
	Upstream uint32
	// Flows is the number of flows that this daemon has placed on it.
	Flows int
	// State is the state in the last notice.
	State pb.UpstreamState
	// ReportedInProgress is the number of requests in progress in the last load report that this
	// daemon received. It may be stale or wrong.
	ReportedInProgress int
	// InProgress and Queued are the numbers of requests in the last notice.
	InProgress, Queued int
}

// isUsable reports whether the candidate's state permits new flows.
func (c Candidate) isUsable() bool {
	return c.State == pb.UpstreamState_UPSTREAM_STATE_OK || c.State == pb.UpstreamState_UPSTREAM_STATE_UNSPECIFIED
}

// Policy chooses the upstream of a new flow. Its methods may be called concurrently.
type Policy interface {
	// Name returns the policy's name in reports.
	Name() string
	// Choose returns the index of the chosen candidate, or -1 if there is none. hash is the hash of
	// the flow, and bucket is the index of the candidate to which the bucket table assigns it.
	Choose(hash uint64, bucket int, candidates []Candidate) int
}

// Random chooses a candidate uniformly at random.
type Random struct {
	mu   sync.Mutex
	rand *rand.Rand
}

// NewRandom returns a random policy that draws its numbers from r, which it then owns.
func NewRandom(r *rand.Rand) *Random { return &Random{rand: r} }

// Name returns "random".
func (*Random) Name() string { return "random" }

// Choose implements Policy.
func (p *Random) Choose(_ uint64, _ int, candidates []Candidate) int {
	if len(candidates) == 0 {
		return -1
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rand.IntN(len(candidates))
}

// RoundRobin chooses the candidates in turn.
type RoundRobin struct{ next atomic.Uint64 }

// Name returns "round-robin".
func (*RoundRobin) Name() string { return "round-robin" }

// Choose implements Policy.
func (p *RoundRobin) Choose(_ uint64, _ int, candidates []Candidate) int {
	if len(candidates) == 0 {
		return -1
	}
	return int((p.next.Add(1) - 1) % uint64(len(candidates)))
}

// Modulo chooses the candidate at the flow hash modulo the number of candidates.
type Modulo struct{}

// Name returns "modulo".
func (Modulo) Name() string { return "modulo" }

// Choose implements Policy.
func (Modulo) Choose(hash uint64, _ int, candidates []Candidate) int {
	if len(candidates) == 0 {
		return -1
	}
	return int(hash % uint64(len(candidates)))
}

// TableOnly chooses the upstream that the bucket table assigns, regardless of load.
type TableOnly struct{}

// Name returns "table".
func (TableOnly) Name() string { return "table" }

// Choose implements Policy.
func (TableOnly) Choose(_ uint64, bucket int, candidates []Candidate) int {
	if bucket < 0 || bucket >= len(candidates) {
		return -1
	}
	return bucket
}

// LeastReported chooses the candidate with the least work in its last report. It trusts the reports,
// so a stale or false report misleads all daemons.
type LeastReported struct{}

// Name returns "report".
func (LeastReported) Name() string { return "report" }

// Choose implements Policy.
func (LeastReported) Choose(hash uint64, _ int, candidates []Candidate) int {
	best := -1
	for i := range candidates {
		// The search starts at an index that depends on the hash, so that flows are spread over
		// candidates with equal reports.
		j := int((hash + uint64(i)) % uint64(len(candidates)))
		if best < 0 || candidates[j].ReportedInProgress < candidates[best].ReportedInProgress {
			best = j
		}
	}
	return best
}

// TwoChoices is this project's own policy. It chooses the bucket's upstream, unless that is
// not usable or would exceed the bound on its flows. In that case it picks two usable candidates by
// hash and chooses the one with fewer flows.
type TwoChoices struct {
	// BoundPercent is the bound on the flows of an upstream, in percent of the mean per candidate.
	BoundPercent int
}

// Name returns "two-choices".
func (TwoChoices) Name() string { return "two-choices" }

// hashMultiplier is an odd number by which hashes are multiplied, so that the picks of TwoChoices are
// spread over the candidates.
const hashMultiplier = 0x9E3779B97F4A7C15

// Choose implements Policy.
func (p TwoChoices) Choose(hash uint64, bucket int, candidates []Candidate) int {
	if bucket >= 0 && bucket < len(candidates) && p.hasRoom(candidates, bucket) {
		return bucket
	}
	first := pickUsable(hash*hashMultiplier, candidates)
	second := pickUsable((hash+1)*hashMultiplier, candidates)
	switch {
	case first < 0:
		return p.fallback(bucket, candidates)
	case candidates[second].Flows < candidates[first].Flows:
		return second
	}
	return first
}

// hasRoom reports whether candidate i is usable and would be within the bound with one more flow.
func (p TwoChoices) hasRoom(candidates []Candidate, i int) bool {
	if !candidates[i].isUsable() {
		return false
	}
	total := 1
	for _, c := range candidates {
		total += c.Flows
	}
	// The limit is rounded up, so that it admits the first flows of a service.
	limit := (total*p.BoundPercent + 100*len(candidates) - 1) / (100 * len(candidates))
	return candidates[i].Flows+1 <= limit
}

// pickUsable returns the index of a usable candidate by hash, or -1 if there is none.
func pickUsable(hash uint64, candidates []Candidate) int {
	usable := 0
	for _, c := range candidates {
		if c.isUsable() {
			usable++
		}
	}
	if usable == 0 {
		return -1
	}
	// Only the upper bits are used, since the lower bits of a product depend only on the lower bits
	// of the hash.
	n := int((hash >> 32) % uint64(usable))
	for i, c := range candidates {
		if !c.isUsable() {
			continue
		}
		if n == 0 {
			return i
		}
		n--
	}
	return -1
}

// fallback chooses a candidate when none is usable. None is better than the others then, so it chooses
// the bucket's upstream or, if that is draining, the first candidate that is not draining.
func (TwoChoices) fallback(bucket int, candidates []Candidate) int {
	isDraining := func(i int) bool {
		return candidates[i].State == pb.UpstreamState_UPSTREAM_STATE_DRAINING
	}
	if bucket >= 0 && bucket < len(candidates) && !isDraining(bucket) {
		return bucket
	}
	for i := range candidates {
		if !isDraining(i) {
			return i
		}
	}
	return -1
}
