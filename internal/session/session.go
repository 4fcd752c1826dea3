// Package session serves callers of statement sessions: it keeps a session's
// values, prepared statements, transaction and mark, decides where each statement
// runs and what is tried again, and answers. It knows no wire: a Conn translates.
//
// Invariants:
//   - A statement that writes is sent to a server at most once, unless the server
//     or the home said that it did not run.
//   - A code that promises that nothing is kept is given only when nothing was
//     committed and nothing can be any more.
//   - Once a caller has seen an answer inside a transaction, the transaction stays
//     on its connection or ends.
package session

import (
	"fmt"
	"slices"
	"sort"
	"sync"
	"time"

	"egretroad/internal/broker"
	"egretroad/internal/catalogue"
	"egretroad/internal/clock"
	"egretroad/internal/statement"
	"egretroad/internal/topology"
)

// Conn is the wire of one caller.
type Conn interface {
	// ReadStart reads the database that the caller connects to.
	ReadStart() (database string, err error)
	// Read reads the next statement. Errors are *ProtocolError and *ClosedError,
	// which end the session, *StatementError, which ends the statement, and those
	// of the connection.
	Read() (statement.Statement, error)
	// Started accepts the session.
	Started() error
	// Reply answers a statement.
	Reply(statement.Reply) error
	// Fail tells the caller an error without a state; the session ends after it.
	Fail(code statement.Code, detail string) error
	// SetReadDeadline bounds Read; the zero time removes the bound.
	SetReadDeadline(time.Time) error
	// Buffered reports whether bytes of the caller wait to be read.
	Buffered() bool
	Close() error
}

// ProtocolError reports bytes after which the session cannot go on.
type ProtocolError struct {
	Code   statement.Code
	Detail string
}

func (e *ProtocolError) Error() string { return "protocol violated: " + e.Detail }

// StatementError reports a statement that cannot be understood.
type StatementError struct {
	Code   statement.Code
	Detail string
}

func (e *StatementError) Error() string { return "invalid statement: " + e.Detail }

// ClosedError reports that the caller ended the session.
type ClosedError struct{}

func (*ClosedError) Error() string { return "the caller closed the session" }

// Bounds on what a session may keep.
const (
	maxPrepared      = 1000
	maxSettings      = 200
	maxSettingsBytes = 64 << 10
)

// session is one caller's session. Its fields belong to its goroutine, but for
// those behind mu.
type session struct {
	e        *Engine
	id       uint64
	database string
	conn     Conn
	state    statement.State
	settings []statement.Setting // sorted by name
	bytes    int                 // of the settings
	prepared map[string]statement.Prepared
	mark     topology.Mark // the session's own commits
	txn      *txn
	served   bool // a statement has come

	mu      sync.Mutex // guards the fields below
	waiting bool       // between operations, and to be ended by a stop
	unused  bool       // its first statement has not come
}

// txn is an open transaction.
type txn struct {
	verb    statement.Verb // Begin or BeginRead
	entry   catalogue.Entry
	arrived time.Duration // of the BEGIN, on CLOCK_BOOTTIME
	lane    broker.LaneID
	server  string // empty: nothing has been sent to a server yet
	via     string
	wrote   bool // a statement that writes was sent
}

// serve runs the session until it ends.
func (s *session) serve() {
	defer s.end()
	database, err := s.conn.ReadStart()
	if err != nil {
		s.fail(err)
		return
	}
	s.database = database
	if _, err := s.e.entry(database); err != nil {
		s.e.log.Info("session_refused", "session", s.id, "database", database, "revision", s.e.source.Snapshot().Revision)
		s.e.count(statement.UnknownDatabase)
		s.fail(&ProtocolError{Code: statement.UnknownDatabase, Detail: "no database of that name"})
		return
	}
	if s.conn.Started() != nil {
		return
	}
	for s.next() {
	}
}

