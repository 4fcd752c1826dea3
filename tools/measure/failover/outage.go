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

// Bounds of an outage, from the stated target. The platform serves about 2000
// reads and several hundred writes a second to 510 nodes.
const (
	maxPauseSeconds        = 1.0
	maxReturnCallsPerProxy = 4.0 // in the first second after the platform's return
)

// Sizes of the measurement.
const (
	outageTime = 20 * time.Second
	returnTime = 1 * time.Second
	leaseKind  = "notes" // a kind of write that a lease or a replica confirms
)

// outage collects the figures of the deployments.
type outage struct {
	mu          sync.Mutex // guards the fields below
	pause       float64    // longest pause of any database and kind, in seconds
	acked       int
	failed      int
	unknown     int
	promotions  int
	returnCalls float64 // per proxy, the highest of the deployments
	downCalls   float64 // calls of all proxies per second while down
}

// RunOutage measures both deployments, or the one that env names, while the
// platform is down and all else is well.
func RunOutage(ctx context.Context, env *report.Env) (*report.Report, error) {
	names := []string{deployment.BrightSpokes, deployment.CabraRonda}
	if env.Deployment != "" {
		names = []string{env.Deployment}
	}
	o := &outage{}
	errs := make(chan error, len(names))
	for _, name := range names {
		go func() { errs <- o.measure(ctx, env, name) }()
	}
	var first error
	for range names {
		if err := <-errs; err != nil && first == nil {
			first = err
		}
	}
	if first != nil {
		return nil, first
	}
	out := report.New("outage", env.Seed)
	out.AtMost("worst_pause_s", o.pause, maxPauseSeconds)
	out.Exactly("promotions", float64(o.promotions), 0)
	out.Exactly("writes_failed", float64(o.failed), 0)
	out.Exactly("writes_unknown", float64(o.unknown), 0)
	out.AtMost("calls_per_proxy_in_first_second_after_return", o.returnCalls, maxReturnCallsPerProxy)
	out.Set("calls_per_second_while_down", o.downCalls)
	out.Set("writes_acknowledged", float64(o.acked))
	return out, nil
}

func (o *outage) measure(ctx context.Context, env *report.Env, name string) error {
	d := deployment.DefaultOptions()
	d.Name, d.Proxies, d.Seed = name, proxies, env.Seed
	f, err := fleet.Start(ctx, fleet.Options{Binary: env.Binary, Deployment: d, LogLevel: "error", Log: logFilter{}})
	if err != nil {
		return err
	}
	defer f.Stop()
	all, err := startAllWriters(ctx, f)
	if err != nil {
		return err
	}
	defer stopAll(all)
	sleep(ctx, 2*settleTime)
	o.takeDown(ctx, env, f, all)
	return nil
}

// startAllWriters writes to every database with a kind that needs a replica's
// confirmation and with one that a lease suffices for.
func startAllWriters(ctx context.Context, f *fleet.Fleet) ([]*writers, error) {
	if err := addLeaseKind(f); err != nil {
		return nil, err
	}
	var all []*writers
	for _, database := range f.Databases() {
		for _, kind := range []string{"", leaseKind} {
			w := startWriters(ctx, f.Proxies, database, kind)
			all = append(all, w)
			if err := waitAcks(ctx, w, time.Now(), startupTimeout); err != nil {
				stopAll(all)
				return nil, err
			}
		}
	}
	return all, nil
}

// addLeaseKind adds a kind of write to every database that a lease confirms.
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

func stopAll(all []*writers) {
	for _, w := range all {
		w.stop()
	}
}

// takeDown stops the platform for outageTime and counts what happens.
func (o *outage) takeDown(ctx context.Context, env *report.Env, f *fleet.Fleet, all []*writers) {
	terms := map[string]uint64{}
	for _, database := range f.Databases() {
		terms[database] = group(f, database).Term
	}
	for _, w := range all {
		w.reset()
	}
	from := time.Now()
	calls := totalCalls(f)
	f.Platform.Outage(true)
	sleep(ctx, outageTime)
	down := totalCalls(f) - calls
	calls = totalCalls(f)
	f.Platform.Outage(false)
	sleep(ctx, returnTime)
	returned := totalCalls(f) - calls
	sleep(ctx, settleTime)
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, w := range all {
		acked, failed, unknown := w.totals()
		pause := w.longestGap(from).Seconds()
		env.Logf("%s %s: longest pause %.3f s, failed writes %v", f.Name, w.database, pause, w.failures())
		o.pause = max(o.pause, pause)
		o.acked += acked
		o.failed += failed
		o.unknown += unknown
	}
	for database, term := range terms {
		if group(f, database).Term != term {
			o.promotions++
		}
	}
	o.returnCalls = max(o.returnCalls, float64(returned)/float64(len(f.Proxies)))
	o.downCalls = max(o.downCalls, float64(down)/outageTime.Seconds())
}

// totalCalls counts the calls that reached the platform.
func totalCalls(f *fleet.Fleet) int64 {
	var n int64
	for _, count := range f.Platform.Counts() {
		n += count
	}
	return n
}
