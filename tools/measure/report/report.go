// Package report defines what all measurements share: their function type, their
// parameters (Env) and their result (Report), which holds named figures, the
// bounds that the figures are checked against and whether all bounds hold.
package report

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
)

// Env holds the parameters of a measurement run.
type Env struct {
	Seed     uint64
	Progress io.Writer // text for people, one line per event
	Binary   string    // path of the compiled egretroad program
	// Deployment restricts the measurement to one deployment; empty selects all that it covers.
	Deployment string
	// Size scales the measurement, for example its number of proxies or runs; 0 selects its default.
	Size int
}

// Logf writes one line of progress. It ignores write errors.
func (e *Env) Logf(format string, args ...any) {
	_, _ = fmt.Fprintf(e.Progress, format+"\n", args...) // progress output is best effort
}

// Func runs a measurement. It returns an error only if the measurement failed to
// run; a figure outside its bound is not an error.
type Func func(ctx context.Context, env *Env) (*Report, error)

// Bound limits one figure.
type Bound struct {
	Op    string  `json:"op"` // "<=", ">=" or "=="
	Limit float64 `json:"limit"`
}

// Report is the result of one measurement.
type Report struct {
	Name    string             `json:"name"`
	Seed    uint64             `json:"seed"`
	Figures map[string]float64 `json:"figures"`
	Bounds  map[string]Bound   `json:"bounds"` // by figure name
	OK      bool               `json:"ok"`
}

// New returns a report without figures.
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

// Violations describes each figure outside its bound and each bound without a
// figure, in no particular order.
func (r *Report) Violations() []string {
	var violations []string
	for name, b := range r.Bounds {
		value, measured := r.Figures[name]
		if !measured || !b.holds(value) {
			violations = append(violations, fmt.Sprintf("%s is %g, want %s %g", name, value, b.Op, b.Limit))
		}
	}
	return violations
}

// holds reports whether value satisfies the bound. NaN satisfies no bound.
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

// Write sets OK and writes the report as one line of JSON. A report without any
// bound is not OK.
func (r *Report) Write(w io.Writer) error {
	r.OK = len(r.Bounds) > 0 && len(r.Violations()) == 0
	return json.NewEncoder(w).Encode(r)
}
