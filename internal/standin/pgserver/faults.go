package pgserver

import (
	"net"
	"time"
)

// Stop refuses new connections and drops all others. The data stays.
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

// Restart listens again after Stop, with the data and role of before.
func (s *Server) Restart() error {
	if s.running.Load() {
		return nil
	}
	l, err := net.Listen("tcp", s.addr.String())
	if err != nil {
		return &ListenError{Addr: s.addr.String(), Cause: err}
	}
	s.listen(l)
	s.notifyReplication()
	return nil
}

// Running reports whether the server accepts connections.
func (s *Server) Running() bool { return s.running.Load() }

// Silence makes every open connection ignore its client for good; new ones work.
func (s *Server) Silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		c.silent.Store(true)
	}
}

// SilenceAll makes open and new connections ignore their clients, until
// EndSilence. Those of replication are among them: no log leaves or reaches the
// server.
func (s *Server) SilenceAll() {
	s.frozen.Store(true)
	s.mu.Lock()
	s.silent = true
	s.mu.Unlock()
	s.Silence()
}

// EndSilence lets new connections work again.
func (s *Server) EndSilence() {
	s.frozen.Store(false)
	defer s.notifyReplication()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = false
}

// DropConnections closes every open connection.
func (s *Server) DropConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		c.drop()
	}
}

// Slow multiplies the specified service time; 1 is normal.
func (s *Server) Slow(factor float64) {
	s.SetServiceTime(time.Duration(float64(s.spec.ServiceTime) * factor))
}

// SetServiceTime sets the time that a statement on kv holds its slot.
func (s *Server) SetServiceTime(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serviceTime = d
}

// SetConnectDelay sets the time from the startup message to its answer.
func (s *Server) SetConnectDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.connectDelay = d
}

// SetReplyDelay sets the time by which answers are held back.
func (s *Server) SetReplyDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replyDelay = d
}

// commitCut is the point of a commit at which the connection is dropped.
type commitCut int

const (
	cutNone commitCut = iota
	cutBeforeApply
	cutAfterApply
)

// nextCommitCut draws the fate of a commit.
func (s *Server) nextCommitCut() commitCut {
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
