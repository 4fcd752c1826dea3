package pgserver

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// KeepAliveTimeout is how long a read or write on a connection may be stalled by a network
// cut or an injected silence before it fails. The server then closes the connection and
// rolls back its open transaction.
const KeepAliveTimeout = 15 * time.Second

// Server is one backend server of a Group. It listens on its own address, stores its
// own copy of the table and replicates from the primary. Safe for concurrent use.
type Server struct {
	group *Group
	spec  ServerSpec
	addr  netip.AddrPort
	ip    netip.Addr

	storage                  // guarded by Group.mu
	lag        time.Duration // guarded by Group.mu
	commitCuts float64       // guarded by Group.mu

	replicationWake      chan struct{} // wakes replicationLoop
	replicationScheduled atomic.Bool   // records wait to be applied; commits need not wake the loop
	closed               chan struct{}
	running              atomic.Bool
	replicationPaused    atomic.Bool // neither sends nor receives log records, see SilenceAll

	slots *slots
	stats counters

	mu              sync.Mutex // guards the fields below
	listener        net.Listener
	conns           map[uint32]*conn
	nextPID         uint32
	silenceNewConns bool // new connections are silent too, see SilenceAll
	connectDelay    time.Duration
	responseDelay   time.Duration
	serviceTime     time.Duration
}

func newServer(g *Group, spec ServerSpec) (*Server, error) {
	l, err := net.Listen("tcp", spec.Addr)
	if err != nil {
		return nil, &ListenError{Addr: spec.Addr, Cause: err}
	}
	addr := l.Addr().(*net.TCPAddr).AddrPort()
	s := &Server{
		group:           g,
		spec:            spec,
		addr:            addr,
		ip:              addr.Addr().Unmap(),
		storage:         newStorage(),
		lag:             spec.Lag,
		replicationWake: make(chan struct{}, 1),
		closed:          make(chan struct{}),
		slots:           newSlots(spec.Slots),
		conns:           map[uint32]*conn{},
		connectDelay:    spec.ConnectDelay,
		serviceTime:     spec.ServiceTime,
	}
	s.listen(l)
	return s, nil
}

// ID returns the server's ID, which is unique in its group.
func (s *Server) ID() string { return s.spec.ID }

// Addr returns the IP:port that the server listens on; it stays the same over Restart.
func (s *Server) Addr() string { return s.addr.String() }

// Spec returns the specification that the server was started with.
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
		if c := s.addConn(nc); c != nil {
			go c.serve()
		}
	}
}

// addConn adds an accepted connection. After Stop it closes the connection and returns nil.
func (s *Server) addConn(nc net.Conn) *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.running.Load() {
		nc.Close()
		return nil
	}
	s.nextPID++
	c := newConn(s, nc, s.nextPID)
	c.silent.Store(s.silenceNewConns)
	s.conns[c.pid] = c
	return c
}

func (s *Server) removeConn(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c.pid)
	if c.countedInLimit {
		s.stats.openConns.dec()
	}
}

// admitConn counts a connection against MaxConnections when its startup message has
// arrived. It returns false when the limit is exceeded.
func (s *Server) admitConn(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.openConns.inc()
	if s.stats.openConns.value() > int64(s.spec.MaxConnections) {
		s.stats.openConns.dec()
		s.stats.refusedConns.Add(1)
		return false
	}
	c.countedInLimit = true
	return true
}

// cancelStatement handles a CancelRequest: it interrupts the running statement of the
// connection with this process ID if the secret key matches.
func (s *Server) cancelStatement(pid, key uint32) {
	s.mu.Lock()
	c := s.conns[pid]
	s.mu.Unlock()
	if c != nil && c.cancelKey == key {
		s.stats.cancels.Add(1)
		c.requestCancel()
	}
}

// injectedDelays returns the configured delay of new connections, the delay of responses
// and the service time of statements.
func (s *Server) injectedDelays() (connect, reply, service time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.connectDelay, s.responseDelay, s.serviceTime
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
