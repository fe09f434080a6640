// Package cost learns how long requests take: by route and size, and by upstream. It performs no I/O and reads no
// clock.
package cost

import (
	"iter"
	"math"
	"math/bits"
	"net/netip"
	"time"
)

const (
	// halfLife is the time after which a response counts half. A daemon of a large fleet sees a response of an
	// upstream every one or two seconds, so that a shorter time leaves too few of them to tell an upstream
	// that is twice as slow from chance. A longer one would keep flows away from upstreams that have recovered.
	halfLife = 10 * time.Second
	// maxTypicalWeight bounds the number of responses that determine the typical duration. It follows a change of
	// the whole service within about as many responses, before single upstreams appear slower than the others.
	maxTypicalWeight = 64.0
	// minTypicalWeight is the number of responses from which on the typical duration is known.
	minTypicalWeight = 8.0
	// maxUpstreamWeight bounds the number of responses that determine the speed factor of an upstream, so that one
	// that has recovered is known to be usual again after about as many, or after a few half-lives without any.
	maxUpstreamWeight = 16.0
	// priorWeight is the number of responses with the typical duration that are assumed of each upstream, so that
	// few responses change its speed factor little.
	priorWeight = 2.0
	// chanceErrors is how many standard errors of the mean deviation of an upstream are attributed to chance.
	// Without it, flows would follow random differences between equal upstreams.
	chanceErrors = 1.0
	// initialVariance is the variance of the logarithm of durations while few are known. It is that of
	// exponentially distributed durations, which vary more than those of most services.
	initialVariance = 1.6
	// maxDeviation bounds the ratio of a single duration to the typical one, so that a request that needs much
	// more work than others, or a lost packet, has a bounded effect.
	maxDeviation = 4.0
	// minSpeed and maxSpeed bound the speed factors.
	minSpeed, maxSpeed = 0.5, maxDeviation
	// defaultSlots is the number of slots of upstreams for which none was set.
	defaultSlots = 2
	// sizeClassBits is the number of bits by which the largest sizes of neighbouring classes differ.
	sizeClassBits = 2
	sizeClasses   = 16
	// maxRoutes and maxUpstreams bound the memory.
	maxRoutes    = 1024
	maxUpstreams = 8192
)

// average is a mean of logarithms of durations in seconds in which each one counts less as it ages.
type average struct {
	weight, mean float64
	at           time.Time
}

// age reduces the weight by the time since the last call.
func (a *average) age(now time.Time) { a.weight, a.at = a.weightAt(now), now }

// weightAt returns the weight at a time.
func (a *average) weightAt(now time.Time) float64 {
	if elapsed := now.Sub(a.at); a.weight > 0 && elapsed > 0 {
		return a.weight * math.Exp2(-elapsed.Seconds()/halfLife.Seconds())
	}
	return a.weight
}

func (a *average) add(value, weight float64, now time.Time) {
	a.age(now)
	a.weight += weight
	a.mean += (value - a.mean) * weight / a.weight
}

// typical is the typical duration of a kind of requests.
type typical struct{ average }

// add records a duration on an upstream with a speed factor, both as logarithms. One that differs from the typical
// duration by more than maxDeviation counts as if it differed by that much.
func (t *typical) add(value, speed, weight float64, now time.Time) {
	if t.isKnown(now) {
		value = t.mean + limited(value-t.mean)
	}
	t.average.add(value-speed, weight, now)
	t.weight = min(t.weight, maxTypicalWeight)
}

func (t *typical) isKnown(now time.Time) bool { return t.weightAt(now) >= minTypicalWeight }

// limited returns a deviation of logarithms within maxDeviation.
func limited(deviation float64) float64 {
	limit := math.Log(maxDeviation)
	return max(-limit, min(deviation, limit))
}

// routeCosts holds the typical durations of the requests of a route: of all, and by size class.
type routeCosts struct {
	all    typical
	bySize [sizeClasses]typical
}

// of returns the typical duration of requests of a size, that of all requests if the former or the size is not
// known.
func (r *routeCosts) of(requestBytes int, now time.Time) *typical {
	if t := &r.bySize[sizeClass(requestBytes)]; requestBytes > 0 && t.isKnown(now) {
		return t
	}
	return &r.all
}

// sizeClass returns the class of requests with a number of bytes.
func sizeClass(requestBytes int) int {
	return min((bits.Len(uint(max(requestBytes, 0)))+sizeClassBits-1)/sizeClassBits, sizeClasses-1)
}

// upstreamCosts is what is known of an upstream.
type upstreamCosts struct {
	// deviation is the mean deviation from the typical durations.
	deviation average
	// responses counts the responses. Its mean is not used.
	responses average
	// slots is 0 if it is not known.
	slots int
}

// delay returns for how many typical durations a request waits for a slot if a number of others are in progress.
func (u *upstreamCosts) delay(inProgress int) float64 {
	slots := u.slots
	if slots <= 0 {
		slots = defaultSlots
	}
	return float64(max(inProgress+1-slots, 0)) / float64(slots)
}

// Model holds what is known of the durations of requests. It must be used by one goroutine only.
type Model struct {
	routes    map[netip.AddrPort]*routeCosts
	upstreams map[uint64]*upstreamCosts
	// variance is that of single deviations from the mean of their upstream, from about maxTypicalWeight
	// of them.
	variance float64
}

