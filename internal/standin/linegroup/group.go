// Package linegroup is a stand-in of the users' database groups: servers that
// speak the line protocol, replicate with a delay, and are promoted by a call. It
// records what ran, so that tests can compare it with what callers were told.
package linegroup

import (
	"net"
	"strconv"
	"sync"
	"time"
)

// Commit is one committed write.
type Commit struct {
	Number uint64 // place in the log
	ID     string // request ID of the write
	Item   string
	Data   string
}

// Run is one read or write that a server ran.
type Run struct {
	Server string
	ID     string
	Text   string
	Number uint64 // log position of the server when it ran
}

// Group is one database group.
type Group struct {
	Name  string
	Lag   time.Duration // before a replica applies a commit
	Pause time.Duration // work of one statement

	mu      sync.Mutex // guards the fields below
	term    uint64
	primary string
	servers map[string]*Server
	runs    []Run
	commits []Commit // every commit, in order, also those that a promotion dropped
}

// Server is one server of a group.
type Server struct {
	ID       string
	group    *Group
	listener net.Listener
	log      []Commit // applied
	term     uint64   // of the log
	conns    map[net.Conn]*conn
	down     bool
	dark     bool                     // answers nothing
	lose     int                      // answers still to be lost after the statement has run
	mute     int                      // answers still to be left out on a connection that stays open
	refuse   map[string]int           // codes still to be given, by statement word
	delay    map[string]time.Duration // extra work, by statement word
	max      int                      // connections
	texts    []string                 // every statement received, in order
	running  int                      // statements that take a slot now
	most     int                      // at the same time
}

// New returns a group whose first server is the primary. Each server listens on
// a loopback address of its own.
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
			refuse: map[string]int{}, delay: map[string]time.Duration{}, max: 100,
		}
		g.servers[id] = s
		go s.accept()
	}
	return g, nil
}

// Close ends every server.
func (g *Group) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.servers {
		_ = s.listener.Close() // it may be closed already
		s.closeConns()
	}
}

// Server returns a server.
func (g *Group) Server(id string) *Server { return g.servers[id] }

// Primary returns the ID of the server that leads.
func (g *Group) Primary() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.primary
}

// Promote lets a server lead the next term with what it has received. It reports
// false when the server does not run.
func (g *Group) Promote(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.servers[id]
	if s == nil || s.down || s.dark {
		return false
	}
	if g.primary == id {
		return true
	}
	g.term++
	g.primary = id
	s.term = g.term
	for _, other := range g.servers {
		if other != s {
			other.log = append([]Commit(nil), s.log[:min(len(s.log), len(other.log))]...)
			go g.apply(s, other, s.term, len(s.log))
		}
	}
	return true
}

// Runs returns what the servers ran.
func (g *Group) Runs() []Run {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]Run(nil), g.runs...)
}

// AllCommits returns every commit, also those that a promotion dropped.
func (g *Group) AllCommits() []Commit {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]Commit(nil), g.commits...)
}

// Commits returns the log of the present primary.
func (g *Group) Commits() []Commit {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]Commit(nil), g.servers[g.primary].log...)
}

// commit appends writes to the primary's log and sends them to the replicas. The
// caller holds mu.
func (g *Group) commit(s *Server, writes []Commit) {
	for i := range writes {
		writes[i].Number = uint64(len(s.log)) + 1
		s.log = append(s.log, writes[i])
		g.commits = append(g.commits, writes[i])
	}
	for _, replica := range g.servers {
		if replica != s && !replica.down {
			go g.apply(s, replica, s.term, len(s.log))
		}
	}
}

// apply brings a replica up to a place of the primary's log after the lag.
func (g *Group) apply(s, replica *Server, term uint64, upTo int) {
	time.Sleep(g.Lag)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.term != term || replica.down || len(replica.log) > upTo || len(s.log) < upTo {
		return
	}
	replica.term = term
	replica.log = append(replica.log[:0:0], s.log[:upTo]...)
}

// Addr returns the server's address.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Crash ends the server's connections and answers no new ones until Start.
func (s *Server) Crash() {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.down = true
	s.closeConns()
}

// Start lets a crashed or dark server answer again.
func (s *Server) Start() {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.down, s.dark = false, false
}

// GoDark lets the server take bytes and answer nothing.
func (s *Server) GoDark() {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.dark = true
}

// LoseAnswers lets the server run the next n statements without an answer and
// close their connections.
func (s *Server) LoseAnswers(n int) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.lose = n
}

// MuteAnswers lets the server run the next n statements without an answer; their
// connections stay open and silent.
func (s *Server) MuteAnswers(n int) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.mute = n
}

// Refuse lets the next statement that begins with a word be refused.
func (s *Server) Refuse(word, code string, n int) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.refuse[word+" "+code] = n
}

// Slow adds to the work of statements that begin with a word.
func (s *Server) Slow(word string, by time.Duration) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.delay[word] = by
}

// LimitConnections sets the number of connections that the server takes.
func (s *Server) LimitConnections(n int) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.max = n
}

// Texts returns every statement that the server received, with its ID.
func (s *Server) Texts() []string {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return append([]string(nil), s.texts...)
}

// MostRunning returns the highest number of statements that ran at the same time.
func (s *Server) MostRunning() int {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return s.most
}

// OpenTransactions returns the number of connections inside a transaction.
func (s *Server) OpenTransactions() int {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	n := 0
	for _, c := range s.conns {
		if c.txn {
			n++
		}
	}
	return n
}

// closeConns closes every connection. The caller holds the group's mutex.
func (s *Server) closeConns() {
	for c := range s.conns {
		_ = c.Close() // its handler ends
	}
}

// position returns TERM.NUMBER. The caller holds the group's mutex.
func (s *Server) position() string {
	return strconv.FormatUint(s.term, 10) + "." + strconv.Itoa(len(s.log))
}
