package pgserver

import (
	"strings"
	"time"
)

// StatementEvent is one statement that a server has started to execute.
type StatementEvent struct {
	At     time.Time
	Server string
	Conn   uint32
	XID    uint64 // transaction ID after the statement; 0 without one, or before its end
	SQL    string
	Args   []string
	Code   string // SQLSTATE of its error, or empty
}

// Change is one row's change in a commit; a nil Value deletes the row.
type Change struct {
	Key   string
	Value *string
}

// Commit is one committed transaction.
type Commit struct {
	Term     uint64
	XID      uint64
	Position uint64
	At       time.Time
	Changes  []Change
	// Surviving reports whether the commit is in the log of the present primary.
	Surviving bool
}

// SetRecording switches the record of statements and commits on or off.
func (g *Group) SetRecording(on bool) { g.recording.Store(on) }

// History returns the statements recorded so far.
func (g *Group) History() []StatementEvent {
	g.mu.Lock()
	defer g.mu.Unlock()
	all := make([]StatementEvent, 0, len(g.history))
	for _, e := range g.history {
		all = append(all, *e)
	}
	return all
}

// Seen returns the number of recorded statements whose text or arguments
// contain the substring.
func (g *Group) Seen(substring string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	count := 0
	for _, e := range g.history {
		if strings.Contains(e.SQL, substring) || strings.Contains(strings.Join(e.Args, "\x00"), substring) {
			count++
		}
	}
	return count
}

func (g *Group) record(e *StatementEvent) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.history = append(g.history, e)
}

// Commits returns the commits in the server's log, oldest first. Long runs
// without recording keep only the last ones.
func (s *Server) Commits() []Commit {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.advance(time.Now())
	return exportCommits(s.log, func(*record) bool { return true })
}

// AllCommits returns every commit that was recorded on any server, also those
// whose log was dropped by a promotion.
func (g *Group) AllCommits() []Commit {
	p := g.Primary()
	g.mu.Lock()
	defer g.mu.Unlock()
	surviving := make(map[*record]struct{}, len(p.log))
	for _, r := range p.log {
		surviving[r] = struct{}{}
	}
	return exportCommits(g.commits, func(r *record) bool {
		_, ok := surviving[r]
		return ok
	})
}

func exportCommits(log []*record, survives func(*record) bool) []Commit {
	var all []Commit
	for _, r := range log {
		if r.xid == 0 {
			continue
		}
		c := Commit{Term: r.term, XID: r.xid, Position: r.end, At: r.at, Surviving: survives(r)}
		for _, ch := range r.changes {
			c.Changes = append(c.Changes, Change{Key: ch.key, Value: ch.new})
		}
		all = append(all, c)
	}
	return all
}

// Data returns a copy of the server's rows.
func (s *Server) Data() map[string]string {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.advance(time.Now())
	rows := make(map[string]string, len(s.data))
	for k, v := range s.data {
		rows[k] = v
	}
	return rows
}

// Seed writes rows on the primary without a connection and applies them on
// every server at once.
func (g *Group) Seed(rows map[string]string) {
	p := g.Primary()
	g.mu.Lock()
	defer g.mu.Unlock()
	changes := make([]change, 0, len(rows))
	for k, v := range rows {
		changes = append(changes, change{key: k, new: &v})
	}
	xid := p.nextXID
	r := p.appendRecord(xid, changes, time.Now())
	for _, s := range g.servers {
		if s.primary == p && s.records()+1 == p.records() {
			s.apply(r)
		}
	}
}
