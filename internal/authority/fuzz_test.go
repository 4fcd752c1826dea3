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

// Seeds and sizes of the fuzzing; -rapid.seed and -rapid.checks override them.
const (
	fuzzSeed   = "1"
	fuzzChecks = "120"
	settleTime = 25 * time.Second
)

func TestMain(m *testing.M) {
	rapidseed.MainWith(m, map[string]string{"rapid.seed": fuzzSeed, "rapid.checks": fuzzChecks, "rapid.nofailfile": "true"})
}

// fault is one change of the world's state.
type fault struct {
	name string
	run  func(t *rapid.T, w *world)
}

func drawVM(t *rapid.T, w *world) *simVM {
	return w.vms[rapid.IntRange(0, len(w.vms)-1).Draw(t, "vm")]
}

func drawServer(t *rapid.T, w *world) *simServer {
	return w.server[rapid.SampledFrom(w.order).Draw(t, "server")]
}

func drawCentre(t *rapid.T) string {
	return rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "centre")
}

var faults = []fault{
	{"cut centre", func(t *rapid.T, w *world) { w.cut[drawCentre(t)] = true }},
	{"cut primary's centre", func(_ *rapid.T, w *world) {
		if s := w.server[w.group().Primary]; s != nil {
			w.cut[s.dc] = true
		}
	}},
	{"cut pair", func(t *rapid.T, w *world) { w.cutAB[[2]string{drawCentre(t), drawCentre(t)}] = true }},
	{"cut platform", func(t *rapid.T, w *world) { w.cutAB[[2]string{drawCentre(t), ""}] = true }},
	{"heal network", func(_ *rapid.T, w *world) { w.healNetwork() }},
	{"store down", func(_ *rapid.T, w *world) { w.store.down = true }},
	{"store up", func(_ *rapid.T, w *world) { w.store.down = false }},
	{"lose answers", func(t *rapid.T, w *world) {
		w.store.loseAns = rapid.SampledFrom([]float64{0, 0.3, 0.8}).Draw(t, "share")
	}},
	{"lose messages", func(t *rapid.T, w *world) { w.loss = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "share") }},
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
		if s := w.server[w.group().Primary]; s != nil {
			s.up = false
		}
	}},
	{"servers up", func(_ *rapid.T, w *world) { w.serversUp() }},
	{"stall replication", func(t *rapid.T, w *world) { drawServer(t, w).stalled = true }},
	{"slow servers", func(t *rapid.T, w *world) {
		w.slow = time.Duration(rapid.SampledFrom([]int{0, 100, 400}).Draw(t, "ms")) * time.Millisecond
	}},
	{"mark leaving", func(t *rapid.T, w *world) { w.mark(drawServer(t, w).id, topology.ServerLeaving) }},
	{"mark active", func(t *rapid.T, w *world) { w.mark(drawServer(t, w).id, topology.ServerActive) }},
}

func (w *world) healNetwork() {
	w.cut, w.cutAB = map[string]bool{}, map[[2]string]bool{}
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
	w.publishMembers()
}

func (w *world) serversUp() {
	for _, id := range w.order {
		w.server[id].up, w.server[id].stalled = true, false
	}
}

// mark edits the group as an operator does.
func (w *world) mark(server string, state topology.ServerState) {
	g := w.group()
	for i := range g.Servers {
		if g.Servers[i].ID == server {
			g.Servers[i].State = state
		}
	}
	w.store.set(platform.KindGroup, testDatabase, encodeJSON(g))
}

// heal ends every fault.
func (w *world) heal() {
	w.healNetwork()
	w.store.down, w.store.loseAns, w.loss, w.slow = false, 0, 0, 0
	w.resumeAll()
	w.restartAll()
	w.serversUp()
	for _, id := range w.order {
		w.mark(id, topology.ServerActive)
	}
}