// next serves one statement and reports whether the session goes on.
func (s *session) next() bool {
	if !s.await() {
		return false
	}
	st, err := s.conn.Read()
	s.setWaiting(false)
	s.served = true
	arrived := clock.Boottime()
	if err != nil {
		return s.readFailed(err)
	}
	return s.conn.Reply(s.handle(st, arrived)) == nil
}

// await prepares the wait for the next statement: inside a transaction it is
// bounded; outside, a process that stops ends the session.
func (s *session) await() bool {
	if s.txn != nil {
		limit := s.txn.entry.IdleInTxn.Duration()
		if limit <= 0 {
			limit = s.e.options.IdleInTxn
		}
		return s.conn.SetReadDeadline(time.Now().Add(limit)) == nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.e.closing() && !s.conn.Buffered() {
		if s.served {
			return false
		}
		// The caller connected for a statement that is on its way.
		return s.conn.SetReadDeadline(time.Now().Add(firstStatement)) == nil
	}
	s.waiting, s.unused = s.served, !s.served
	return s.conn.SetReadDeadline(time.Time{}) == nil
}

// firstStatement is how long a process that stops waits for the first statement of
// a session: several times the round trip to a caller.
const firstStatement = 300 * time.Millisecond

func (s *session) setWaiting(waiting bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting, s.unused = waiting, false
}

// interrupt ends the session if it waits outside a transaction.
func (s *session) interrupt() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting {
		_ = s.conn.SetReadDeadline(time.Now()) // a connection that fails ends too
	}
}

// interruptUnused ends the session if it has sent nothing yet.
func (s *session) interruptUnused() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unused {
		_ = s.conn.SetReadDeadline(time.Now()) // a connection that fails ends too
	}
}

// readFailed handles a statement that could not be read, and reports whether the
// session goes on.
func (s *session) readFailed(err error) bool {
	if invalid, ok := err.(*StatementError); ok {
		s.e.count(invalid.Code)
		s.e.log.Info("statement_invalid", "session", s.id, "database", s.database, "detail", invalid.Detail)
		return s.conn.Reply(s.failure(invalid.Code, invalid.Detail)) == nil
	}
	if timeout, ok := err.(interface{ Timeout() bool }); ok && timeout.Timeout() && s.txn != nil {
		s.e.log.Info("transaction_idle", "session", s.id, "database", s.database, "limit", s.txn.entry.IdleInTxn.Duration())
		s.rollBack()
		s.state = statement.Failed
		return s.conn.SetReadDeadline(time.Time{}) == nil
	}
	s.fail(err)
	return false
}

// fail tells the caller why the session ends, where it can be told.
func (s *session) fail(err error) {
	if protocol, ok := err.(*ProtocolError); ok {
		_ = s.conn.Fail(protocol.Code, protocol.Detail) // the session ends in any case
	}
}

// end gives up what the session holds.
func (s *session) end() {
	s.rollBack()
	_ = s.conn.Close() // the session has ended
	s.e.ended(s)
}

// handle answers one statement.
func (s *session) handle(st statement.Statement, arrived time.Duration) statement.Reply {
	switch st.Verb {
	case statement.Begin, statement.BeginRead:
		return s.begin(st, arrived)
	case statement.Rollback:
		return s.handleRollback()
	case statement.Set, statement.Prepare, statement.Deallocate:
		return s.handleLocal(st)
	}
	if s.state == statement.Failed {
		return s.handleFailed(st)
	}
	var prepared *statement.Prepared
	if st.Verb == statement.Execute {
		p, known := s.prepared[st.Name]
		if !known {
			return s.failure(statement.UnknownPrepared, "no prepared statement "+st.Name)
		}
		prepared, st.Writes = &p, p.Writes
	}
	if s.txn != nil {
		return s.runInTxn(st, prepared)
	}
	if st.Verb == statement.Commit {
		return s.failure(statement.Malformed, "no transaction is open")
	}
	return s.runSingle(st, prepared, arrived)
}

