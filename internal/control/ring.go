package control

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"egretroad/internal/placement"
)

// ring orders the VMs of this data centre by hash. Each VM sends heartbeats to its
// successors, which monitor it. farPeers are VMs of other data centres with which it
// exchanges heartbeats at a lower rate. relays holds one VM of each other data centre,
// which relays updates there.
type ring struct {
	order        []string // reachable VMs of this data centre, by hash
	successors   []string // VMs that monitor this VM
	predecessors []string // VMs that this VM monitors
	farPeers     []string
	relays       []string
	watcher      string // VM that watches the platform's store for this data centre
}

// buildRing computes the ring of a VM from the member table. The watcher and the
// relays are chosen by rendezvous hashing, so that all VMs agree on them.
func buildRing(t *memberTable, self, dc string, monitors, farPeers int) ring {
	order := t.reachableIn(dc)
	sort.Slice(order, func(i, j int) bool {
		return xxhash.Sum64String(order[i]) < xxhash.Sum64String(order[j])
	})
	r := ring{
		order:        order,
		successors:   neighbours(order, self, monitors, 1),
		predecessors: neighbours(order, self, monitors, -1),
		watcher:      placement.Pick("watch/"+dc, t.eligibleHomes(dc)),
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

// neighbours returns up to n VMs that follow self in the ring. step is 1 for
// successors and -1 for predecessors.
func neighbours(order []string, self string, n, step int) []string {
	selfIndex := -1
	for i, id := range order {
		if id == self {
			selfIndex = i
		}
	}
	if selfIndex < 0 {
		return nil
	}
	var found []string
	for i := 1; i < len(order) && len(found) < n; i++ {
		found = append(found, order[(selfIndex+i*step+len(order)*n)%len(order)])
	}
	return found
}

// monitorsOf returns the VMs that monitor a VM of this data centre.
func (r *ring) monitorsOf(vm string, monitors int) []string {
	return neighbours(r.order, vm, monitors, 1)
}

// selectByHash selects n of the VMs. The selection differs between values of self,
// which spreads the load.
func selectByHash(vms []string, self string, n int) []string {
	if len(vms) <= n {
		return vms
	}
	sort.Slice(vms, func(i, j int) bool {
		return xxhash.Sum64String(self+vms[i]) < xxhash.Sum64String(self+vms[j])
	})
	return vms[:n]
}
