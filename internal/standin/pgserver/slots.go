package pgserver

import "sync/atomic"

// gauge holds a current count and the peak that it has reached.
type gauge struct{ current, peakValue atomic.Int64 }

func (g *gauge) inc() int64 {
	n := g.current.Add(1)
	for {
		peak := g.peakValue.Load()
		if n <= peak || g.peakValue.CompareAndSwap(peak, n) {
			return n
		}
	}
}

func (g *gauge) dec()         { g.current.Add(-1) }
func (g *gauge) value() int64 { return g.current.Load() }
func (g *gauge) peak() int64  { return g.peakValue.Load() }

// slots limits the number of statements that run at the same time.
type slots struct {
	tokens          chan struct{}
	runningOrQueued gauge        // statements that occupy or wait for a slot
	queuedTotal     atomic.Int64 // statements that had to wait for a slot
}

func newSlots(limit int) *slots {
	return &slots{tokens: make(chan struct{}, max(limit, 1))}
}

// acquire waits for a free slot and occupies it. A cancel request, the statement timeout
// or the end of the connection interrupts the wait.
func (s *slots) acquire(c *conn) error {
	s.runningOrQueued.inc()
	select {
	case s.tokens <- struct{}{}:
		return nil
	default:
	}
	s.queuedTotal.Add(1)
	if err := c.waitSend(s.tokens); err != nil {
		s.runningOrQueued.dec()
		return err
	}
	return nil
}

func (s *slots) release() {
	<-s.tokens
	s.runningOrQueued.dec()
}

// counters are the live values behind Stats.
type counters struct {
	openConns    gauge
	refusedConns atomic.Int64
	statements   atomic.Int64
	commits      atomic.Int64
	cancels      atomic.Int64
	commitCuts   atomic.Int64
	// reads on kv, by the role that the server had at that time
	primaryReads atomic.Int64
	replicaReads atomic.Int64
}

// Stats is a snapshot of a server's counters and log state.
type Stats struct {
	Statements     int64  // statements executed, including transaction control
	Commits        int64  // commits of transactions that wrote rows
	OpenConns      int64  // connections that are open now
	PeakConns      int64  // peak of open connections, including refused ones
	RefusedConns   int64  // connections refused because of MaxConnections
	PeakInFlight   int64  // peak of statements that occupied or waited for a slot
	QueuedForSlot  int64  // statements that had to wait for a slot
	Cancels        int64  // cancel requests that matched an open connection
	CommitCuts     int64  // connections dropped during a commit by fault injection
	PrimaryReads   int64  // reads on kv while the server was the primary
	ReplicaReads   int64  // reads on kv while the server was a replica
	DroppedBytes   uint64 // divergent log truncated by group_follow
	OpenWriters    int    // open transactions with a transaction ID
	Position, Term uint64
}

// Stats returns a snapshot of the server's counters. They survive Stop and Restart.
func (s *Server) Stats() Stats {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return Stats{
		Statements:    s.stats.statements.Load(),
		Commits:       s.stats.commits.Load(),
		OpenConns:     s.stats.openConns.value(),
		PeakConns:     s.stats.openConns.peak(),
		RefusedConns:  s.stats.refusedConns.Load(),
		PeakInFlight:  s.slots.runningOrQueued.peak(),
		QueuedForSlot: s.slots.queuedTotal.Load(),
		Cancels:       s.stats.cancels.Load(),
		CommitCuts:    s.stats.commitCuts.Load(),
		PrimaryReads:  s.stats.primaryReads.Load(),
		ReplicaReads:  s.stats.replicaReads.Load(),
		DroppedBytes:  s.droppedBytes,
		OpenWriters:   len(s.activeTxns),
		Position:      s.position,
		Term:          s.term,
	}
}
