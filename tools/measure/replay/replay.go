// Package replay measures the admission decisions of a home in simulated time: goodput
// against offered load with the current options, with the first version's options and
// with simple baselines. It starts no proxies.
package replay

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"egretroad/internal/admission"
	"egretroad/internal/admission/replay"
	"egretroad/internal/broker"
	"egretroad/tools/measure/report"
)

// Sizes of the measurement.
const (
	replayLength = 20 * time.Second
	seedCount    = 5
	// boundedLoad is the offered load to which the bounds apply, in multiples of the
	// capacity.
	boundedLoad = 3.0
)

// loads are the offered loads, in multiples of the capacity.
var loads = []float64{0.5, 0.8, 1, 1.5, 2, boundedLoad, 4}

// variant is a named set of admission options.
type variant struct {
	name    string
	options admission.Options
}

func variants() []variant {
	firstVersion := admission.DefaultOptions()
	arrival := admission.DefaultOptions()
	arrival.Order, arrival.Policy = admission.OrderArrival, admission.PolicyQueueLength
	noEarlyRefusal := broker.DefaultOptions().Admission
	noEarlyRefusal.Policy = admission.PolicyQueueLength
	return []variant{
		{"this", broker.DefaultOptions().Admission},
		{"first_landed", firstVersion},
		{"no_early_refusal", noEarlyRefusal},
		{"first_come_first_served", arrival},
	}
}

// point holds the means over all seeds of a variant's results at one load. Value is the
// weighted value of the work answered in time; the names of figures call it worth.
type point struct {
	load        float64
	shares      []float64 // share answered in time, by flow
	valueRanked float64   // value relative to the best order that respects the ranks
	valueFree   float64   // value relative to the best order of all
}

func measure(v variant, load float64) point {
	flows := replay.Shop(load)
	p := point{load: load, shares: make([]float64, len(flows))}
	for seed := range uint64(seedCount) {
		arrivals := replay.Arrivals(flows, replayLength, seed)
		r := replay.Run(v.options, replay.ShopSlots, flows, arrivals, replayLength)
		for i, t := range r {
			p.shares[i] += t.Share() / seedCount
		}
		p.valueRanked += r.Value(flows) / replay.BestValue(flows, arrivals, replay.ShopSlots*replayLength, true) / seedCount
		p.valueFree += r.Value(flows) / replay.BestValue(flows, arrivals, replay.ShopSlots*replayLength, false) / seedCount
	}
	return p
}

// Run measures all variants at all loads. All variants get the same arrivals for a seed.
func Run(_ context.Context, env *report.Env) (*report.Report, error) {
	r := report.New("replay", env.Seed)
	curves := map[string][]point{}
	for _, v := range variants() {
		for _, load := range loads {
			p := measure(v, load)
			curves[v.name] = append(curves[v.name], p)
			figureName := func(figure string) string { return fmt.Sprintf("%s_%gx_%s", v.name, load, figure) }
			r.Set(figureName("worth_ranked"), p.valueRanked)
			r.Set(figureName("worth_free"), p.valueFree)
			for i, f := range replay.Shop(load) {
				r.Set(figureName(f.Entry), p.shares[i])
			}
			if v.name == "this" && load == boundedLoad {
				r.AtLeast("urgent_in_time", p.shares[0], 0.95)
				r.AtLeast("worth_of_the_best_that_keeps_ranks", p.valueRanked, 0.9)
			}
		}
	}
	return r, plotCurves(curves, env)
}

// The folder of the plot, relative to the repository's root, and the plot's size.
const (
	plotFolder = "docs"
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 11 * vg.Centimeter
)

// plotCurves plots value against offered load. Outside the repository, where plotFolder
// is missing, it plots nothing.
func plotCurves(curves map[string][]point, env *report.Env) error {
	if _, err := os.Stat(plotFolder); err != nil {
		env.Logf("event=no_plot cause=%q", err)
		return nil
	}
	p := plot.New()
	p.Title.Text = "Replay: worth answered in time, of the best order that keeps the ranks"
	p.X.Label.Text, p.Y.Label.Text = "offered load, capacities", "share"
	p.Y.Min, p.Y.Max = 0, 1.05
	p.Add(plotter.NewGrid())
	for i, v := range variants() {
		var line plotter.XYs
		for _, at := range curves[v.name] {
			line = append(line, plotter.XY{X: at.load, Y: at.valueRanked})
		}
		l, dots, err := plotter.NewLinePoints(line)
		if err != nil {
			return err
		}
		l.Color, dots.Color, dots.Shape = plotutil.Color(i), plotutil.Color(i), plotutil.Shape(i)
		p.Add(l, dots)
		p.Legend.Add(v.name, l, dots)
	}
	return p.Save(plotWidth, plotHeight, filepath.Join(plotFolder, "replay-worth.png"))
}
