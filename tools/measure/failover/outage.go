package failover

import (
	"context"
	"sync"
	"time"

	"egretroad/internal/catalogue"
	"egretroad/internal/platform"
	"egretroad/internal/standin/deployment"
	"egretroad/tools/measure/fleet"
	"egretroad/tools/measure/report"
)

// Bounds of an outage from the stated target. The platform serves about 2000 reads
// and several hundred writes per second for 510 nodes.
const (
	maxPauseSeconds        = 1.0
	maxReturnCallsPerProxy = 4.0 // within the first second after the platform returns
)

// Sizes of the measurement.
const (
	outageTime   = 20 * time.Second
	returnWindow = 1 * time.Second
	leaseKind    = "notes" // kind of writes that either a lease or a replica confirms
)

// outageRun collects the figures of all deployments.
type outageRun struct {
	mu                  sync.Mutex // guards the fields below
	longestPause        float64    // longest pause in writes to any database with any kind, in seconds
	acked               int
	failed              int
	unknown             int
	promotions          int
	returnCallsPerProxy float64 // calls to the platform per proxy; maximum of the deployments
	callsPerSecondDown  float64 // calls of all proxies per second during the outage
}

// RunOutage measures both deployments, or only env.Deployment, during an outage of the
// platform without any other fault.
func RunOutage(ctx context.Context, env *report.Env) (*report.Report, error) {
	names := []string{deployment.BrightSpokes, deployment.CabraRonda}
	if env.Deployment != "" {
		names = []string{env.Deployment}
	}
	o := &outageRun{}
	errs := make(chan error, len(names))
	for _, name := range names {
		go func() { errs <- o.measure(ctx, env, name) }()
	}
	var firstErr error
	for range names {
		if err := <-errs; err != nil && firstErr == nil {
			firstErr = err
		}
	}
	if firstErr != nil {
		return nil, firstErr
	}
	out := report.New("outage", env.Seed)
	out.AtMost("worst_pause_s", o.longestPause, maxPauseSeconds)
	out.Exactly("promotions", float64(o.promotions), 0)
	out.Exactly("writes_failed", float64(o.failed), 0)
	out.Exactly("writes_unknown", float64(o.unknown), 0)
	out.AtMost("calls_per_proxy_in_first_second_after_return", o.returnCallsPerProxy, maxReturnCallsPerProxy)
	out.Set("calls_per_second_while_down", o.callsPerSecondDown)
	out.Set("writes_acknowledged", float64(o.acked))
	return out, nil
}

func (o *outageRun) measure(ctx context.Context, env *report.Env, name string) error {
	d := deployment.DefaultOptions()
	d.Name, d.Proxies, d.Seed = name, proxies, env.Seed
	f, err := fleet.Start(ctx, fleet.Options{Binary: env.Binary, Deployment: d, LogLevel: "error", Log: discardLogs{}})
	if err != nil {
		return err
	}
	defer f.Stop()
	allWriters, err := startAllWriters(ctx, f)
	if err != nil {
		return err
	}
	defer stopWriters(allWriters)
	sleep(ctx, 2*settleTime)
	o.measureOutage(ctx, env, f, allWriters)
	return nil
}

// startAllWriters starts writes to every database with two kinds: the default, which
// a replica must confirm, and leaseKind, for which a lease suffices.
func startAllWriters(ctx context.Context, f *fleet.Fleet) ([]*writers, error) {
	if err := addLeaseKind(f); err != nil {
		return nil, err
	}
	var allWriters []*writers
	for _, database := range f.Databases() {
		for _, kind := range []string{"", leaseKind} {
			w := startWriters(ctx, f.Proxies, database, kind)
			allWriters = append(allWriters, w)
			if err := waitAcks(ctx, w, time.Now(), startupTimeout); err != nil {
				stopWriters(allWriters)
				return nil, err
			}
		}
	}
	return allWriters, nil
}

// addLeaseKind adds a catalogue entry with leaseKind for every database.
func addLeaseKind(f *fleet.Fleet) error {
	for _, database := range f.Databases() {
		e := catalogue.Entry{
			Name: database + "." + leaseKind, Kind: leaseKind, Owner: "office", Database: database,
			Rank: catalogue.RankOrders, Access: catalogue.AccessWrite, Confirm: catalogue.ConfirmAny, Deadline: 5000,
		}
		if _, err := f.Platform.Put(platform.KindCatalogue, e.Name, e); err != nil {
			return err
		}
	}
	return nil
}

func stopWriters(allWriters []*writers) {
	for _, w := range allWriters {
		w.stop()
	}
}

// measureOutage stops the platform for outageTime and counts pauses, failed writes,
// promotions and calls to the platform.
func (o *outageRun) measureOutage(ctx context.Context, env *report.Env, f *fleet.Fleet, allWriters []*writers) {
	terms := map[string]uint64{}
	for _, database := range f.Databases() {
		terms[database] = group(f, database).Term
	}
	for _, w := range allWriters {
		w.reset()
	}
	outageStart := time.Now()
	callsBefore := totalCalls(f)
	f.Platform.Outage(true)
	sleep(ctx, outageTime)
	callsWhileDown := totalCalls(f) - callsBefore
	callsBefore = totalCalls(f)
	f.Platform.Outage(false)
	sleep(ctx, returnWindow)
	callsAfterReturn := totalCalls(f) - callsBefore
	sleep(ctx, settleTime)
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, w := range allWriters {
		acked, failed, unknown := w.totals()
		pause := w.longestGap(outageStart).Seconds()
		env.Logf("%s %s: longest pause %.3f s, failed writes %v", f.Name, w.database, pause, w.failureCounts())
		o.longestPause = max(o.longestPause, pause)
		o.acked += acked
		o.failed += failed
		o.unknown += unknown
	}
	for database, term := range terms {
		if group(f, database).Term != term {
			o.promotions++
		}
	}
	o.returnCallsPerProxy = max(o.returnCallsPerProxy, float64(callsAfterReturn)/float64(len(f.Proxies)))
	o.callsPerSecondDown = max(o.callsPerSecondDown, float64(callsWhileDown)/outageTime.Seconds())
}

// totalCalls returns the number of calls that reached the platform.
func totalCalls(f *fleet.Fleet) int64 {
	var n int64
	for _, count := range f.Platform.Counts() {
		n += count
	}
	return n
}
