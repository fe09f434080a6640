package steering

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// BucketCount is the number of buckets of a service's table. It is prime, so that every skip
// of the Maglev permutation visits all buckets.
const BucketCount = 16381

// target is an upstream of a bucket table with its weight, at least 1.
type target struct {
	upstream uint32
	weight   uint32
}

// maglev assigns a target index to each bucket. Targets must be sorted by upstream number.
// It returns nil when there is no target. Each round, a target takes a bucket for each whole
// share that it has accumulated, where the heaviest target gets one share a round.
func maglev(targets []target) []uint16 {
	if len(targets) == 0 {
		return nil
	}
	cursors := make([]cursor, len(targets))
	var heaviest uint64
	for i, t := range targets {
		cursors[i] = newCursor(t.upstream)
		heaviest = max(heaviest, uint64(t.weight))
	}
	buckets := make([]uint16, BucketCount)
	taken := make([]bool, BucketCount)
	for filled := 0; ; {
		for i := range cursors {
			c := &cursors[i]
			c.share += uint64(targets[i].weight)
			if c.share < heaviest {
				continue
			}
			c.share -= heaviest
			b := c.take(taken)
			buckets[b] = uint16(i)
			if filled++; filled == BucketCount {
				return buckets
			}
		}
	}
}

// cursor walks the bucket permutation of one target.
type cursor struct {
	position uint32
	skip     uint32
	share    uint64
}

func newCursor(upstream uint32) cursor {
	var b [5]byte
	binary.BigEndian.PutUint32(b[:], upstream)
	offset := xxhash.Sum64(b[:])
	b[4] = 1
	skip := xxhash.Sum64(b[:])
	return cursor{position: uint32(offset % BucketCount), skip: uint32(skip%(BucketCount-1)) + 1}
}

// take returns the next free bucket of the permutation and marks it.
func (c *cursor) take(taken []bool) uint32 {
	for {
		b := c.position
		if c.position += c.skip; c.position >= BucketCount {
			c.position -= BucketCount
		}
		if !taken[b] {
			taken[b] = true
			return b
		}
	}
}

// bucketOf returns the bucket of a flow hash.
func bucketOf(hash uint64) uint32 { return uint32(hash % BucketCount) }
