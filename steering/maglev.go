package steering

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// BucketCount is the number of buckets of a service's table. It is prime, so that a Maglev
// permutation visits all buckets with any skip.
const BucketCount = 16381

// target is an upstream of a bucket table and its weight, which is at least 1.
type target struct {
	upstream uint32
	weight   uint32
}

// maglev assigns a target index to each bucket by Maglev hashing. Targets must be sorted by
// upstream number. It returns nil when there is no target. In each round, every target adds its
// weight to its credit, and a target whose credit has reached the maximum weight spends that
// amount on one bucket. Hence the heaviest target gets one bucket per round.
func maglev(targets []target) []uint16 {
	if len(targets) == 0 {
		return nil
	}
	permutations := make([]permutation, len(targets))
	var maxWeight uint64
	for i, t := range targets {
		permutations[i] = newPermutation(t.upstream)
		maxWeight = max(maxWeight, uint64(t.weight))
	}
	buckets := make([]uint16, BucketCount)
	taken := make([]bool, BucketCount)
	for filled := 0; ; {
		for i := range permutations {
			p := &permutations[i]
			p.credit += uint64(targets[i].weight)
			if p.credit < maxWeight {
				continue
			}
			p.credit -= maxWeight
			b := p.nextFree(taken)
			buckets[b] = uint16(i)
			if filled++; filled == BucketCount {
				return buckets
			}
		}
	}
}

// permutation iterates over the buckets in the order that one target prefers.
type permutation struct {
	position uint32
	skip     uint32
	// credit is the accumulated weight for which the target has not been assigned a bucket.
	credit uint64
}

func newPermutation(upstream uint32) permutation {
	var b [5]byte
	binary.BigEndian.PutUint32(b[:], upstream)
	offset := xxhash.Sum64(b[:])
	b[4] = 1
	skip := xxhash.Sum64(b[:])
	return permutation{position: uint32(offset % BucketCount), skip: uint32(skip%(BucketCount-1)) + 1}
}

// nextFree returns the next free bucket of the permutation and marks it as taken.
func (p *permutation) nextFree(taken []bool) uint32 {
	for {
		b := p.position
		if p.position += p.skip; p.position >= BucketCount {
			p.position -= BucketCount
		}
		if !taken[b] {
			taken[b] = true
			return b
		}
	}
}

// bucketFor returns the bucket to which a flow hash belongs.
func bucketFor(hash uint64) uint32 { return uint32(hash % BucketCount) }
