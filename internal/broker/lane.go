package broker

import (
	"context"
	"errors"
	"sync"
	"time"

	"egretroad/internal/admission"
	"egretroad/internal/clock"
	"egretroad/internal/outcome"
	"egretroad/internal/statement"
)

// lane is one transaction, or one statement outside a transaction, on a connection.
type lane struct {
	server      *server
	id          admission.ID
	readWrite   bool // a read-write transaction, which only the primary accepts
	hasWritten  bool // a statement of the transaction has written
	idleTimeout time.Duration

	mu        sync.Mutex // held while a statement runs; guards the fields up to activityMu
	conn      *pooledConn
	holdsSlot bool
	ended     bool

	activityMu sync.Mutex    // guards the fields below, which maintenance reads while mu is held
	lastActive time.Duration // on CLOCK_BOOTTIME
	running    bool
}

// defaultIdleTimeout applies to transactions whose request sets no idle time-out.
const defaultIdleTimeout = 5 * time.Second

// idleMargin is added to the idle time-out of a transaction, so that the session's VM
// ends the transaction first.
const idleMargin = time.Second

// idleFor returns how long the lane has been idle; zero while a statement runs.
func (l *lane) idleFor(now time.Duration) time.Duration {
	l.activityMu.Lock()
	defer l.activityMu.Unlock()
	if l.running {
		return 0
	}
	return now - l.lastActive
}

func (l *lane) setRunning(running bool) {
	l.activityMu.Lock()
	defer l.activityMu.Unlock()
	l.running, l.lastActive = running, clock.Boottime()
}

// run runs one statement on a new lane or, if the request is InTransaction, on an open
// one.
func (s *server) run(ctx context.Context, r Request) Result {
	s.gate.Lock()
	s.lastWork = clock.Boottime()
	l := s.lanes[r.Lane]
	s.gate.Unlock()
	var result Result
	switch {
	case r.InTransaction && l == nil:
		result = Result{Outcome: NotRun, Reason: outcome.ReasonTxnAborted, Detail: "the transaction has ended and was rolled back"}
	case r.InTransaction:
		result = l.runNext(ctx, r)
	default:
		result = s.runNew(ctx, r)
	}
	s.metrics.observeResult(result)
	if result.Outcome != Ran || !result.Reply.OK() {
		s.logFailed(r, result)
	}
	return result
}

// logFailed logs a statement that did not succeed, with the state of the server as this
// VM knows it.
func (s *server) logFailed(r Request, result Result) {
	now := clock.Boottime()
	unresponsive, _ := s.health.unresponsiveFor(now)
	proof, _ := s.health.lastProof(now)
	v := s.view.Load()
	open, limit := s.pool.size()
	s.gate.Lock()
	waiting, transactions := s.gate.MachineLocked().Waiting(), len(s.lanes)
	s.gate.Unlock()
	s.log.Info("home_statement", "id", r.Statement.ID, "session", r.Caller, "entry", r.Entry, "born", s.spec.Born,
		"home", v.home, "primary", v.primary, "waiting", waiting, "transactions", transactions,
		"connections", open, "connection_limit", limit, "after", r.MinPosition.Position,
		"after_term", r.MinPosition.Term, "proof", proof.Mark.Position, "proof_term", proof.Mark.Term, "proof_age", proof.Age.Round(time.Millisecond),
		"silence", unresponsive.Round(time.Millisecond), "waited", result.Waited.Round(time.Microsecond), "ran", result.Ran.Round(time.Microsecond),
		"outcome", result.Outcome, "code", max(result.Code, result.Reply.Code), "reason", result.Reason,
		"detail", result.Detail+result.Reply.Detail)
}

