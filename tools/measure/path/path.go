// Package path measures the overhead of the proxies: latency, throughput and processor
// time of a statement through one and through two proxies, compared with a direct
// connection to the stand-in server in the same run, and memory per idle caller.
package path

import (
	"context"
	"fmt"
	"time"

	"egretroad/internal/standin/deployment"
	"egretroad/tools/measure/fleet"
	"egretroad/tools/measure/report"
)

// Sizes of the measurement.
const (
	proxies        = 9
	coresPerVM     = 2 // size of a small entry VM
	phaseDuration  = 3 * time.Second
	directCallers  = 8 // the stand-in's connection limit, shared with the proxies, allows no more
	idleCallers    = 2000
	probeReads     = 20
	database       = "orders1"
	readKind       = "stock"
	readStatement  = "SELECT value FROM kv WHERE key = $1"
	setupStatement = "INSERT INTO kv (key, value) VALUES ('path', 'x')"
)

// Bounds from the stated target.
const (
	maxAddedP50Millis   = 0.3
	maxCPUMicros        = 100
	maxIdleCallerKBytes = 16
)

// callerCounts are the numbers of concurrent callers.
var callerCounts = []int{1, 16, 256}

// Run measures the default deployment.
func Run(ctx context.Context, env *report.Env) (*report.Report, error) {
	o := deployment.DefaultOptions()
	o.Proxies, o.Seed, o.Scale = proxies, env.Seed, 0
	f, err := fleet.Start(ctx, fleet.Options{Binary: env.Binary, Deployment: o, Cores: coresPerVM})
	if err != nil {
		return nil, err
	}
	defer f.Stop()
	m := &measurement{env: env, fleet: f, report: report.New("path", env.Seed)}
	return m.report, m.run(ctx)
}

// measurement is the measurement in progress.
type measurement struct {
	env    *report.Env
	fleet  *fleet.Fleet
	report *report.Report
}

func (m *measurement) run(ctx context.Context) error {
	if err := insertTestRow(ctx, m.fleet.Proxies[0].DSN(database, "")); err != nil {
		return err
	}
	oneProxy, twoProxies, err := m.pickProxies(ctx)
	if err != nil {
		return err
	}
	idle, err := m.measureIdleCPU(ctx)
	if err != nil {
		return err
	}
	directP50, err := m.measureDirect(ctx)
	if err != nil {
		return err
	}
	for _, n := range callerCounts {
		if err := m.measureThrough(ctx, "one_proxy", oneProxy, n, idle); err != nil {
			return err
		}
		if err := m.measureThrough(ctx, "two_proxies", twoProxies, n, idle); err != nil {
			return err
		}
	}
	m.report.AtMost("two_proxies_1_added_p50_ms", m.report.Figures["two_proxies_1_p50_ms"]-directP50, maxAddedP50Millis)
	m.report.AtMost("two_proxies_16_cpu_us", m.report.Figures["two_proxies_16_cpu_us"], maxCPUMicros)
	return m.measureIdleMemory(ctx, twoProxies)
}

// pickProxies returns a proxy that is the home of the server from which it reads, and
// one that reads through the proxy that is the home.
func (m *measurement) pickProxies(ctx context.Context) (oneProxy, twoProxies *fleet.Proxy, err error) {
	for _, p := range m.fleet.Proxies {
		before, err := lanesOpened(ctx, p)
		if err != nil {
			return nil, nil, err
		}
		if err := readTimes(ctx, p.DSN(database, readKind), probeReads); err != nil {
			return nil, nil, err
		}
		after, err := lanesOpened(ctx, p)
		if err != nil {
			return nil, nil, err
		}
		// The first read may request the log position from the primary's home with a call,
		// which opens no lane.
		if after == before {
			oneProxy = p
		} else if after-before >= probeReads {
			twoProxies = p
		}
	}
	if oneProxy == nil || twoProxies == nil {
		return nil, nil, &NoPathError{OneProxy: oneProxy != nil, TwoProxies: twoProxies != nil}
	}
	return oneProxy, twoProxies, nil
}