// failure returns an error of the proxy's own. Inside a transaction it fails it.
func (s *session) failure(code statement.Code, detail string) statement.Reply {
	if s.txn != nil || s.state == statement.Failed {
		s.rollBack()
		s.state = statement.Failed
	}
	return statement.Reply{Code: code, Detail: detail, State: s.state}
}

// done returns a success of the proxy's own.
func (s *session) done() statement.Reply { return statement.Reply{State: s.state} }

// begin opens a transaction; a server is chosen with its first statement.
func (s *session) begin(st statement.Statement, arrived time.Duration) statement.Reply {
	if s.state != statement.Idle {
		return s.failure(statement.Malformed, "a transaction is open")
	}
	entry, err := s.e.entry(s.database)
	if err != nil {
		s.e.count(statement.UnknownDatabase)
		return statement.Reply{Code: statement.UnknownDatabase, Detail: err.Error()}
	}
	s.txn = &txn{verb: st.Verb, entry: entry, arrived: arrived, lane: s.e.newLane()}
	s.state = statement.InTxn
	return s.done()
}

// rollBack ends the transaction, if there is one.
func (s *session) rollBack() {
	if s.txn != nil && s.txn.server != "" {
		s.e.broker.Release(s.txn.via, s.txn.server, s.txn.lane)
	}
	s.txn = nil
}

func (s *session) handleRollback() statement.Reply {
	if s.state == statement.Idle {
		return s.failure(statement.Malformed, "no transaction is open")
	}
	s.rollBack()
	s.state = statement.Idle
	return s.done()
}

// handleFailed answers inside a failed transaction: only its end is accepted.
func (s *session) handleFailed(st statement.Statement) statement.Reply {
	if st.Verb != statement.Commit {
		return statement.Reply{Code: statement.Malformed, Detail: "the transaction has failed", State: s.state}
	}
	s.state = statement.Idle
	return statement.Reply{Code: statement.Aborted, Detail: "the transaction had failed and was rolled back"}
}

// handleLocal answers statements that change only the session.
func (s *session) handleLocal(st statement.Statement) statement.Reply {
	if s.state == statement.Failed {
		return statement.Reply{Code: statement.Malformed, Detail: "the transaction has failed", State: s.state}
	}
	switch st.Verb {
	case statement.Set:
		return s.set(st)
	case statement.Prepare:
		return s.prepare(st)
	default:
		if _, known := s.prepared[st.Name]; !known {
			return s.failure(statement.UnknownPrepared, "no prepared statement "+st.Name)
		}
		delete(s.prepared, st.Name)
		return s.done()
	}
}

func (s *session) prepare(st statement.Statement) statement.Reply {
	if s.prepared == nil {
		s.prepared = map[string]statement.Prepared{}
	}
	if _, known := s.prepared[st.Name]; !known && len(s.prepared) >= maxPrepared {
		return s.failure(statement.TooLarge, fmt.Sprintf("more than %d prepared statements", maxPrepared))
	}
	s.prepared[st.Name] = statement.Prepared{Writes: st.Writes, Shape: st.Value}
	return s.done()
}

// set keeps a value. The slice is replaced, as requests share it.
func (s *session) set(st statement.Statement) statement.Reply {
	value := statement.Setting{Name: st.Name, Value: st.Value}
	at, found := slices.BinarySearchFunc(s.settings, st.Name, func(x statement.Setting, name string) int {
		switch {
		case x.Name < name:
			return -1
		case x.Name > name:
			return 1
		default:
			return 0
		}
	})
	grown := len(value.Name) + len(value.Value)
	if found {
		grown -= len(s.settings[at].Name) + len(s.settings[at].Value)
	}
	if s.bytes+grown > maxSettingsBytes || !found && len(s.settings) >= maxSettings {
		return s.failure(statement.TooLarge, "the session's values take too much memory")
	}
	s.bytes += grown
	settings := slices.Clone(s.settings)
	if found {
		settings[at] = value
	} else {
		settings = append(settings, value)
		sort.Slice(settings, func(i, j int) bool { return settings[i].Name < settings[j].Name })
	}
	s.settings = settings
	return s.done()
}
