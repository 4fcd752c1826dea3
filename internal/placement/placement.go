// Package placement assigns keys to VMs by rendezvous hashing, so that few keys move
// when VMs are added or removed. It does not track which VMs are alive: its users pass
// the set of VMs.
package placement

import (
	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
)

// Placement assigns keys to a fixed set of VMs.
type Placement struct {
	table *rendezvous.Rendezvous
}

// New returns a placement over the given VM IDs. Pass them sorted: their order breaks
// ties between equal hashes and must then be the same on every VM.
func New(vms []string) *Placement {
	return &Placement{table: rendezvous.New(vms, xxhash.Sum64String)}
}

// Pick returns the VM for a key, or "" if the set is empty.
func (p *Placement) Pick(key string) string { return p.table.Lookup(key) }

// Pick returns the VM for a key among sorted VM IDs, or "" if there are none.
func Pick(key string, vms []string) string { return New(vms).Pick(key) }
