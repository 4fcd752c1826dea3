package authority

import (
	"sort"

	"github.com/cespare/xxhash/v2"
	rendezvous "github.com/dgryski/go-rendezvous"

	"egretroad/internal/topology"
)

// delegateKeyPrefix precedes the data centre in the rendezvous hashing key of its
// delegate.
const delegateKeyPrefix = "lease/"

// delegateOf returns the VM that writes the leases of a data centre: this VM when
// no other is known there.
func (m *Machine) delegateOf(dc string) string {
	var ids []string
	for id, vm := range m.snapshot.VMs {
		if vm.DataCentre == dc && vm.State != topology.VMLeaving {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return m.self.ID
	}
	return rendezvousPick(ids, delegateKeyPrefix+dc)
}

// rendezvousPick selects one VM for a key by rendezvous hashing. It sorts ids in
// place, so the result does not depend on their order.
func rendezvousPick(ids []string, key string) string {
	sort.Strings(ids)
	return rendezvous.New(ids, xxhash.Sum64String).Lookup(key)
}

// coordinatorOrder lists the VMs that may coordinate a promotion of a group, by
// preference: homes of replicas in rendezvous order, then the home of the primary.
func (m *Machine) coordinatorOrder(g *topology.Group, primary string) []string {
	var replicaHomes []string
	seen := map[string]bool{}
	primaryHome := m.snapshot.Homes[primary]
	for _, s := range g.Servers {
		vm := m.snapshot.Homes[s.ID]
		if vm == "" || vm == primaryHome || seen[vm] {
			continue
		}
		seen[vm] = true
		replicaHomes = append(replicaHomes, vm)
	}
	var order []string
	for len(replicaHomes) > 0 {
		next := rendezvousPick(replicaHomes, g.Database)
		order = append(order, next)
		replicaHomes = exclude(replicaHomes, next)
	}
	if primaryHome != "" {
		order = append(order, primaryHome)
	}
	return order
}

// coordinatorRank returns this VM's index in coordinatorOrder, or -1.
func (m *Machine) coordinatorRank(g *topology.Group, primary string) int {
	for i, vm := range m.coordinatorOrder(g, primary) {
		if vm == m.self.ID {
			return i
		}
	}
	return -1
}

func exclude(ids []string, id string) []string {
	var remaining []string
	for _, v := range ids {
		if v != id {
			remaining = append(remaining, v)
		}
	}
	return remaining
}