// runNew queues new work for a slot, acquires a connection and runs the statement on a
// new lane.
func (s *server) runNew(ctx context.Context, r Request) Result {
	if refused := s.newWorkRefusal(); refused != nil {
		return *refused
	}
	began := s.gate.Now()
	l := s.newLane(r)
	ctx, cancel := context.WithTimeout(ctx, r.QueueTimeout)
	defer cancel()
	if r.needsPrimary() {
		// The wait for permission occupies no slot here.
		if refused := s.permitPrimary(ctx); refused != nil {
			return *refused
		}
	}
	effect, err := s.awaitSlot(ctx, admission.Event{Type: admission.EventOffer, Work: admission.Work{
		ID: l.id, Entry: r.Entry, Kind: r.Entry, Owner: r.Entry, Caller: r.Caller, Rank: r.Rank,
		Deadline: began + r.QueueTimeout, Bytes: len(r.Statement.Text),
	}}, l.id)
	if refused := queueRefusal(effect, err); refused != nil {
		refused.Waited = s.gate.Now() - began
		return *refused
	}
	if refused := s.newWorkRefusal(); refused != nil {
		// The server started to leave or to hand over while the work was queued.
		s.gate.Step(admission.Event{Type: admission.EventEnd, ID: l.id})
		refused.Waited = s.gate.Now() - began
		return *refused
	}
	conn, err := s.pool.acquire(ctx, r.Settings)
	if err != nil {
		s.gate.Step(admission.Event{Type: admission.EventEnd, ID: l.id})
		return Result{Outcome: NotRun, Reason: outcome.ReasonConnect, Detail: err.Error(), Waited: s.gate.Now() - began}
	}
	l.conn, l.holdsSlot = conn, true
	waited := s.gate.Now() - began
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.Begin != 0 {
		s.gate.Lock()
		s.lanes[r.Lane] = l
		s.gate.Unlock()
	}
	l.setRunning(true)
	result := l.runFirst(r)
	result.Waited = waited
	l.finishStatement(r, &result)
	return result
}

// queueRefusal converts a refusal or time-out of the queue to a result; nil for a grant.
func queueRefusal(effect admission.Effect, err error) *Result {
	if err != nil {
		return &Result{Outcome: NotRun, Reason: outcome.ReasonDeadline, Detail: "no slot in time"}
	}
	if effect.Type == admission.EffectGrant {
		return nil
	}
	return &Result{Outcome: NotRun, Reason: effect.Reason, RetryAfter: effect.RetryAfter, Detail: "refused by the queue"}
}

func (s *server) newLane(r Request) *lane {
	s.gate.Lock()
	defer s.gate.Unlock()
	limit := r.IdleTimeout
	if limit <= 0 {
		limit = defaultIdleTimeout
	}
	return &lane{server: s, id: s.gate.NewIDLocked(), readWrite: r.Begin == statement.Begin, idleTimeout: limit + idleMargin}
}

// runFirst prepares the connection and runs the first statement of the lane. It replaces
// a connection once if it breaks before the statement is sent.
func (l *lane) runFirst(r Request) Result {
	if r.needsPrimary() {
		if refused := l.server.permitPrimary(l.server.ctx); refused != nil {
			return *refused
		}
	}
	result, usable := l.prepareConn(r)
	if !usable && result.Reason == outcome.ReasonConnLost {
		if replaced := l.replaceConn(r); replaced {
			result, usable = l.prepareConn(r)
		}
	}
	if !usable {
		return result
	}
	return l.execute(r)
}

// replaceConn discards a broken connection and acquires another one.
func (l *lane) replaceConn(r Request) bool {
	l.server.pool.discard(l.conn)
	l.conn = nil
	ctx, cancel := context.WithTimeout(l.server.ctx, min(r.QueueTimeout, l.server.options.ConnectTimeout))
	defer cancel()
	conn, err := l.server.pool.acquire(ctx, r.Settings)
	if err != nil {
		return false
	}
	l.conn = conn
	return true
}

