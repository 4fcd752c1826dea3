package control_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"egretroad/internal/control"
	"egretroad/internal/platform"
	"egretroad/internal/topology"
)

// stableWindow is the time without a fault after which the users' bound on changes holds.
const stableWindow = 5 * time.Second

// followCheck checks while a simulation runs that the VMs follow the store. A VM that no
// fault has affected for stableWindow
//   - has each object as the store has had it for maxChangeDelay, and
//   - is served: the store has answered it for both kinds within maxChangeDelay, or another
//     VM of its data centre if not every VM watches.
type followCheck struct {
	*sim
	revision  uint64                   // of the store at the last tick
	changedAt map[string]time.Duration // by object; when it was last changed
	proofs    map[string]time.Duration // by data centre; the latest proof of a VM, running or not
}

// checkFollowing makes a simulation fail as soon as a VM does not follow the store.
func checkFollowing(s *sim) {
	c := &followCheck{sim: s, changedAt: map[string]time.Duration{}, proofs: map[string]time.Duration{}}
	s.afterTick = c.check
}

func (c *followCheck) check() {
	for key, o := range c.store.objects {
		if o.Version > c.revision {
			c.changedAt[key] = c.now
		}
	}
	c.revision = c.store.revision
	for _, id := range c.ids {
		n := c.nodes[id]
		if c.isDisturbed(n) {
			n.disturbedAt = c.now
		}
		c.proofs[n.vm.DataCentre] = max(c.proofs[n.vm.DataCentre], n.proof())
	}
	const checkInterval = 10 * simTick
	if c.now%checkInterval != 0 {
		return
	}
	for _, id := range c.ids {
		n := c.nodes[id]
		if c.now-n.disturbedAt <= stableWindow {
			continue
		}
		c.checkServed(n)
		c.checkObjects(n)
	}
}

// isDisturbed reports whether a fault affects a VM now.
func (c *followCheck) isDisturbed(n *node) bool {
	storeIll := len(c.kindsDown) > 0 || c.storeDelay > 0 || c.lostAnswers > 0
	return !n.up || n.paused || !c.storeReachable(n) || storeIll || c.lossPercent > 0 || len(c.partitioned) > 0
}

func (c *followCheck) checkServed(n *node) {
	proof := n.proof()
	if c.opts.MaxVMsAllWatching == 0 {
		proof = c.proofs[n.vm.DataCentre]
	}
	if c.now-proof > maxChangeDelay {
		c.fail("%v: nothing serves %s: last answers %v, calm for %v; its logs: %v", c.now, n.vm.ID, n.answered, c.now-n.disturbedAt, n.logs)
	}
}

// proof returns when the store last answered a VM for the kind that it answered less recently.
func (n *node) proof() time.Duration {
	return min(n.answered[platform.KindCatalogue], n.answered[platform.KindGroup])
}

func (c *followCheck) checkObjects(n *node) {
	known := map[string]control.ObjectDump{}
	for _, o := range n.machine.Dump().Objects {
		known[o.Object] = o
	}
	for key, o := range c.store.objects {
		has := known[key]
		isCurrent := has.Newest >= o.Version || o.Deleted && (has.Deleted || has.Newest == 0)
		if o.Kind != platform.KindStatus && c.now-c.changedAt[key] > maxChangeDelay && !isCurrent {
			c.fail("%v: %s has version %d of %s, which is %d since %v; calm for %v; its logs: %v", c.now, n.vm.ID, has.Newest, key, o.Version, c.changedAt[key], c.now-n.disturbedAt, n.logs)
		}
	}
}

