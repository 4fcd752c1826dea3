// Package failover measures the gap in writes while a primary is replaced, by
// cause, and that servers which are slow but alive are not replaced.
package failover

import (
	"context"
	"fmt"
	"sort"
	"sync"
	"time"

	"egretroad/internal/standin/deployment"
	"egretroad/tools/measure/fleet"
	"egretroad/tools/measure/report"
)

// Bounds, from the stated target.
const (
	maxMedianGapSeconds = 3.0
	maxWorstGapSeconds  = 6.0
	maxStoreGapSeconds  = 6.0
)

// Sizes of the measurement.
const (
	defaultRuns    = 8 // runs of each cause on each deployment
	runsPerFleet   = 4 // below the bound on promotions per database and hour
	slowRounds     = 3 // rounds of slow faults, each on all three databases
	proxies        = 6
	settleTime     = 1 * time.Second  // of undisturbed writes before a fault
	recoveryLimit  = 15 * time.Second // longest gap that is waited for
	recoveredTime  = 400 * time.Millisecond
	slowTime       = 4 * time.Second
	storeDownTime  = 4 * time.Second
	rejoinLimit    = 10 * time.Second
	startupTimeout = 10 * time.Second
)

// causes of a lost primary.
const (
	causeDead    = "dead"    // the server and its home's VM die
	causeRefused = "refused" // the server refuses and drops all connections
	causeSilent  = "silent"  // no connection of the server is answered
	causeCut     = "cut"     // the server's data centre is cut off
)

// results collects what the fleets measure.
type results struct {
	mu       sync.Mutex // guards the fields below
	gaps     map[string][]float64
	failed   int // writes that failed with deadline left
	unknown  int // writes in flight at a fault, with an unknown outcome
	acked    int
	wrong    int // promotions of servers that are slow but alive
	slowRuns int
	storeGap []float64
	planned  []float64 // gaps of handovers on an operator's mark
	lost     int       // acknowledged writes lost that a replica had confirmed
	leased   int       // writes acknowledged of the kind that a lease confirms
	lostOnes int       // those of them that were lost
	reads    int
	readErrs int
}

func (r *results) gap(cause string, seconds float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gaps[cause] = append(r.gaps[cause], seconds)
}

func (r *results) count(w *writers) {
	acked, failed, unknown := w.totals()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.acked += acked
	r.failed += failed
	r.unknown += unknown
}

// part is one fleet's share of the measurement.
type part struct {
	name string
	once bool // one fleet only, whatever the number of runs
	run  func(ctx context.Context, env *report.Env, f *fleet.Fleet, runs int, r *results) error
}

var parts = []part{
	{name: "servers", run: measureServers},
	{name: "cuts", run: measureCuts},
	{name: "slow", once: true, run: measureSlowThenStore},
}

// Run measures both deployments, or the one that env names, with env.Size runs
// of each cause.
func Run(ctx context.Context, env *report.Env) (*report.Report, error) {
	names := []string{deployment.BrightSpokes, deployment.CabraRonda}
	if env.Deployment != "" {
		names = []string{env.Deployment}
	}
	runs := env.Size
	if runs == 0 {
		runs = defaultRuns
	}
	r := &results{gaps: map[string][]float64{}}
	var errs []error
	var mu sync.Mutex
	var all sync.WaitGroup
	for _, name := range names {
		for _, p := range parts {
			all.Add(1)
			go func() {
				defer all.Done()
				if err := runPart(ctx, env, name, p, runs, r); err != nil {
					mu.Lock()
					defer mu.Unlock()
					errs = append(errs, fmt.Errorf("%s, %s: %w", name, p.name, err))
				}
			}()
		}
	}
	all.Wait()
	if len(errs) > 0 {
		return nil, errs[0]
	}
	return r.report(env, runs*len(names)), nil
}

// runPart runs a part in fleets of their own, so that no database reaches the
// bound on promotions per hour.
func runPart(ctx context.Context, env *report.Env, name string, p part, runs int, r *results) error {
	if p.once {
		return runFleet(ctx, env, name, p, runs, r)
	}
	for left := runs; left > 0; left -= runsPerFleet {
		if err := runFleet(ctx, env, name, p, min(left, runsPerFleet), r); err != nil {
			return err
		}
	}
	return nil
}

func runFleet(ctx context.Context, env *report.Env, name string, p part, runs int, r *results) error {
	o := deployment.DefaultOptions()
	o.Name, o.Proxies, o.Seed = name, proxies, env.Seed
	f, err := fleet.Start(ctx, fleet.Options{Binary: env.Binary, Deployment: o, LogLevel: "error", Log: logFilter{}})
	if err != nil {
		return err
	}
	defer f.Stop()
	if err := addLeaseKind(f); err != nil {
		return err
	}
	return p.run(ctx, env, f, runs, r)
}

// logFilter drops the proxies' logs; the figures tell what happened.
type logFilter struct{}

func (logFilter) Write(p []byte) (int, error) { return len(p), nil }

func (r *results) report(env *report.Env, runsPerCause int) *report.Report {
	out := report.New("failover", env.Seed)
	var all []float64
	for _, cause := range []string{causeDead, causeRefused, causeSilent, causeCut} {
		gaps := r.gaps[cause]
		all = append(all, gaps...)
		out.AtLeast("runs_"+cause, float64(len(gaps)), float64(runsPerCause))
		out.AtMost("gap_median_s_"+cause, percentile(gaps, 0.5), maxMedianGapSeconds)
		out.AtMost("gap_worst_s_"+cause, percentile(gaps, 1), maxWorstGapSeconds)
	}
	out.AtMost("gap_median_s", percentile(all, 0.5), maxMedianGapSeconds)
	out.AtMost("gap_worst_s", percentile(all, 1), maxWorstGapSeconds)
	out.Exactly("writes_failed_with_deadline_left", float64(r.failed), 0)
	out.Set("writes_acknowledged", float64(r.acked))
	out.Set("writes_unknown", float64(r.unknown))
	out.Exactly("writes_lost_confirm_replica", float64(r.lost), 0)
	out.Set("writes_acknowledged_confirm_any", float64(r.leased))
	out.Set("writes_lost_confirm_any", float64(r.lostOnes))
	out.AtMost("gap_worst_s_planned", percentile(r.planned, 1), maxMedianGapSeconds)
	out.Exactly("wrong_promotions", float64(r.wrong), 0)
	out.AtLeast("slow_runs", float64(r.slowRuns), 8)
	out.AtMost("gap_worst_s_after_store_returns", percentile(r.storeGap, 1), maxStoreGapSeconds)
	out.Set("reads_while_store_and_primary_down", float64(r.reads))
	out.Set("reads_failed_while_store_and_primary_down", float64(r.readErrs))
	return out
}

// percentile returns the share-quantile of values, rounded up; NaN without values
// would pass for a figure, so it returns a value beyond every bound.
func percentile(values []float64, share float64) float64 {
	if len(values) == 0 {
		return recoveryLimit.Seconds()
	}
	sorted := append([]float64(nil), values...)
	sort.Float64s(sorted)
	i := int(share * float64(len(sorted)))
	return sorted[min(i, len(sorted)-1)]
}