// prepareConn runs the commands that must precede the statement: settings, PREPARE and
// BEGIN. It waits for their replies, because a statement pipelined after a refused BEGIN
// would run outside the transaction. It returns false if the statement must not be sent.
func (l *lane) prepareConn(r Request) (Result, bool) {
	commands := l.conn.sessionCommands(r)
	begin := r.Begin
	if r.RequiresPrimary {
		begin = statement.Begin
	}
	if !r.InTransaction && begin != 0 {
		c := proxyCommand(begin)
		c.MinPosition = r.MinPosition
		commands = append(commands, c)
	}
	if len(commands) == 0 {
		return Result{}, true
	}
	sentAt := clock.Boottime()
	replies, err := l.conn.Run(time.Now().Add(l.server.options.ProbeTimeout), commands...)
	l.server.recordResponse(sentAt, err)
	if err != nil {
		return Result{Outcome: NotRun, Reason: outcome.ReasonConnLost, Detail: err.Error()}, false
	}
	for i, reply := range replies {
		if reply.OK() {
			continue
		}
		isBegin := commands[i].Verb == statement.Begin || commands[i].Verb == statement.BeginRead
		if !isBegin {
			// The connection lacks state that is recorded as applied, and a BEGIN sent
			// in the same write may have opened a transaction on it.
			l.server.pool.discard(l.conn)
			l.conn = nil
			return Result{Outcome: NotRun, Reason: outcome.ReasonUnavailable, Code: reply.Code, Detail: reply.Detail}, false
		}
		return Result{Outcome: NotRun, Reason: RefusalReason(reply.Code), Code: reply.Code, Detail: reply.Detail}, false
	}
	if begin == statement.Begin && len(replies) > 0 {
		l.server.recordProof(Proof{Mark: replies[len(replies)-1].Mark}, sentAt)
	}
	return Result{}, true
}

// RefusalReason maps the code of a server's refusal to the reason reported for it.
func RefusalReason(code statement.Code) outcome.Reason {
	switch code {
	case statement.ReadOnly:
		return outcome.ReasonReplaced
	case statement.Lagging:
		return outcome.ReasonBehind
	case statement.Busy:
		return outcome.ReasonQueueFull
	case statement.TooManyConnections, statement.WrongServer:
		return outcome.ReasonConnect
	default:
		return outcome.ReasonUnavailable
	}
}

// execute sends the statement and waits for its reply.
func (l *lane) execute(r Request) Result {
	command := statement.Command{Statement: r.Statement}
	if r.Prepared != nil {
		command.Name = preparedName(*r.Prepared)
	}
	if r.Begin == 0 && !r.InTransaction && !r.RequiresPrimary && !r.Statement.Writes {
		command.MinPosition = r.MinPosition
	}
	commits := l.commits(r)
	if commits && r.InTransaction {
		if refused := l.server.permitPrimary(l.server.ctx); refused != nil {
			return *refused
		}
	}
	sentAt := clock.Boottime()
	if !l.server.beginInFlight(commits) {
		return *l.server.handOverRefusal()
	}
	overdue := l.server.watchOverdue(l.id, r.Statement.ID)
	replies, err := l.conn.Run(time.Now().Add(r.StatementTimeout), command)
	overdue.stop()
	l.server.endInFlight()
	ran := clock.Boottime() - sentAt
	l.server.recordResponse(sentAt, err)
	if err != nil {
		reason := outcome.ReasonConnLost
		var broken *BrokenError
		if errors.As(err, &broken) && broken.Timeout {
			reason = outcome.ReasonStatementTimeout
			l.server.pool.verifyIdle(sentAt)
		}
		return Result{Outcome: OutcomeUnknown, Reason: reason, Detail: err.Error(), Ran: ran}
	}
	reply := replies[0]
	l.hasWritten = l.hasWritten || r.Statement.Writes && reply.OK()
	if reply.Code == statement.UnknownPrepared {
		clear(l.conn.prepared)
	}
	if commits && reply.OK() {
		if refused := l.server.permitPrimary(l.server.ctx); refused != nil {
			// The commit may have reached a primary that had been replaced before.
			return Result{Outcome: OutcomeUnknown, Reason: outcome.ReasonUnconfirmed, Detail: refused.Detail, Ran: ran}
		}
	}
	result := Result{Outcome: Ran, Reply: reply, Ran: ran}
	if reply.OK() && (l.readWrite && r.Statement.Verb != statement.Commit || l.hasWritten || r.RequiresPrimary) {
		proof := Proof{Mark: reply.Mark}
		if l.server.recordProof(proof, sentAt) {
			proof.Age = ran
			result.Proof = proof
		}
	}
	return result
}

