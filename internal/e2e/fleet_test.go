// Package e2e_test runs proxies and callers in one process over stand-ins (fakes) of the
// backend servers, the network and the platform. Histories of callers under injected
// faults are checked with package history; other tests cover client libraries and
// changes of the configuration.
package e2e_test

import (
	"context"
	"flag"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"egretroad/internal/demo"
	"egretroad/internal/e2e/history"
	"egretroad/internal/e2e/workload"
	"egretroad/internal/eventlog"
	"egretroad/internal/proxy"
	"egretroad/internal/standin/deployment"
	"egretroad/internal/standin/pgserver"

	"github.com/hashicorp/go-hclog"
)

const (
	fleetKey     = "test-fleet-key-0123456789"
	startTimeout = 30 * time.Second
	stepTimeout  = 20 * time.Second
)

var (
	seedCountFlag = flag.Int("e2e.seeds", 20, "number of seeds of the history tests")
	firstSeedFlag = flag.Uint64("e2e.seed", 1, "first seed of the history tests")
	durationFlag  = flag.Duration("e2e.duration", 1500*time.Millisecond, "length of each history")
	logFlag       = flag.Bool("e2e.log", false, "write the proxies' logs to standard error")
)

// fleet is a deployment with one proxy for each VM, all in this process.
type fleet struct {
	*deployment.Deployment
	t     *testing.T
	log   hclog.Logger
	hooks proxy.Hooks

	mu      sync.Mutex // guards proxies
	proxies []*proxy.Proxy
}

// startFleet starts a small deployment whose servers record all statements and commits.
// configure, if not nil, changes its options.
func startFleet(t *testing.T, seed uint64, hooks proxy.Hooks, configure func(*deployment.Options)) *fleet {
	t.Helper()
	g := NewWithT(t)
	o := deployment.DefaultOptions()
	o.Seed = seed
	o.Scale = 0.1
	o.Record = true
	if configure != nil {
		configure(&o)
	}
	d, err := deployment.Start(o)
	g.Expect(err).NotTo(HaveOccurred())
	f := &fleet{Deployment: d, t: t, log: eventlog.Discard(), hooks: hooks, proxies: make([]*proxy.Proxy, len(d.VMs))}
	if *logFlag {
		f.log = eventlog.New(os.Stderr, hclog.Info)
	}
	t.Cleanup(f.stop)
	for i := range d.VMs {
		f.startProxy(i)
	}
	for _, p := range f.proxies {
		g.Eventually(p.Ready, startTimeout).Should(BeTrue())
	}
	return f
}

// startProxy starts the proxy of the VM with the given index.
func (f *fleet) startProxy(i int) {
	f.t.Helper()
	g := NewWithT(f.t)
	vm := f.VMs[i]
	p, err := proxy.NewWithHooks(demo.Settings(f.Deployment, vm, fleetKey), f.log.With("vm", vm.ID), f.hooks)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(p.Start(context.Background())).To(Succeed())
	f.mu.Lock()
	defer f.mu.Unlock()
	f.proxies[i] = p
}

// killProxy removes a VM from the list of the platform and ends its proxy without a
// graceful shutdown, as when the VM dies. Other proxies see the new list later.
func (f *fleet) killProxy(i int) {
	if err := f.SetVMState(f.VMs[i].ID, ""); err != nil {
		f.t.Error(err)
	}
	f.mu.Lock()
	p := f.proxies[i]
	f.proxies[i] = nil
	f.mu.Unlock()
	if p != nil {
		p.Kill()
	}
}

// callerAddrs returns the addresses for callers of the running proxies.
func (f *fleet) callerAddrs() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var addrs []string
	for _, p := range f.proxies {
		if p != nil {
			addrs = append(addrs, p.CallerAddr())
		}
	}
	return addrs
}

func (f *fleet) stop() {
	for i := range f.VMs {
		f.killProxy(i)
	}
	f.Deployment.Close()
}

// healFaults ends cuts, stops and platform faults, removes the replication lag so that
// replicas catch up, and stops commit cuts.
func (f *fleet) healFaults(group *pgserver.Group) {
	f.t.Helper()
	g := NewWithT(f.t)
	g.Expect(f.Fault(deployment.ActionHeal)).To(Succeed())
	group.SetLag(0)
	group.SetCommitCuts(0)
}

// insertSeedRows inserts rows that every list query of a workload must return, and
// returns their keys.
func insertSeedRows(group *pgserver.Group) []string {
	rows := map[string]string{}
	var keys []string
	for _, key := range []string{"seed-a", "seed-b", "seed-c"} {
		rows[key] = history.Payload(key, "", 200)
		keys = append(keys, key)
	}
	group.LoadRows(rows)
	return keys
}

// minSucceeded is the number of successful operations that a history needs to be
// meaningful; maxWorkloadTime limits how long a workload runs to reach it.
const (
	minSucceeded    = 100
	maxWorkloadTime = 40 * time.Second
)

// runWorkload runs callers while injectFaults runs, for the given duration and until
// minSucceeded operations succeeded. It then calls healFaults and audits the history.
func (f *fleet) runWorkload(o workload.Options, duration time.Duration, injectFaults func(context.Context, *rand.Rand)) (*workload.Workload, []history.Violation) {
	f.t.Helper()
	group := f.Groups[o.Database]
	o.SeededKeys = insertSeedRows(group)
	w := workload.New(o, f.callerAddrs)
	ctx, cancel := context.WithTimeout(context.Background(), maxWorkloadTime)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() {
		time.Sleep(duration)
		for ctx.Err() == nil && w.Counts().OK.Load() < minSucceeded {
			time.Sleep(10 * time.Millisecond)
		}
		cancel()
	})
	if injectFaults != nil {
		wg.Go(func() { injectFaults(ctx, rand.New(rand.NewPCG(o.Seed, 99))) })
	}
	w.Run(ctx)
	wg.Wait()
	f.healFaults(group)
	return w, w.Audit(group)
}

// brokenRules returns the distinct rules of the violations, sorted.
func brokenRules(violations []history.Violation) []history.Rule {
	var rules []history.Rule
	for _, v := range violations {
		if !slices.Contains(rules, v.Rule) {
			rules = append(rules, v.Rule)
		}
	}
	slices.Sort(rules)
	return rules
}

// logViolations logs the first five violations and the number of the others.
func logViolations(t *testing.T, violations []history.Violation) {
	t.Helper()
	for i, v := range violations {
		if i == 5 {
			t.Logf("and %d more", len(violations)-i)
			return
		}
		t.Logf("%.1500v", v)
	}
}
