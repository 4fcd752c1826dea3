// Package outcomes measures the outcomes that proxies report to callers when connections
// to backend servers break at random points of a commit. It checks that no write is
// applied twice and that no acknowledged write is lost.
package outcomes

import (
	"context"
	"sync"
	"time"

	"egretroad/internal/e2e/history"
	"egretroad/internal/e2e/workload"
	"egretroad/internal/standin/deployment"
	"egretroad/tools/measure/fleet"
	"egretroad/tools/measure/report"
)

// Sizes of the measurement.
const (
	proxies        = 9
	duration       = 15 * time.Second
	callers        = 8 // per database
	commitCutShare = 0.2
	callerPause    = 5 * time.Millisecond
	settleTime     = 500 * time.Millisecond
)

// Run measures the default deployment.
func Run(ctx context.Context, env *report.Env) (*report.Report, error) {
	o := deployment.DefaultOptions()
	o.Proxies, o.Seed, o.Record = proxies, env.Seed, true
	f, err := fleet.Start(ctx, fleet.Options{Binary: env.Binary, Deployment: o})
	if err != nil {
		return nil, err
	}
	defer f.Stop()
	workloads := cutCommits(ctx, env, f)
	return buildReport(env, f, workloads), nil
}

// cutCommits runs callers while the stand-in servers break the connections of a share
// of the commits. It returns the workloads by database.
func cutCommits(ctx context.Context, env *report.Env, f *fleet.Fleet) map[string]*workload.Workload {
	var addresses []string
	for _, p := range f.Proxies {
		addresses = append(addresses, p.VM.CallerAddr)
	}
	ctx, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	workloads := map[string]*workload.Workload{}
	var wg sync.WaitGroup
	for i, database := range f.Databases() {
		f.Groups[database].SetCommitCuts(commitCutShare)
		options := workload.DefaultOptions()
		options.Database, options.Callers, options.WriteEvery = database, callers, 2
		options.Pause, options.Seed = callerPause, env.Seed+uint64(i)
		w := workload.New(options, func() []string { return addresses })
		workloads[database] = w
		wg.Go(func() { w.Run(ctx) })
	}
	wg.Wait()
	for _, g := range f.Groups {
		g.SetCommitCuts(0)
	}
	time.Sleep(settleTime) // lets the proxies finish their cleanup before the audit
	return workloads
}

// buildReport compares the outcomes reported to callers with the history of the servers.
func buildReport(env *report.Env, f *fleet.Fleet, workloads map[string]*workload.Workload) *report.Report {
	r := report.New("outcomes", env.Seed)
	byRule := map[history.Rule]int{}
	var transactions, cuts, commits float64
	outcomes := map[history.Outcome]float64{}
	for database, w := range workloads {
		for _, v := range w.Audit(f.Groups[database]) {
			byRule[v.Rule]++
			env.Logf("%s: %.600v", database, v)
		}
		for _, op := range writeTransactions(w.Operations()) {
			transactions++
			outcomes[op.Outcome]++
		}
		for _, s := range f.Groups[database].Servers() {
			cuts += float64(s.Stats().CommitCuts)
			commits += float64(s.Stats().Commits)
		}
	}
	r.Set("transactions", transactions)
	r.Set("acknowledged", outcomes[history.OK])
	r.Set("not_run", outcomes[history.NotRun])
	r.Set("failed", outcomes[history.Failed])
	r.Set("commits_cut", cuts)
	r.Set("commits_applied", commits)
	r.Set("unknown_share_before_settling", cuts/transactions)
	r.Set("unknown_share_after_settling", outcomes[history.Unknown]/transactions)
	r.Exactly("duplicates", float64(byRule[history.RuleAtMostOnce]), 0)
	r.Exactly("lost_acknowledged", float64(byRule[history.RuleNoLostWrite]), 0)
	r.Exactly("ran_though_not_run", float64(byRule[history.RuleNotRun]), 0)
	violations := 0
	for _, n := range byRule {
		violations += n
	}
	r.Exactly("violations", float64(violations), 0)
	env.Logf("transactions %.0f, commits cut %.0f, reported unknown %.0f, violations %d",
		transactions, cuts, outcomes[history.Unknown], violations)
	return r
}

// writeTransactions returns one operation for each write transaction.
func writeTransactions(ops []history.Operation) []history.Operation {
	var all []history.Operation
	for _, op := range ops {
		if op.Kind == history.Write && !workload.SecondRow(op) {
			all = append(all, op)
		}
	}
	return all
}
