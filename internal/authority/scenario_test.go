package authority

import (
	"flag"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"egretroad/internal/topology"
)

// scenarioSeeds is the number of seeds with which each scenario runs.
var scenarioSeeds = flag.Int("scenario.seeds", 3, "seeds that each scenario runs with")

// forSeeds runs a scenario once per seed, each time in a new world that has served
// for three seconds, and checks that no safety violation was recorded.
func forSeeds(t *testing.T, opts Options, run func(g Gomega, w *world)) {
	t.Helper()
	for seed := range uint64(*scenarioSeeds) {
		w := newWorld(seed, opts, 3)
		w.runFor(3 * time.Second)
		g := NewGomega(func(message string, _ ...int) {
			t.Helper()
			t.Fatalf("seed %d: %s\n%s", seed, message, w.failureReport())
		})
		run(g, w)
		g.Expect(w.violations).To(BeEmpty())
	}
}

func (w *world) hasLogged(event string) bool {
	for _, line := range w.logs {
		if strings.Contains(line, " "+event+" ") {
			return true
		}
	}
	return false
}

// homeOfPrimary returns the primary's home according to the first VM's snapshot.
func (w *world) homeOfPrimary() *simVM {
	return w.vm(w.vms[0].machine.snapshot.Homes[w.group().Primary])
}

func TestNoPromotionWhileThePrimaryServes(t *testing.T) {
	cases := map[string]func(w *world){
		"slow servers":                         func(w *world) { w.serverDelay = 500 * time.Millisecond },
		"paused home":                          func(w *world) { w.homeOfPrimary().pause(); w.runFor(4 * time.Second); w.resumeAll() },
		"crashed home":                         func(w *world) { w.homeOfPrimary().stop() },
		"two data centres partitioned":         func(w *world) { w.partitioned[[2]string{"a", "b"}] = true },
		"primary partitioned from platform":    func(w *world) { w.partitioned[[2]string{"a", ""}] = true },
		"replica's data centre isolated":       func(w *world) { w.isolated["b"] = true },
		"both replicas' data centres isolated": func(w *world) { w.isolated["b"], w.isolated["c"] = true, true },
		"store down":                           func(w *world) { w.store.down = true },
		"store responses lost":                 func(w *world) { w.store.responseLossRate = 0.9 },
		"replica down":                         func(w *world) { w.servers["s-b"].up = false },
		"one replica stalled":                  func(w *world) { w.servers["s-b"].stalled = true },
		"messages lost":                        func(w *world) { w.lossRate = 0.2 },
		"all replicas stalled":                 func(w *world) { w.servers["s-b"].stalled, w.servers["s-c"].stalled = true, true },
		"all replica homes paused":             func(w *world) { w.pauseVMsIn("b"); w.pauseVMsIn("c"); w.runFor(3 * time.Second); w.resumeAll() },
	}
	for name, fault := range cases {
		t.Run(name, func(t *testing.T) {
			forSeeds(t, DefaultOptions(), func(g Gomega, w *world) {
				fault(w)
				w.runFor(15 * time.Second)
				g.Expect(w.group().Term).To(Equal(uint64(1)))
			})
		})
	}
}

func (w *world) pauseVMsIn(dc string) {
	for _, vm := range w.vms {
		if vm.dc == dc {
			vm.pause()
		}
	}
}

// stopVMsIn stops all VMs of a data centre. Its servers keep running.
func (w *world) stopVMsIn(dc string) {
	for _, vm := range w.vms {
		if vm.dc == dc {
			vm.stop()
		}
	}
}

// failures are faults that must lead to the replacement of primary s-a.
var failures = map[string]func(w *world){
	"down":     func(w *world) { w.servers["s-a"].up = false },
	"isolated": func(w *world) { w.isolated["a"] = true },
	// The primary still replicates, but no VM is left to serve it.
	"up without a live VM": func(w *world) { w.stopVMsIn("a") },
	"down with its home crashed": func(w *world) {
		w.servers["s-a"].up = false
		w.homeOfPrimary().stop()
	},
	"down with its home paused": func(w *world) {
		w.servers["s-a"].up = false
		w.homeOfPrimary().pause()
	},
	"down while store responses are lost": func(w *world) {
		w.servers["s-a"].up = false
		w.store.responseLossRate = 0.5
	},
	"down while a replica lags": func(w *world) {
		w.servers["s-b"].stalled = true
		w.runFor(3 * time.Second)
		w.servers["s-a"].up = false
	},
}

func TestFailedPrimaryIsReplacedAndRejoins(t *testing.T) {
	for name, inject := range failures {
		t.Run(name, func(t *testing.T) {
			forSeeds(t, DefaultOptions(), func(g Gomega, w *world) {
				inject(w)
				w.runFor(12 * time.Second)
				g.Expect(w.group().Promotion).To(BeNil())
				g.Expect(w.group().Primary).To(BeElementOf("s-b", "s-c"))
				w.clearFaults()
				g.Expect(w.runUntilHealthy()).To(BeEmpty())
				w.runFor(3 * time.Second)
				g.Expect(w.servers["s-a"].role).To(Equal(topology.RoleReplica))
				g.Expect(w.hasLogged("server_follows")).To(BeTrue())
			})
		})
	}
}

