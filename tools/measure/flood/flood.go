// Package flood measures what a flood of one kind of work leaves to the others
// at the homes of backend servers, against two baselines in the same run.
//
// Load is open-loop: arrivals are a Poisson process with a seed and do not wait
// for answers; latency counts from the arrival. The load goes to home.Manager in
// this process; its connections to the stand-in servers are real.
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

// variant is one way to order and refuse work.
type variant struct {
	name   string
	order  admission.Order
	policy admission.Policy
	sweep  bool // measure all loads, not only the flood of reports
}

const (
	variantFloors = "floors"
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

// Lengths of runs.
const (
	longRun  = 5 * time.Second
	shortRun = 1500 * time.Millisecond
)

// staggerSteps is how many runs later each series begins.
const staggerSteps = 2

// multiples are the offered loads of the flooding kind, in capacities.
var floodMultiples = []float64{1, 2, 5, 10}

const maxMultiple = 10

// Shares of the capacity that the quiet load offers.
const (
	quietOrders  = 0.15
	quietReads   = 0.15
	quietReports = 0.20
	// During a flood of orders the others offer more than their floors.
	busyReads   = 0.30
	busyReports = 0.20
	// Offered by each owner that does not flood; more than its fair share.
	busyOwner = 0.40
)

// point is one offered load and what it brought.
type loadPoint struct {
	load   float64 // capacities offered in all
	result *runResult
}

// series is what one variant brought on one deployment.
type series struct {
	deployment      deploymentSize
	variant         variant
	quiet           *runResult
	reportFloods    []loadPoint // floods of reports
	orderFloods     []loadPoint // floods of orders
	ownerFlood      *runResult
	notRunButStored int
	maxConns        int64
	maxRunning      int64
	refusedConns    int64
	overSlot        int64
}

// Run makes the measurement.
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

// measureAll runs every variant of every deployment at the same time; each has
// its own servers.
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
	// Each series begins elsewhere, so that not all offer their highest load at once.
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

// steps returns the runs in their order.
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

// rate returns the requests a second and server that use a share of its slots.
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

// readServers takes the stand-ins' own counts.
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

// report adds the series' figures; only those of the project's own variant have
// bounds, and the servers' limits hold for all.
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

// keptThroughput compares an entry's answered share of its offered load, as the
// two runs offer the same rate by different arrivals.
func keptThroughput(flooded, quiet *runResult, entry string) float64 {
	return flooded.answeredShare(entry) / quiet.answeredShare(entry)
}

// goodput returns the slot time of whole answers as a share of the capacity.
func (s *series) goodput(r *runResult) float64 {
	sum := 0.0
	for _, f := range allFlows() {
		if _, found := r.tallies[f.entry.Name]; found {
			sum += r.slotShare(f)
		}
	}
	return sum
}
