package signals

import (
	"fmt"
	"os"
	"testing"

	. "github.com/onsi/gomega"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
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

// TestMeasureSignals prints the table of docs/MEASUREMENTS.md and draws its figure, when asked for:
// FULMAR_MEASURE=1.
func TestMeasureSignals(t *testing.T) {
	if os.Getenv("FULMAR_MEASURE") == "" {
		t.Skip("a measurement; set FULMAR_MEASURE=1")
	}
	var deadInGrown []Result
	for _, size := range []Case{small, grown} {
		for condition := Slow; condition <= Dead; condition++ {
			for _, loss := range []float64{0, 0.01, 0.03, 0.1} {
				c := size
				c.Condition, c.Loss = condition, loss
				r := Measure(c, 1)
				fmt.Printf("| %d | %s | %.0f %% | %.2f | %.2f | %.2f | %.2f | %.3f | %.3f | %.3f | %.2f |\n", c.Daemons, condition, 100*loss,
					r.HitsAlone, r.HitsShared, r.HitsAgreed, r.Dead, r.FalseAlone, r.FalseShared, r.FalseAgreed, r.FalseDead)
				if c.Daemons == grown.Daemons && condition == Dead {
					deadInGrown = append(deadInGrown, r)
				}
			}
		}
	}
	NewWithT(t).Expect(draw(deadInGrown, "../../docs/figures/signals.svg")).To(Succeed())
}

// draw plots hits against false alarms, a line for each way to use signals with a point for each loss.
func draw(results []Result, file string) error {
	p := plot.New()
	p.Title.Text = "Dead upstreams suspected within 2 s, 63 daemons, losses of 0, 1, 3 and 10 %"
	p.X.Label.Text, p.Y.Label.Text = "share of time in which a healthy upstream is avoided", "share of dead upstreams"
	p.Y.Min, p.Y.Max = 0, 1.1
	p.Legend.Top, p.Legend.YOffs = false, vg.Centimeter
	alone, shared, agreed := make(plotter.XYs, 0), make(plotter.XYs, 0), make(plotter.XYs, 0)
	for _, r := range results {
		alone = append(alone, plotter.XY{X: r.FalseAlone, Y: r.HitsAlone})
		shared = append(shared, plotter.XY{X: r.FalseShared, Y: r.HitsShared})
		agreed = append(agreed, plotter.XY{X: r.FalseAgreed, Y: r.HitsAgreed})
	}
	if err := plotutil.AddLinePoints(p, "each daemon alone", alone, "any daemon", shared, "two daemons", agreed); err != nil {
		return err
	}
	return p.Save(16*vg.Centimeter, 9*vg.Centimeter, file)
}