// outage starts a fault of the store, whole or partial.
func (f *faultSim) outage(t *rapid.T) {
	f.silent = rapid.Bool().Draw(t, "silent")
	switch rapid.SampledFrom([]string{"down", "refuse", "kind", "slow", "lost", "compact", "cut"}).Draw(t, "outage") {
	case "down":
		f.store.down = true
	case "refuse":
		percent := rapid.IntRange(30, 100).Draw(t, "percent")
		for _, id := range f.ids {
			f.refused[id] = rapid.IntRange(0, 99).Draw(t, "refused") < percent
		}
	case "kind":
		f.kindsDown[rapid.SampledFrom([]string{platform.KindCatalogue, platform.KindGroup}).Draw(t, "kind")] = true
	case "slow":
		f.storeDelay = time.Duration(rapid.IntRange(1, 18).Draw(t, "ticks")) * simTick
	case "lost":
		f.lostAnswers = rapid.Uint64Range(10, 90).Draw(t, "percent")
	case "compact":
		f.store.put(platform.KindCatalogue, simEntry(0).Name, simEntry(0))
		f.store.compacted = f.store.revision
	case "cut":
		f.partitioned[fmt.Sprintf("dc%d", rapid.IntRange(0, 2).Draw(t, "dc"))] = true
	}
}

// endOutages ends all faults of the store.
func (f *faultSim) endOutages() {
	f.store.down, f.storeDelay, f.lostAnswers = false, 0, 0
	f.refused, f.kindsDown, f.partitioned = map[string]bool{}, map[string]bool{}, map[string]bool{}
}

// roll restarts some or all VMs in turn, some at a time.
func (f *faultSim) roll(t *rapid.T) {
	percent := rapid.SampledFrom([]int{30, 70, 100, 100}).Draw(t, "percent")
	atATime := rapid.IntRange(1, len(f.ids)).Draw(t, "at a time")
	down := time.Duration(rapid.IntRange(0, 20).Draw(t, "ticks down")) * simTick
	var victims []*node
	for _, id := range f.ids {
		if n := f.nodes[id]; n.up && rapid.IntRange(0, 99).Draw(t, "rolled") < percent {
			victims = append(victims, n)
		}
	}
	for len(victims) > 0 {
		some := victims[:min(atATime, len(victims))]
		victims = victims[len(some):]
		for _, n := range some {
			if rapid.Bool().Draw(t, "announced") {
				f.step(n, leaving())
			}
			n.up = false
		}
		f.advance(down + simTick)
		for _, n := range some {
			f.start(n.vm)
		}
	}
}

// followActions are faults and changes around starts of VMs.
func (f *faultSim) followActions() map[string]func(*rapid.T) {
	all := f.actions()
	actions := map[string]func(*rapid.T){
		"outage":     f.outage,
		"endOutages": func(*rapid.T) { f.endOutages() },
		"roll":       f.roll,
		"calm": func(t *rapid.T) {
			f.endOutages()
			f.advance(stableWindow + time.Duration(rapid.IntRange(1, 40).Draw(t, "ticks"))*simTick)
		},
	}
	for _, name := range []string{"edit", "add", "delete", "term", "crash", "restart", "pause", "resume", "replace", "time"} {
		actions[name] = all[name]
	}
	return actions
}

// Whatever came before, a VM follows the store once no fault has affected it for a while.
// Starts, kills and rolls come within outages of every kind.
func TestVMsFollowStoreAfterAnyStart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &faultSim{sim: newSim(3, rapid.IntRange(1, 4).Draw(t, "vms"), 5, t.Fatalf), databases: 5}
		f.watchApart = true
		f.opts.MaxBackoff, f.opts.WatchTimeout = time.Second, usersWatchTimeout
		f.opts.MaxVMsAllWatching = rapid.SampledFrom([]int{0, maxVMsAllWatching}).Draw(t, "watchers")
		f.seeds = []topology.VM{simVM(0, 0), simVM(1, 0), simVM(2, 0)}
		checkFollowing(f.sim)
		f.startAll()
		f.advance(2 * time.Second)
		t.Repeat(f.followActions())
		f.endOutages()
		f.endFaults()
		f.advance(stableWindow + 2*maxChangeDelay)
	})
}

// usersWatchTimeout bounds the wait of a watch on the users' platform.
const usersWatchTimeout = 3 * time.Second
