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

// plotFolder is the folder of the plots, relative to the repository's root.
const plotFolder = "docs"

// Size of a plot.
const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 11 * vg.Centimeter
)

// xAxisMax leaves room for the legend beyond the highest load, in multiples of the
// capacity.
const xAxisMax = 14

// plotAll plots goodput and p99 of each kind against the offered load. Outside the
// repository, where plotFolder is missing, it plots nothing.
func plotAll(all []*series, env *report.Env) error {
	if _, err := os.Stat(plotFolder); err != nil {
		env.Logf("event=no_plot cause=%q", err)
		return nil
	}
	for _, d := range deployments {
		var selected []*series
		for _, s := range all {
			if s.deployment.name == d.name && s.variant.sweep {
				selected = append(selected, s)
			}
		}
		if len(selected) == 0 {
			continue
		}
		for _, floodKind := range []string{"reports", "orders"} {
			if err := plotFlood(d.name, floodKind, selected); err != nil {
				return err
			}
		}
	}
	return nil
}

func plotFlood(deployment, floodKind string, selected []*series) error {
	goodput := func(p loadPoint, f flow) float64 { return p.result.slotShare(f) }
	p99 := func(p loadPoint, f flow) float64 { return p.result.tallies[f.entry.Name].p99() }
	title := fmt.Sprintf("%s, flood of %s", deployment, floodKind)
	filePrefix := fmt.Sprintf("flood-%s-%s", deployment, floodKind)
	if err := draw(title+": share of the capacity answered", "share", filePrefix+"-goodput.png", floodKind, selected, goodput); err != nil {
		return err
	}
	return draw(title+": p99 of answers", "ms", filePrefix+"-p99.png", floodKind, selected, p99)
}

func draw(title, unit, file, floodKind string, selected []*series, figure func(loadPoint, flow) float64) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "offered load, capacities"
	p.Y.Label.Text = unit
	p.Legend.Top = true
	p.X.Max = xAxisMax
	p.Add(plotter.NewGrid())
	for variantIndex, s := range selected {
		for kindIndex, f := range allFlows()[:3] {
			if err := addLine(p, s, f, variantIndex, kindIndex, floodKind, figure); err != nil {
				return err
			}
		}
	}
	return p.Save(plotWidth, plotHeight, filepath.Join(plotFolder, file))
}

// addLine adds the line of one kind and variant: the colour stands for the kind, the
// dashes and the shape of the points for the variant.
func addLine(p *plot.Plot, s *series, f flow, variantIndex, kindIndex int, floodKind string, figure func(loadPoint, flow) float64) error {
	points := s.reportFloods
	if floodKind == "orders" {
		points = s.orderFloods
	}
	xys := plotter.XYs{{X: quietOrders + quietReads + quietReports, Y: figure(loadPoint{result: s.quiet}, f)}}
	for _, at := range points {
		xys = append(xys, plotter.XY{X: at.load, Y: figure(at, f)})
	}
	line, dots, err := plotter.NewLinePoints(xys)
	if err != nil {
		return err
	}
	line.Color, line.Dashes = plotutil.Color(kindIndex), plotutil.Dashes(variantIndex)
	dots.Color, dots.Shape = plotutil.Color(kindIndex), plotutil.Shape(variantIndex)
	p.Add(line, dots)
	p.Legend.Add(s.variant.name+" "+f.entry.Kind, line, dots)
	return nil
}
