package authority

import (
	"sort"

	"github.com/cespare/xxhash/v2"
	rendezvous "github.com/dgryski/go-rendezvous"

	"egretroad/internal/topology"
)

// delegateKey is the prefix of the rendezvous key of a data centre's delegate.
const delegateKey = "lease/"

// delegateOf returns the VM that writes the leases of a data centre, or "".
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
	return lookup(ids, delegateKey+dc)
}

// lookup picks one VM for a key; it does not depend on the order of ids.
func lookup(ids []string, key string) string {
	sort.Strings(ids)
	return rendezvous.New(ids, xxhash.Sum64String).Lookup(key)
}

// coordinators lists the VMs that may run a promotion of a group, first the one
// whose turn it is: homes of replicas in rendezvous order, then the home of the
// primary.
func (m *Machine) coordinators(g *topology.Group, primary string) []string {
	var rest []string
	seen := map[string]bool{}
	last := m.snapshot.Homes[primary]
	for _, s := range g.Servers {
		vm := m.snapshot.Homes[s.ID]
		if vm == "" || vm == last || seen[vm] {
			continue
		}
		seen[vm] = true
		rest = append(rest, vm)
	}
	var order []string
	for len(rest) > 0 {
		next := lookup(rest, g.Database)
		order = append(order, next)
		rest = without(rest, next)
	}
	if last != "" {
		order = append(order, last)
	}
	return order
}

// rank returns this VM's place in the line of coordinators, or -1.
func (m *Machine) rank(g *topology.Group, primary string) int {
	for i, vm := range m.coordinators(g, primary) {
		if vm == m.self.ID {
			return i
		}
	}
	return -1
}

func without(ids []string, id string) []string {
	var rest []string
	for _, v := range ids {
		if v != id {
			rest = append(rest, v)
		}
	}
	return rest
}