// runFaults drives a world through drawn faults.
func runFaults(t *rapid.T, opts Options) *world {
	w := newWorld(rapid.Uint64().Draw(t, "seed"), opts, 2)
	w.runFor(3 * time.Second)
	steps := rapid.IntRange(1, 14).Draw(t, "faults")
	for range steps {
		f := rapid.SampledFrom(faults).Draw(t, "fault")
		f.run(t, w)
		w.logs = append(w.logs, w.now.String()+" == "+f.name)
		w.runFor(time.Duration(rapid.IntRange(0, 3000).Draw(t, "wait")) * time.Millisecond)
	}
	return w
}

func (w *world) report() string {
	return strings.Join(w.violations, "\n") + "\n" + strings.Join(tail(w.logs, 120), "\n")
}

func tail(lines []string, n int) []string {
	if len(lines) > n {
		return lines[len(lines)-n:]
	}
	return lines
}

// settled checks that the group serves again.
func (w *world) settled() string {
	g := w.group()
	if g.Promotion != nil {
		return "a promotion is still in progress"
	}
	p := w.server[g.Primary]
	if p == nil || p.role != topology.RolePrimary || p.term != g.Term {
		return "the group has no valid primary"
	}
	for _, id := range w.order {
		if s := w.server[id]; id != g.Primary && (s.role != topology.RoleReplica || s.term != g.Term) {
			return id + " does not follow"
		}
	}
	for _, vm := range w.vms {
		if vm.table.Held(testDatabase, g.Term, vm.clock()) {
			return ""
		}
	}
	return "no VM holds the lease"
}

// settle lets time pass until the group serves again and returns what is
// missing when it does not.
func (w *world) settle() string {
	why := "not checked"
	for end := w.now + settleTime; w.now < end && len(w.violations) == 0; {
		w.runFor(250 * time.Millisecond)
		why = w.settled()
		if why == "" {
			w.runFor(time.Second)
			return ""
		}
	}
	return why
}

func TestFaultsNeverBreakSafetyAndEndInProgress(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := runFaults(rt, DefaultOptions())
		w.heal()
		acked := len(w.acked)
		why := w.settle()
		if len(w.violations) > 0 {
			rt.Fatalf("unsafe:\n%s", w.report())
		}
		if why != "" {
			rt.Fatalf("no progress: %s\n%s", why, w.report())
		}
		if len(w.acked) == acked {
			rt.Fatalf("no write acknowledged after the faults\n%s", w.report())
		}
	})
}

// violatesWithin reports whether any of the seeds breaks safety.
func violatesWithin(seeds uint64, opts Options, scenario func(w *world)) bool {
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

// partHolder cuts the primary's data centre off, so that the holder goes on
// writing under its lease while a replica is promoted.
func partHolder(w *world) {
	w.cut["a"] = true
	w.runFor(8 * time.Second)
	w.healNetwork()
	w.runFor(2 * time.Second)
}

// handOver moves the primary on an operator's mark while a replica lags, so
// that positions reported earlier are behind what another replica confirms.
func handOver(w *world) {
	for range 6 {
		primary := w.group().Primary
		replica := w.order[w.rng.IntN(len(w.order))]
		w.server[replica].stalled = true
		w.runFor(time.Duration(w.rng.IntN(500)) * time.Millisecond)
		w.mark(primary, topology.ServerLeaving)
		w.runFor(3 * time.Second)
		w.serversUp()
		w.mark(primary, topology.ServerActive)
		w.runFor(2 * time.Second)
	}
}

func TestWithoutLeaseWaitTheCheckFindsTwoAcknowledgingTerms(t *testing.T) {
	g := NewWithT(t)
	opts := DefaultOptions()
	opts.LeaseTTL = 5 * time.Second
	g.Expect(violatesWithin(10, opts, partHolder)).To(BeFalse(), "with the wait")
	opts.unsafeSkipLeaseWait = true
	g.Expect(violatesWithin(10, opts, partHolder)).To(BeTrue(), "without the wait")
}

func TestWithoutFenceTheCheckFindsALostConfirmedWrite(t *testing.T) {
	g := NewWithT(t)
	opts := DefaultOptions()
	g.Expect(violatesWithin(10, opts, handOver)).To(BeFalse(), "with the fence")
	opts.unsafeSkipFence = true
	g.Expect(violatesWithin(10, opts, handOver)).To(BeTrue(), "without the fence")
}
