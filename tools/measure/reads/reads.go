// Package reads measures the share of reads that replicas serve under replication lag,
// while sessions write and move between proxies. It checks that every session reads its
// own writes.
package reads

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"egretroad/internal/e2e/history"
	"egretroad/internal/e2e/workload"
	"egretroad/internal/standin/deployment"
	"egretroad/internal/standin/pgserver"
	"egretroad/tools/measure/fleet"
	"egretroad/tools/measure/report"
)

// Sizes of the measurement.
const (
	proxies        = 9
	phaseDuration  = 8 * time.Second
	callers        = 8  // per database
	roamEvery      = 5  // operations after which a caller changes its proxy
	writeEvery     = 10 // one of this many operations is a write, on average
	callerPause    = 20 * time.Millisecond
	minLag         = 20 * time.Millisecond
	maxLag         = 200 * time.Millisecond
	lagChangeEvery = 500 * time.Millisecond
	farBehindLag   = 10 * time.Second
)

// Bounds from the stated target.
const (
	minReplicaShare          = 0.95
	minReplicaShareOneBehind = 0.90
)

// workKinds names the kinds of work of a deployment's reads and writes.
type workKinds struct{ read, write string }

var workKindsByDeployment = map[string]workKinds{
	deployment.BrightSpokes: {"stock", "orders"},
	deployment.CabraRonda:   {"routes", "tallies"},
}

// Run measures both deployments, or only env.Deployment, one after the other.
func Run(ctx context.Context, env *report.Env) (*report.Report, error) {
	r := report.New("reads", env.Seed)
	for _, name := range []string{deployment.BrightSpokes, deployment.CabraRonda} {
		if env.Deployment != "" && env.Deployment != name {
			continue
		}
		m := &measurement{env: env, report: r, name: name}
		if err := m.run(ctx); err != nil {
			return nil, err
		}
	}
	return r, nil
}

// measurement is the measurement of one deployment.
type measurement struct {
	env    *report.Env
	report *report.Report
	name   string
	fleet  *fleet.Fleet
}

func (m *measurement) run(ctx context.Context) error {
	o := deployment.DefaultOptions()
	o.Name, o.Proxies, o.Seed, o.Record = m.name, proxies, m.env.Seed, true
	f, err := fleet.Start(ctx, fleet.Options{Binary: m.env.Binary, Deployment: o})
	if err != nil {
		return err
	}
	defer f.Stop()
	m.fleet = f
	lagging, err := m.runPhase(ctx, "lagging-", false)
	if err != nil {
		return err
	}
	m.report.AtLeast(m.name+".replica_share", lagging.replicaShare(), minReplicaShare)
	m.report.Set(m.name+".position_queries_per_read", lagging.queriesPerRead())
	m.report.Set(m.name+".read_p50_ms", lagging.latencyMillis(50))
	m.report.Set(m.name+".read_p99_ms", lagging.latencyMillis(99))
	behind, err := m.runPhase(ctx, "one-behind-", true)
	if err != nil {
		return err
	}
	m.report.AtLeast(m.name+".replica_share_one_behind", behind.replicaShare(), minReplicaShareOneBehind)
	m.report.Exactly(m.name+".violations", float64(lagging.violations+behind.violations), 0)
	m.report.Set(m.name+".reads", float64(lagging.reads()+behind.reads()))
	m.report.Set(m.name+".not_answered", float64(lagging.notAnswered+behind.notAnswered))
	return nil
}

// phaseResult holds the counts of one phase.
type phaseResult struct {
	primaryReads, replicaReads int64
	positionQueries            int64
	violations                 int
	notAnswered                int64
	latency                    *hdrhistogram.Histogram // of answered reads, in microseconds
}

// Maximum of the latency histogram in microseconds, and its significant digits.
const (
	maxLatencyMicros = 60_000_000
	latencyDigits    = 3
)

func (p phaseResult) latencyMillis(percentile float64) float64 {
	return float64(p.latency.ValueAtPercentile(percentile)) / 1000
}

// recordLatencies records the latencies of answered reads.
func (p phaseResult) recordLatencies(ops []history.Operation) {
	for _, op := range ops {
		if op.Kind == history.Read && op.Outcome == history.OK {
			_ = p.latency.RecordValue(min((op.Return - op.Call).Microseconds(), maxLatencyMicros))
		}
	}
}

func (p phaseResult) reads() int64 { return p.primaryReads + p.replicaReads }

func (p phaseResult) replicaShare() float64 { return float64(p.replicaReads) / float64(p.reads()) }

func (p phaseResult) queriesPerRead() float64 { return float64(p.positionQueries) / float64(p.reads()) }