func TestPromotionCompletesAfterStoreOutage(t *testing.T) {
	forSeeds(t, DefaultOptions(), func(g Gomega, w *world) {
		w.store.down = true
		w.servers["s-a"].up = false
		w.runFor(8 * time.Second)
		g.Expect(w.group().Term).To(Equal(uint64(1)))
		w.store.down = false
		w.runFor(8 * time.Second)
		g.Expect(w.group().Primary).To(BeElementOf("s-b", "s-c"))
	})
}

// TestPromotionSurvivesCoordinatorCrash stops the coordinator as soon as it has
// logged each of its steps. Another VM must complete the promotion.
func TestPromotionSurvivesCoordinatorCrash(t *testing.T) {
	steps := []string{"promotion_claim", "leases_revoked", stepAwaitLease, "server_fenced", "candidate_chosen", "server_promoted", "primary_published"}
	for _, step := range steps {
		t.Run(step, func(t *testing.T) {
			forSeeds(t, DefaultOptions(), func(g Gomega, w *world) {
				w.servers["s-a"].up = false
				stopped := w.stopCoordinatorAt(step)
				g.Expect(stopped).To(BeTrue(), "the step was logged")
				w.runFor(15 * time.Second)
				g.Expect(w.group().Promotion).To(BeNil())
				g.Expect(w.group().Primary).To(BeElementOf("s-b", "s-c"))
			})
		})
	}
}

// stopCoordinatorAt runs until a VM logs the step and stops that VM. It reports
// whether the step was logged.
func (w *world) stopCoordinatorAt(step string) bool {
	for end := w.now + 10*time.Second; w.now < end; {
		w.runFor(time.Millisecond)
		for _, line := range w.logs {
			if !strings.Contains(line, step) {
				continue
			}
			for _, vm := range w.vms {
				if strings.Contains(line, " "+vm.id+" ") {
					vm.stop()
					return true
				}
			}
		}
	}
	return false
}

func TestPlannedPromotionLosesNoAcknowledgedWrite(t *testing.T) {
	forSeeds(t, DefaultOptions(), func(g Gomega, w *world) {
		w.setServerState("s-a", topology.ServerLeaving)
		w.runFor(8 * time.Second)
		group := w.group()
		g.Expect(group.Primary).To(BeElementOf("s-b", "s-c"))
		for i := range w.acknowledged {
			w.acknowledged[i].byReplica = true // require every acknowledged write on the new primary
		}
		w.checkConfirmedWritesPresent(w.servers[group.Primary])
	})
}

func TestGroupWithoutPrimaryGetsOne(t *testing.T) {
	forSeeds(t, DefaultOptions(), func(g Gomega, w *world) {
		group := w.group()
		group.Primary = ""
		w.store.set("group", testDatabase, encodeJSON(group))
		w.runFor(8 * time.Second)
		g.Expect(w.unhealthyReason()).To(BeEmpty())
	})
}

func TestUnplannedPromotionsAreLimitedPerHour(t *testing.T) {
	opts := DefaultOptions()
	opts.MaxPromotionsPerHour = 2
	forSeeds(t, opts, func(g Gomega, w *world) {
		for range 4 {
			if p := w.servers[w.group().Primary]; p != nil {
				p.up = false
			}
			w.runFor(8 * time.Second)
			w.restoreServers()
			w.runFor(4 * time.Second)
		}
		g.Expect(w.group().Term).To(Equal(uint64(3)))
		g.Expect(w.hasLogged("promotion_bound_reached")).To(BeTrue())
	})
}

func TestStoreOutageCausesNoCallStorm(t *testing.T) {
	forSeeds(t, DefaultOptions(), func(g Gomega, w *world) {
		calls := w.store.calls
		w.store.down = true
		w.runFor(20 * time.Second)
		g.Expect(w.store.calls-calls).To(BeNumerically("<", 20*5), "calls while the store is down")
		calls = w.store.calls
		w.store.down = false
		w.runFor(time.Second)
		g.Expect(w.store.calls-calls).To(BeNumerically("<", 10), "calls in the first second after the outage")
	})
}

func TestDumpShowsWhatPromotionWaitsFor(t *testing.T) {
	forSeeds(t, DefaultOptions(), func(g Gomega, w *world) {
		w.isolated["a"] = true
		g.Expect(w.runUntilLogged(stepAwaitLease)).To(BeTrue())
		coordinator := w.vm(w.group().Promotion.Coordinator)
		state := coordinator.machine.Dump()
		g.Expect(state.Promotions[testDatabase].Step).To(Equal(stepAwaitLease))
		g.Expect(state.Promotions[testDatabase].WaitingFor).NotTo(BeEmpty())
		g.Expect(state.Promotions[testDatabase].LeaseExpiry).To(BeNumerically(">", 0))
		g.Expect(state.RecordedPromotions).To(HaveKey(testDatabase))
		g.Expect(state.Evidence).To(HaveKey("s-b"))
	})
}

func (w *world) runUntilLogged(text string) bool {
	for end := w.now + 10*time.Second; w.now < end; {
		w.runFor(time.Millisecond)
		for _, line := range w.logs {
			if strings.Contains(line, text) {
				return true
			}
		}
	}
	return false
}
