// Package pgserver is a stand-in (an in-process fake) of a PostgreSQL database group for
// tests and measurements. A Group holds one primary and its replicas; each Server speaks
// the PostgreSQL wire protocol over one in-memory table kv(key, value). The package
// simulates terms (promotion epochs), fences (fencing tokens: a server whose fence is above
// its term accepts no writes), log positions (LSNs), asynchronous replication with a lag,
// slots (a limit of concurrent statements), connection limits and injected faults. It
// parses only the statements listed in patterns, BEGIN and SET, and persists nothing.
package pgserver

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"egretroad/internal/standin/network"
)

// FirstTerm is the term of a new group, before any promotion.
const FirstTerm = 1

// ServerSpec configures one backend server of a group.
type ServerSpec struct {
	ID             string
	DataCentre     string
	Addr           string        // IP:port to listen on; port 0 picks a free one
	Slots          int           // limit of statements that run at the same time
	MaxConnections int           // limit of connections; further ones are refused with 53300
	ConnectDelay   time.Duration // delay between the startup message and its response
	ServiceTime    time.Duration // time that a statement on kv occupies its slot
	Lag            time.Duration // replication lag: age at which a replica applies a commit
}

// Group is a database with its backend servers. The first server of the specification
// starts as the primary, the others as its replicas. Safe for concurrent use.
type Group struct {
	database string
	net      *network.Network

	mu               sync.Mutex // guards all servers' storage and the fields below
	servers          []*Server
	rng              *rand.Rand
	recording        atomic.Bool
	statementEvents  []*StatementEvent
	recordedCommits  []*logRecord   // commits on any server while recording is on
	promotionsByTerm map[uint64]int // number of servers promoted in each term
}

// InvalidSpecError reports an invalid group specification.
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

// NewGroup starts the servers of a database on the simulated network. The seed
// initializes the random choices of fault injection. The caller must call Close.
func NewGroup(database string, specs []ServerSpec, net *network.Network, seed uint64) (*Group, error) {
	if len(specs) == 0 {
		return nil, &InvalidSpecError{Reason: "no servers"}
	}
	g := &Group{
		database:         database,
		net:              net,
		rng:              rand.New(rand.NewPCG(seed, 1)),
		promotionsByTerm: map[uint64]int{FirstTerm: 1},
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
		go s.replicationLoop()
	}
	return g, nil
}

// Database returns the database's name.
func (g *Group) Database() string { return g.database }

// Servers returns all servers in the order of the specification.
func (g *Group) Servers() []*Server { return g.servers }

// Server returns the server with the given ID, or nil if there is none.
func (g *Group) Server(id string) *Server {
	for _, s := range g.servers {
		if s.spec.ID == id {
			return s
		}
	}
	return nil
}

// Primary returns the server with the primary role in the highest term, even if it is
// fenced or stopped.
func (g *Group) Primary() *Server {
	g.mu.Lock()
	defer g.mu.Unlock()
	primary := g.servers[0]
	for _, s := range g.servers {
		if s.role == rolePrimary && (primary.role != rolePrimary || s.term > primary.term) {
			primary = s
		}
	}
	return primary
}

// SetLag sets the replication lag of every server; see Server.SetLag.
func (g *Group) SetLag(lag time.Duration) {
	for _, s := range g.servers {
		s.SetLag(lag)
	}
}

// SetCommitCuts makes every server drop the client's connection during the given share (0 to 1)
// of commits that write: in half of them before the commit is applied, in half after.
func (g *Group) SetCommitCuts(share float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.servers {
		s.commitCuts = share
	}
}

// DoublePromotions returns the number of terms in which more than one server was
// promoted. Any number above zero means a split brain.
func (g *Group) DoublePromotions() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	count := 0
	for _, n := range g.promotionsByTerm {
		if n > 1 {
			count++
		}
	}
	return count
}

// Close stops every server for good.
func (g *Group) Close() {
	for _, s := range g.servers {
		s.close()
	}
}

func (g *Group) serverByAddr(addr string) *Server {
	for _, s := range g.servers {
		if s.Addr() == addr {
			return s
		}
	}
	return nil
}
