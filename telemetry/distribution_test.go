package telemetry

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against distributions that are missing from the metrics, and against distributions
// without values that are shown as zeros.
func TestDistributions(t *testing.T) {
	g := NewWithT(t)
	c := NewCounters()
	c.Distribution("empty")
	for i := 1; i <= 100; i++ {
		c.Observe("call_us", time.Duration(i)*time.Millisecond)
	}
	values := c.Distributions()
	g.Expect(values).To(HaveLen(5))
	g.Expect(values).To(HaveKeyWithValue("call_us.count", int64(100)))
	g.Expect(values).To(HaveKeyWithValue("call_us.max", int64(100_000)))
	g.Expect(values["call_us.p50"]).To(BeNumerically("~", 50_000, 1000))
	g.Expect(values["call_us.p99"]).To(BeNumerically("~", 99_000, 1000))
	g.Expect(c.Snapshot()).To(BeEmpty(), "a snapshot contains counters only")
}
