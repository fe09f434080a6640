package signals

import (
	"fmt"
	"os"
	"testing"

	. "github.com/onsi/gomega"
)

// Sizes of the users' deployments: a small one, and a grown one.
var (
	small = Case{Daemons: 6, Upstreams: 18, Callers: 220}
	grown = Case{Daemons: 63, Upstreams: 150, Callers: 1000}
)

// Guards against dead upstreams that nobody notices, and against daemons that take living ones for
// dead or avoid many of them because a link loses 3 % of its packets.
func TestDeadUpstreamsAreToldFromLossyLinks(t *testing.T) {
	g := NewWithT(t)
	c := small
	c.Condition, c.Loss = Dead, 0.03
	r := Measure(c, 1)
	g.Expect(r.HitsShared).To(Equal(1.0))
	g.Expect(r.Dead).To(Equal(1.0))
	g.Expect(r.FalseDead).To(BeZero())
	g.Expect(r.FalseAlone).To(BeNumerically("<", 0.05))
}

// Guards against a measurement whose callers raise alarms where nothing is wrong.
func TestNothingIsSuspectedOnACalmDay(t *testing.T) {
	r := Measure(small, 1)
	NewWithT(t).Expect([]float64{r.HitsShared, r.FalseShared, r.FalseDead}).To(HaveEach(0.0))
}

// TestMeasureSignals prints the table of docs/MEASUREMENTS.md, when asked for: FULMAR_MEASURE=1.
func TestMeasureSignals(t *testing.T) {
	if os.Getenv("FULMAR_MEASURE") == "" {
		t.Skip("a measurement; set FULMAR_MEASURE=1")
	}
	for _, size := range []Case{small, grown} {
		for condition := Slow; condition <= Dead; condition++ {
			for _, loss := range []float64{0, 0.01, 0.03, 0.1} {
				c := size
				c.Condition, c.Loss = condition, loss
				r := Measure(c, 1)
				fmt.Printf("| %d | %s | %.0f %% | %.2f | %.2f | %.2f | %.2f | %.3f | %.3f | %.3f | %.2f |\n", c.Daemons, condition, 100*loss,
					r.HitsAlone, r.HitsShared, r.HitsAgreed, r.Dead, r.FalseAlone, r.FalseShared, r.FalseAgreed, r.FalseDead)
			}
		}
	}
}
