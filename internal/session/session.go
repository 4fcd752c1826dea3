// Package session serves callers of the statement protocol. A session holds the
// caller's settings, prepared statements, open transaction and mark (session
// consistency token: database, term, log position). The Engine selects a backend
// server for each statement, retries failed attempts and returns the reply. The
// package is independent of the wire format, which a Conn encodes and decodes.
//
// Invariants:
//   - A statement that writes is sent to a server at most once, unless the server
//     or its home (the VM that owns the server's connections) reports that it did
//     not run.
//   - A reply code that promises "nothing was committed" is returned only when
//     nothing was committed and nothing can still be committed.
//   - Once a caller has received a reply inside a transaction, the transaction
//     stays on its backend connection or ends.
package session

import (
	"fmt"
	"runtime/debug"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"egretroad/internal/broker"
	"egretroad/internal/catalogue"
	"egretroad/internal/clock"
	"egretroad/internal/statement"
	"egretroad/internal/topology"
)

// Conn encodes and decodes the wire protocol of one caller's connection.
type Conn interface {
	// ReadStartup reads the start-up message and returns the requested database.
	ReadStartup() (database string, err error)
	// Read reads the next statement. *ProtocolError, *ClosedError and errors of the
	// connection end the session; *StatementError fails only the statement.
	Read() (statement.Statement, error)
	// AcceptSession tells the caller that it may send statements.
	AcceptSession() error
	// Reply sends the reply to a statement.
	Reply(statement.Reply) error
	// SendFatalError sends an error without a transaction state; the session ends after it.
	SendFatalError(code statement.Code, detail string) error
	// SetReadDeadline sets the deadline of Read; the zero time removes it.
	SetReadDeadline(time.Time) error
	// Buffered reports whether received bytes have not been read yet.
	Buffered() bool
	Close() error
}

// ProtocolError reports a protocol violation that ends the session.
type ProtocolError struct {
	Code   statement.Code
	Detail string
}

func (e *ProtocolError) Error() string { return "protocol violated: " + e.Detail }

// StatementError reports a statement that cannot be parsed. The session continues.
type StatementError struct {
	Code   statement.Code
	Detail string
}

func (e *StatementError) Error() string { return "invalid statement: " + e.Detail }

// ClosedError reports that the caller ended the session.
type ClosedError struct{}

func (*ClosedError) Error() string { return "the caller closed the session" }

// Limits on the memory that one session may hold.
const (
	maxPrepared      = 1000
	maxPreparedBytes = 2 << 20 // names and texts; at least one text of a message's largest size
	maxSettings      = 200
	maxSettingsBytes = 64 << 10
)

// session is the state of one caller's session. Only its own goroutine accesses the
// fields, except those guarded by mu.
type session struct {
	engine            *Engine
	id                uint64
	database          string
	conn              Conn
	state             statement.State
	settings          []statement.Setting // sorted by name
	settingsBytes     int                 // total size of names and values in settings
	prepared          map[string]statement.Prepared
	preparedBytes     int                      // total size of names and texts in prepared
	marks             map[string]topology.Mark // positions of the session's latest commits, by group
	txn               *txn
	receivedStatement bool // at least one statement was read
	// abortUnreported is set while the caller does not know that its transaction has failed:
	// the session rolled it back between two statements.
	abortUnreported bool

	mu            sync.Mutex // guards the fields below
	idle          bool       // waiting for the next statement outside a transaction
	awaitingFirst bool       // waiting for the first statement
}

// txn is an open transaction.
type txn struct {
	verb    statement.Verb // Begin or BeginRead
	entry   catalogue.Entry
	arrived time.Duration // arrival of BEGIN, on CLOCK_BOOTTIME
	lane    broker.LaneID
	server  string // empty until the first statement was sent
	via     string // VM that runs the transaction's lane
	wrote   bool   // a statement that writes may have been sent
}

