package edge

import (
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/fulmarfield/fulmarfield/inband"
	"github.com/fulmarfield/fulmarfield/telemetry"
)

// Values of the setting placement.
const (
	placementByCost = "cost"
	placementByLoad = "load"
)

// costMetrics are the metrics of the expected durations of requests.
type costMetrics struct {
	// expected and measured are durations in microseconds.
	expected, measured metrics.Histogram
	// ratio is the measured duration in percent of the expected one.
	ratio metrics.Histogram
	// slowUpstreams is the number of upstreams that count as slow by their speed factor.
	slowUpstreams atomic.Int64
}

func newCostMetrics(counters *telemetry.Counters) *costMetrics {
	return &costMetrics{
		expected: counters.Distribution("cost.expected_us"), measured: counters.Distribution("cost.measured_us"),
		ratio: counters.Distribution("cost.measured_percent_of_expected"),
	}
}

// record records the requests whose duration was expected and measured.
func (m *costMetrics) record(requests []inband.MeasuredRequest) {
	for _, r := range requests {
		m.expected.Update(r.Expected.Microseconds())
		m.measured.Update(r.Measured.Microseconds())
		m.ratio.Update(int64(100 * r.Measured.Seconds() / r.Expected.Seconds()))
	}
}

// recordCosts updates the metrics of the durations of requests, and writes a line for each upstream that became slow
// by its speed factor, or is not slow any more.
func (l *packetLoop) recordCosts(now time.Time) {
	l.costs.record(l.steerer.TakeMeasuredRequests())
	changes := l.steerer.TakeSpeedChanges()
	if len(changes) == 0 {
		return
	}
	l.costs.slowUpstreams.Store(int64(l.steerer.SlowUpstreams()))
	for _, c := range changes {
		event := "speed.normal"
		if c.IsSlow {
			event = "speed.slow"
		}
		l.counters.Count(event)
		u := l.catalog.Current().Upstream(c.Upstream)
		if u == nil || !l.allowLine(now) {
			continue
		}
		l.logger.Info().Str("event", eventUpstreamSpeed).Str("upstream", u.ID).Str("zone", u.Zone).
			Float64("factor", c.Factor).Bool("is_slow", c.IsSlow).Send()
	}
}
