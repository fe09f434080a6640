package outlier

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

const (
	// baselineSize is the number of latest response times that determine the usual ones.
	baselineSize = 255
	// minBaseline is the number of response times from which on the typical one is known, and
	// minTailBaseline the number from which on the longest usual ones are known, too.
	minBaseline     = 8
	minTailBaseline = 64
	// recomputeInterval is the number of response times after which the usual ones are computed again.
	recomputeInterval = 8
	// slowFactor is how many typical response times a slow response takes. Responses that wait in
	// the queue of a busy upstream take up to three. cautiousSlowFactor applies while the longest
	// usual response times are not known.
	slowFactor         = 4
	cautiousSlowFactor = 8
	// tailQuantile and tailFactor bound the longest usual response times: where some requests need much
	// more work than others, a slow response must also take tailFactor times this quantile.
	tailQuantile = 0.97
	tailFactor   = 1.25
)

// Baseline is what response times are usual on a route. The zero value knows no response time.
type Baseline struct {
	latest []int64
	// next is where the next response time replaces an older one, and added counts all of them.
	next, added int
	slowAfter   time.Duration
}

// Add records a response time of an accepted upstream, or how long a request has waited when it became
// overdue.
func (b *Baseline) Add(d time.Duration) {
	if len(b.latest) < baselineSize {
		b.latest = append(b.latest, int64(d))
	} else {
		b.latest[b.next] = int64(d)
		b.next = (b.next + 1) % baselineSize
	}
	b.added++
	if b.added == minBaseline || b.added%recomputeInterval == 0 {
		b.recompute()
	}
}

// recompute sets slowAfter.
func (b *Baseline) recompute() {
	// The function sorts its argument.
	usual := metrics.SamplePercentiles(append([]int64(nil), b.latest...), []float64{0.5, tailQuantile})
	if len(b.latest) < minTailBaseline {
		b.slowAfter = time.Duration(cautiousSlowFactor * usual[0])
		return
	}
	b.slowAfter = time.Duration(max(slowFactor*usual[0], tailFactor*usual[1]))
}

// SlowAfter returns the response time from which on a response is slow, and false while the typical
// response time is not known.
func (b *Baseline) SlowAfter() (time.Duration, bool) {
	return b.slowAfter, len(b.latest) >= minBaseline
}
