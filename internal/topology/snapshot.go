package topology

import "egretroad/internal/catalogue"

// Snapshot is the immutable view of the fleet that control publishes to the goroutines
// that serve traffic. Readers must not modify it.
type Snapshot struct {
	Self      string // ID of this VM
	Revision  uint64 // highest platform revision contained; never decreases
	Catalogue *catalogue.Catalogue
	// Configuration tells to which configuration the catalogue belongs.
	Configuration Configuration
	Groups        map[string]*Group // by database
	VMs           map[string]VM     // VMs considered live, by ID, including this one
	Listed        []string          // IDs of the VMs in the platform's list or announced since, including dead ones
	Dead          map[string]VM     // listed VMs considered dead, by ID
	Homes         map[string]string // ID of each server's home (the VM that serves it), by server ID
}

// Configuration describes the entries of the catalogue that a VM holds.
type Configuration struct {
	Complete uint64 // version up to which the VM knows every change; 0: none
	From     string // why it does: a list or watch of the store, or a VM; for logs
	Entries  int    // entries in force
	Later    int    // entries that a peer has sent since, which belong to later versions than Complete
}

// LogFields returns the fields of log lines about what a VM had in force.
func (c Configuration) LogFields() []any {
	return []any{"complete", c.Complete, "complete_from", c.From, "entries", c.Entries, "later_entries", c.Later}
}

// Source provides the current snapshot. Implementations are safe for concurrent use.
type Source interface {
	Snapshot() *Snapshot
	// Changed returns a channel that is closed when the next snapshot is published.
	Changed() <-chan struct{}
}

// Home returns the home of a server; false if it has none among the live VMs.
func (s *Snapshot) Home(server string) (VM, bool) {
	vm, ok := s.VMs[s.Homes[server]]
	return vm, ok
}

// FindServer returns the server with the given ID and its group.
func (s *Snapshot) FindServer(id string) (*Group, Server, bool) {
	for _, g := range s.Groups {
		if srv, ok := g.Server(id); ok {
			return g, srv, true
		}
	}
	return nil, Server{}, false
}
