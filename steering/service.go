package steering

import (
	"sync"
	"sync/atomic"
	"time"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
	"github.com/fulmarfield/fulmarfield/ownership"
)

const (
	// defaultIdleLimit applies to services that declare no idle limit.
	defaultIdleLimit = 10 * time.Minute
	// Load bounds by the service's aim, in percent of the mean number of flows per weight, for
	// services that declare no bound above 100 percent.
	connectionsBoundPercent = 125
	balanceBoundPercent     = 105
)

// service is the state of one service. It exists once this daemon has held a partition of the
// service.
type service struct {
	number     uint32
	view       atomic.Pointer[serviceView]
	partitions [ownership.PartitionCount]atomic.Pointer[partition]
	// updateMu serializes replacements of view.
	updateMu sync.Mutex
}

// serviceView is the immutable state of a service at one generation of the configuration. The
// upstreams that it refers to are mutable.
type serviceView struct {
	generation uint64
	declared   *pb.Service
	// highestUpstream is the highest upstream number that was ever assigned up to the generation.
	highestUpstream uint32
	table           *table
	// pastTables holds the tables that were replaced within recoveryWindow before this view came
	// into force, oldest first.
	pastTables []pastTable
	upstreams  map[uint32]*upstream
	active     []*upstream
	idleLimit  time.Duration
	// drainLimit is the time after which flows on a draining upstream are reset, 0 for never.
	drainLimit       time.Duration
	loadBoundPercent int64
}

// recoveryWindow is the time before the takeover of a failed owner's partition within which a
// configuration change may not have reached that owner. It covers about 3 s until the other daemons
// drop a failed owner from the membership, and the time by which a change reaches some daemons
// later than others.
const recoveryWindow = 6 * time.Second

// pastTable is a bucket table that this daemon has replaced by another one.
type pastTable struct {
	table        *table
	replacedAtMS int64 // Unix time of the replacement.
}

// nextPastTables returns the past tables of the view that replaces v. It omits the empty table of
// a service that was not declared before, since no owner has placed flows by that table.
func (v *serviceView) nextPastTables(nowMS int64) []pastTable {
	var pastTables []pastTable
	if v.declared == nil {
		return nil
	}
	for _, p := range append(v.pastTables[:len(v.pastTables):len(v.pastTables)], pastTable{v.table, nowMS}) {
		if nowMS-p.replacedAtMS < recoveryWindow.Milliseconds() {
			pastTables = append(pastTables, p)
		}
	}
	return pastTables
}

// recoveryTable returns the table by which the failed owner of a partition placed the flows that
// are not replicated, and the time until which this daemon used that table. The flows that the
// owner placed by a newer table in changed buckets are replicated, because those buckets had
// changed shortly before.
func (v *serviceView) recoveryTable(now instant) (*table, instant) {
	for _, p := range v.pastTables {
		if now.unixMS-p.replacedAtMS < recoveryWindow.Milliseconds() {
			return p.table, instant{tick: now.tick, unixMS: p.replacedAtMS}
		}
	}
	return v.table, now
}

// upstream is the state of one upstream. Successive views of a service share it.
type upstream struct {
	number uint32
	// flows counts the open flows that this owner has on the upstream.
	flows    atomic.Int64
	weight   atomic.Int64
	draining atomic.Bool
	// drainingSinceMS is the Unix time of the commit that began the drain.
	drainingSinceMS atomic.Int64
	// noticedState is the state that the last UpstreamNotice reported, and noticedSinceMS the Unix
	// time in milliseconds of the first notice that reported it.
	noticedState   atomic.Int32
	noticedSinceMS atomic.Int64
	guardToken     atomic.Uint64
}

// newServiceView builds the view of a declared service that replaces old, which may be nil. For a
// nil service it returns an empty view without upstreams.
func newServiceView(c *pb.Configuration, s *pb.Service, old *serviceView) *serviceView {
	v := &serviceView{
		generation: c.GetGeneration(), declared: s, highestUpstream: c.GetLastUpstreamNumber(),
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
	v.loadBoundPercent = loadBoundPercent(s)
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

// loadBoundPercent returns the declared load bound of a service or the default for its aim.
func loadBoundPercent(s *pb.Service) int64 {
	if p := s.GetLimits().GetLoadBoundPercent(); p > 100 {
		return int64(p)
	}
	if s.GetAim() == pb.Aim_AIM_BALANCE {
		return balanceBoundPercent
	}
	return connectionsBoundPercent
}

// isRemoved reports whether an upstream was declared earlier and is absent from the view. A number
// above all that were assigned so far belongs to a later generation, which another daemon has
// received first.
func (v *serviceView) isRemoved(number uint32) bool {
	return v.upstreams[number] == nil && number <= v.highestUpstream
}

// drainExpired reports whether flows on u must be reset because the drain limit has passed.
func (v *serviceView) drainExpired(u *upstream, nowMS int64) bool {
	return v.drainLimit > 0 && u.draining.Load() &&
		nowMS-u.drainingSinceMS.Load() >= v.drainLimit.Milliseconds()
}
