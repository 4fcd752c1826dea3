package pgserver

import "time"

// Pace of the replication of one server.
const (
	shipInterval  = 200 * time.Microsecond // shortest time between two shipments
	retryInterval = 20 * time.Millisecond  // while the primary cannot be reached
)

// replicate applies the primary's commits once they are as old as the lag.
func (s *Server) replicate() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		changed := s.group.net.Changed()
		select {
		case <-s.closed:
			return
		case <-s.wake:
		case <-timer.C:
		case <-changed:
		}
		if next := s.ship(); next > 0 {
			timer.Reset(next)
		}
	}
}

// ship applies what is due and returns the time until the next shipment, or 0
// when nothing waits; the next commit then wakes the server.
func (s *Server) ship() time.Duration {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	now := time.Now()
	linked := s.advance(now)
	next := s.pendingRecord()
	if next == nil {
		s.shipping.Store(false)
		return 0
	}
	if !linked {
		return retryInterval
	}
	return max(shipInterval, next.at.Add(s.lag).Sub(now))
}

// pendingRecord returns the next record of the primary to apply, or nil.
func (s *Server) pendingRecord() *record {
	if s.role != roleReplica || s.primary == nil {
		return nil
	}
	return s.primary.recordAt(s.records())
}

// advance applies every record of the primary that is as old as the lag. It
// reports whether the primary can be reached. Caller holds Group.mu.
func (s *Server) advance(now time.Time) bool {
	if !s.linked() {
		return false
	}
	limit := now.Add(-s.lag)
	for next := s.pendingRecord(); next != nil && !next.at.After(limit); next = s.pendingRecord() {
		s.apply(next)
	}
	if limit.After(s.caughtUp) {
		s.caughtUp = limit
	}
	return true
}

// linked reports whether replication runs: only from the primary of the same
// term, and never to a server whose fence is above that term.
func (s *Server) linked() bool {
	p := s.primary
	if s.role != roleReplica || p == nil || s.fence > s.term {
		return false
	}
	if p.role != rolePrimary || p.term != s.term {
		return false
	}
	if s.frozen.Load() || p.frozen.Load() {
		return false
	}
	return s.running.Load() && p.running.Load() && !s.group.net.Blocked(p.ip, s.ip)
}

// wakeFollowers starts shipments of a new commit. Caller holds Group.mu.
func (s *Server) wakeFollowers() {
	for _, f := range s.group.servers {
		if f.primary == s && f.shipping.CompareAndSwap(false, true) {
			f.notifyReplication()
		}
	}
	s.group.trimLogs(s)
}

func (s *Server) notifyReplication() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// trimLogs drops the records that all servers share, so that long runs keep
// bounded memory. A recording group keeps everything for its checkers.
func (g *Group) trimLogs(primary *Server) {
	if g.recording.Load() || len(primary.log) < 2*trimEveryRecords {
		return
	}
	shared := primary.records()
	for _, s := range g.servers {
		shared = min(shared, commonRecords(&s.storage, &primary.storage))
	}
	if shared-primary.trimmed < trimEveryRecords {
		return
	}
	for _, s := range g.servers {
		s.trim(shared - 1)
	}
}

// SetLag sets the age at which this server applies commits as a replica.
func (s *Server) SetLag(lag time.Duration) {
	s.group.mu.Lock()
	s.lag = lag
	s.group.mu.Unlock()
	s.notifyReplication()
}
