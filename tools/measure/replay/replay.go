// Package replay measures the decisions of a home under load: goodput against offered
// load, this version beside the first one and beside simple baselines, in simulated
// time.
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

// The replays.
const (
	replayLength = 20 * time.Second
	seedCount    = 5
	// loadOfBounds is the offered load, in capacities, for which bounds are stated.
	boundedLoad = 3.0
)

var loads = []float64{0.5, 0.8, 1, 1.5, 2, boundedLoad, 4}

// variant is one way to decide.
type variant struct {
	name    string
	options admission.Options
}

func variants() []variant {
	first := admission.DefaultOptions()
	arrival := admission.DefaultOptions()
	arrival.Order, arrival.Policy = admission.OrderArrival, admission.PolicyQueueLength
	noEarlyRefusal := broker.DefaultOptions().Admission
	noEarlyRefusal.Policy = admission.PolicyQueueLength
	return []variant{
		{"this", broker.DefaultOptions().Admission},
		{"first_landed", first},
		{"no_early_refusal", noEarlyRefusal},
		{"first_come_first_served", arrival},
	}
}

// point is what a variant brought at a load, as means over the seeds.
type point struct {
	load        float64
	shares      []float64 // answered in time, by flow
	worthRanked float64   // worth, of the best order that keeps the ranks
	worthFree   float64   // worth, of the best order
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
		p.worthRanked += r.Worth(flows) / replay.BestWorth(flows, arrivals, replay.ShopSlots*replayLength, true) / seedCount
		p.worthFree += r.Worth(flows) / replay.BestWorth(flows, arrivals, replay.ShopSlots*replayLength, false) / seedCount
	}
	return p
}

// Run makes the measurement. The arrivals of each seed are the same in all variants.
func Run(_ context.Context, env *report.Env) (*report.Report, error) {
	r := report.New("replay", env.Seed)
	curves := map[string][]point{}
	for _, v := range variants() {
		for _, load := range loads {
			p := measure(v, load)
			curves[v.name] = append(curves[v.name], p)
			figureName := func(figure string) string { return fmt.Sprintf("%s_%gx_%s", v.name, load, figure) }
			r.Set(figureName("worth_ranked"), p.worthRanked)
			r.Set(figureName("worth_free"), p.worthFree)
			for i, f := range replay.Shop(load) {
				r.Set(figureName(f.Entry), p.shares[i])
			}
			if v.name == "this" && load == boundedLoad {
				r.AtLeast("urgent_in_time", p.shares[0], 0.95)
				r.AtLeast("worth_of_the_best_that_keeps_ranks", p.worthRanked, 0.9)
			}
		}
	}
	return r, plotCurves(curves, env)
}

// Plots go to the documentation when the measurement runs in the repository.
const (
	plotFolder = "docs"
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 11 * vg.Centimeter
)

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
			line = append(line, plotter.XY{X: at.load, Y: at.worthRanked})
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
