// Package linegroup is a stand-in (an in-process fake that speaks the real protocol)
// for the users' database groups. The servers of a Group speak the line protocol,
// replicate with a delay and are promoted by a method call. Tests inject faults into
// a Server, and compare the recorded runs and commits with the outcomes that callers
// received.
package linegroup

import (
	"net"
	"strconv"
	"sync"
	"time"
)

// Commit is one committed write.
type Commit struct {
	Number uint64 // log position, from 1
	ID     string // request ID of the write
	Item   string
	Data   string
}

// Run records one read or write that a server executed.
type Run struct {
	Server string
	ID     string
	Text   string
	Number uint64 // the server's log position at that time
}

// Group is a database group: one primary and its replicas.
type Group struct {
	Name        string
	Lag         time.Duration // delay before a replica applies a commit
	ServiceTime time.Duration // service time of one statement
	// KeepsOldPrimary makes a replaced primary go on as primary of its term until it is
	// told to step down. Otherwise a promotion makes it a replica.
	KeepsOldPrimary bool

	mu      sync.Mutex // guards the fields below
	term    uint64
	primary string // the server promoted last
	servers map[string]*Server
	runs    []Run
	commits []Commit // every commit in order, including those lost in a promotion
	late    []Commit // commits of servers that had been replaced
}

// Server is one server of a group.
type Server struct {
	ID                  string
	group               *Group
	listener            net.Listener
	log                 []Commit        // applied commits
	isPrimary           bool            // as the server knows it
	blocked             map[string]bool // IP addresses to which the server does not respond
	term                uint64          // term of the log
	conns               map[net.Conn]*conn
	down                bool
	unresponsive        bool                     // reads requests but never responds
	responsesToDrop     int                      // remaining statements that run and then close the connection
	responsesToSuppress int                      // remaining statements that run and then mute the connection
	injectedErrors      map[string]int           // remaining errors, by "VERB CODE"
	extraDelay          map[string]time.Duration // extra service time, by verb
	maxConnections      int                      // further connections get MAXCONN
	statements          []string                 // every statement received, as "ID TEXT", in order
	running             int                      // statements that occupy a slot now
	maxRunning          int                      // maximum of running so far
}

// New starts a group of servers with the given IDs, of which the first is the
// primary. Each server listens on a loopback port of its own.
func New(name string, ids ...string) (*Group, error) {
	g := &Group{Name: name, term: 1, primary: ids[0], servers: map[string]*Server{}}
	for _, id := range ids {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			g.Close()
			return nil, err
		}
		s := &Server{
			ID: id, group: g, listener: listener, term: 1, conns: map[net.Conn]*conn{},
			isPrimary: id == ids[0], blocked: map[string]bool{},
			injectedErrors: map[string]int{}, extraDelay: map[string]time.Duration{}, maxConnections: 100,
		}
		g.servers[id] = s
		go s.accept()
	}
	return g, nil
}

// Close stops all servers and closes their connections.
func (g *Group) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.servers {
		_ = s.listener.Close() // may be closed already
		s.closeConns()
	}
}

// Server returns the server with the given ID, or nil if there is none.
func (g *Group) Server(id string) *Server { return g.servers[id] }

// Primary returns the ID of the primary.
func (g *Group) Primary() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.primary
}

// Promote makes a server the primary of the next term, with the log it has applied
// so far; later commits of the old primary are lost. It returns false if the server
// is unknown, crashed or unresponsive.
func (g *Group) Promote(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.servers[id]
	if s == nil || s.down || s.unresponsive {
		return false
	}
	if g.primary == id {
		return true
	}
	g.term++
	g.primary = id
	s.term, s.isPrimary = g.term, true
	for _, other := range g.servers {
		if other != s && g.KeepsOldPrimary && other.isPrimary {
			continue
		}
		if other != s {
			other.isPrimary = false
			other.log = append([]Commit(nil), s.log[:min(len(s.log), len(other.log))]...)
			go g.replicate(s, other, s.term, len(s.log))
		}
	}
	return true
}

// Runs returns the reads and writes that the servers executed, in order.
func (g *Group) Runs() []Run {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]Run(nil), g.runs...)
}

// AllCommits returns every commit, including those lost in a promotion.
func (g *Group) AllCommits() []Commit {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]Commit(nil), g.commits...)
}

