package control

import (
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"

	"egretroad/internal/placement"
)

// ring orders the VMs of this data centre by hash. Each VM sends heartbeats to its
// successors, which monitor it. farPeers are VMs of other data centres with which it
// exchanges heartbeats at a lower rate. relays holds one VM of each other data centre,
// which relays updates there. It is the first to watch there: what it has read itself it
// does not relay again.
type ring struct {
	order        []string // reachable VMs of this data centre, by hash
	successors   []string // VMs that monitor this VM
	predecessors []string // VMs that this VM monitors
	farPeers     []string
	relays       []string
	// watchers holds the VMs that may watch the platform's store for this data centre, in the
	// order in which they take over from each other; see isWatcher.
	watchers []string
}

// buildRing computes the ring of a VM from the member table. The watchers and the
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
		watchers:     watchOrder(dc, t.eligibleHomes(dc)),
	}
	for _, other := range t.dataCentres() {
		if other == dc {
			continue
		}
		vms := t.reachableIn(other)
		r.relays = append(r.relays, watchOrder(other, vms)[0])
		r.farPeers = append(r.farPeers, placement.Pick(self, vms))
	}
	r.farPeers = selectByHash(r.farPeers, self, farPeers)
	return r
}

// watcher returns the first VM to watch the store for this data centre; "" if there is none.
func (r *ring) watcher() string {
	if len(r.watchers) == 0 {
		return ""
	}
	return r.watchers[0]
}

// watchOrder returns VMs of a data centre in the order in which they watch the store.
func watchOrder(dc string, vms []string) []string {
	return selectByHash(slices.Clone(vms), "watch/"+dc+"/", len(vms))
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

// selectByHash selects n of the VMs, in an order that depends on the key. VMs that use
// their own IDs as key spread the load.
func selectByHash(vms []string, key string, n int) []string {
	sort.Slice(vms, func(i, j int) bool {
		return xxhash.Sum64String(key+vms[i]) < xxhash.Sum64String(key+vms[j])
	})
	return vms[:min(n, len(vms))]
}
