package pgserver

import (
	"net"
	"time"
)

// Stop simulates a crash: it closes the listener and all connections. Data, role and
// log are kept for Restart.
func (s *Server) Stop() {
	s.running.Store(false)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil {
		s.listener.Close()
		s.listener = nil
	}
	for _, c := range s.conns {
		c.drop()
	}
}

// Restart listens again on the same address after Stop, with the data and role that the
// server had. It returns a ListenError when the address is in use.
func (s *Server) Restart() error {
	if s.running.Load() {
		return nil
	}
	l, err := net.Listen("tcp", s.addr.String())
	if err != nil {
		return &ListenError{Addr: s.addr.String(), Cause: err}
	}
	s.listen(l)
	s.signalReplication()
	return nil
}

// Running reports whether the server accepts connections.
func (s *Server) Running() bool { return s.running.Load() }

// SilenceOpenConns makes the server stop reading and answering on all open connections
// for good. New connections work normally.
func (s *Server) SilenceOpenConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		c.silent.Store(true)
	}
}

// SilenceAll makes the server stop reading and answering on all open connections, and on
// new ones until EndSilenceAll. Replication connections are included: the server neither
// sends nor receives log records.
func (s *Server) SilenceAll() {
	s.replicationPaused.Store(true)
	s.mu.Lock()
	s.silenceNewConns = true
	s.mu.Unlock()
	s.SilenceOpenConns()
}

// EndSilenceAll lets replication and new connections work again after SilenceAll.
// Connections that were opened before stay silent.
func (s *Server) EndSilenceAll() {
	s.replicationPaused.Store(false)
	defer s.signalReplication()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silenceNewConns = false
}

// DropConnections closes every open connection and accepts new ones.
func (s *Server) DropConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		c.drop()
	}
}

// ScaleServiceTime sets the service time to the specified one multiplied by factor;
// 1 is normal.
func (s *Server) ScaleServiceTime(factor float64) {
	s.SetServiceTime(time.Duration(float64(s.spec.ServiceTime) * factor))
}

// SetServiceTime sets how long a statement on kv occupies its slot.
func (s *Server) SetServiceTime(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serviceTime = d
}

// SetConnectDelay sets the delay between the startup message and its response.
func (s *Server) SetConnectDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.connectDelay = d
}

// SetResponseDelay sets the delay before responses are sent to the client.
func (s *Server) SetResponseDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.responseDelay = d
}

// commitCut is the point of a commit at which fault injection drops the connection.
type commitCut int

const (
	cutNone commitCut = iota
	cutBeforeApply
	cutAfterApply
)

// drawCommitCut decides at random, at the rate of SetCommitCuts, whether the next commit
// loses its connection, and if so whether before or after the commit is applied.
func (s *Server) drawCommitCut() commitCut {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	if s.commitCuts == 0 || s.group.rng.Float64() >= s.commitCuts {
		return cutNone
	}
	s.stats.commitCuts.Add(1)
	if s.group.rng.IntN(2) == 0 {
		return cutBeforeApply
	}
	return cutAfterApply
}
