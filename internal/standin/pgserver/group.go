// Package pgserver is a stand-in of a database group: backend servers that
// speak the PostgreSQL protocol over one table kv(key, value), with terms, log
// positions, asynchronous replication, slots, connection limits and faults.
package pgserver

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"egretroad/internal/standin/network"
)

// FirstTerm is the term of a new group.
const FirstTerm = 1

// ServerSpec describes one backend server of a group.
type ServerSpec struct {
	ID             string
	DataCentre     string
	Addr           string        // IP:port to listen on; port 0 picks a free one
	Slots          int           // statements that run at the same time
	MaxConnections int           // connections, beyond which 53300 is answered
	ConnectDelay   time.Duration // from the startup message to its answer
	ServiceTime    time.Duration // time that a statement on kv holds its slot
	Lag            time.Duration // age at which a replica applies a commit
}

// Group is a database with its backend servers. The first server of the
// specification starts as the primary. Safe for concurrent use.
type Group struct {
	database string
	net      *network.Network

	mu        sync.Mutex // guards all servers' storage and the fields below
	servers   []*Server
	rng       *rand.Rand
	recording atomic.Bool
	history   []*StatementEvent
	commits   []*record      // every commit on any server, while recording
	promoted  map[uint64]int // promotions by term
}

// InvalidSpecError reports a group specification that cannot be served.
type InvalidSpecError struct{ Reason string }

func (e *InvalidSpecError) Error() string { return "invalid group specification: " + e.Reason }

// ListenError reports an address that a server could not listen on.
type ListenError struct {
	Addr  string
	Cause error
}

func (e *ListenError) Error() string { return fmt.Sprintf("cannot listen on %s: %v", e.Addr, e.Cause) }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

// NewGroup starts the servers of a database. The seed drives injected faults.
func NewGroup(database string, specs []ServerSpec, net *network.Network, seed uint64) (*Group, error) {
	if len(specs) == 0 {
		return nil, &InvalidSpecError{Reason: "no servers"}
	}
	g := &Group{
		database: database,
		net:      net,
		rng:      rand.New(rand.NewPCG(seed, 1)),
		promoted: map[uint64]int{FirstTerm: 1},
	}
	for _, spec := range specs {
		s, err := newServer(g, spec)
		if err != nil {
			g.Close()
			return nil, err
		}
		g.servers = append(g.servers, s)
	}
	g.mu.Lock()
	g.servers[0].role = rolePrimary
	for _, s := range g.servers[1:] {
		s.primary = g.servers[0]
	}
	g.mu.Unlock()
	for _, s := range g.servers {
		go s.replicate()
	}
	return g, nil
}

// Database returns the database's name.
func (g *Group) Database() string { return g.database }

// Servers returns all servers in the order of the specification.
func (g *Group) Servers() []*Server { return g.servers }

// Server returns the server with the given ID, or nil.
func (g *Group) Server(id string) *Server {
	for _, s := range g.servers {
		if s.spec.ID == id {
			return s
		}
	}
	return nil
}

// Primary returns the server that accepts writes in the highest term, or the
// last one that did.
func (g *Group) Primary() *Server {
	g.mu.Lock()
	defer g.mu.Unlock()
	best := g.servers[0]
	for _, s := range g.servers {
		if s.role == rolePrimary && (best.role != rolePrimary || s.term > best.term) {
			best = s
		}
	}
	return best
}

// SetLag sets the replication lag of every server.
func (g *Group) SetLag(lag time.Duration) {
	for _, s := range g.servers {
		s.SetLag(lag)
	}
}

// SetCommitCuts makes every server drop the connection at the given share of
// commits: half of them before the commit is applied, half of them after it.
func (g *Group) SetCommitCuts(share float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.servers {
		s.commitCuts = share
	}
}

// DoublePromotions returns the number of terms that more than one server was
// promoted in.
func (g *Group) DoublePromotions() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	count := 0
	for _, n := range g.promoted {
		if n > 1 {
			count++
		}
	}
	return count
}

// Close ends every server.
func (g *Group) Close() {
	for _, s := range g.servers {
		s.close()
	}
}

func (g *Group) serverAt(addr string) *Server {
	for _, s := range g.servers {
		if s.Addr() == addr {
			return s
		}
	}
	return nil
}