// runPhase runs the callers of all databases while the replication lags change. With
// oneBehind, one replica of each database lags by farBehindLag throughout.
func (m *measurement) runPhase(ctx context.Context, name string, oneBehind bool) (phaseResult, error) {
	queriesBefore, err := m.positionQueries(ctx)
	if err != nil {
		return phaseResult{}, err
	}
	before := m.serverReads()
	runCtx, cancel := context.WithTimeout(ctx, phaseDuration)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { m.varyLags(runCtx, oneBehind) })
	workloads := m.startCallers(runCtx, &wg, name)
	wg.Wait()
	after := m.serverReads()
	result := phaseResult{
		primaryReads: after.primaryReads - before.primaryReads,
		replicaReads: after.replicaReads - before.replicaReads,
		latency:      hdrhistogram.New(1, maxLatencyMicros, latencyDigits),
	}
	queriesAfter, err := m.positionQueries(ctx)
	if err != nil {
		return phaseResult{}, err
	}
	result.positionQueries = queriesAfter - queriesBefore
	for database, w := range workloads {
		for _, v := range w.Audit(m.fleet.Groups[database]) {
			result.violations++
			m.env.Logf("%s %s: %.600v", m.name, name, v)
		}
		result.recordLatencies(w.Operations())
		c := w.Counts()
		result.notAnswered += c.NotRun.Load() + c.Failed.Load() + c.Unknown.Load()
	}
	m.env.Logf("%s %s: reads %d, on replicas %.4f, position queries per read %.4f, p50 %.1f ms, p99 %.1f ms, not answered %d, violations %d",
		m.name, name, result.reads(), result.replicaShare(), result.queriesPerRead(),
		result.latencyMillis(50), result.latencyMillis(99), result.notAnswered, result.violations)
	return result, nil
}

// startCallers starts a workload on each database and returns the workloads by database.
func (m *measurement) startCallers(ctx context.Context, wg *sync.WaitGroup, name string) map[string]*workload.Workload {
	var addresses []string
	for _, p := range m.fleet.Proxies {
		addresses = append(addresses, p.VM.CallerAddr)
	}
	workloads := map[string]*workload.Workload{}
	for i, database := range m.fleet.Databases() {
		o := workload.DefaultOptions()
		o.Name = name
		o.Database, o.ReadKind, o.WriteKind = database, workKindsByDeployment[m.name].read, workKindsByDeployment[m.name].write
		o.Callers, o.RoamEvery, o.WriteEvery = callers, roamEvery, writeEvery
		o.ListEvery, o.SharedEvery = 0, 0
		o.Pause, o.Seed = callerPause, m.env.Seed+uint64(i)
		w := workload.New(o, func() []string { return addresses })
		workloads[database] = w
		wg.Go(func() { w.Run(ctx) })
	}
	return workloads
}

// varyLags sets a random lag for every server at each lagChangeEvery until ctx ends.
func (m *measurement) varyLags(ctx context.Context, oneBehind bool) {
	rng := rand.New(rand.NewPCG(m.env.Seed, 7))
	ticker := time.NewTicker(lagChangeEvery)
	defer ticker.Stop()
	for {
		for _, database := range m.fleet.Databases() {
			setLags(m.fleet.Groups[database], rng, oneBehind)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func setLags(g *pgserver.Group, rng *rand.Rand, oneBehind bool) {
	for i, s := range g.Servers() {
		lag := minLag + time.Duration(rng.Int64N(int64(maxLag-minLag)))
		if oneBehind && i == len(g.Servers())-1 {
			lag = farBehindLag
		}
		s.SetLag(lag)
	}
}

// serverReads returns the number of reads that primaries and replicas have executed.
func (m *measurement) serverReads() phaseResult {
	var r phaseResult
	for _, database := range m.fleet.Databases() {
		for _, s := range m.fleet.Groups[database].Servers() {
			stats := s.Stats()
			r.primaryReads += stats.PrimaryReads
			r.replicaReads += stats.ReplicaReads
		}
	}
	return r
}

// debugVars is the part of a proxy's /debug/vars that the measurement reads.
type debugVars struct {
	Gateway struct {
		PositionQueries int64 `json:"position_queries"`
	} `json:"gateway"`
}

// positionQueries returns the number of queries for a log position by all proxies.
func (m *measurement) positionQueries(ctx context.Context) (int64, error) {
	var total int64
	for _, p := range m.fleet.Proxies {
		var vars debugVars
		if err := p.JSON(ctx, "/debug/vars", &vars); err != nil {
			return 0, err
		}
		total += vars.Gateway.PositionQueries
	}
	return total, nil
}
