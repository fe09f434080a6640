package load

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
)

// Candidate is an upstream that a new flow may go to.
type Candidate struct {
	Upstream uint32
	// Flows is the number of flows that this daemon has placed on it.
	Flows int
	// State is the last state known, from notices.
	State pb.UpstreamState
	// Reported is the work in progress of the last load report that this daemon saw. It may
	// lag or be wrong.
	Reported int
	// InProgress and Queued are the figures of the last notice.
	InProgress, Queued int
}

// isUsable reports whether a new flow may go there by its state.
func (c Candidate) isUsable() bool {
	return c.State == pb.UpstreamState_UPSTREAM_STATE_OK || c.State == pb.UpstreamState_UPSTREAM_STATE_UNSPECIFIED
}

// Policy chooses the upstream of a new flow. Its methods may be called concurrently.
type Policy interface {
	// Name returns the policy's name in reports.
	Name() string
	// Choose returns the index of a candidate, or -1 if there are none. hash is the flow's
	// hash and bucket the index that the bucket table gives.
	Choose(hash uint64, bucket int, candidates []Candidate) int
}

// Random chooses evenly at random.
type Random struct {
	mu   sync.Mutex
	rand *rand.Rand
}

// NewRandom returns a random policy with its own generator.
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

// RoundRobin takes the candidates in turn.
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

// Modulo takes the flow hash modulo the number of candidates.
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

// TableOnly follows the bucket table, whatever the load.
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

// Reported takes the candidate whose last report shows the least work. It trusts reports, so
// all daemons follow a report that lags or lies.
type Reported struct{}

// Name returns "report".
func (Reported) Name() string { return "report" }

// Choose implements Policy.
func (Reported) Choose(hash uint64, _ int, candidates []Candidate) int {
	best := -1
	for i := range candidates {
		// The hash decides where to start, so that equal reports do not all give the first.
		j := int((hash + uint64(i)) % uint64(len(candidates)))
		if best < 0 || candidates[j].Reported < candidates[best].Reported {
			best = j
		}
	}
	return best
}

// TwoChoices is the project's own policy: the bucket's upstream unless it is not usable or has
// more than bound times the mean of flows, and then the less filled of two by hash.
type TwoChoices struct {
	// BoundPercent is the bound on the flows of an upstream in percent of the mean.
	BoundPercent int
}

// Name returns "two-choices".
func (TwoChoices) Name() string { return "two-choices" }

// secondChoice is an odd number that spreads the second choice over the candidates.
const secondChoice = 0x9E3779B97F4A7C15

// Choose implements Policy.
func (p TwoChoices) Choose(hash uint64, bucket int, candidates []Candidate) int {
	if bucket >= 0 && bucket < len(candidates) && p.hasRoom(candidates, bucket) {
		return bucket
	}
	first := pick(hash*secondChoice, candidates)
	second := pick((hash+1)*secondChoice, candidates)
	switch {
	case first < 0:
		return p.fallback(bucket, candidates)
	case candidates[second].Flows < candidates[first].Flows:
		return second
	}
	return first
}

// hasRoom reports whether an upstream is usable and, with one flow more, within the bound.
func (p TwoChoices) hasRoom(candidates []Candidate, i int) bool {
	if !candidates[i].isUsable() {
		return false
	}
	total := 1
	for _, c := range candidates {
		total += c.Flows
	}
	// Rounded up, so that the first flows of a service fit.
	limit := (total*p.BoundPercent + 100*len(candidates) - 1) / (100 * len(candidates))
	return candidates[i].Flows+1 <= limit
}

// pick returns a usable candidate by hash, -1 if there is none.
func pick(hash uint64, candidates []Candidate) int {
	usable := 0
	for _, c := range candidates {
		if c.isUsable() {
			usable++
		}
	}
	if usable == 0 {
		return -1
	}
	// The upper bits: the lower ones of a product depend only on the lower ones of the hash.
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

// fallback serves when no upstream is usable: the bucket's upstream is as good as any, unless
// it drains.
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
