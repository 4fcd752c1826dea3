package pgserver

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// KeepAlive is the time after which a server gives up a connection that a cut
// or a silence has hit, with its open transaction.
const KeepAlive = 15 * time.Second

// Server is one backend server. Safe for concurrent use.
type Server struct {
	group *Group
	spec  ServerSpec
	addr  netip.AddrPort
	ip    netip.Addr

	storage                  // guarded by Group.mu
	lag        time.Duration // guarded by Group.mu
	commitCuts float64       // guarded by Group.mu

	wake     chan struct{} // starts a shipment
	shipping atomic.Bool   // a shipment is on its way
	closed   chan struct{}
	running  atomic.Bool
	frozen   atomic.Bool // ships and takes no log, see SilenceAll

	slots *slots
	stats counters

	mu           sync.Mutex // guards the fields below
	listener     net.Listener
	conns        map[uint32]*conn
	nextPID      uint32
	silent       bool // new connections get no answer either
	connectDelay time.Duration
	replyDelay   time.Duration
	serviceTime  time.Duration
}

func newServer(g *Group, spec ServerSpec) (*Server, error) {
	l, err := net.Listen("tcp", spec.Addr)
	if err != nil {
		return nil, &ListenError{Addr: spec.Addr, Cause: err}
	}
	addr := l.Addr().(*net.TCPAddr).AddrPort()
	s := &Server{
		group:        g,
		spec:         spec,
		addr:         addr,
		ip:           addr.Addr().Unmap(),
		storage:      newStorage(),
		lag:          spec.Lag,
		wake:         make(chan struct{}, 1),
		closed:       make(chan struct{}),
		slots:        newSlots(spec.Slots),
		conns:        map[uint32]*conn{},
		connectDelay: spec.ConnectDelay,
		serviceTime:  spec.ServiceTime,
	}
	s.listen(l)
	return s, nil
}

// ID returns the server's ID.
func (s *Server) ID() string { return s.spec.ID }

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.addr.String() }

// Spec returns the server's specification.
func (s *Server) Spec() ServerSpec { return s.spec }

func (s *Server) listen(l net.Listener) {
	s.mu.Lock()
	s.listener = l
	s.mu.Unlock()
	s.running.Store(true)
	go s.accept(l)
}

func (s *Server) accept(l net.Listener) {
	for {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		if c := s.register(nc); c != nil {
			go c.serve()
		}
	}
}

// register adds a connection; it is refused after the server has stopped.
func (s *Server) register(nc net.Conn) *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.running.Load() {
		nc.Close()
		return nil
	}
	s.nextPID++
	c := newConn(s, nc, s.nextPID)
	c.silent.Store(s.silent)
	s.conns[c.pid] = c
	return c
}

func (s *Server) unregister(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c.pid)
	if c.counted {
		s.stats.connections.leave()
	}
}

// admit counts a connection against the limit once its startup has come.
func (s *Server) admit(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.connections.enter()
	if s.stats.connections.now() > int64(s.spec.MaxConnections) {
		s.stats.connections.leave()
		s.stats.refused.Add(1)
		return false
	}
	c.counted = true
	return true
}

// cancel interrupts the statement of the connection that a cancel request names.
func (s *Server) cancel(pid, key uint32) {
	s.mu.Lock()
	c := s.conns[pid]
	s.mu.Unlock()
	if c != nil && c.key == key {
		s.stats.cancels.Add(1)
		c.interruptStatement()
	}
}

func (s *Server) delays() (connect, reply, service time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.connectDelay, s.replyDelay, s.serviceTime
}

func (s *Server) close() {
	s.mu.Lock()
	select {
	case <-s.closed:
	default:
		close(s.closed)
	}
	s.mu.Unlock()
	s.Stop()
}
