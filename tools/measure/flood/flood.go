// Package flood measures how a flood of one kind of work affects the other kinds at
// the home of a backend server, the proxy that admits and runs the server's work. It
// compares the project's admission control with baselines in the same run. RunFaults
// measures a flood of real proxies together with faults.
//
// The load of Run is open-loop: arrivals are a seeded Poisson process and do not wait
// for responses; latency is measured from the arrival. The load goes to home.Manager
// in this process, which has real connections to the stand-in servers.
package flood

import (
	"cmp"
	"context"
	"fmt"
	"math"
	"slices"
	"sync"
	"time"

	"egretroad/internal/admission"
	"egretroad/tools/measure/report"
)

// variant is a combination of queue order and load-shedding policy.
type variant struct {
	name   string
	order  admission.Order
	policy admission.Policy
	sweep  bool // measure all loads, not only the quiet one and the highest flood of reports
}

const (
	variantFloors = "floors" // the project's own
	variantFCFS   = "fcfs"
	variantRank   = "rank"
)

var variants = []variant{
	{name: variantFloors, order: admission.OrderFloorsThenRank, policy: admission.PolicyDeadline, sweep: true},
	{name: variantFCFS, order: admission.OrderArrival, policy: admission.PolicyQueueLength, sweep: true},
	{name: variantRank, order: admission.OrderRankOnly, policy: admission.PolicyDeadline, sweep: true},
	{name: "floors-fixed", order: admission.OrderFloorsThenRank, policy: admission.PolicyQueueLength},
	{name: "floors-codel", order: admission.OrderFloorsThenRank, policy: admission.PolicyCoDel},
}

// Durations of runs, without the warm-up.
const (
	longRun  = 5 * time.Second
	shortRun = 1500 * time.Millisecond
)

// staggerSteps is the offset between the first runs of consecutive series.
const staggerSteps = 2

// floodMultiples are the offered loads of the flooding kind, in multiples of the
// capacity.
var floodMultiples = []float64{1, 2, 5, 10}

const maxMultiple = 10

// Offered loads without a flood, as shares of the capacity.
const (
	quietOrders  = 0.15
	quietReads   = 0.15
	quietReports = 0.20
	// During a flood of orders the other kinds offer more than their floors, the shares
	// of the slots that the admission guarantees them.
	busyReads   = 0.30
	busyReports = 0.20
	// Each owner (team) that does not flood offers more than its fair share.
	busyOwner = 0.40
)

// loadPoint is the result of a run at one offered load.
type loadPoint struct {
	load   float64 // total offered load, in multiples of the capacity
	result *runResult
}

// series holds the results of one variant on one deployment.
type series struct {
	deployment      deploymentSize
	variant         variant
	quiet           *runResult
	reportFloods    []loadPoint // runs with a flood of reports, by load
	orderFloods     []loadPoint // runs with a flood of orders, by load
	ownerFlood      *runResult
	notRunButStored int
	maxConns        int64
	maxRunning      int64
	refusedConns    int64
	overSlot        int64
}

// Run measures all variants on both deployments, or only on env.Deployment, and plots
// the results.
func Run(ctx context.Context, env *report.Env) (*report.Report, error) {
	all, err := measureAll(ctx, env)
	if err != nil {
		return nil, err
	}
	r := report.New("flood", env.Seed)
	for _, s := range all {
		s.report(r)
	}
	return r, plotAll(all, env)
}

// measureAll runs all variants of all deployments concurrently, each with servers of
// its own.
func measureAll(ctx context.Context, env *report.Env) ([]*series, error) {
	var all []*series
	for _, d := range deployments {
		if env.Deployment != "" && env.Deployment != d.name {
			continue
		}
		for _, v := range variants {
			all = append(all, &series{deployment: d, variant: v})
		}
	}
	errs := make([]error, len(all))
	var done sync.WaitGroup
	for i, s := range all {
		done.Add(1)
		go func() {
			defer done.Done()
			errs[i] = s.measure(ctx, env, uint64(i))
		}()
	}
	done.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return all, nil
}

func (s *series) measure(ctx context.Context, env *report.Env, index uint64) error {
	const seedStep = 1_000_000
	r := &runner{seed: env.Seed + index*seedStep, notRun: map[int]bool{}}
	options := admission.DefaultOptions()
	options.Order, options.Policy = s.variant.order, s.variant.policy
	for n := range s.deployment.databases {
		t, err := newTarget(s.deployment, n, r.seed, options)
		if err != nil {
			return err
		}
		defer t.close()
		r.targets = append(r.targets, t)
	}
	steps := s.steps(r, env)
	// Each series starts with another step, so that not all offer their highest load at
	// the same time.
	for i := range steps {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		steps[(i+int(index)*staggerSteps)%len(steps)]()
	}
	byLoad := func(a, b loadPoint) int { return cmp.Compare(a.load, b.load) }
	slices.SortFunc(s.reportFloods, byLoad)
	slices.SortFunc(s.orderFloods, byLoad)
	s.collectServerStats(r)
	return nil
}

