package authority

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"egretroad/internal/platform"
	"egretroad/internal/rapidseed"
	"egretroad/internal/topology"
)

// Parameters of the property-based test. The flags -rapid.seed and -rapid.checks
// override the first two.
const (
	fuzzSeed        = "1"
	fuzzChecks      = "120"
	recoveryTimeout = 25 * time.Second
)

func TestMain(m *testing.M) {
	rapidseed.MainWith(m, map[string]string{"rapid.seed": fuzzSeed, "rapid.checks": fuzzChecks, "rapid.nofailfile": "true"})
}

// fault is a named fault injection, or the repair of earlier faults.
type fault struct {
	name string
	run  func(t *rapid.T, w *world)
}

func drawVM(t *rapid.T, w *world) *simVM {
	return w.vms[rapid.IntRange(0, len(w.vms)-1).Draw(t, "vm")]
}

func drawServer(t *rapid.T, w *world) *simServer {
	return w.servers[rapid.SampledFrom(w.serverIDs).Draw(t, "server")]
}

func drawDataCentre(t *rapid.T) string {
	return rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "data centre")
}

var faults = []fault{
	{"isolate data centre", func(t *rapid.T, w *world) { w.isolated[drawDataCentre(t)] = true }},
	{"isolate primary's data centre", func(_ *rapid.T, w *world) {
		if s := w.servers[w.group().Primary]; s != nil {
			w.isolated[s.dc] = true
		}
	}},
	{"partition two data centres", func(t *rapid.T, w *world) { w.partitioned[[2]string{drawDataCentre(t), drawDataCentre(t)}] = true }},
	{"partition data centre from platform", func(t *rapid.T, w *world) { w.partitioned[[2]string{drawDataCentre(t), ""}] = true }},
	{"heal network", func(_ *rapid.T, w *world) { w.healNetwork() }},
	{"store down", func(_ *rapid.T, w *world) { w.store.down = true }},
	{"store up", func(_ *rapid.T, w *world) { w.store.down = false }},
	{"lose store responses", func(t *rapid.T, w *world) {
		w.store.responseLossRate = rapid.SampledFrom([]float64{0, 0.3, 0.8}).Draw(t, "rate")
	}},
	{"lose messages", func(t *rapid.T, w *world) { w.lossRate = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "rate") }},
	{"pause VM", func(t *rapid.T, w *world) { drawVM(t, w).pause() }},
	{"pause holders", func(_ *rapid.T, w *world) {
		for _, vm := range w.vms {
			if len(vm.table.Leases) > 0 {
				vm.pause()
			}
		}
	}},
	{"resume VMs", func(_ *rapid.T, w *world) { w.resumeAll() }},
	{"crash VM", func(t *rapid.T, w *world) { drawVM(t, w).stop() }},
	{"crash coordinator", func(_ *rapid.T, w *world) {
		if p := w.group().Promotion; p != nil {
			w.vm(p.Coordinator).stop()
		}
	}},
	{"restart VMs", func(_ *rapid.T, w *world) { w.restartAll() }},
	{"server down", func(t *rapid.T, w *world) { drawServer(t, w).up = false }},
	{"primary down", func(_ *rapid.T, w *world) {
		if s := w.servers[w.group().Primary]; s != nil {
			s.up = false
		}
	}},
	{"servers up", func(_ *rapid.T, w *world) { w.restoreServers() }},
	{"stall replication", func(t *rapid.T, w *world) { drawServer(t, w).stalled = true }},
	{"slow servers", func(t *rapid.T, w *world) {
		w.serverDelay = time.Duration(rapid.SampledFrom([]int{0, 100, 400}).Draw(t, "ms")) * time.Millisecond
	}},
	{"set server leaving", func(t *rapid.T, w *world) { w.setServerState(drawServer(t, w).id, topology.ServerLeaving) }},
	{"set server active", func(t *rapid.T, w *world) { w.setServerState(drawServer(t, w).id, topology.ServerActive) }},
}

func (w *world) healNetwork() {
	w.isolated, w.partitioned = map[string]bool{}, map[[2]string]bool{}
}

func (w *world) resumeAll() {
	for _, vm := range w.vms {
		if vm.paused {
			vm.resume()
		}
	}
}

func (w *world) restartAll() {
	for _, vm := range w.vms {
		if !vm.up {
			vm.start()
		}
	}
	w.publishMembership()
}

func (w *world) restoreServers() {
	for _, id := range w.serverIDs {
		w.servers[id].up, w.servers[id].stalled = true, false
	}
}

// setServerState sets a server's state in the group object, as an operator does.
func (w *world) setServerState(server string, state topology.ServerState) {
	g := w.group()
	for i := range g.Servers {
		if g.Servers[i].ID == server {
			g.Servers[i].State = state
		}
	}
	w.store.set(platform.KindGroup, testDatabase, encodeJSON(g))
}

// clearFaults ends all faults.
func (w *world) clearFaults() {
	w.healNetwork()
	w.store.down, w.store.responseLossRate, w.lossRate, w.serverDelay = false, 0, 0, 0
	w.resumeAll()
	w.restartAll()
	w.restoreServers()
	for _, id := range w.serverIDs {
		w.setServerState(id, topology.ServerActive)
	}
}

