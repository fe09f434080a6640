package steering

import (
	"slices"
	"time"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
)

const (
	// fullHistory is the number of earlier upstream sets that the configuration keeps. With
	// fewer, the history reaches back to the declaration of the service.
	fullHistory = 16
	// settleTime is added to the idle limit before a bucket counts as stable: a change reaches
	// all daemons within 6 s of its commit time, by which buckets are dated.
	settleTime = 10 * time.Second
	// sinceDeclared dates a bucket that never had another upstream.
	sinceDeclared = 0
)

// table is the immutable bucket table of one upstream set.
type table struct {
	generation uint64
	sinceMS    int64
	targets    []target
	buckets    []uint16
	// since holds for each bucket the Unix second from which it has had its upstream, rounded
	// up; nil when that is sinceDeclared for all.
	since []uint32
}

// newTable computes the table of a service's active upstreams. old is the table in force
// before, or nil; with it only upstream sets that old has not seen are computed.
func newTable(s *pb.Service, old *table) *table {
	t := &table{generation: s.GetTableGeneration(), sinceMS: s.GetTableSinceMs(), targets: activeTargets(s)}
	if old != nil && slices.Equal(old.targets, t.targets) {
		t.buckets = old.buckets
	} else {
		t.buckets = maglev(t.targets)
	}
	previous := s.GetPrevious()
	if old != nil && old.generation > 0 && len(previous) > 0 && previous[0].GetGeneration() == old.generation {
		t.since = datesAfter(t, old)
		return t
	}
	if old != nil && old.generation == t.generation && slices.Equal(old.targets, t.targets) {
		t.since = old.since
		return t
	}
	t.since = datesOf(t, previous)
	return t
}

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

// datesAfter dates the buckets of t when t directly follows old.
func datesAfter(t, old *table) []uint32 {
	since := make([]uint32, BucketCount)
	started := unixSecond(t.sinceMS)
	for b := range since {
		current, ok := t.upstream(uint32(b))
		before, had := old.upstream(uint32(b))
		switch {
		case !ok || !had || current != before:
			since[b] = started
		case old.since != nil:
			since[b] = old.since[b]
		}
	}
	return since
}

// datesOf dates the buckets of t from the earlier upstream sets, newest first.
func datesOf(t *table, previous []*pb.TableVersion) []uint32 {
	if len(previous) == 0 {
		return nil
	}
	since := make([]uint32, BucketCount)
	open := make([]bool, BucketCount)
	for b := range since {
		since[b], open[b] = unixSecond(t.sinceMS), true
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
			before, had := earlier.upstream(uint32(b))
			if open[b] = open[b] && had && current == before; open[b] {
				since[b] = unixSecond(version.GetSinceMs())
			}
		}
	}
	if len(previous) < fullHistory {
		for b := range since {
			if open[b] {
				since[b] = sinceDeclared
			}
		}
	}
	return since
}

// unixSecond rounds up, and never gives sinceDeclared.
func unixSecond(ms int64) uint32 { return uint32(max(1, (ms+999)/1000)) }

// upstream returns the upstream of a bucket; ok is false when the table is empty.
func (t *table) upstream(bucket uint32) (number uint32, ok bool) {
	if t == nil || len(t.buckets) == 0 {
		return 0, false
	}
	return t.targets[t.buckets[bucket]].upstream, true
}

// stable reports whether the bucket has had its upstream for so long that every live flow in
// it that is not an exception was placed there.
func (t *table) stable(bucket uint32, nowMS int64, idleLimit time.Duration) bool {
	if t == nil || len(t.buckets) == 0 {
		return false
	}
	if t.since == nil || t.since[bucket] == sinceDeclared {
		return true
	}
	return nowMS-int64(t.since[bucket])*1000 >= (idleLimit + settleTime).Milliseconds()
}
