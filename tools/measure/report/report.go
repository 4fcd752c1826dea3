// Package report holds the result of a measurement: its figures, the bounds
// that they are checked against, and the verdict.
package report

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
)

// Env is what a measurement runs with.
type Env struct {
	Seed     uint64
	Progress io.Writer // for people; one line an event
	Binary   string    // the egretroad program
	// Deployment restricts the measurement to one deployment; empty: all that it covers.
	Deployment string
	// Size is a measurement's own size, such as a number of proxies; 0: its default.
	Size int
}

// Logf writes a line of progress.
func (e *Env) Logf(format string, args ...any) {
	_, _ = fmt.Fprintf(e.Progress, format+"\n", args...) // progress is for people
}

// Func runs a measurement. It returns an error only when it could not be made.
type Func func(ctx context.Context, env *Env) (*Report, error)

// Bound is a limit on one figure.
type Bound struct {
	Op    string  `json:"op"` // "<=", ">=" or "=="
	Limit float64 `json:"limit"`
}

// Report is the result of one measurement.
type Report struct {
	Name    string             `json:"name"`
	Seed    uint64             `json:"seed"`
	Figures map[string]float64 `json:"figures"`
	Bounds  map[string]Bound   `json:"bounds"` // by figure
	OK      bool               `json:"ok"`
}

// New returns an empty report.
func New(name string, seed uint64) *Report {
	return &Report{Name: name, Seed: seed, Figures: map[string]float64{}, Bounds: map[string]Bound{}}
}

// Set records a figure without a bound.
func (r *Report) Set(figure string, value float64) { r.Figures[figure] = value }

// AtMost records a figure that must not exceed limit.
func (r *Report) AtMost(figure string, value, limit float64) { r.bound(figure, value, "<=", limit) }

// AtLeast records a figure that must not fall below limit.
func (r *Report) AtLeast(figure string, value, limit float64) { r.bound(figure, value, ">=", limit) }

// Exactly records a figure that must equal limit.
func (r *Report) Exactly(figure string, value, limit float64) { r.bound(figure, value, "==", limit) }

func (r *Report) bound(figure string, value float64, op string, limit float64) {
	r.Figures[figure] = value
	r.Bounds[figure] = Bound{Op: op, Limit: limit}
}

// Violations lists the figures outside their bounds, and bounds without a figure.
func (r *Report) Violations() []string {
	var bad []string
	for name, b := range r.Bounds {
		value, measured := r.Figures[name]
		if !measured || !b.holds(value) {
			bad = append(bad, fmt.Sprintf("%s is %g, want %s %g", name, value, b.Op, b.Limit))
		}
	}
	return bad
}

// holds is false for a value that is not a number.
func (b Bound) holds(value float64) bool {
	switch b.Op {
	case "<=":
		return value <= b.Limit
	case ">=":
		return value >= b.Limit
	default:
		return value == b.Limit
	}
}

// Write sets the verdict and writes the report as one line of JSON.
func (r *Report) Write(w io.Writer) error {
	r.OK = len(r.Bounds) > 0 && len(r.Violations()) == 0
	return json.NewEncoder(w).Encode(r)
}