// serve runs the session until it ends.
func (s *session) serve() {
	defer s.close()
	defer s.recoverPanic()
	database, err := s.conn.ReadStartup()
	if err != nil {
		s.sendFatalError(err)
		return
	}
	s.database = strings.Clone(database) // the message may be large
	if _, err := s.engine.entry(database); err != nil {
		s.recordUnrouted("session_refused")
		s.sendFatalError(&ProtocolError{Code: statement.UnknownDatabase, Detail: "no database of that name"})
		return
	}
	if s.conn.AcceptSession() != nil {
		return
	}
	for s.next() {
	}
}

// recoverPanic ends only this session after a panic: its connection is closed without a
// reply, which promises nothing, and an open transaction is rolled back.
func (s *session) recoverPanic() {
	if value := recover(); value != nil {
		s.engine.log.Error("session_panic", "session", s.id, "database", s.database, "fault", value, "stack", string(debug.Stack()))
	}
}

// next serves one statement and reports whether the session continues.
func (s *session) next() bool {
	if !s.prepareRead() {
		return false
	}
	st, err := s.conn.Read()
	s.setIdle(false)
	s.receivedStatement = true
	arrived := clock.Boottime()
	if err != nil {
		return s.handleReadError(err)
	}
	return s.send(s.handle(st, arrived)) == nil
}

// largeReplyBytes is the size from which on replies count towards MaxReplyBytes.
const largeReplyBytes = 2 << 10

// send sends a reply to the caller, which may take long to read it.
func (s *session) send(reply statement.Reply) error {
	size := 0
	for _, row := range reply.Rows {
		size += len(row)
	}
	if size >= largeReplyBytes {
		s.engine.replyBytes.Add(int64(size))
		defer s.engine.replyBytes.Add(-int64(size))
	}
	return s.conn.Reply(reply)
}

// prepareRead sets the read deadline for the next statement and reports whether the
// session should wait for it. Inside a transaction the idle-in-transaction time-out
// applies, until a stop ends all transactions. Outside a transaction a draining engine ends
// the session.
func (s *session) prepareRead() bool {
	if s.txn != nil {
		err := s.conn.SetReadDeadline(time.Now().Add(s.idleLimit()))
		if s.engine.transactionsEnded.Load() && !s.conn.Buffered() {
			err = s.conn.SetReadDeadline(time.Now())
		}
		return err == nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.engine.draining() && s.state == statement.Failed {
		return s.conn.SetReadDeadline(time.Now().Add(failedTransactionWait)) == nil
	}
	if s.engine.draining() && !s.conn.Buffered() {
		if s.receivedStatement {
			return false
		}
		// A caller that has just connected usually has its first statement in flight.
		return s.conn.SetReadDeadline(time.Now().Add(firstStatementTimeout)) == nil
	}
	s.idle, s.awaitingFirst = s.receivedStatement, !s.receivedStatement
	return s.conn.SetReadDeadline(time.Time{}) == nil
}

// idleLimit returns how long the open transaction may wait for its caller.
func (s *session) idleLimit() time.Duration {
	if limit := s.txn.entry.IdleInTxn.Duration(); limit > 0 {
		return limit
	}
	return s.engine.options.IdleInTxn
}

// firstStatementTimeout is how long a draining engine waits for the first statement
// of a session: several times the round trip to a caller.
const firstStatementTimeout = 300 * time.Millisecond

// failedTransactionWait is how long a draining engine waits for the next statement of a
// caller whose transaction it has rolled back, to tell the caller so.
const failedTransactionWait = time.Second

func (s *session) setIdle(idle bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.idle, s.awaitingFirst = idle, false
}

// interruptIfIdle ends the session if it is waiting for a statement outside a
// transaction.
func (s *session) interruptIfIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.idle {
		_ = s.conn.SetReadDeadline(time.Now()) // a connection that fails ends too
	}
}

// interruptIfAwaitingFirst ends the session if its first statement has not arrived.
func (s *session) interruptIfAwaitingFirst() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.awaitingFirst {
		_ = s.conn.SetReadDeadline(time.Now()) // a connection that fails ends too
	}
}

