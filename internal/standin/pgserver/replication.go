package pgserver

import "time"

// Intervals of the replication loop.
const (
	minReplicationInterval   = 200 * time.Microsecond // minimum time between two rounds
	unreachableRetryInterval = 20 * time.Millisecond  // retry interval while the primary is unreachable
)

// replicationLoop applies the primary's commits when they have reached the age of the
// configured lag. It runs until the server is closed.
func (s *Server) replicationLoop() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		changed := s.group.net.Changed()
		select {
		case <-s.closed:
			return
		case <-s.replicationWake:
		case <-timer.C:
		case <-changed:
		}
		if delay := s.replicateDue(); delay > 0 {
			timer.Reset(delay)
		}
	}
}

// replicateDue applies the due records and returns the delay until the next round. It
// returns 0 when no record is pending; the next commit then wakes the loop.
func (s *Server) replicateDue() time.Duration {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	now := time.Now()
	connected := s.applyDueRecords(now)
	next := s.nextRecord()
	if next == nil {
		s.replicationScheduled.Store(false)
		return 0
	}
	if !connected {
		return unreachableRetryInterval
	}
	return max(minReplicationInterval, next.committedAt.Add(s.lag).Sub(now))
}

// nextRecord returns the primary's next record that this replica has not applied, or nil.
func (s *Server) nextRecord() *logRecord {
	if s.role != roleReplica || s.primary == nil {
		return nil
	}
	return s.primary.recordAt(s.recordCount())
}

// applyDueRecords applies every record of the primary that is at least as old as the lag.
// It returns false if replication is not possible now. Caller holds Group.mu.
func (s *Server) applyDueRecords(now time.Time) bool {
	if !s.canReplicate() {
		return false
	}
	limit := now.Add(-s.lag)
	for next := s.nextRecord(); next != nil && !next.committedAt.After(limit); next = s.nextRecord() {
		s.applyRecord(next)
	}
	if limit.After(s.appliedThrough) {
		s.appliedThrough = limit
	}
	return true
}

// canReplicate reports whether this server can receive log records now. It must be a
// replica with a reachable primary of the same term, and its fence must not be above that
// term. Neither server may be stopped or silenced.
func (s *Server) canReplicate() bool {
	p := s.primary
	if s.role != roleReplica || p == nil || s.fence > s.term {
		return false
	}
	if p.role != rolePrimary || p.term != s.term {
		return false
	}
	if s.replicationPaused.Load() || p.replicationPaused.Load() {
		return false
	}
	return s.running.Load() && p.running.Load() && !s.group.net.Blocked(p.ip, s.ip)
}

// wakeReplicas wakes the replication loops of this server's replicas after a commit.
// Caller holds Group.mu.
func (s *Server) wakeReplicas() {
	for _, replica := range s.group.servers {
		if replica.primary == s && replica.replicationScheduled.CompareAndSwap(false, true) {
			replica.signalReplication()
		}
	}
	s.group.trimLogs(s)
}

func (s *Server) signalReplication() {
	select {
	case s.replicationWake <- struct{}{}:
	default:
	}
}

// trimLogs drops the log records that all servers share, so that memory stays bounded in
// long runs. While recording is on it keeps everything, because history checkers need the
// whole log.
func (g *Group) trimLogs(primary *Server) {
	if g.recording.Load() || len(primary.records) < 2*trimEveryRecords {
		return
	}
	sharedCount := primary.recordCount()
	for _, s := range g.servers {
		sharedCount = min(sharedCount, commonPrefixLen(&s.storage, &primary.storage))
	}
	if sharedCount-primary.trimmedRecords < trimEveryRecords {
		return
	}
	for _, s := range g.servers {
		s.trimLog(sharedCount - 1)
	}
}

// SetLag sets the replication lag: as a replica, the server applies a commit when it has
// reached this age.
func (s *Server) SetLag(lag time.Duration) {
	s.group.mu.Lock()
	s.lag = lag
	s.group.mu.Unlock()
	s.signalReplication()
}
