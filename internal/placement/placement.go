// Package placement assigns keys to VMs by rendezvous hashing, so that few keys
// move when VMs come and go. It keeps no state.
package placement

import (
	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
)

// Placement picks among a fixed set of VMs.
type Placement struct {
	table *rendezvous.Rendezvous
}

// New returns a placement over the given VM IDs. Their order must be the same on
// every VM only for equal hashes; pass them sorted.
func New(vms []string) *Placement {
	return &Placement{table: rendezvous.New(vms, xxhash.Sum64String)}
}

// Pick returns the VM of a key, or "" when there is no VM.
func (p *Placement) Pick(key string) string { return p.table.Lookup(key) }

// Pick returns the VM of a key among sorted VM IDs, or "" when there is none.
func Pick(key string, vms []string) string { return New(vms).Pick(key) }
