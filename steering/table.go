package steering

import (
	"slices"
	"time"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
)

const (
	// maxTableHistory is the maximum number of earlier upstream sets that the configuration
	// retains. A shorter history reaches back to the declaration of the service.
	maxTableHistory = 16
	// propagationMargin is added to the idle limit before a bucket counts as stable. Buckets are
	// dated by the commit time of a change, and a change reaches all daemons within 6 s of that.
	propagationMargin = 10 * time.Second
	// sinceDeclaration is the date of a bucket that has had one upstream since the declaration of
	// the service.
	sinceDeclaration = 0
)

// table is the immutable bucket table of one upstream set. Each bucket holds an index of targets.
type table struct {
	generation uint64
	sinceMS    int64
	targets    []target
	buckets    []uint16
	// since holds for each bucket the Unix time in seconds, rounded up, since which the bucket has
	// had its upstream. It is nil when that is sinceDeclaration for all buckets.
	since []uint32
}

// newTable computes the table of a service's active upstreams. old is the table that was in force
// before, or nil. When the upstream set of old is the same or the directly preceding one, the table
// and its dates are derived from old; otherwise the dates are computed from the whole history.
func newTable(s *pb.Service, old *table) *table {
	t := &table{generation: s.GetTableGeneration(), sinceMS: s.GetTableSinceMs(), targets: activeTargets(s)}
	if old != nil && slices.Equal(old.targets, t.targets) {
		t.buckets = old.buckets
	} else {
		t.buckets = maglev(t.targets)
	}
	previous := s.GetPrevious()
	if old != nil && old.generation > 0 && len(previous) > 0 && previous[0].GetGeneration() == old.generation {
		t.since = datesFromPredecessor(t, old)
		return t
	}
	if old != nil && old.generation == t.generation && slices.Equal(old.targets, t.targets) {
		t.since = old.since
		return t
	}
	t.since = datesFromHistory(t, previous)
	return t
}

// activeTargets returns the upstreams of a service that are not draining, sorted by number.
func activeTargets(s *pb.Service) []target {
	var targets []target
	for _, u := range s.GetUpstreams() {
		if u.GetState() != pb.DeclaredState_DECLARED_STATE_DRAINING {
			targets = append(targets, target{u.GetNumber(), max(1, u.GetWeight())})
		}
	}
	return sortTargets(targets)
}

func sortTargets(targets []target) []target {
	slices.SortFunc(targets, func(a, b target) int { return int(int64(a.upstream) - int64(b.upstream)) })
	return targets
}

// datesFromPredecessor returns the dates of the buckets of t, which directly follows old.
func datesFromPredecessor(t, old *table) []uint32 {
	since := make([]uint32, BucketCount)
	started := unixSecondCeil(t.sinceMS)
	for b := range since {
		current, ok := t.upstream(uint32(b))
		before, hadUpstream := old.upstream(uint32(b))
		switch {
		case !ok || !hadUpstream || current != before:
			since[b] = started
		case old.since != nil:
			since[b] = old.since[b]
		}
	}
	return since
}

// datesFromHistory returns the dates of the buckets of t by the earlier upstream sets, which are
// ordered from the newest to the oldest.
func datesFromHistory(t *table, previous []*pb.TableVersion) []uint32 {
	if len(previous) == 0 {
		return nil
	}
	since := make([]uint32, BucketCount)
	unchanged := make([]bool, BucketCount)
	for b := range since {
		since[b], unchanged[b] = unixSecondCeil(t.sinceMS), true
	}
	for _, version := range previous {
		targets := make([]target, 0, len(version.GetEntries()))
		for _, e := range version.GetEntries() {
			targets = append(targets, target{e.GetUpstream(), max(1, e.GetWeight())})
		}
		earlier := &table{targets: sortTargets(targets)}
		earlier.buckets = maglev(earlier.targets)
		for b := range since {
			current, _ := t.upstream(uint32(b))
			before, hadUpstream := earlier.upstream(uint32(b))
			if unchanged[b] = unchanged[b] && hadUpstream && current == before; unchanged[b] {
				since[b] = unixSecondCeil(version.GetSinceMs())
			}
		}
	}
	if len(previous) < maxTableHistory {
		for b := range since {
			if unchanged[b] {
				since[b] = sinceDeclaration
			}
		}
	}
	return since
}

// unixSecondCeil converts milliseconds to seconds, rounded up, and never returns sinceDeclaration.
func unixSecondCeil(ms int64) uint32 { return uint32(max(1, (ms+999)/1000)) }

// upstream returns the upstream of a bucket; ok is false when the table is empty.
func (t *table) upstream(bucket uint32) (number uint32, ok bool) {
	if t == nil || len(t.buckets) == 0 {
		return 0, false
	}
	return t.targets[t.buckets[bucket]].upstream, true
}

// isStable reports whether the bucket has had its upstream for so long that every open flow in the
// bucket, unless it is an exception, was placed on that upstream.
func (t *table) isStable(bucket uint32, nowMS int64, idleLimit time.Duration) bool {
	if t == nil || len(t.buckets) == 0 {
		return false
	}
	if t.since == nil || t.since[bucket] == sinceDeclaration {
		return true
	}
	return nowMS-int64(t.since[bucket])*1000 >= (idleLimit + propagationMargin).Milliseconds()
}
