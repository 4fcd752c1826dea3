package routing

import (
	"time"

	"egretroad/internal/outcome"
	"egretroad/internal/topology"
)

// Table holds what one proxy has learned about the servers from their answers.
// It is not safe for concurrent use.
type Table struct {
	options Options
	servers map[string]*Server
}

// Server is the learned state of one backend server.
type Server struct {
	Status       topology.ServerStatus
	LearnedAt    time.Duration // when Status was learned; 0: never
	Out          bool          // outside the rotation of reads
	GoodSince    time.Duration // start of the present run of lags up to ReturnLag; 0: none
	Refusals     int           // successive refusals as behind
	NextProbe    time.Duration
	ProbeBackoff time.Duration
	AvoidUntil   time.Duration
	JoinedAt     time.Duration // when the server was first seen joining; 0: not joining
	Offered      uint64        // reads offered while easing in
	Taken        uint64        // reads taken while easing in
}

// NewTable returns an empty table.
func NewTable(o Options) *Table { return &Table{options: o, servers: map[string]*Server{}} }

// Learn records the status that came with an answer.
func (t *Table) Learn(st topology.ServerStatus, now time.Duration) {
	if st.Server == "" {
		return
	}
	s := t.server(st.Server)
	s.Status = st
	s.LearnedAt = now
	s.Refusals = 0
	if st.Role != topology.RoleReplica {
		s.Out = false
		return
	}
	t.rotate(s, st.Lag, now)
}

// rotate moves a replica out of the rotation or back, with two thresholds and a
// hold time between them so that it does not alternate.
func (t *Table) rotate(s *Server, lag, now time.Duration) {
	if lag > t.options.LeaveLag {
		t.leave(s, now)
		return
	}
	if lag > t.options.ReturnLag {
		s.GoodSince = 0
		return
	}
	if s.GoodSince == 0 {
		s.GoodSince = now
	}
	if !s.Out {
		return
	}
	s.ProbeBackoff = t.options.ProbeInterval
	s.NextProbe = min(s.NextProbe, now+s.ProbeBackoff)
	if now-s.GoodSince >= t.options.ReturnHold {
		s.Out = false
	}
}

func (t *Table) leave(s *Server, now time.Duration) {
	s.GoodSince = 0
	if !s.Out {
		s.Out = true
		s.ProbeBackoff = t.options.ProbeInterval
		s.NextProbe = now + s.ProbeBackoff
	}
}

// Refused records that a server's home refused a request.
func (t *Table) Refused(id string, reason outcome.Reason, now time.Duration) {
	s := t.server(id)
	switch reason {
	case outcome.ReasonBehind:
		s.Refusals++
		if s.Refusals >= t.options.LeaveRefusals {
			t.leave(s, now)
		}
	case outcome.ReasonNoServer, outcome.ReasonConnect, outcome.ReasonHomeLost, outcome.ReasonNotHome,
		outcome.ReasonQueueFull, outcome.ReasonLeaving, outcome.ReasonUnavailable, outcome.ReasonConnLost,
		outcome.ReasonShuttingDown:
		s.AvoidUntil = now + t.options.AvoidTime
	}
}

// Keep forgets the servers for which keep is false.
func (t *Table) Keep(keep func(id string) bool) {
	for id := range t.servers {
		if !keep(id) {
			delete(t.servers, id)
		}
	}
}

// Servers returns a copy of what is known, by server ID.
func (t *Table) Servers() map[string]Server {
	copied := make(map[string]Server, len(t.servers))
	for id, s := range t.servers {
		copied[id] = *s
	}
	return copied
}

// admitJoining reports whether a joining server takes this read. Its share of
// the reads offered grows linearly over EaseIn.
func (t *Table) admitJoining(s *Server, now time.Duration) bool {
	if s.JoinedAt == 0 {
		s.JoinedAt = max(now, 1)
	}
	elapsed := now - s.JoinedAt
	s.Offered++
	if elapsed >= t.options.EaseIn {
		return true
	}
	if float64(s.Taken) >= float64(s.Offered)*float64(elapsed)/float64(t.options.EaseIn) {
		return false
	}
	s.Taken++
	return true
}

// admitProbe reports whether this read tries a server outside the rotation.
func (t *Table) admitProbe(s *Server, now time.Duration) bool {
	if now < s.NextProbe {
		return false
	}
	s.ProbeBackoff = min(2*max(s.ProbeBackoff, t.options.ProbeInterval), t.options.MaxProbeInterval)
	s.NextProbe = now + s.ProbeBackoff
	return true
}

// lag returns the server's last measured lag, if it is fresh enough to use.
func (t *Table) lag(s *Server, now time.Duration) (time.Duration, bool) {
	if s.LearnedAt == 0 || now-s.LearnedAt > t.options.StatusLifetime {
		return 0, false
	}
	return s.Status.Lag, true
}

func (t *Table) server(id string) *Server {
	s, ok := t.servers[id]
	if !ok {
		s = &Server{}
		t.servers[id] = s
	}
	return s
}
