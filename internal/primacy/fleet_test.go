package primacy_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// refreshEvery is the time between two refreshes of the evidence of a simulated VM.
const refreshEvery = 250 * time.Millisecond

// run lets all VMs work for a while as they do without further disruptions: those that reach
// the store read it and keep the record of the established VMs, the others ask each other,
// and promotions go on.
func (w *world) run(d time.Duration) {
	for ; d > 0; d -= refreshEvery {
		for _, id := range w.ids {
			if w.runs(id) {
				w.refresh(id)
				w.continueAttempt(id, 0)
				w.check()
			}
		}
		w.advance(min(d, refreshEvery))
		w.check()
	}
}

func (w *world) refresh(id string) {
	if w.vms[id].noStore {
		w.askAll(id)
		return
	}
	w.register(id)
	w.settle(id)
	w.readStore(id)
	w.recordEstablished(id, 0)
}

// herd returns VMs that something happens to at the same time: those on one side of a cut, or
// any.
func (w *world) herd(t *rapid.T) []string {
	side := rapid.IntRange(0, 2).Draw(t, "side")
	if side == 2 {
		return w.subset(rapid.UintRange(0, 1<<len(w.ids)-1).Draw(t, "herd"))
	}
	var ids []string
	for _, id := range w.ids {
		if w.vms[id].partition == side {
			ids = append(ids, id)
		}
	}
	return ids
}

// withStore returns the VMs that run and reach the store; all if there are none.
func (w *world) withStore() []string {
	ids := slices.DeleteFunc(slices.Clone(w.ids), func(id string) bool { return !w.runs(id) || w.vms[id].noStore })
	if len(ids) == 0 {
		return w.ids
	}
	return ids
}

// subset returns the VMs whose bits are set.
func (w *world) subset(bits uint) []string {
	var ids []string
	for i, id := range w.ids {
		if bits&(1<<i) != 0 {
			ids = append(ids, id)
		}
	}
	return ids
}

// cut cuts VMs off from the others, with or without the store, or ends the cut if there are
// none.
func (w *world) cut(ids []string, store bool) {
	for _, vm := range w.vms {
		vm.partition, vm.noStore = 0, false
	}
	for _, id := range ids {
		w.vms[id].partition, w.vms[id].noStore = 1, !store
	}
}

// returnVM starts a VM again that had been stopped, or another machine under its name.
func (w *world) returnVM(id string) {
	if w.vms[id].stopped {
		w.vms[id].stopped = false
		w.start(id)
	}
}

// promote makes a VM promote a server that is not the primary.
func (w *world) promote(id string) {
	server := "s1"
	if w.primary == server {
		server = "s2"
	}
	w.claim(id, server, 0)
}

// backUp makes a copy of the store, from which it may return.
func (w *world) backUp() {
	w.copies = append(w.copies, storeCopy{w.store, w.revision, w.listed, w.entries, w.record, w.version})
}

// As TestAtMostOneServerIsUsable, with disruptions of whole sides of a cut and herds of VMs,
// between which the VMs work as usual.
func TestAtMostOneServerIsUsableInFleet(t *testing.T) { searchFleet(t, uncovered{}) }

func searchFleet(t *testing.T, classes uncovered) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, rapid.IntRange(2, 5).Draw(t, "vms"))
		w.uncovered = classes
		w.age(rapid.SampledFrom([]int{2, 1, 0}).Draw(t, "age"))
		for range rapid.IntRange(1, 14).Draw(t, "steps") {
			w.step(t)
			w.check()
		}
	})
}

// step makes one disruption, or lets the fleet work.
func (w *world) step(t *rapid.T) {
	vm := rapid.SampledFrom(w.ids)
	withStore := rapid.SampledFrom(w.withStore())
	switch step := rapid.SampledFrom([]string{ // earlier ones are drawn more often
		"promote", "restart", "join", "cut", "run", "run long", "power off", "stop", "leave", "return", "restore", "back up", "late record",
	}).Draw(t, "step"); step {
	case "run":
		w.run(time.Duration(rapid.IntRange(1, 16).Draw(t, "quarters")) * refreshEvery)
	case "run long":
		w.run(time.Duration(rapid.IntRange(5, 16).Draw(t, "seconds")) * time.Second)
	case "cut":
		n := rapid.SampledFrom([]int{len(w.ids) / 2, 1, len(w.ids) - 1, 0}).Draw(t, "cut off")
		w.cut(rapid.Permutation(w.ids).Draw(t, "order")[:n], rapid.IntRange(0, 5).Draw(t, "store") == 0)
	case "join":
		w.join(w.vms[withStore.Draw(t, "beside")].partition)
	case "restart":
		for _, id := range w.herd(t) {
			if w.runs(id) {
				w.restart(id)
			}
		}
	case "promote":
		if id := withStore.Draw(t, "by"); w.runs(id) {
			w.readStore(id)
			w.promote(id)
			w.run(time.Duration(rapid.IntRange(0, 16).Draw(t, "quarters")) * refreshEvery)
		}
	case "power off":
		if id := vm.Draw(t, "vm"); w.runs(id) {
			w.end(id)
		}
	case "stop", "leave":
		w.leave(vm.Draw(t, "vm"), step == "stop")
	case "return":
		w.returnVM(vm.Draw(t, "vm"))
	case "back up":
		w.backUp()
	case "restore":
		w.restore(rapid.IntRange(0, 2).Draw(t, "age"))
	case "late record":
		if id := withStore.Draw(t, "by"); w.runs(id) {
			w.recordEstablished(id, time.Duration(rapid.IntRange(0, 20).Draw(t, "seconds"))*time.Second)
		}
	default:
		panic(fmt.Sprint("unknown step ", step))
	}
}