// NewModel returns a Model that knows nothing.
func NewModel() *Model {
	return &Model{routes: map[netip.AddrPort]*routeCosts{}, upstreams: map[uint64]*upstreamCosts{}, variance: initialVariance}
}

// Record records the duration of a request. requestBytes is the number of bytes that the caller sent, 0 if it is
// not known, and inProgress the number of other requests in progress on the upstream when the request began.
func (m *Model) Record(
	route netip.AddrPort, upstream uint64, requestBytes int, took time.Duration, inProgress int, now time.Time,
) {
	if took <= 0 {
		return
	}
	r := m.routes[route]
	if r == nil {
		if len(m.routes) >= maxRoutes {
			return
		}
		r = &routeCosts{}
		m.routes[route] = r
	}
	u := m.upstream(upstream)
	if u == nil {
		return
	}
	u.responses.add(0, 1, now)
	value := math.Log(took.Seconds()) - math.Log(1+u.delay(inProgress))
	usual := &r.all
	if requestBytes > 0 {
		// The typical duration of other sizes would make an upstream look slow that receives a rare one.
		usual = &r.bySize[sizeClass(requestBytes)]
	}
	if usual.isKnown(now) {
		m.recordDeviation(&u.deviation, limited(value-usual.mean), now)
	}
	speed := m.logSpeed(upstream, now)
	weight := u.weightOfResponse()
	r.all.add(value, speed, weight, now)
	if requestBytes > 0 {
		r.bySize[sizeClass(requestBytes)].add(value, speed, weight, now)
	}
}

// SetSlots sets how many requests an upstream runs concurrently.
func (m *Model) SetSlots(upstream uint64, slots int) {
	if u := m.upstream(upstream); u != nil {
		u.slots = slots
	}
}

// upstream returns the state of an upstream, which it creates if there is none, or nil if there are too many.
func (m *Model) upstream(key uint64) *upstreamCosts {
	u := m.upstreams[key]
	if u == nil && len(m.upstreams) < maxUpstreams {
		u = &upstreamCosts{}
		m.upstreams[key] = u
	}
	return u
}

// weightOfResponse returns the weight of a response in the typical durations. All responses of an upstream together count
// as at most maxUpstreamWeight: one that refuses requests at once receives most of them, and would make the others look slow.
func (u *upstreamCosts) weightOfResponse() float64 {
	return min(1, maxUpstreamWeight/u.responses.weight)
}

// recordDeviation adds the difference of the logarithm of a duration from the typical one to that of its upstream.
func (m *Model) recordDeviation(a *average, deviation float64, now time.Time) {
	a.age(now)
	if a.weight > 0 {
		// The difference of a value from the mean of w others has (1 + 1/w) times their variance.
		difference := deviation - a.mean
		m.variance += (difference*difference/(1+1/max(a.weight, 1)) - m.variance) / maxTypicalWeight
	}
	a.add(deviation, 1, now)
	a.weight = min(a.weight, maxUpstreamWeight)
}

// Expected returns how long a request of a route is expected to take on an upstream of speed 1, or 0 if that is
// not known. requestBytes is the number of bytes that the caller has sent, 0 if it has sent none yet.
func (m *Model) Expected(route netip.AddrPort, requestBytes int, now time.Time) time.Duration {
	r := m.routes[route]
	if r == nil {
		return 0
	}
	t := r.of(requestBytes, now)
	if !t.isKnown(now) {
		return 0
	}
	return time.Duration(math.Exp(t.mean) * float64(time.Second))
}

// Speed returns how many times as long as usual requests take on an upstream: 1 if it is not known, 2 if it is
// half as fast as others. The less evidence there is, the closer to 1 is the result.
func (m *Model) Speed(upstream uint64, now time.Time) float64 {
	return max(minSpeed, min(math.Exp(m.logSpeed(upstream, now)), maxSpeed))
}

// Speeds returns the speed factors of all upstreams with a response lately.
func (m *Model) Speeds(now time.Time) iter.Seq2[uint64, float64] {
	return func(yield func(uint64, float64) bool) {
		for upstream := range m.upstreams {
			if !yield(upstream, m.Speed(upstream, now)) {
				return
			}
		}
	}
}

// logSpeed returns the logarithm of an upstream's speed factor, without its bounds.
func (m *Model) logSpeed(upstream uint64, now time.Time) float64 {
	u := m.upstreams[upstream]
	if u == nil {
		return 0
	}
	a := &u.deviation
	weight := a.weightAt(now)
	byChance := chanceErrors * math.Sqrt(m.variance/weight)
	beyondChance := max(math.Abs(a.mean)-byChance, 0) * weight / (weight + priorWeight)
	return math.Copysign(beyondChance, a.mean)
}

// Retain drops what is known of upstreams and routes for which the functions return false.
func (m *Model) Retain(isRegistered func(upstream uint64) bool, hasRoute func(netip.AddrPort) bool) {
	for upstream := range m.upstreams {
		if !isRegistered(upstream) {
			delete(m.upstreams, upstream)
		}
	}
	for address := range m.routes {
		if !hasRoute(address) {
			delete(m.routes, address)
		}
	}
}