// steps returns the runs of the series: the quiet load, the floods of reports and, for a
// variant with sweep, the floods of orders and the flood of one owner.
func (s *series) steps(r *runner, env *report.Env) []func() {
	logf := func(what string) {
		env.Logf("event=run deployment=%s variant=%s load=%s", s.deployment.name, s.variant.name, what)
	}
	steps := []func(){func() {
		logf("quiet")
		s.quiet = r.run(s.kindOffers(quietOrders, quietReads, quietReports), longRun)
	}}
	for _, m := range floodMultiples {
		if !s.variant.sweep && m != maxMultiple {
			continue
		}
		steps = append(steps, func() {
			logf(fmt.Sprintf("reports*%g", m))
			s.reportFloods = append(s.reportFloods, loadPoint{
				load: quietOrders + quietReads + m, result: r.run(s.kindOffers(quietOrders, quietReads, m), runLength(m)),
			})
		})
	}
	if !s.variant.sweep {
		return steps
	}
	for _, m := range floodMultiples {
		steps = append(steps, func() {
			logf(fmt.Sprintf("orders*%g", m))
			s.orderFloods = append(s.orderFloods, loadPoint{
				load: m + busyReads + busyReports, result: r.run(s.kindOffers(m, busyReads, busyReports), runLength(m)),
			})
		})
	}
	return append(steps, func() {
		logf("owner*10")
		s.ownerFlood = r.run(s.ownerOffers(), longRun)
	})
}

func runLength(multiple float64) time.Duration {
	if multiple == maxMultiple {
		return longRun
	}
	return shortRun
}

// arrivalRate returns the requests per second and server that occupy a share of the
// server's slots.
func (s *series) arrivalRate(f flow, share float64) float64 {
	return share * float64(s.deployment.slots) / f.service.Seconds()
}

func (s *series) kindOffers(orders, reads, reports float64) []offer {
	flows := []flow{ordersFlow(), readsFlow("reads", "shop", primaryID), reportsFlow()}
	var offers []offer
	for i, share := range []float64{orders, reads, reports} {
		offers = append(offers, offer{flow: flows[i], rate: s.arrivalRate(flows[i], share)})
	}
	return offers
}

func (s *series) ownerOffers() []offer {
	var offers []offer
	for i, f := range ownerFlows() {
		share := busyOwner
		if i == 0 {
			share = maxMultiple
		}
		offers = append(offers, offer{flow: f, rate: s.arrivalRate(f, share)})
	}
	return offers
}

// collectServerStats reads the counts of the stand-in servers.
func (s *series) collectServerStats(r *runner) {
	s.notRunButStored = r.countNotRunStored()
	for _, t := range r.targets {
		for _, id := range []string{primaryID, replicaID} {
			stats := t.group.Server(id).Stats()
			s.maxConns = max(s.maxConns, stats.MaxConns)
			s.maxRunning = max(s.maxRunning, stats.MaxConcurrent)
			s.refusedConns += stats.RefusedConns
			s.overSlot += stats.OverSlot
		}
	}
}

// report adds the figures of the series. The limits of the servers are bounds for all
// variants; the other figures have bounds only for the project's own variant.
func (s *series) report(r *report.Report) {
	prefix := s.deployment.name + "." + s.variant.name + "."
	r.AtMost(prefix+"connections", float64(s.maxConns), float64(s.deployment.connections))
	r.AtMost(prefix+"statements", float64(s.maxRunning), float64(s.deployment.slots))
	r.Exactly(prefix+"not_run_but_seen", float64(s.notRunButStored), 0)
	r.Set(prefix+"connections_refused", float64(s.refusedConns))
	reportFlood := s.reportFloods[len(s.reportFloods)-1].result
	hasBounds := s.variant.name == variantFloors
	check := func(name string, value float64, bound func(string, float64, float64), limit float64) {
		if hasBounds {
			bound(prefix+name, value, limit)
		} else {
			r.Set(prefix+name, value)
		}
	}
	check("reports10.orders_success", reportFlood.answeredShare("orders"), r.AtLeast, 1)
	check("reports10.orders_p99_ratio", reportFlood.tallies["orders"].p99()/s.quiet.tallies["orders"].p99(), r.AtMost, 2)
	check("reports10.reads_kept", keptThroughput(reportFlood, s.quiet, "reads"), r.AtLeast, 0.95)
	r.Set(prefix+"quiet.orders_p99_ms", s.quiet.tallies["orders"].p99())
	r.Set(prefix+"reports10.orders_p99_ms", reportFlood.tallies["orders"].p99())
	r.Set(prefix+"reports10.goodput", s.goodput(reportFlood))
	r.Set(prefix+"reports10.reports_p99_ms", reportFlood.tallies["reports"].p99())
	if !s.variant.sweep {
		return
	}
	orderFlood := s.orderFloods[len(s.orderFloods)-1].result
	check("orders10.reads_of_floor", orderFlood.slotShare(readsFlow("reads", "shop", primaryID))*100/readsFloor, r.AtLeast, 0.9)
	check("orders10.reports_of_floor", orderFlood.slotShare(reportsFlow())*100/reportsFloor, r.AtLeast, 0.9)
	check("orders10.goodput", s.goodput(orderFlood), r.AtLeast, 0.9)
	worstShare := math.Inf(1)
	for _, f := range ownerFlows()[1:] {
		worstShare = min(worstShare, s.ownerFlood.slotShare(f)*float64(len(ownerNames)))
	}
	check("owner10.worst_of_fair_share", worstShare, r.AtLeast, 0.9)
}

// keptThroughput returns the ratio of an entry's answered shares in the two runs. It
// compares shares, not counts, because the runs offer the same rate with different
// arrivals.
func keptThroughput(flooded, quiet *runResult, entry string) float64 {
	return flooded.answeredShare(entry) / quiet.answeredShare(entry)
}

// goodput returns the slot time of complete answers as a share of the capacity.
func (s *series) goodput(r *runResult) float64 {
	sum := 0.0
	for _, f := range allFlows() {
		if _, found := r.tallies[f.entry.Name]; found {
			sum += r.slotShare(f)
		}
	}
	return sum
}
