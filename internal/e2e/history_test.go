package e2e_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"egretroad/internal/e2e/workload"
	"egretroad/internal/proxy"
	"egretroad/internal/standin/deployment"
	"egretroad/internal/standin/objectapi"
	"egretroad/internal/standin/pgserver"
)

// meanFaultInterval is the mean time between two injected faults.
const meanFaultInterval = 150 * time.Millisecond

// waitForNextFault waits for a random time before the next fault. It returns false
// when the context ends.
func waitForNextFault(ctx context.Context, rng *rand.Rand) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Duration(rng.Int64N(int64(2 * meanFaultInterval)))):
		return true
	}
}

// transientFaults returns a function that injects replication lag, unresponsive and
// dropped connections, connections cut at COMMIT, lost responses of the platform and
// slow servers, in an order determined by the seed of rng.
func (f *fleet) transientFaults(group *pgserver.Group) func(context.Context, *rand.Rand) {
	return func(ctx context.Context, rng *rand.Rand) {
		for waitForNextFault(ctx, rng) {
			server := group.Servers()[rng.IntN(len(group.Servers()))]
			switch rng.IntN(6) {
			case 0:
				server.SetLag(time.Duration(rng.IntN(200)) * time.Millisecond)
			case 1:
				server.SilenceOpenConns()
			case 2:
				server.DropConnections()
			case 3:
				group.SetCommitCuts(0.2 * rng.Float64())
			case 4:
				f.Platform.DropResponses(1, objectapi.CallPut)
			case 5:
				server.ScaleServiceTime(1 + 20*rng.Float64())
			}
		}
	}
}

// Callers that move between three proxies must find no violation while replicas lag and
// connections break.
func TestHistoriesUnderTransientFaults(t *testing.T) {
	for i := range *seedCountFlag {
		seed := *firstSeedFlag + uint64(i)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			f := startFleet(t, seed, proxy.Hooks{}, nil)
			o := workload.DefaultOptions()
			o.Seed = seed
			o.ThinkTime = 2 * time.Millisecond
			w, violations := f.runWorkload(o, *durationFlag, f.transientFaults(f.Groups[o.Database]))
			logViolations(t, violations)
			g.Expect(brokenRules(violations)).To(BeEmpty())
			c := w.Counts()
			t.Logf("ok %d, not run %d, failed %d, unknown %d, connect failed %d",
				c.OK.Load(), c.NotRun.Load(), c.Failed.Load(), c.Unknown.Load(), c.ConnectFailed.Load())
			g.Expect(c.OK.Load()).To(BeNumerically(">=", minSucceeded))
		})
	}
}

// componentFailures are failures of a primary, a proxy or a data centre.
var componentFailures = map[string]func(f *fleet, group *pgserver.Group, rng *rand.Rand) error{
	"stopped primary": func(f *fleet, group *pgserver.Group, _ *rand.Rand) error {
		group.Primary().Stop()
		return nil
	},
	"unresponsive primary": func(f *fleet, group *pgserver.Group, _ *rand.Rand) error {
		group.Primary().SilenceAll()
		return nil
	},
	"partitioned data centre": func(f *fleet, group *pgserver.Group, _ *rand.Rand) error {
		return f.Fault(deployment.ActionCut, group.Primary().Spec().DataCentre)
	},
	"two primaries stopped one after the other": func(f *fleet, group *pgserver.Group, _ *rand.Rand) error {
		first := group.Primary()
		first.Stop()
		time.Sleep(failoverDuration / 2)
		if err := first.Restart(); err != nil {
			return err
		}
		time.Sleep(failoverDuration / 7)
		group.Primary().Stop()
		return nil
	},
	"primary stopped during an outage of the platform": func(f *fleet, group *pgserver.Group, _ *rand.Rand) error {
		f.Platform.OutageWith(objectapi.OutageHang)
		time.Sleep(failoverDuration / 7)
		group.Primary().Stop()
		time.Sleep(failoverDuration / 7)
		f.Platform.Outage(false)
		f.Platform.DropResponses(3, objectapi.CallPut)
		return nil
	},
	// The only VM in the data centre of the primary dies; the server keeps running.
	"dead VM of the primary": func(f *fleet, group *pgserver.Group, _ *rand.Rand) error {
		for i, vm := range f.VMs {
			if vm.DataCentre == group.Primary().Spec().DataCentre {
				f.killProxy(i)
			}
		}
		return nil
	},
	"dead proxy": func(f *fleet, _ *pgserver.Group, rng *rand.Rand) error {
		f.killProxy(rng.IntN(len(f.VMs)))
		return nil
	},
}

// failoverDuration is long enough to detect a failure, wait until leases expire and
// promote a replica.
const failoverDuration = 7 * time.Second

// Callers must find no violation across failovers and the crash of a proxy.
func TestHistoriesAcrossFailures(t *testing.T) {
	for name, fault := range componentFailures {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			f := startFleet(t, *firstSeedFlag, proxy.Hooks{}, nil)
			o := workload.DefaultOptions()
			o.Seed = *firstSeedFlag
			o.ThinkTime = 5 * time.Millisecond
			o.OpTimeout = 8 * time.Second
			group := f.Groups[o.Database]
			w, violations := f.runWorkload(o, failoverDuration, func(ctx context.Context, rng *rand.Rand) {
				time.Sleep(500 * time.Millisecond)
				if err := fault(f, group, rng); err != nil {
					t.Error(err)
				}
			})
			logViolations(t, violations)
			g.Expect(brokenRules(violations)).To(BeEmpty())
			g.Expect(group.DoublePromotions()).To(BeZero())
			if name != "dead proxy" {
				g.Expect(group.Primary().Stats().Term).To(BeNumerically(">", 1), "the primary was replaced")
			}
			c := w.Counts()
			t.Logf("ok %d, not run %d, failed %d, unknown %d, connect failed %d, term %d",
				c.OK.Load(), c.NotRun.Load(), c.Failed.Load(), c.Unknown.Load(), c.ConnectFailed.Load(),
				group.Primary().Stats().Term)
			g.Expect(c.OK.Load()).To(BeNumerically(">=", minSucceeded))
		})
	}
}
