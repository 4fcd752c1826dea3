package pgserver

import "sync/atomic"

// gauge counts what is in progress and its maximum.
type gauge struct{ current, highest atomic.Int64 }

func (g *gauge) enter() int64 {
	n := g.current.Add(1)
	for {
		top := g.highest.Load()
		if n <= top || g.highest.CompareAndSwap(top, n) {
			return n
		}
	}
}

func (g *gauge) leave()     { g.current.Add(-1) }
func (g *gauge) now() int64 { return g.current.Load() }
func (g *gauge) max() int64 { return g.highest.Load() }

// slots bounds the statements that run at the same time.
type slots struct {
	tokens   chan struct{}
	demand   gauge // statements that run or wait for a slot
	overSlot atomic.Int64
}

func newSlots(limit int) *slots {
	return &slots{tokens: make(chan struct{}, max(limit, 1))}
}

// acquire takes a slot; the connection may be interrupted while it waits.
func (s *slots) acquire(c *conn) error {
	s.demand.enter()
	select {
	case s.tokens <- struct{}{}:
		return nil
	default:
	}
	s.overSlot.Add(1)
	if err := c.waitSend(s.tokens); err != nil {
		s.demand.leave()
		return err
	}
	return nil
}

func (s *slots) release() {
	<-s.tokens
	s.demand.leave()
}

// counters are a server's running totals.
type counters struct {
	connections gauge
	refused     atomic.Int64
	statements  atomic.Int64
	commits     atomic.Int64
	cancels     atomic.Int64
	commitCuts  atomic.Int64
	// reads on kv by the server's role at the time
	primaryReads atomic.Int64
	replicaReads atomic.Int64
}

// Stats are a server's totals since its start.
type Stats struct {
	Statements     int64 // statements executed, transaction control included
	Commits        int64 // commits that wrote
	OpenConns      int64 // connections open now
	MaxConns       int64 // most connections open at once
	RefusedConns   int64 // connections refused for the limit
	MaxConcurrent  int64 // most statements that ran or waited for a slot at once
	OverSlot       int64 // statements that had to wait for a slot
	Cancels        int64 // cancel requests that met their connection
	CommitCuts     int64 // connections dropped in the middle of a commit
	PrimaryReads   int64 // reads on kv while the server was the primary
	ReplicaReads   int64 // reads on kv while it was not
	DroppedBytes   uint64
	OpenWriters    int // open transactions with a transaction ID
	Position, Term uint64
}

// Stats returns the server's totals.
func (s *Server) Stats() Stats {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return Stats{
		Statements:    s.stats.statements.Load(),
		Commits:       s.stats.commits.Load(),
		OpenConns:     s.stats.connections.now(),
		MaxConns:      s.stats.connections.max(),
		RefusedConns:  s.stats.refused.Load(),
		MaxConcurrent: s.slots.demand.max(),
		OverSlot:      s.slots.overSlot.Load(),
		Cancels:       s.stats.cancels.Load(),
		CommitCuts:    s.stats.commitCuts.Load(),
		PrimaryReads:  s.stats.primaryReads.Load(),
		ReplicaReads:  s.stats.replicaReads.Load(),
		DroppedBytes:  s.dropped,
		OpenWriters:   len(s.active),
		Position:      s.position,
		Term:          s.term,
	}
}
