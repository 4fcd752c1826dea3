// Package failover measures how long writes to a database are unavailable while its
// primary is replaced, for each cause of failure, and checks that slow but live
// servers are not replaced. It also measures planned handovers and the effect of an
// outage of the platform, which stores the cluster state.
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

// Bounds from the stated target.
const (
	maxMedianGapSeconds = 3.0
	maxWorstGapSeconds  = 6.0
	maxStoreGapSeconds  = 6.0
)

// Sizes of the measurement.
const (
	defaultRuns    = 8 // runs per cause and deployment
	runsPerFleet   = 4 // keeps each database below its hourly promotion limit
	slowRounds     = 3 // rounds of slow faults; each round covers all three databases
	proxies        = 6
	settleTime     = 1 * time.Second  // fault-free load before a fault
	recoveryLimit  = 15 * time.Second // a gap is not observed beyond this length
	stableTime     = 400 * time.Millisecond
	slowTime       = 4 * time.Second
	storeDownTime  = 4 * time.Second
	rejoinLimit    = 10 * time.Second
	startupTimeout = 10 * time.Second
)

// Causes of a primary failure.
const (
	causeDead    = "dead"    // the server and the VM of its home (the proxy that runs its work) stop
	causeRefused = "refused" // the server drops its connections and refuses new ones
	causeSilent  = "silent"  // the server ignores all its connections, replication included
	causeCut     = "cut"     // the server's data centre is partitioned from the others
)

// results collects the measured values of all fleets.
type results struct {
	mu              sync.Mutex // guards the fields below
	gaps            map[string][]float64
	failed          int // writes that failed before their deadline
	interrupted     int // writes in flight at a fault and reported as not run
	unknown         int // writes in flight at a fault and reported with an unknown outcome
	acked           int
	wrongPromotions int // promotions that replaced a slow but live primary
	slowRuns        int
	storeGaps       []float64
	handoverGaps    []float64 // gaps of handovers that an operator requested
	lost            int       // lost writes that were acknowledged after a replica's confirmation
	leaseAcked      int       // acknowledged writes of the kind that a lease confirms
	leaseLost       int       // lost writes among leaseAcked
	reads           int
	failedReads     int
}

func (r *results) addGap(cause string, seconds float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gaps[cause] = append(r.gaps[cause], seconds)
}

func (r *results) addCounts(w *writers) {
	acked, failed, unknown := w.totals()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.acked += acked
	r.failed += failed
	r.unknown += unknown
	r.interrupted += w.interrupted
}

// scenario is the part of the measurement that runs in a fleet of its own.
type scenario struct {
	name        string
	singleFleet bool // uses one fleet regardless of the number of runs
	run         func(ctx context.Context, env *report.Env, f *fleet.Fleet, runs int, r *results) error
}

var scenarios = []scenario{
	{name: "servers", run: measureServerFailures},
	{name: "cuts", run: measureDataCentreCuts},
	{name: "slow", singleFleet: true, run: measureSlowServersAndStoreOutage},
}

// Run measures both deployments, or only env.Deployment, with env.Size runs of each
// cause. All scenarios run concurrently.
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
	var running sync.WaitGroup
	for _, name := range names {
		for _, s := range scenarios {
			running.Add(1)
			go func() {
				defer running.Done()
				if err := runScenario(ctx, env, name, s, runs, r); err != nil {
					mu.Lock()
					defer mu.Unlock()
					errs = append(errs, fmt.Errorf("%s, %s: %w", name, s.name, err))
				}
			}()
		}
	}
	running.Wait()
	if len(errs) > 0 {
		return nil, errs[0]
	}
	return r.report(env, runs*len(names)), nil
}

// runScenario splits the runs of a scenario over several fleets, so that no database
// reaches the hourly limit on promotions.
func runScenario(ctx context.Context, env *report.Env, name string, s scenario, runs int, r *results) error {
	if s.singleFleet {
		return runFleet(ctx, env, name, s, runs, r)
	}
	for remaining := runs; remaining > 0; remaining -= runsPerFleet {
		if err := runFleet(ctx, env, name, s, min(remaining, runsPerFleet), r); err != nil {
			return err
		}
	}
	return nil
}

func runFleet(ctx context.Context, env *report.Env, name string, s scenario, runs int, r *results) error {
	o := deployment.DefaultOptions()
	o.Name, o.Proxies, o.Seed = name, proxies, env.Seed
	f, err := fleet.Start(ctx, fleet.Options{Binary: env.Binary, Deployment: o, LogLevel: "error", Log: discardLogs{}})
	if err != nil {
		return err
	}
	defer f.Stop()
	if err := addLeaseKind(f); err != nil {
		return err
	}
	return s.run(ctx, env, f, runs, r)
}

// discardLogs drops the proxies' logs, which the measurement does not evaluate.
type discardLogs struct{}

func (discardLogs) Write(p []byte) (int, error) { return len(p), nil }

func (r *results) report(env *report.Env, runsPerCause int) *report.Report {
	out := report.New("failover", env.Seed)
	var all []float64
	for _, cause := range []string{causeDead, causeRefused, causeSilent, causeCut} {
		gaps := r.gaps[cause]
		all = append(all, gaps...)
		out.AtLeast("runs_"+cause, float64(len(gaps)), float64(runsPerCause))
		out.AtMost("gap_median_s_"+cause, quantile(gaps, 0.5), maxMedianGapSeconds)
		out.AtMost("gap_worst_s_"+cause, quantile(gaps, 1), maxWorstGapSeconds)
	}
	out.AtMost("gap_median_s", quantile(all, 0.5), maxMedianGapSeconds)
	out.AtMost("gap_worst_s", quantile(all, 1), maxWorstGapSeconds)
	out.Exactly("writes_failed_with_deadline_left", float64(r.failed), 0)
	out.Set("writes_acknowledged", float64(r.acked))
	out.Set("writes_unknown", float64(r.unknown))
	out.Set("writes_under_way_not_run", float64(r.interrupted))
	out.Exactly("writes_lost_confirm_replica", float64(r.lost), 0)
	out.Set("writes_acknowledged_confirm_any", float64(r.leaseAcked))
	out.Set("writes_lost_confirm_any", float64(r.leaseLost))
	out.AtMost("gap_worst_s_planned", quantile(r.handoverGaps, 1), maxMedianGapSeconds)
	out.Exactly("wrong_promotions", float64(r.wrongPromotions), 0)
	out.AtLeast("slow_runs", float64(r.slowRuns), 8)
	out.AtMost("gap_worst_s_after_store_returns", quantile(r.storeGaps, 1), maxStoreGapSeconds)
	out.Set("reads_while_store_and_primary_down", float64(r.reads))
	out.Set("reads_failed_while_store_and_primary_down", float64(r.failedReads))
	return out
}

// quantile returns the q-quantile of values, rounded up. Without values it returns
// recoveryLimit, which violates every upper bound, because NaN would be recorded like a
// measured figure.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return recoveryLimit.Seconds()
	}
	sorted := append([]float64(nil), values...)
	sort.Float64s(sorted)
	i := int(q * float64(len(sorted)))
	return sorted[min(i, len(sorted)-1)]
}
