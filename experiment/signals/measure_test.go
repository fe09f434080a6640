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

// Sizes of a small and a large deployment of the users.
var (
	small = Case{Daemons: 6, Upstreams: 18, Callers: 220}
	large = Case{Daemons: 63, Upstreams: 150, Callers: 1000}
)

// Guards against dead upstreams that no daemon suspects, and against daemons that declare running upstreams
// dead or avoid many of them because the links lose 3 % of their packets.
func TestDeadUpstreamsAreDistinguishedFromLossyLinks(t *testing.T) {
	g := NewWithT(t)
	c := small
	c.Condition, c.Loss = Dead, 0.03
	r := Measure(c, 1)
	g.Expect(r.HitsByAny).To(Equal(1.0))
	g.Expect(r.DeclaredDead).To(Equal(1.0))
	g.Expect(r.FalseDead).To(BeZero())
	g.Expect(r.FalsePerDaemon).To(BeNumerically("<", 0.05))
}

// Guards against simulated callers that cause suspicions although no upstream has changed and no packet is
// lost.
func TestNoSuspicionWithoutFaults(t *testing.T) {
	r := Measure(small, 1)
	NewWithT(t).Expect([]float64{r.HitsByAny, r.FalseByAny, r.FalseDead}).To(HaveEach(0.0))
}

// TestMeasureSignals prints the table of docs/MEASUREMENTS.md and draws its figure. It runs only if
// FULMAR_MEASURE is set.
func TestMeasureSignals(t *testing.T) {
	if os.Getenv("FULMAR_MEASURE") == "" {
		t.Skip("a measurement; set FULMAR_MEASURE=1")
	}
	var deadInLarge []Result
	for _, size := range []Case{small, large} {
		for condition := Slow; condition <= Dead; condition++ {
			for _, loss := range []float64{0, 0.01, 0.03, 0.1} {
				c := size
				c.Condition, c.Loss = condition, loss
				r := Measure(c, 1)
				fmt.Printf("| %d | %s | %.0f %% | %.2f | %.2f | %.2f | %.2f | %.3f | %.3f | %.3f | %.2f |\n", c.Daemons, condition, 100*loss,
					r.HitsPerDaemon, r.HitsByAny, r.HitsByTwo, r.DeclaredDead, r.FalsePerDaemon, r.FalseByAny, r.FalseByTwo, r.FalseDead)
				if c.Daemons == large.Daemons && condition == Dead {
					deadInLarge = append(deadInLarge, r)
				}
			}
		}
	}
	NewWithT(t).Expect(draw(deadInLarge, "../../docs/figures/signals.svg")).To(Succeed())
}

// draw plots hits against false alarms, with a line for each way to combine the daemons' suspicions and a
// point for each loss.
func draw(results []Result, file string) error {
	p := plot.New()
	p.Title.Text = "Dead upstreams suspected within 2 s, 63 daemons, losses of 0, 1, 3 and 10 %"
	p.X.Label.Text, p.Y.Label.Text = "share of time in which a healthy upstream is avoided", "share of dead upstreams"
	p.Y.Min, p.Y.Max = 0, 1.1
	p.Legend.Top, p.Legend.YOffs = false, vg.Centimeter
	perDaemon, byAny, byTwo := make(plotter.XYs, 0), make(plotter.XYs, 0), make(plotter.XYs, 0)
	for _, r := range results {
		perDaemon = append(perDaemon, plotter.XY{X: r.FalsePerDaemon, Y: r.HitsPerDaemon})
		byAny = append(byAny, plotter.XY{X: r.FalseByAny, Y: r.HitsByAny})
		byTwo = append(byTwo, plotter.XY{X: r.FalseByTwo, Y: r.HitsByTwo})
	}
	if err := plotutil.AddLinePoints(p, "each daemon alone", perDaemon, "any daemon", byAny, "two daemons", byTwo); err != nil {
		return err
	}
	return p.Save(16*vg.Centimeter, 9*vg.Centimeter, file)
}