// LateCommits returns the commits that a primary made after another had been promoted.
func (g *Group) LateCommits() []Commit {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]Commit(nil), g.late...)
}

// Commits returns the log of the current primary.
func (g *Group) Commits() []Commit {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]Commit(nil), g.servers[g.primary].log...)
}

// commit appends writes to the primary's log and starts their replication. mu must
// be held.
func (g *Group) commit(s *Server, writes []Commit) {
	for i := range writes {
		writes[i].Number = uint64(len(s.log)) + 1
		s.log = append(s.log, writes[i])
		g.commits = append(g.commits, writes[i])
		if g.primary != s.ID {
			g.late = append(g.late, writes[i])
		}
	}
	for _, replica := range g.servers {
		if replica != s && !replica.down && !replica.isPrimary {
			go g.replicate(s, replica, s.term, len(s.log))
		}
	}
}

// replicate copies the first upTo commits of s to a replica after the lag. It does
// nothing if the term has changed, the replica is down or already has a longer log,
// or s no longer has those commits.
func (g *Group) replicate(s, replica *Server, term uint64, upTo int) {
	time.Sleep(g.Lag)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.term != term || replica.down || replica.isPrimary || len(replica.log) > upTo || len(s.log) < upTo {
		return
	}
	replica.term = term
	replica.log = append(replica.log[:0:0], s.log[:upTo]...)
}

// Addr returns the server's host:port address.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Crash closes the server's connections and makes it close new ones at once, until
// Start.
func (s *Server) Crash() {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.down = true
	s.closeConns()
}

// Start ends the effect of Crash and StopResponding.
func (s *Server) Start() {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.down, s.unresponsive = false, false
}

// StopResponding makes the server accept connections and requests without responding,
// until Start.
func (s *Server) StopResponding() {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.unresponsive = true
}

// Block makes the server ignore all requests from an IP address, or respond again.
func (s *Server) Block(ip string, blocked bool) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.blocked[ip] = blocked
}

// IsPrimary reports whether the server is a primary, as it knows itself.
func (s *Server) IsPrimary() bool {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return s.isPrimary
}

// stepDown makes a primary of a lower term a replica of the current primary. The group's
// mutex must be held.
func (s *Server) stepDown(term uint64) {
	if !s.isPrimary || s.term >= term {
		return
	}
	s.isPrimary = false
	current := s.group.servers[s.group.primary]
	if current != s {
		s.log = append([]Commit(nil), current.log[:min(len(current.log), len(s.log))]...)
		go s.group.replicate(current, s, s.group.term, len(current.log))
	}
}

// DropResponses makes the server run the next n statements that occupy a slot, and close
// the connection instead of responding.
func (s *Server) DropResponses(n int) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.responsesToDrop = n
}

// SuppressResponses makes the server run the next n statements that occupy a slot, but
// send no response to them. Their connections stay open and send nothing more.
func (s *Server) SuppressResponses(n int) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.responsesToSuppress = n
}

// InjectErrors makes the next n statements with the given verb fail with an error code.
func (s *Server) InjectErrors(verb, code string, n int) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.injectedErrors[verb+" "+code] = n
}

// AddDelay adds a delay to the service time of statements with the given verb.
func (s *Server) AddDelay(verb string, delay time.Duration) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.extraDelay[verb] = delay
}

// LimitConnections sets the maximum number of open connections. Further connections
// are rejected with MAXCONN.
func (s *Server) LimitConnections(n int) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.maxConnections = n
}

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return len(s.conns)
}

// Statements returns every statement that the server received, each as "ID TEXT".
func (s *Server) Statements() []string {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return append([]string(nil), s.statements...)
}

// MaxRunning returns the maximum number of statements that ran concurrently.
func (s *Server) MaxRunning() int {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return s.maxRunning
}

// OpenTransactions returns the number of connections inside a transaction.
func (s *Server) OpenTransactions() int {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	n := 0
	for _, c := range s.conns {
		if c.inTransaction {
			n++
		}
	}
	return n
}

// closeConns closes every connection. The group's mutex must be held.
func (s *Server) closeConns() {
	for c := range s.conns {
		_ = c.Close() // serve returns on the read error
	}
}

// position returns the log position as TERM.NUMBER. The group's mutex must be held.
func (s *Server) position() string {
	return strconv.FormatUint(s.term, 10) + "." + strconv.Itoa(len(s.log))
}
