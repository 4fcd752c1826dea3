package topology

import "egretroad/internal/catalogue"

// Snapshot is the immutable view that control publishes to traffic goroutines.
// Readers must not modify it.
type Snapshot struct {
	Self      string // ID of this VM
	Revision  uint64 // highest platform revision contained; never falls
	Catalogue *catalogue.Catalogue
	Groups    map[string]*Group // by database
	VMs       map[string]VM     // VMs thought live, by ID, this one included
	Homes     map[string]string // home VM ID by server ID
}

// Source gives the snapshot in force. Implementations are safe for concurrent use.
type Source interface {
	Snapshot() *Snapshot
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
}

// Home returns the VM that is home of a server.
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
