package steering

import (
	"sync"
	"sync/atomic"
	"time"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/ownership"
)

const (
	defaultIdleLimit = 10 * time.Minute
	// Bounded-load factors in percent of the mean by the service's aim.
	boundConnectionsPercent = 125
	boundBalancePercent     = 105
)

// service is the state of one service of which this daemon holds or has held partitions.
type service struct {
	number     uint32
	view       atomic.Pointer[serviceView]
	partitions [ownership.PartitionCount]atomic.Pointer[partition]
	// changes serializes replacements of view.
	changes sync.Mutex
}

// serviceView is the immutable form of a service at one generation.
type serviceView struct {
	generation uint64
	declared   *pb.Service
	// lastUpstream is the highest upstream number ever used at that generation.
	lastUpstream uint32
	table        *table
	// past holds the tables in force within recoveryWindow before this view, oldest first.
	past      []pastTable
	upstreams map[uint32]*upstream
	active    []*upstream
	idleLimit time.Duration
	// drainLimit is 0 when flows on a draining upstream are never reset.
	drainLimit   time.Duration
	boundPercent int64
}

// recoveryWindow is the time before the takeover of a dead owner's partition within which a change
// may have missed that owner: it is dropped up to about 3 s after its death, and changes reach
// daemons unevenly.
const recoveryWindow = 6 * time.Second

// pastTable is a table that another one replaced here.
type pastTable struct {
	table   *table
	untilMS int64 // Unix time of the replacement
}

// replaced returns the past tables of the view that follows v. The empty table of a service that
// this daemon did not know before is none: no owner has placed flows by it.
func (v *serviceView) replaced(nowMS int64) []pastTable {
	var past []pastTable
	if v.declared == nil {
		return nil
	}
	for _, p := range append(v.past[:len(v.past):len(v.past)], pastTable{v.table, nowMS}) {
		if nowMS-p.untilMS < recoveryWindow.Milliseconds() {
			past = append(past, p)
		}
	}
	return past
}

// tableOfDead returns the table that the dead owner of a partition may have had in force when it
// placed the flows that no replica tells of, and until when it was the one here. Flows that it
// placed by a newer table are replicated, since their buckets had changed shortly before.
func (v *serviceView) tableOfDead(now instant) (*table, instant) {
	for _, p := range v.past {
		if now.unixMS-p.untilMS < recoveryWindow.Milliseconds() {
			return p.table, instant{tick: now.tick, unixMS: p.untilMS}
		}
	}
	return v.table, now
}

// upstream is the state of one upstream. It lives across generations.
type upstream struct {
	number uint32
	// flows counts the open flows of this owner on the upstream.
	flows    atomic.Int64
	weight   atomic.Int64
	draining atomic.Bool
	// drainingSinceMS is the Unix time of the commit that began the drain.
	drainingSinceMS atomic.Int64
	// notice is the state by the last UpstreamNotice, and noticedAt its Unix milliseconds.
	notice    atomic.Int32
	noticedAt atomic.Int64
	token     atomic.Uint64
}

// newServiceView builds the view of a declared service after old, which may be nil. A nil
// service gives an empty view, in which no upstream exists.
func newServiceView(c *pb.Configuration, s *pb.Service, old *serviceView) *serviceView {
	v := &serviceView{
		generation: c.GetGeneration(), declared: s, lastUpstream: c.GetLastUpstreamNumber(),
		upstreams: map[uint32]*upstream{}, idleLimit: defaultIdleLimit,
	}
	var oldTable *table
	if old != nil {
		oldTable = old.table
	}
	v.table = newTable(s, oldTable)
	limits := s.GetLimits()
	if ms := limits.GetIdleLimitMs(); ms > 0 {
		v.idleLimit = time.Duration(ms) * time.Millisecond
	}
	v.drainLimit = time.Duration(limits.GetDrainLimitMs()) * time.Millisecond
	v.boundPercent = boundPercent(s)
	for _, declared := range s.GetUpstreams() {
		u := &upstream{number: declared.GetNumber()}
		if old != nil && old.upstreams[u.number] != nil {
			u = old.upstreams[u.number]
		}
		u.weight.Store(int64(max(1, declared.GetWeight())))
		u.draining.Store(declared.GetState() == pb.DeclaredState_DECLARED_STATE_DRAINING)
		u.drainingSinceMS.Store(declared.GetDrainingSinceMs())
		v.upstreams[u.number] = u
		if !u.draining.Load() {
			v.active = append(v.active, u)
		}
	}
	return v
}

func boundPercent(s *pb.Service) int64 {
	if p := s.GetLimits().GetLoadBoundPercent(); p > 100 {
		return int64(p)
	}
	if s.GetAim() == pb.Aim_AIM_BALANCE {
		return boundBalancePercent
	}
	return boundConnectionsPercent
}

// removed reports whether an upstream that the view lacks was removed. One with a higher number
// than any declared yet comes from a daemon with a later generation.
func (v *serviceView) removed(number uint32) bool {
	return v.upstreams[number] == nil && number <= v.lastUpstream
}

// drainExpired reports whether flows on u must end because its drain limit has passed.
func (v *serviceView) drainExpired(u *upstream, nowMS int64) bool {
	return v.drainLimit > 0 && u.draining.Load() &&
		nowMS-u.drainingSinceMS.Load() >= v.drainLimit.Milliseconds()
}