// runFaults creates a world and injects a random sequence of faults.
func runFaults(t *rapid.T, opts Options) *world {
	w := newWorld(rapid.Uint64().Draw(t, "seed"), opts, 2)
	w.runFor(3 * time.Second)
	steps := rapid.IntRange(1, 14).Draw(t, "faults")
	for range steps {
		injected := rapid.SampledFrom(faults).Draw(t, "fault")
		injected.run(t, w)
		w.logs = append(w.logs, w.now.String()+" == "+injected.name)
		w.runFor(time.Duration(rapid.IntRange(0, 3000).Draw(t, "wait")) * time.Millisecond)
	}
	return w
}

func (w *world) failureReport() string {
	return strings.Join(w.violations, "\n") + "\n" + strings.Join(tail(w.logs, 120), "\n")
}

func tail(lines []string, n int) []string {
	if len(lines) > n {
		return lines[len(lines)-n:]
	}
	return lines
}

// unhealthyReason returns why the group does not serve normally, or "".
func (w *world) unhealthyReason() string {
	g := w.group()
	if g.Promotion != nil {
		return "a promotion is still in progress"
	}
	p := w.servers[g.Primary]
	if p == nil || p.role != topology.RolePrimary || p.term != g.Term {
		return "the group has no valid primary"
	}
	for _, id := range w.serverIDs {
		if s := w.servers[id]; id != g.Primary && (s.role != topology.RoleReplica || s.term != g.Term) {
			return id + " does not follow the primary"
		}
	}
	for _, vm := range w.vms {
		if vm.table.HoldsLease(testDatabase, g.Term, vm.clock()) {
			return ""
		}
	}
	return "no VM holds the lease"
}

// runUntilHealthy runs the world until the group serves normally, for at most
// recoveryTimeout. It returns "" or why the group is still unhealthy.
func (w *world) runUntilHealthy() string {
	problem := "not checked"
	for end := w.now + recoveryTimeout; w.now < end && len(w.violations) == 0; {
		w.runFor(250 * time.Millisecond)
		problem = w.unhealthyReason()
		if problem == "" {
			w.runFor(time.Second)
			return ""
		}
	}
	return problem
}

func TestFaultsPreserveSafetyAndProgress(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := runFaults(rt, DefaultOptions())
		w.clearFaults()
		acknowledgedBefore := len(w.acknowledged)
		problem := w.runUntilHealthy()
		if len(w.violations) > 0 {
			rt.Fatalf("safety violation:\n%s", w.failureReport())
		}
		if problem != "" {
			rt.Fatalf("no recovery after the faults: %s\n%s", problem, w.failureReport())
		}
		if len(w.acknowledged) == acknowledgedBefore {
			rt.Fatalf("no write acknowledged after the faults\n%s", w.failureReport())
		}
	})
}

// anySeedViolates reports whether the scenario violates safety with any of the
// seeds.
func anySeedViolates(seeds uint64, opts Options, scenario func(w *world)) bool {
	for seed := range seeds {
		w := newWorld(seed, opts, 2)
		w.runFor(3 * time.Second)
		scenario(w)
		if len(w.violations) > 0 {
			return true
		}
	}
	return false
}

// partitionHolder isolates the primary's data centre, so that the lease holder
// continues to acknowledge writes while a replica is promoted.
func partitionHolder(w *world) {
	w.isolated["a"] = true
	w.runFor(8 * time.Second)
	w.healNetwork()
	w.runFor(2 * time.Second)
}

// repeatedPlannedPromotions moves the primary several times by setting its state to
// leaving while a replica's replication is stalled, so that reported positions are
// behind the writes that another replica has confirmed.
func repeatedPlannedPromotions(w *world) {
	for range 6 {
		primary := w.group().Primary
		replica := w.serverIDs[w.rng.IntN(len(w.serverIDs))]
		w.servers[replica].stalled = true
		w.runFor(time.Duration(w.rng.IntN(500)) * time.Millisecond)
		w.setServerState(primary, topology.ServerLeaving)
		w.runFor(3 * time.Second)
		w.restoreServers()
		w.setServerState(primary, topology.ServerActive)
		w.runFor(2 * time.Second)
	}
}

// TestSkippedLeaseWaitIsDetected proves that the checks detect two terms in which
// writes are acknowledged when a promotion does not wait for the old leases to end.
func TestSkippedLeaseWaitIsDetected(t *testing.T) {
	g := NewWithT(t)
	opts := DefaultOptions()
	opts.LeaseTTL = 5 * time.Second
	g.Expect(anySeedViolates(10, opts, partitionHolder)).To(BeFalse(), "with the lease wait")
	opts.unsafeSkipLeaseWait = true
	g.Expect(anySeedViolates(10, opts, partitionHolder)).To(BeTrue(), "without the lease wait")
}

// TestSkippedFenceIsDetected proves that the checks detect the loss of a confirmed
// write when a promotion relies on reported positions instead of fencing servers.
func TestSkippedFenceIsDetected(t *testing.T) {
	g := NewWithT(t)
	opts := DefaultOptions()
	g.Expect(anySeedViolates(10, opts, repeatedPlannedPromotions)).To(BeFalse(), "with the fence")
	opts.unsafeSkipFence = true
	g.Expect(anySeedViolates(10, opts, repeatedPlannedPromotions)).To(BeTrue(), "without the fence")
}
