// Package coldlimit limits the opening packets that a cold upstream receives from the whole fleet in any second.
// There is no leader and no message per placement: each daemon has a share of the limit, which follows from the set
// of daemons that may be running. It performs no I/O and has no clock of its own.
package coldlimit

import (
	"math"
	"slices"
	"sync/atomic"
	"time"
)

const (
	// maxRate is the highest rate in packets a second that counts as a limit.
	maxRate = 1e6
	// maxLimit bounds the limit in packets per period, so that it fits into calculations with integers.
	maxLimit = 1 << 40
	// period is the time to which the limit applies.
	period = time.Second
	// delayMargin is by how much more one packet may be delayed than another on the way to the upstream: in the
	// process, in queues of slow links and by jitter. Packets that were sent within a longer time may arrive
	// within one period.
	delayMargin = 250 * time.Millisecond
	// window is the time in which a daemon sends no more than its share.
	window = period + delayMargin
	// sweepInterval is the time between two searches for upstreams without recent placements.
	sweepInterval = 10 * time.Second
)

// Fleet is the set of daemons that may be running. The limit holds if it contains all daemons that place flows on cold
// upstreams; with daemons that do not run any more, too little is sent.
type Fleet struct {
	// IsKnown is false while daemons may be running that are unknown to this one.
	IsKnown bool
	// Version differs if the rest of the set does.
	Version uint64
	// Self identifies this daemon, and Others the other ones.
	Self   uint64
	Others []uint64
	// Total is an upper bound on the number of daemons. If it is 0, Others is complete; otherwise Others is not
	// used.
	Total float64
}

// Options are the settings and dependencies of a Limiter.
type Options struct {
	// Overage is the factor by which the rate of a service is exceeded at most, and Slack the number of packets
	// by which it is exceeded in addition, until SetMargins sets others.
	Overage, Slack float64
	// Fleet returns the daemons that may be running.
	Fleet func() Fleet
}

// margins are by how much the rate of a service is exceeded at most.
type margins struct{ overage, slack float64 }

// Limiter decides whether this daemon may place flows on cold upstreams. It must be used by one goroutine only, but for
// SetMargins.
type Limiter struct {
	options   Options
	margins   atomic.Pointer[margins]
	upstreams map[uint64]*upstream
	sweptAt   time.Time
	// fleet is the result of Options.Fleet at fleetAt.
	fleet   Fleet
	fleetAt time.Time
}

// upstream is the state of one cold upstream.
type upstream struct {
	// placedAt holds the times of the placements within the window.
	placedAt []time.Time
	// share is this daemon's share of limit for the fleet of a version.
	share   int
	limit   int
	version uint64
}

// New returns a Limiter without recorded placements.
func New(o Options) *Limiter {
	l := &Limiter{options: o, upstreams: map[uint64]*upstream{}}
	l.SetMargins(o.Overage, o.Slack)
	return l
}

// SetMargins changes by how much the rate of a service is exceeded at most, as in Options. It may be called
// concurrently with the other methods.
func (l *Limiter) SetMargins(overage, slack float64) { l.margins.Store(&margins{overage, slack}) }

// IsLimited reports whether a rate in packets a second is a limit. Rates that are 0, negative, not finite or above
// 1e6 are not.
func IsLimited(rate float64) bool { return rate > 0 && rate <= maxRate }

// Allows reports whether this daemon may send an opening packet to a cold upstream now. rate is the rate in packets
// a second that a cold upstream of the service accepts.
func (l *Limiter) Allows(key uint64, rate float64, now time.Time) bool {
	if !IsLimited(rate) {
		return true
	}
	m := l.margins.Load()
	limit := int(min(rate*m.overage+m.slack, maxLimit))
	if l.fleetAt.IsZero() || !l.fleetAt.Equal(now) {
		l.fleet, l.fleetAt = l.options.Fleet(), now
	}
	if limit < 1 || !l.fleet.IsKnown {
		return false
	}
	u := l.upstream(key)
	if u.limit != limit || u.version != l.fleet.Version {
		u.share, u.limit, u.version = l.fleet.share(key, limit), limit, l.fleet.Version
	}
	u.expire(now)
	return len(u.placedAt) < u.share
}

// RecordPlacement records that an opening packet is sent to a cold upstream.
func (l *Limiter) RecordPlacement(key uint64, now time.Time) {
	u := l.upstream(key)
	u.placedAt = append(u.placedAt, now)
	if now.Sub(l.sweptAt) < sweepInterval {
		return
	}
	l.sweptAt = now
	for other, u := range l.upstreams {
		if u.expire(now); len(u.placedAt) == 0 {
			delete(l.upstreams, other)
		}
	}
}

// upstream returns the state of an upstream, which it creates if there is none.
func (l *Limiter) upstream(key uint64) *upstream {
	u := l.upstreams[key]
	if u == nil {
		u = &upstream{}
		l.upstreams[key] = u
	}
	return u
}

// expire removes the placements that have left the window.
func (u *upstream) expire(now time.Time) {
	first := slices.IndexFunc(u.placedAt, func(at time.Time) bool { return now.Sub(at) < window })
	if first < 0 {
		first = len(u.placedAt)
	}
	u.placedAt = slices.Delete(u.placedAt, 0, first)
}

// share returns how many packets of a limit this daemon may send to an upstream. Each daemon gets the same number; the
// rest is given to the daemons with the lowest rendezvous hashes. A daemon never gets more if others are added to its
// set. Therefore the shares do not exceed the limit together while the sets differ, as long as each contains all
// daemons that run.
func (f Fleet) share(key uint64, limit int) int {
	if f.Total > 0 {
		return f.estimatedShare(key, limit)
	}
	daemons := len(f.Others) + 1
	all, rest := limit/daemons, limit%daemons
	own, rank := rendezvous(key, f.Self), 0
	for _, other := range f.Others {
		if h := rendezvous(key, other); h < own || h == own && other < f.Self {
			rank++
		}
	}
	if rank < rest {
		all++
	}
	return all
}

// estimatedShare returns the share if only a bound on the number of daemons is known: the daemons are selected whose
// rendezvous hashes are below a threshold, so that with high probability there are no more than the limit. If other
// daemons know the set, these are among the ones that the set selects.
func (f Fleet) estimatedShare(key uint64, limit int) int {
	if all := int(float64(limit) / f.Total); all > 0 {
		return all
	}
	if float64(rendezvous(key, f.Self))/math.MaxUint64 < selectedMean(limit)/f.Total {
		return 1
	}
	return 0
}

// maxExcessProbability is the highest probability that more daemons are selected for an upstream than its limit.
const maxExcessProbability = 1e-6

// selectedMean returns the mean number of selected daemons for which more than limit are selected with a probability
// of at most maxExcessProbability. It uses Chernoff's bound on the Poisson distribution.
func selectedMean(limit int) float64 {
	excess := float64(limit) + 1
	low, high := 0.0, excess
	for range 50 {
		mean := (low + high) / 2
		if -mean+excess*(1+math.Log(mean/excess)) > math.Log(maxExcessProbability) {
			high = mean
		} else {
			low = mean
		}
	}
	return low
}

// rendezvous returns a hash of an upstream and a daemon. All daemons compute the same value.
func rendezvous(upstream, daemon uint64) uint64 { return mix(mix(upstream) ^ daemon) }

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
