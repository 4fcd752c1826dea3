package authority

import (
	"flag"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"egretroad/internal/topology"
)

// scenarioSeeds is the number of seeds that each scenario runs with.
var scenarioSeeds = flag.Int("scenario.seeds", 3, "seeds that each scenario runs with")

// forSeeds runs a scenario in fresh worlds that have served for three seconds.
func forSeeds(t *testing.T, opts Options, run func(g Gomega, w *world)) {
	t.Helper()
	for seed := range uint64(*scenarioSeeds) {
		w := newWorld(seed, opts, 3)
		w.runFor(3 * time.Second)
		g := NewGomega(func(message string, _ ...int) {
			t.Helper()
			t.Fatalf("seed %d: %s\n%s", seed, message, w.report())
		})
		run(g, w)
		g.Expect(w.violations).To(BeEmpty())
	}
}

func (w *world) logged(event string) bool {
	for _, line := range w.logs {
		if strings.Contains(line, " "+event+" ") {
			return true
		}
	}
	return false
}

// homeOfPrimary returns the VM that most VMs take for the primary's home.
func (w *world) homeOfPrimary() *simVM {
	return w.vm(w.vms[0].machine.snapshot.Homes[w.group().Primary])
}

func TestNoPromotionWhileThePrimaryServes(t *testing.T) {
	cases := map[string]func(w *world){
		"slow servers":           func(w *world) { w.slow = 500 * time.Millisecond },
		"paused home":            func(w *world) { w.homeOfPrimary().pause(); w.runFor(4 * time.Second); w.resumeAll() },
		"dead home":              func(w *world) { w.homeOfPrimary().stop() },
		"cut between two":        func(w *world) { w.cutAB[[2]string{"a", "b"}] = true },
		"primary off platform":   func(w *world) { w.cutAB[[2]string{"a", ""}] = true },
		"replica's centre cut":   func(w *world) { w.cut["b"] = true },
		"both replicas cut":      func(w *world) { w.cut["b"], w.cut["c"] = true, true },
		"store down":             func(w *world) { w.store.down = true },
		"store answers lost":     func(w *world) { w.store.loseAns = 0.9 },
		"replica dead":           func(w *world) { w.server["s-b"].up = false },
		"replica far behind":     func(w *world) { w.server["s-b"].stalled = true },
		"messages lost":          func(w *world) { w.loss = 0.2 },
		"replication stands":     func(w *world) { w.server["s-b"].stalled, w.server["s-c"].stalled = true, true },
		"all replica homes stop": func(w *world) { w.pauseCentre("b"); w.pauseCentre("c"); w.runFor(3 * time.Second); w.resumeAll() },
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

func (w *world) pauseCentre(dc string) {
	for _, vm := range w.vms {
		if vm.dc == dc {
			vm.pause()
		}
	}
}

// stopCentre ends every VM of a data centre; its servers go on.
func (w *world) stopCentre(dc string) {
	for _, vm := range w.vms {
		if vm.dc == dc {
			vm.stop()
		}
	}
}

// failures of a primary that a promotion must end.
var failures = map[string]func(w *world){
	"dead": func(w *world) { w.server["s-a"].up = false },
	"cut":  func(w *world) { w.cut["a"] = true },
	// Its replicas still follow it, but no VM of its data centre serves it.
	"alive without a VM": func(w *world) { w.stopCentre("a") },
	"dead with its home": func(w *world) {
		w.server["s-a"].up = false
		w.homeOfPrimary().stop()
	},
	"dead with its home paused": func(w *world) {
		w.server["s-a"].up = false
		w.homeOfPrimary().pause()
	},
	"dead while the store loses answers": func(w *world) {
		w.server["s-a"].up = false
		w.store.loseAns = 0.5
	},
	"dead while a replica is far behind": func(w *world) {
		w.server["s-b"].stalled = true
		w.runFor(3 * time.Second)
		w.server["s-a"].up = false
	},
}

func TestAFailedPrimaryIsReplacedAndRejoins(t *testing.T) {
	for name, fail := range failures {
		t.Run(name, func(t *testing.T) {
			forSeeds(t, DefaultOptions(), func(g Gomega, w *world) {
				fail(w)
				w.runFor(12 * time.Second)
				g.Expect(w.group().Promotion).To(BeNil())
				g.Expect(w.group().Primary).To(BeElementOf("s-b", "s-c"))
				w.heal()
				g.Expect(w.settle()).To(BeEmpty())
				w.runFor(3 * time.Second)
				g.Expect(w.server["s-a"].role).To(Equal(topology.RoleReplica))
				g.Expect(w.logged("server_follows")).To(BeTrue())
			})
		})
	}
}

func TestThePromotionWaitsForTheStoreAndThenEnds(t *testing.T) {
	forSeeds(t, DefaultOptions(), func(g Gomega, w *world) {
		w.store.down = true
		w.server["s-a"].up = false
		w.runFor(8 * time.Second)
		g.Expect(w.group().Term).To(Equal(uint64(1)))
		w.store.down = false
		w.runFor(8 * time.Second)
		g.Expect(w.group().Primary).To(BeElementOf("s-b", "s-c"))
	})
}

// TestACoordinatorThatDiesStrandsNothing stops the coordinator right after each
// of its steps has begun.
func TestACoordinatorThatDiesStrandsNothing(t *testing.T) {
	steps := []string{"promotion_claim", "leases_revoked", stepAwaitLease, "server_fenced", "candidate_chosen", "server_promoted", "primary_published"}
	for _, step := range steps {
		t.Run(step, func(t *testing.T) {
			forSeeds(t, DefaultOptions(), func(g Gomega, w *world) {
				w.server["s-a"].up = false
				stopped := w.stopCoordinatorAt(step)
				g.Expect(stopped).To(BeTrue(), "step was reached")
				w.runFor(15 * time.Second)
				g.Expect(w.group().Promotion).To(BeNil())
				g.Expect(w.group().Primary).To(BeElementOf("s-b", "s-c"))
			})
		})
	}
}

// stopCoordinatorAt runs until a VM logs the step, and stops that VM at once.
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

func TestAPlannedPromotionLosesNoAcknowledgedWrite(t *testing.T) {
	forSeeds(t, DefaultOptions(), func(g Gomega, w *world) {
		w.mark("s-a", topology.ServerLeaving)
		w.runFor(8 * time.Second)
		group := w.group()
		g.Expect(group.Primary).To(BeElementOf("s-b", "s-c"))
		for i := range w.acked {
			w.acked[i].byReplica = true // every acknowledged write must be kept
		}
		w.checkKept(w.server[group.Primary])
	})
}

func TestAGroupWithoutPrimaryGetsOne(t *testing.T) {
	forSeeds(t, DefaultOptions(), func(g Gomega, w *world) {
		group := w.group()
		group.Primary = ""
		w.store.set("group", testDatabase, encodeJSON(group))
		w.runFor(8 * time.Second)
		g.Expect(w.settled()).To(BeEmpty())
	})
}

func TestPromotionsAreBoundedPerHour(t *testing.T) {
	opts := DefaultOptions()
	opts.MaxPromotionsPerHour = 2
	forSeeds(t, opts, func(g Gomega, w *world) {
		for range 4 {
			if p := w.server[w.group().Primary]; p != nil {
				p.up = false
			}
			w.runFor(8 * time.Second)
			w.serversUp()
			w.runFor(4 * time.Second)
		}
		g.Expect(w.group().Term).To(Equal(uint64(3)))
		g.Expect(w.logged("promotion_bound_reached")).To(BeTrue())
	})
}

func TestAnOutageOfTheStoreDoesNotStampedeIt(t *testing.T) {
	forSeeds(t, DefaultOptions(), func(g Gomega, w *world) {
		calls := w.store.calls
		w.store.down = true
		w.runFor(20 * time.Second)
		g.Expect(w.store.calls-calls).To(BeNumerically("<", 20*5), "calls while it is down")
		calls = w.store.calls
		w.store.down = false
		w.runFor(time.Second)
		g.Expect(w.store.calls-calls).To(BeNumerically("<", 10), "calls in the first second")
	})
}

func TestTheDumpShowsWhatAPromotionWaitsFor(t *testing.T) {
	forSeeds(t, DefaultOptions(), func(g Gomega, w *world) {
		w.cut["a"] = true
		g.Expect(w.runUntilLogged(stepAwaitLease)).To(BeTrue())
		coordinator := w.vm(w.group().Promotion.Coordinator)
		dump := coordinator.machine.Dump()
		g.Expect(dump.Runs[testDatabase].Step).To(Equal(stepAwaitLease))
		g.Expect(dump.Runs[testDatabase].WaitingFor).NotTo(BeEmpty())
		g.Expect(dump.Runs[testDatabase].LeaseExpiry).To(BeNumerically(">", 0))
		g.Expect(dump.Recorded).To(HaveKey(testDatabase))
		g.Expect(dump.Evidence).To(HaveKey("s-b"))
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
