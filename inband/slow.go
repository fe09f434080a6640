package inband

import (
	"slices"
	"time"

	"github.com/fulmarfield/fulmarfield/catalog"
)

const (
	// speedClassInterval is how long the division of a service's upstreams by their speeds is used.
	speedClassInterval = 250 * time.Millisecond
	// speedClassRetention is how long that of a service without opening packets is kept. It is longer than an opening
	// packet waits, so that requests in progress are counted by it until the last one is released.
	speedClassRetention = 2 * time.Second
	// referenceQuantile is the quantile of the speed factors of a service to which the others are compared. Most
	// upstreams may be slow at once, so that the typical duration is theirs.
	referenceQuantile = 0.25
	// minReferenceUpstreams is the number of upstreams from which on they are divided into slow and fast ones, and idle
	// ones are looked for. Among fewer, the quantile could be the factor of a single upstream that looks fast because it
	// refuses requests.
	minReferenceUpstreams = 8
)

// speedClasses divides the upstreams of a service by their speed factors.
type speedClasses struct {
	at time.Time
	// reference is the speed factor of the fast ones.
	reference float64
	// slow holds the upstreams that are slow in comparison.
	slow map[uint64]bool
}

// usualSpeeds is the division of upstreams of which none is slow.
var usualSpeeds = &speedClasses{reference: 1}

// classes returns the division of a service's upstreams.
func (c *costs) classes(service string, upstreams []*catalog.Upstream, now time.Time) *speedClasses {
	if c.model == nil || len(upstreams) < minReferenceUpstreams {
		delete(c.byService, service)
		return usualSpeeds
	}
	classes := c.byService[service]
	if classes != nil && now.Sub(classes.at) < speedClassInterval {
		return classes
	}
	classes = &speedClasses{at: now, slow: map[uint64]bool{}}
	c.byService[service] = classes
	speeds := make([]float64, len(upstreams))
	for i, u := range upstreams {
		speeds[i] = c.model.Speed(u.Key, now)
	}
	sorted := slices.Sorted(slices.Values(speeds))
	classes.reference = sorted[int(referenceQuantile*float64(len(sorted)-1))]
	for i, u := range upstreams {
		if speeds[i] >= slowSpeed*classes.reference {
			classes.slow[u.Key] = true
		}
	}
	return classes
}
