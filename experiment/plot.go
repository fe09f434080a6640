package experiment

import (
	"fmt"
	"image/color"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

const (
	plotWidth  = 19 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
	// legendWidth is wide enough for the labels of the declared experiments. legendTop is the height of
	// the title, below which the legend begins.
	legendWidth = 4.5 * vg.Centimeter
	legendTop   = 1 * vg.Centimeter
	// maxPlotPoints bounds the points of a line, to keep the files small.
	maxPlotPoints = 100
)

// figure is one plot.
type figure struct {
	name, title, xLabel, yLabel string
	curves                      []curve
	isScatter                   bool
}

// curve is one labelled line of a figure.
type curve struct {
	label  string
	points []Point
}

// plot draws the declared figures as SVG files. It returns the error of the file system.
func (r *Report) plot(base string) error {
	for _, name := range r.Declaration.Plots {
		var figures []figure
		switch name {
		case "imbalance":
			figures = r.imbalanceFigures()
		case "goodput":
			figures = []figure{r.goodputFigure()}
		case "frontier":
			figures = []figure{r.frontierFigure()}
		}
		for _, f := range figures {
			if err := f.save(base + "-" + f.name + ".svg"); err != nil {
				return err
			}
		}
	}
	return nil
}

func (r *Report) imbalanceFigures() []figure {
	var figures []figure
	for _, sc := range r.Declaration.Scenarios {
		f := figure{name: "imbalance-" + sc.Name, title: "Connections, largest over mean: " + sc.Name,
			xLabel: "time in s", yLabel: "largest over mean"}
		for _, m := range r.Measures {
			if m.Scenario == sc.Name {
				first := slices.IndexFunc(m.imbalance, func(p Point) bool { return p.X >= rampTime.Seconds() })
				f.curves = append(f.curves, curve{m.Policy, downsample(m.imbalance[max(first, 0):])})
			}
		}
		figures = append(figures, f)
	}
	return figures
}

func (r *Report) goodputFigure() figure {
	f := figure{name: "goodput", title: "Goodput against offered load",
		xLabel: "offered load over capacity", yLabel: "goodput over capacity"}
	for _, p := range r.Declaration.Policies {
		c := curve{label: p.Label}
		for _, m := range r.Measures {
			if m.Policy == p.Label && m.Settings.Overload == 0 {
				c.points = append(c.points, Point{m.Settings.Offered,
					float64(m.statuses["OK"]) / m.measuredTime.Seconds() / m.capacity})
			}
		}
		f.curves = append(f.curves, c)
	}
	return f
}

func (r *Report) frontierFigure() figure {
	f := figure{name: "frontier", title: r.Declaration.Title, xLabel: "connections ended by the balancer, % of flows",
		yLabel: "largest over mean, 60 s after the drain", isScatter: true}
	for _, sc := range r.Declaration.Scenarios {
		c := curve{label: sc.Name}
		for _, m := range r.Measures {
			if m.Scenario == sc.Name {
				c.points = append(c.points, Point{percentOf(m.Broken()+m.broken["drain limit"], m.Settings.Flows),
					m.imbalanceAt60s})
			}
		}
		f.curves = append(f.curves, c)
	}
	return f
}

// downsample returns at most maxPlotPoints of the points, evenly spaced.
func downsample(points []Point) []Point {
	step := len(points)/maxPlotPoints + 1
	var kept []Point
	for i := 0; i < len(points); i += step {
		kept = append(kept, points[i])
	}
	return kept
}

// palette contains colours that colour-blind readers can distinguish too (Okabe and Ito).
var palette = []color.Color{
	color.RGBA{A: 255}, color.RGBA{R: 230, G: 159, A: 255}, color.RGBA{R: 86, G: 180, B: 233, A: 255},
	color.RGBA{G: 158, B: 115, A: 255}, color.RGBA{R: 204, G: 121, B: 167, A: 255}, color.RGBA{G: 114, B: 178, A: 255},
	color.RGBA{R: 213, G: 94, A: 255}, color.RGBA{R: 150, G: 150, B: 150, A: 255},
}

// tickMarks returns the default tick marks with labels of up to four digits, since the default labels
// round 1.05 to 1.
func tickMarks(least, most float64) []plot.Tick {
	all := plot.DefaultTicks{}.Ticks(least, most)
	for i := range all {
		if all[i].Label != "" {
			all[i].Label = strconv.FormatFloat(all[i].Value, 'g', 4, 64)
		}
	}
	return all
}

// save writes the figure to a file.
func (f figure) save(file string) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = f.title, f.xLabel, f.yLabel
	p.X.Tick.Marker, p.Y.Tick.Marker = plot.TickerFunc(tickMarks), plot.TickerFunc(tickMarks)
	legend := plot.NewLegend()
	legend.Top = true
	p.Add(plotter.NewGrid())
	for i, c := range f.curves {
		xys := make(plotter.XYs, len(c.points))
		for k, point := range c.points {
			xys[k] = plotter.XY{X: point.X, Y: point.Y}
		}
		if len(xys) == 0 {
			continue
		}
		if err := f.addCurve(p, &legend, i, c.label, xys); err != nil {
			return err
		}
	}
	w, err := draw.NewFormattedCanvas(plotWidth, plotHeight, plotFormat(file))
	if err != nil {
		return fmt.Errorf("draw %s: %w", file, err)
	}
	// The legend has a column of its own, so that it hides no lines.
	canvas := draw.New(w)
	p.Draw(draw.Crop(canvas, 0, -legendWidth, 0, 0))
	legend.Draw(draw.Crop(canvas, plotWidth-legendWidth, 0, 0, -legendTop))
	out, err := os.Create(file)
	if err != nil {
		return fmt.Errorf("create plot: %w", err)
	}
	if _, err := w.WriteTo(out); err != nil {
		_ = out.Close()
		return fmt.Errorf("write plot: %w", err)
	}
	return out.Close()
}

// plotFormat returns the format of a file by the extension of its name.
func plotFormat(file string) string { return strings.TrimPrefix(filepath.Ext(file), ".") }

// addCurve adds a curve and its label to a plot.
func (f figure) addCurve(p *plot.Plot, legend *plot.Legend, i int, label string, xys plotter.XYs) error {
	lineColor := palette[i%len(palette)]
	if f.isScatter {
		s, err := plotter.NewScatter(xys)
		if err != nil {
			return fmt.Errorf("plot points: %w", err)
		}
		// Points of later series are larger, so that coinciding points of two series are both visible.
		s.Color, s.Shape, s.Radius = lineColor, plotutil.Shape(i), vg.Points(2+1.5*float64(i))
		p.Add(s)
		legend.Add(label, s)
		return nil
	}
	l, err := plotter.NewLine(xys)
	if err != nil {
		return fmt.Errorf("plot line: %w", err)
	}
	l.Color, l.Dashes = lineColor, plotutil.Dashes(i)
	p.Add(l)
	legend.Add(label, l)
	return nil
}
