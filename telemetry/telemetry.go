// Package telemetry counts refusals, retries and drops by reason, and records distributions of
// latencies. It owns the metrics registry of a process and imports no other package of the
// project except the generated code.
package telemetry

import (
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	pb "github.com/fulmarfield/fulmarfield/api/fulmarfield/v1"
)

// Counters holds one counter for each refusal and retry reason, and further counters and
// distributions by name. Its methods may be called concurrently.
type Counters struct {
	registry metrics.Registry
	refusals []metrics.Counter
	retries  []metrics.Counter
}

// NewCounters registers a counter for each reason as refusal.<reason> and retry.<reason>.
func NewCounters() *Counters {
	c := &Counters{registry: metrics.NewRegistry()}
	n := len(pb.Reason_name)
	c.refusals = make([]metrics.Counter, n)
	c.retries = make([]metrics.Counter, n)
	for i := range n {
		name := ReasonName(pb.Reason(i))
		c.refusals[i] = metrics.GetOrRegisterCounter("refusal."+name, c.registry)
		c.retries[i] = metrics.GetOrRegisterCounter("retry."+name, c.registry)
	}
	return c
}

// ReasonName returns the name of the reason in lower case without its prefix, for example "queue_full".
func ReasonName(r pb.Reason) string {
	return strings.ToLower(strings.TrimPrefix(r.String(), "REASON_"))
}

// CountRefusal counts a refused request, flow or packet.
func (c *Counters) CountRefusal(r pb.Reason) { c.refusals[c.index(r)].Inc(1) }

// CountRetry counts a retried request.
func (c *Counters) CountRetry(r pb.Reason) { c.retries[c.index(r)].Inc(1) }

// CountDrop counts a dropped packet or message under drop.<reason>.
func (c *Counters) CountDrop(reason string) { c.Count("drop." + reason) }

// Count adds 1 to the named counter.
func (c *Counters) Count(name string) { c.Add(name, 1) }

// Add adds n to the named counter.
func (c *Counters) Add(name string, n int64) {
	c.Counter(name).Inc(n)
}

// Counter returns the counter with this name. Code that counts each packet keeps the counter and
// saves the look-up.
func (c *Counters) Counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, c.registry)
}

// Get returns the value of the named counter, 0 if it does not exist.
func (c *Counters) Get(name string) int64 {
	if m, ok := c.registry.Get(name).(metrics.Counter); ok {
		return m.Count()
	}
	return 0
}

// Snapshot returns all counters that are not zero.
func (c *Counters) Snapshot() map[string]int64 {
	values := map[string]int64{}
	c.registry.Each(func(name string, m any) {
		if counter, ok := m.(metrics.Counter); ok && counter.Count() != 0 {
			values[name] = counter.Count()
		}
	})
	return values
}

// sampleSize limits the values that a distribution keeps. 1,028 values take 8 KB, and their p99 is
// the 10th largest, so that it does not depend on a single outlier.
const sampleSize = 1028

// sampleAlpha is the decay factor that favours recent values: most of the values in a sample are
// from the last five minutes.
const sampleAlpha = 0.015

// Observe adds a duration to the named distribution, in microseconds.
func (c *Counters) Observe(name string, d time.Duration) {
	c.Distribution(name).Update(d.Microseconds())
}

// Distribution returns the distribution with this name. Code that observes values often keeps the
// distribution and saves the look-up.
func (c *Counters) Distribution(name string) metrics.Histogram {
	m := c.registry.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	})
	return m.(metrics.Histogram) //nolint:forcetypeassert // Each name is used for one kind of metric only.
}

// Distributions returns, for each distribution that has values, their number, p50, p90, p99 and maximum
// as NAME.count, NAME.p50 and so on.
func (c *Counters) Distributions() map[string]int64 {
	values := map[string]int64{}
	c.registry.Each(func(name string, m any) {
		h, ok := m.(metrics.Histogram)
		if !ok || h.Count() == 0 {
			return
		}
		h = h.Snapshot()
		values[name+".count"], values[name+".max"] = h.Count(), h.Max()
		for suffix, share := range map[string]float64{".p50": 0.5, ".p90": 0.9, ".p99": 0.99} {
			values[name+suffix] = int64(h.Percentile(share))
		}
	})
	return values
}

// Registry returns the metrics registry of the process.
func (c *Counters) Registry() metrics.Registry { return c.registry }

func (c *Counters) index(r pb.Reason) int {
	if int(r) < 0 || int(r) >= len(c.refusals) {
		return 0
	}
	return int(r)
}