// commits reports whether a statement commits a write: a COMMIT after a write, or a
// write outside a transaction.
func (l *lane) commits(r Request) bool {
	if r.Statement.Verb == statement.Commit {
		return l.hasWritten
	}
	return r.Statement.Writes && r.Begin == 0 && !r.InTransaction
}

// runNext runs another statement of an open transaction.
func (l *lane) runNext(ctx context.Context, r Request) Result {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return Result{Outcome: NotRun, Reason: outcome.ReasonTxnAborted, Detail: "the transaction has ended and was rolled back"}
	}
	l.setRunning(true)
	began := l.server.gate.Now()
	if !l.holdsSlot {
		effect, err := l.server.awaitSlot(ctx, admission.Event{Type: admission.EventStatement, ID: l.id, Deadline: began + r.QueueTimeout}, l.id)
		if refused := queueRefusal(effect, err); refused != nil {
			l.finishLane(r.Lane, true)
			return *refused
		}
		l.holdsSlot = true
	}
	waited := l.server.gate.Now() - began
	result, usable := l.prepareConn(r)
	if usable {
		result = l.execute(r)
	}
	result.Waited = waited
	l.finishStatement(r, &result)
	return result
}

// finishStatement releases the slot and, unless a transaction remains open, ends the
// lane and returns its connection. The caller holds mu.
func (l *lane) finishStatement(r Request, result *Result) {
	inTxn := r.Begin != 0 || r.InTransaction
	open := inTxn && result.Outcome == Ran && result.Reply.State == statement.InTxn
	if open {
		l.holdsSlot = false
		l.server.gate.Step(admission.Event{Type: admission.EventStatementEnd, ID: l.id})
		l.setRunning(false)
		return
	}
	broken := result.Outcome == OutcomeUnknown || result.Outcome == NotRun && result.Reason == outcome.ReasonConnLost
	rollBack := r.RequiresPrimary && result.Outcome == Ran ||
		inTxn && (result.Outcome == Ran && result.Reply.State != statement.Idle || r.InTransaction && result.Outcome == NotRun)
	if r.RequiresPrimary {
		// The transaction is internal to the proxy; the session must not see it.
		result.Reply.State = statement.Idle
	}
	if broken && l.conn != nil {
		l.server.pool.discard(l.conn)
		l.conn = nil
	}
	l.finishLane(r.Lane, rollBack)
}

// finishLane ends the lane: it rolls back the transaction if rollBack is set, and
// releases the connection and the slot. The caller holds mu.
func (l *lane) finishLane(id LaneID, rollBack bool) {
	if l.ended {
		return
	}
	l.ended = true
	l.server.gate.Lock()
	if l.server.lanes[id] == l {
		delete(l.server.lanes, id)
	}
	l.server.gate.Unlock()
	conn := l.conn
	l.conn = nil
	if conn != nil && rollBack {
		if l.holdsSlot {
			// A rollback occupies no slot at the server.
			l.holdsSlot = false
			l.server.gate.Step(admission.Event{Type: admission.EventStatementEnd, ID: l.id})
		}
		replies, err := conn.Run(time.Now().Add(l.server.options.ProbeTimeout), proxyCommand(statement.Rollback))
		if err != nil || replies[0].State != statement.Idle {
			l.server.pool.discard(conn)
			conn = nil
		}
	}
	if conn != nil {
		l.server.pool.release(conn)
	}
	l.server.gate.Step(admission.Event{Type: admission.EventEnd, ID: l.id})
}

// releaseLane ends a lane that its session no longer uses and rolls back its transaction.
func (s *server) releaseLane(id LaneID) {
	s.gate.Lock()
	l := s.lanes[id]
	s.gate.Unlock()
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.finishLane(id, true)
}

// closeConn ends the lane and closes its connection, which makes the server roll back
// the transaction.
func (l *lane) closeConn() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended = true
	if l.conn != nil {
		l.conn.Close()
		l.conn = nil
	}
}
