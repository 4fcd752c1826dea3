package pgserver

import (
	"strings"
	"time"
)

// StatementEvent is the record of one statement that a server has started to execute.
type StatementEvent struct {
	At     time.Time
	Server string
	Conn   uint32
	XID    uint64 // transaction ID after the statement; 0 if none is assigned or it still runs
	SQL    string
	Args   []string
	Code   string // SQLSTATE of the statement's error, or empty
}

// Change is the change of one row in a commit; a nil Value means that the row was deleted.
type Change struct {
	Key   string
	Value *string
}

// Commit is one committed transaction, as found in a server's log.
type Commit struct {
	Term     uint64
	XID      uint64
	Position uint64
	At       time.Time
	Changes  []Change
	// Surviving reports whether the commit is in the log of the current primary.
	Surviving bool
}

// SetRecording turns the recording of statements and commits on or off. While it is on,
// logs are not trimmed.
func (g *Group) SetRecording(on bool) { g.recording.Store(on) }

// History returns a copy of the statements recorded so far, in the order of their start.
func (g *Group) History() []StatementEvent {
	g.mu.Lock()
	defer g.mu.Unlock()
	events := make([]StatementEvent, 0, len(g.statementEvents))
	for _, e := range g.statementEvents {
		events = append(events, *e)
	}
	return events
}

// CountMatches returns the number of recorded statements whose SQL or arguments contain
// the substring.
func (g *Group) CountMatches(substring string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	count := 0
	for _, e := range g.statementEvents {
		if strings.Contains(e.SQL, substring) || strings.Contains(strings.Join(e.Args, "\x00"), substring) {
			count++
		}
	}
	return count
}

func (g *Group) appendEvent(e *StatementEvent) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.statementEvents = append(g.statementEvents, e)
}

// Commits returns the commits in the server's log, oldest first. Without recording,
// older commits may have been trimmed.
func (s *Server) Commits() []Commit {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.applyDueRecords(time.Now())
	return exportCommits(s.records, func(*logRecord) bool { return true })
}

// AllCommits returns every commit that was recorded on any server, including those whose
// log records were truncated after a promotion.
func (g *Group) AllCommits() []Commit {
	p := g.Primary()
	g.mu.Lock()
	defer g.mu.Unlock()
	surviving := make(map[*logRecord]struct{}, len(p.records))
	for _, r := range p.records {
		surviving[r] = struct{}{}
	}
	return exportCommits(g.recordedCommits, func(r *logRecord) bool {
		_, ok := surviving[r]
		return ok
	})
}

func exportCommits(log []*logRecord, isSurviving func(*logRecord) bool) []Commit {
	var commits []Commit
	for _, r := range log {
		if r.xid == 0 {
			continue
		}
		c := Commit{Term: r.term, XID: r.xid, Position: r.endPosition, At: r.committedAt, Surviving: isSurviving(r)}
		for _, ch := range r.changes {
			c.Changes = append(c.Changes, Change{Key: ch.key, Value: ch.newValue})
		}
		commits = append(commits, c)
	}
	return commits
}

// Data returns a copy of the server's rows, after applying the replication that is due.
func (s *Server) Data() map[string]string {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.applyDueRecords(time.Now())
	rows := make(map[string]string, len(s.rows))
	for k, v := range s.rows {
		rows[k] = v
	}
	return rows
}

// LoadRows writes rows on the primary in one transaction, without a connection, and
// applies them at once on every replica that has the rest of the primary's log.
func (g *Group) LoadRows(rows map[string]string) {
	p := g.Primary()
	g.mu.Lock()
	defer g.mu.Unlock()
	changes := make([]change, 0, len(rows))
	for k, v := range rows {
		changes = append(changes, change{key: k, newValue: &v})
	}
	xid := p.nextXID
	r := p.appendRecord(xid, changes, time.Now())
	for _, s := range g.servers {
		if s.primary == p && s.recordCount()+1 == p.recordCount() {
			s.applyRecord(r)
		}
	}
}