// handleReadError handles an error of Conn.Read and reports whether the session
// continues.
func (s *session) handleReadError(err error) bool {
	if invalid, ok := err.(*StatementError); ok {
		s.engine.countUnrouted(invalid.Code)
		s.engine.log.Info("statement_invalid", "session", s.id, "database", s.database, "detail", invalid.Detail)
		return s.conn.Reply(s.failure(invalid.Code, invalid.Detail)) == nil
	}
	if timeout, ok := err.(interface{ Timeout() bool }); ok && timeout.Timeout() && s.txn != nil {
		s.abort()
		return s.conn.SetReadDeadline(time.Time{}) == nil
	}
	s.sendFatalError(err)
	return false
}

// sendFatalError sends the caller a *ProtocolError that ends the session. Other errors
// are not sent.
func (s *session) sendFatalError(err error) {
	if protocol, ok := err.(*ProtocolError); ok {
		_ = s.conn.SendFatalError(protocol.Code, protocol.Detail) // the session ends in any case
	}
}

// close rolls back the open transaction, closes the connection and unregisters the
// session.
func (s *session) close() {
	s.rollBack()
	_ = s.conn.Close() // the session has ended
	s.engine.reserveState(-s.preparedBytes - s.settingsBytes)
	s.engine.unregister(s)
}

