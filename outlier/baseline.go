package outlier

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

const (
	// baselineSize is the number of latest response times that determine the typical one.
	baselineSize = 63
	// minBaseline is the number of response times from which on the typical one is known.
	minBaseline = 8
	// slowFactor is how many typical response times a slow response takes. Responses that wait in
	// the queue of a busy upstream take up to three.
	slowFactor = 4
)

// Baseline is the typical response time of a route. The zero value knows no response time.
type Baseline struct {
	latest []int64
	next   int
	median time.Duration
}

// Add records a response time, or how long a request has waited when it became overdue.
func (b *Baseline) Add(d time.Duration) {
	if len(b.latest) < baselineSize {
		b.latest = append(b.latest, int64(d))
	} else {
		b.latest[b.next] = int64(d)
		b.next = (b.next + 1) % baselineSize
	}
	b.median = time.Duration(metrics.SamplePercentile(append([]int64(nil), b.latest...), 0.5))
}

// SlowAfter returns the response time from which on a response is slow, and false while the typical
// response time is not known.
func (b *Baseline) SlowAfter() (time.Duration, bool) {
	return slowFactor * b.median, len(b.latest) >= minBaseline
}
