package flood

import (
	"fmt"
	"os"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"egretroad/tools/measure/report"
)

// plotFolder is where the plots go, when the measurement runs in the repository.
const plotFolder = "docs"

// Size of a plot.
const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 11 * vg.Centimeter
)

// legendRoom is the end of the axis, past the highest load, in capacities.
const legendRoom = 14

// plotAll draws goodput and p99 for each kind over the offered load.
func plotAll(all []*series, env *report.Env) error {
	if _, err := os.Stat(plotFolder); err != nil {
		env.Logf("event=no_plot cause=%q", err)
		return nil
	}
	for _, d := range deployments {
		var chosen []*series
		for _, s := range all {
			if s.deployment.name == d.name && s.variant.sweep {
				chosen = append(chosen, s)
			}
		}
		if len(chosen) == 0 {
			continue
		}
		for _, flooding := range []string{"reports", "orders"} {
			if err := plotFlood(d.name, flooding, chosen); err != nil {
				return err
			}
		}
	}
	return nil
}

func plotFlood(deployment, flooding string, chosen []*series) error {
	goodput := func(p point, f flow) float64 { return p.result.share(f) }
	p99 := func(p point, f flow) float64 { return p.result.tallies[f.entry.Name].p99() }
	title := fmt.Sprintf("%s, flood of %s", deployment, flooding)
	name := fmt.Sprintf("flood-%s-%s", deployment, flooding)
	if err := draw(title+": share of the capacity answered", "share", name+"-goodput.png", flooding, chosen, goodput); err != nil {
		return err
	}
	return draw(title+": p99 of answers", "ms", name+"-p99.png", flooding, chosen, p99)
}

func draw(title, unit, file, flooding string, chosen []*series, value func(point, flow) float64) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "offered load, capacities"
	p.Y.Label.Text = unit
	p.Legend.Top = true
	p.X.Max = legendRoom
	p.Add(plotter.NewGrid())
	for v, s := range chosen {
		for k, f := range allFlows()[:3] {
			if err := addLine(p, s, f, v, k, flooding, value); err != nil {
				return err
			}
		}
	}
	return p.Save(plotWidth, plotHeight, filepath.Join(plotFolder, file))
}

// addLine draws one kind (colour) of one variant (dashes).
func addLine(p *plot.Plot, s *series, f flow, v, k int, flooding string, value func(point, flow) float64) error {
	points := s.reports
	if flooding == "orders" {
		points = s.orders
	}
	xys := plotter.XYs{{X: quietOrders + quietReads + quietReports, Y: value(point{result: s.quiet}, f)}}
	for _, at := range points {
		xys = append(xys, plotter.XY{X: at.load, Y: value(at, f)})
	}
	line, dots, err := plotter.NewLinePoints(xys)
	if err != nil {
		return err
	}
	line.Color, line.Dashes = plotutil.Color(k), plotutil.Dashes(v)
	dots.Color, dots.Shape = plotutil.Color(k), plotutil.Shape(v)
	p.Add(line, dots)
	p.Legend.Add(s.variant.name+" "+f.entry.Kind, line, dots)
	return nil
}
