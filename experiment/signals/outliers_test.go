package signals

import (
	"fmt"
	"os"
	"testing"

	. "github.com/onsi/gomega"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// withQueues returns a case in which upstreams have slots and acknowledge requests early.
func withQueues(c Case) Case {
	c.Slots, c.AcknowledgesEarly = 2, true
	return c
}

// Guards against slow upstreams that only few daemons of a large fleet eject, because each of them sees few
// responses: with the reports of the others most eject them within 4 s.
func TestReportsFindSlowUpstreams(t *testing.T) {
	g := NewWithT(t)
	c := withQueues(large)
	c.Condition = Slow
	alone, together := MeasureOutliers(c, false, 1), MeasureOutliers(c, true, 1)
	g.Expect(together.EjectedIn4s).To(BeNumerically(">=", 0.9))
	g.Expect(alone.EjectedIn4s).To(BeNumerically("<", 0.5))
}

// Guards against healthy upstreams that are avoided on a day without faults or with lossy links, and against
// an overloaded service of which more than a tenth is avoided: single upstreams have long queues then, but
// the others cannot carry the load of many.
func TestHealthyUpstreamsAreSeldomAvoided(t *testing.T) {
	for name, c := range map[string]struct {
		Case
		limit float64
	}{
		"quiet":    {withQueues(large), 0.01},
		"small":    {withQueues(small), 0.01},
		"lossy":    {withQueues(Case{Daemons: 63, Upstreams: 150, Callers: 1000, Loss: 0.03}), 0.01},
		"overload": {withQueues(Case{Daemons: 20, Upstreams: 50, Callers: 1700}), 0.1},
	} {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(MeasureOutliers(c.Case, true, 1).FalseTime).To(BeNumerically("<", c.limit))
		})
	}
}

// TestMeasureOutliers prints the table of docs/MEASUREMENTS.md and draws its figure. It runs only if
// FULMAR_MEASURE is set.
func TestMeasureOutliers(t *testing.T) {
	if os.Getenv("FULMAR_MEASURE") == "" {
		t.Skip("a measurement; set FULMAR_MEASURE=1")
	}
	var results []OutlierResult
	for _, size := range []Case{small, large, {Daemons: 195, Upstreams: 234, Callers: 1500}} {
		for _, k := range []struct {
			name             string
			condition        Condition
			slow, mute, loss float64
			traffic          int
		}{
			{"slow x 3", Slow, 3, 0, 0, 1}, {"slow x 8", Slow, 8, 0, 0, 1}, {"slow x 25", Slow, 25, 0, 0, 1},
			{"slow x 8, loss 3 %", Slow, 8, 0, 0.03, 1}, {"mute .2", Hanging, 0, 0.2, 0, 1}, {"mute .5", Hanging, 0, 0.5, 0, 1},
			{"dead", Dead, 0, 0, 0, 1}, {"healthy", Healthy, 0, 0, 0, 1}, {"healthy, loss 3 %", Healthy, 0, 0, 0.03, 1},
			{"healthy, loss 10 %", Healthy, 0, 0, 0.1, 1}, {"healthy, 5 times the callers", Healthy, 0, 0, 0, 5},
		} {
			c := withQueues(size)
			c.Condition, c.SlowFactor, c.MuteShare, c.Loss, c.Callers = k.condition, k.slow, k.mute, k.loss, size.Callers*k.traffic
			alone, r := MeasureOutliers(c, false, 1), MeasureOutliers(c, true, 1)
			fmt.Printf("| %d, %d | %s | %.2f %.2f | %.2f %.2f | %.4f | %.2f | %.2f |\n", c.Daemons, c.Upstreams, k.name,
				alone.EjectedIn2s, alone.EjectedIn4s, r.EjectedIn2s, r.EjectedIn4s, r.FalseTime, r.FalseEjections, r.ReportsPerSecond)
			results = append(results, r)
		}
	}
	NewWithT(t).Expect(drawOutliers(results, "../../docs/figures/outliers.svg")).To(Succeed())
}

// drawOutliers plots the share that was ejected within 4 s against false ejections, with a point for each case.
func drawOutliers(results []OutlierResult, file string) error {
	p := plot.New()
	p.Title.Text = "Changed upstreams ejected within 4 s, all cases"
	p.X.Label.Text, p.Y.Label.Text = "share of time in which a healthy upstream is avoided", "share of pairs of daemon and changed upstream"
	p.Y.Min, p.Y.Max = 0, 1.1
	points := make(plotter.XYs, 0, len(results))
	for _, r := range results {
		points = append(points, plotter.XY{X: r.FalseTime, Y: r.EjectedIn4s})
	}
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return err
	}
	p.Add(scatter)
	return p.Save(16*vg.Centimeter, 9*vg.Centimeter, file)
}