// handle processes one statement and returns its reply.
func (s *session) handle(st statement.Statement, arrived time.Duration) statement.Reply {
	if s.txn != nil && s.engine.transactionsEnded.Load() && st.Verb != statement.Commit {
		s.abort() // the statement was received before the transaction could be interrupted
	}
	if s.state == statement.Failed && st.Verb != statement.Rollback {
		return s.handleFailed(st)
	}
	switch st.Verb {
	case statement.Begin, statement.BeginRead:
		return s.handleBegin(st, arrived)
	case statement.Rollback:
		return s.handleRollback()
	case statement.Set, statement.Prepare, statement.Deallocate:
		return s.handleLocal(st)
	}
	if st.Verb != statement.Commit && s.engine.replyBytes.Load() > s.engine.options.MaxReplyBytes {
		return s.failure(statement.Busy, "replies that callers of this VM have not read take too much memory")
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

// abort rolls back the open transaction between two statements. The caller learns of it
// from the reply to its next statement.
func (s *session) abort() {
	event := "transaction_idle"
	if s.engine.transactionsEnded.Load() {
		event = "transaction_stopped"
	}
	s.engine.log.Info(event, "session", s.id, "database", s.database, "limit", s.idleLimit())
	s.rollBack()
	s.state, s.abortUnreported = statement.Failed, true
}

// failure returns an error that the proxy itself raises. An open transaction is
// rolled back and enters the failed state.
func (s *session) failure(code statement.Code, detail string) statement.Reply {
	if s.txn != nil || s.state == statement.Failed {
		s.rollBack()
		s.state, s.abortUnreported = statement.Failed, false
	}
	return statement.Reply{Code: code, Detail: detail, State: s.state}
}

// success returns the reply to a statement that the proxy handled itself.
func (s *session) success() statement.Reply { return statement.Reply{State: s.state} }

// handleBegin opens a transaction. The server is selected with the transaction's
// first statement.
func (s *session) handleBegin(st statement.Statement, arrived time.Duration) statement.Reply {
	if s.state != statement.Idle {
		return s.failure(statement.Malformed, "a transaction is open")
	}
	entry, err := s.engine.entry(s.database)
	if err != nil {
		s.recordUnrouted("statement_refused", "id", st.ID, "verb", st.Verb)
		return statement.Reply{Code: statement.UnknownDatabase, Detail: err.Error()}
	}
	s.txn = &txn{verb: st.Verb, entry: entry, arrived: arrived, lane: s.engine.newLane()}
	s.state = statement.InTxn
	return s.success()
}

// rollBack rolls back the open transaction, if any, by releasing its lane (its
// reserved backend connection).
func (s *session) rollBack() {
	if s.txn != nil && s.txn.server != "" {
		s.engine.broker.Release(s.txn.via, s.txn.server, s.txn.lane)
	}
	s.txn = nil
}

func (s *session) handleRollback() statement.Reply {
	if s.state == statement.Idle {
		return s.failure(statement.Malformed, "no transaction is open")
	}
	s.rollBack()
	s.state, s.abortUnreported = statement.Idle, false
	return s.success()
}

// handleFailed replies to a statement in a failed transaction. COMMIT ends the
// transaction with an error; everything else is rejected, as the caller's fault only if it
// has been told of the failure.
func (s *session) handleFailed(st statement.Statement) statement.Reply {
	reported := !s.abortUnreported
	s.abortUnreported = false
	if st.Verb == statement.Commit {
		s.state = statement.Idle
	} else if reported {
		return statement.Reply{Code: statement.Malformed, Detail: "the transaction has failed", State: s.state}
	}
	return statement.Reply{Code: statement.Aborted, Detail: "the transaction had failed and was rolled back", State: s.state}
}

// handleLocal executes statements that change only the session's state.
func (s *session) handleLocal(st statement.Statement) statement.Reply {
	switch st.Verb {
	case statement.Set:
		return s.handleSet(st)
	case statement.Prepare:
		return s.handlePrepare(st)
	default:
		if _, known := s.prepared[st.Name]; !known {
			return s.failure(statement.UnknownPrepared, "no prepared statement "+st.Name)
		}
		s.releasePrepared(st.Name)
		return s.success()
	}
}

func (s *session) handlePrepare(st statement.Statement) statement.Reply {
	if s.prepared == nil {
		s.prepared = map[string]statement.Prepared{}
	}
	if _, known := s.prepared[st.Name]; !known && len(s.prepared) >= maxPrepared {
		return s.failure(statement.TooLarge, fmt.Sprintf("more than %d prepared statements", maxPrepared))
	}
	growth := len(st.Name) + len(st.Value)
	if old, known := s.prepared[st.Name]; known {
		growth -= len(st.Name) + len(old.Text)
	}
	if s.preparedBytes+growth > maxPreparedBytes {
		return s.failure(statement.TooLarge, "the session's prepared statements take too much memory")
	}
	if !s.engine.reserveState(growth) {
		return s.failure(statement.Busy, "the sessions of this VM take too much memory")
	}
	s.preparedBytes += growth
	s.prepared[st.Name] = statement.Prepared{Writes: st.Writes, Text: st.Value}
	return s.success()
}

// releasePrepared forgets a prepared statement.
func (s *session) releasePrepared(name string) {
	size := len(name) + len(s.prepared[name].Text)
	delete(s.prepared, name)
	s.preparedBytes -= size
	s.engine.reserveState(-size)
}

// handleSet stores a setting. It copies the slice because requests in flight share
// the old one.
func (s *session) handleSet(st statement.Statement) statement.Reply {
	value := statement.Setting{Name: st.Name, Value: st.Value}
	index, found := slices.BinarySearchFunc(s.settings, st.Name, func(x statement.Setting, name string) int {
		switch {
		case x.Name < name:
			return -1
		case x.Name > name:
			return 1
		default:
			return 0
		}
	})
	growth := len(value.Name) + len(value.Value)
	if found {
		growth -= len(s.settings[index].Name) + len(s.settings[index].Value)
	}
	if s.settingsBytes+growth > maxSettingsBytes || !found && len(s.settings) >= maxSettings {
		return s.failure(statement.TooLarge, "the session's values take too much memory")
	}
	if !s.engine.reserveState(growth) {
		return s.failure(statement.Busy, "the sessions of this VM take too much memory")
	}
	s.settingsBytes += growth
	settings := slices.Clone(s.settings)
	if found {
		settings[index] = value
	} else {
		settings = append(settings, value)
		sort.Slice(settings, func(i, j int) bool { return settings[i].Name < settings[j].Name })
	}
	s.settings = settings
	return s.success()
}
