package control

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"egretroad/internal/placement"
)

// ring orders the VMs of this data centre by hash: each VM sends heartbeats to
// its successors, which monitor it. far are the VMs of other data centres that
// it exchanges slow heartbeats with. relays are the VMs that news goes to in
// each other data centre.
type ring struct {
	order   []string // this data centre's VMs thought to answer, by hash
	successors []string // successors of this VM
	predecessors []string // predecessors, which this VM monitors
	farPeers     []string
	relays  []string
	watcher string // VM that watches the store for this data centre
}

// buildRing computes the ring of a VM from the members.
func buildRing(t *memberTable, self, dc string, monitors, farPeers int) ring {
	order := t.reachableIn(dc)
	sort.Slice(order, func(i, j int) bool {
		return xxhash.Sum64String(order[i]) < xxhash.Sum64String(order[j])
	})
	r := ring{
		order:   order,
		successors: neighbours(order, self, monitors, 1),
		predecessors: neighbours(order, self, monitors, -1),
		watcher: placement.Pick("watch/"+dc, t.eligibleHomes(dc)),
	}
	for _, other := range t.dataCentres() {
		if other == dc {
			continue
		}
		vms := t.reachableIn(other)
		r.relays = append(r.relays, placement.Pick("watch/"+other, vms))
		r.farPeers = append(r.farPeers, placement.Pick(self, vms))
	}
	r.farPeers = selectByHash(r.farPeers, self, farPeers)
	return r
}

// neighbours returns up to n VMs that follow self in the ring, in the direction
// of step.
func neighbours(order []string, self string, n, step int) []string {
	at := -1
	for i, id := range order {
		if id == self {
			at = i
		}
	}
	if at < 0 {
		return nil
	}
	var found []string
	for i := 1; i < len(order) && len(found) < n; i++ {
		found = append(found, order[(at+i*step+len(order)*n)%len(order)])
	}
	return found
}

// monitorsOf returns the VMs that monitor a VM of this data centre.
func (r *ring) monitorsOf(vm string, monitors int) []string {
	return neighbours(r.order, vm, monitors, 1)
}

// spreadOut keeps n of the VMs, a different choice for each VM.
func selectByHash(vms []string, self string, n int) []string {
	if len(vms) <= n {
		return vms
	}
	sort.Slice(vms, func(i, j int) bool {
		return xxhash.Sum64String(self+vms[i]) < xxhash.Sum64String(self+vms[j])
	})
	return vms[:n]
}