// NoPathError reports that no proxy was found that reads through one proxy only, or
// through two. The fields state which were found.
type NoPathError struct{ OneProxy, TwoProxies bool }

func (e *NoPathError) Error() string {
	return fmt.Sprintf("no proxy reads through one proxy (found: %v) or through two (found: %v)", e.OneProxy, e.TwoProxies)
}

// measureDirect measures direct connections to the stand-in server and returns the p50
// latency of a single caller in milliseconds.
func (m *measurement) measureDirect(ctx context.Context) (float64, error) {
	server := m.fleet.Groups[database].Primary()
	dsn := fleet.DSN(server.Addr(), database, "")
	var singleCallerP50 float64
	for _, n := range []int{1, directCallers} {
		l, err := runLoad(ctx, dsn, n, phaseDuration)
		if err != nil {
			return 0, err
		}
		m.record(fmt.Sprintf("direct_%d", n), l)
		if n == 1 {
			singleCallerP50 = l.latencyMillis(50)
		}
	}
	return singleCallerP50, nil
}

// measureThrough measures n callers that connect to p. It subtracts the processor time
// that all proxies use when idle.
func (m *measurement) measureThrough(ctx context.Context, name string, p *fleet.Proxy, n int, idlePerSecond time.Duration) error {
	name = fmt.Sprintf("%s_%d", name, n)
	before, err := m.totalCPU()
	if err != nil {
		return err
	}
	start := time.Now()
	l, err := runLoad(ctx, p.DSN(database, readKind), n, phaseDuration)
	if err != nil {
		return err
	}
	after, err := m.totalCPU()
	if err != nil {
		return err
	}
	m.record(name, l)
	idle := time.Duration(float64(idlePerSecond) * time.Since(start).Seconds())
	m.report.Set(name+"_cpu_us", float64((after-before-idle).Microseconds())/float64(max(l.count(), 1)))
	m.report.Exactly(name+"_errors", float64(l.errors), 0)
	return nil
}

// record sets the latency and throughput figures of a load.
func (m *measurement) record(name string, l *loadResult) {
	m.report.Set(name+"_p50_ms", l.latencyMillis(50))
	m.report.Set(name+"_p99_ms", l.latencyMillis(99))
	m.report.Set(name+"_per_second", l.perSecond())
	m.env.Logf("%s: p50 %.3f ms, p99 %.3f ms, %.0f/s, %d errors %s", name, l.latencyMillis(50), l.latencyMillis(99), l.perSecond(), l.errors, l.firstError)
}

func (m *measurement) totalCPU() (time.Duration, error) {
	var total time.Duration
	for _, p := range m.fleet.Proxies {
		cpu, err := p.CPU()
		if err != nil {
			return 0, err
		}
		total += cpu
	}
	return total, nil
}

// measureIdleCPU returns the processor time that all proxies together use per second
// without load.
func (m *measurement) measureIdleCPU(ctx context.Context) (time.Duration, error) {
	before, err := m.totalCPU()
	if err != nil {
		return 0, err
	}
	start := time.Now()
	select {
	case <-time.After(phaseDuration):
	case <-ctx.Done():
		return 0, ctx.Err()
	}
	after, err := m.totalCPU()
	if err != nil {
		return 0, err
	}
	perSecond := time.Duration(float64(after-before) / time.Since(start).Seconds())
	m.report.Set("idle_cpu_percent_of_core_per_proxy", 100*perSecond.Seconds()/proxies)
	return perSecond, nil
}

// measureIdleMemory measures the resident memory per idle caller connection.
func (m *measurement) measureIdleMemory(ctx context.Context, p *fleet.Proxy) error {
	before, err := p.ResidentBytes()
	if err != nil {
		return err
	}
	closeAll, err := connectIdle(ctx, p.DSN(database, readKind), idleCallers)
	defer closeAll()
	if err != nil {
		return err
	}
	after, err := p.ResidentBytes()
	if err != nil {
		return err
	}
	perCaller := float64(after-before) / idleCallers / 1024
	m.env.Logf("idle caller: %.1f KB", perCaller)
	m.report.AtMost("idle_caller_kb", perCaller, maxIdleCallerKBytes)
	return nil
}
