package session

import (
	"context"
	"time"

	"egretroad/internal/broker"
	"egretroad/internal/catalogue"
	"egretroad/internal/clock"
	"egretroad/internal/outcome"
	"egretroad/internal/statement"
	"egretroad/internal/topology"
)

// execution is the state of one statement while it is attempted on servers.
type execution struct {
	session     *session
	statement   statement.Statement
	prepared    *statement.Prepared
	entry       catalogue.Entry
	begin       statement.Verb // opens a transaction with the statement; 0: none
	lane        broker.LaneID
	arrived     time.Duration // arrival of the statement or of its BEGIN, on CLOCK_BOOTTIME
	startedAt   time.Duration
	constraints serverConstraints
	minPosition topology.Mark
	attempts    int
	queueTime   time.Duration // in queues, total of all attempts
	serverTime  time.Duration // at servers, total of all attempts
	lastResult  broker.Result
	server      string
	group       *topology.Group
}

// runSingle runs a statement outside a transaction.
func (s *session) runSingle(st statement.Statement, prepared *statement.Prepared, arrived time.Duration) statement.Reply {
	entry, err := s.engine.entry(s.database)
	if err != nil {
		s.recordUnrouted("statement_refused", "id", st.ID, "verb", st.Verb)
		return statement.Reply{Code: statement.UnknownDatabase, Detail: err.Error()}
	}
	x := &execution{session: s, statement: st, prepared: prepared, entry: entry, lane: s.engine.newLane(), arrived: arrived, startedAt: arrived}
	x.constraints.primaryOnly = st.Writes || entry.Freshness == catalogue.FreshLatest
	result := x.run()
	reply := x.reply(result)
	if st.Writes && reply.OK() {
		s.record(result.Reply.Mark)
	}
	reply.State = statement.Idle
	x.logStatement(result, reply)
	return reply
}

// record keeps the position of a commit for later reads of the session. Positions of
// different groups are not comparable.
func (s *session) record(commit topology.Mark) {
	if s.marks == nil {
		s.marks = map[string]topology.Mark{}
	}
	s.marks[commit.Database] = topology.Max(s.marks[commit.Database], commit)
}

// runInTxn runs a statement of the open transaction.
func (s *session) runInTxn(st statement.Statement, prepared *statement.Prepared) statement.Reply {
	t := s.txn
	t.wrote = t.wrote || st.Writes
	x := &execution{
		session: s, statement: st, prepared: prepared, entry: t.entry, lane: t.lane, arrived: t.arrived, startedAt: clock.Boottime(),
	}
	var result broker.Result
	if t.server != "" {
		result = x.runNext(t)
	} else {
		result = x.runFirst(t)
	}
	return s.finishStatement(x, t, result)
}

// finishStatement updates the session's transaction state with the result of a
// statement and returns its reply.
func (s *session) finishStatement(x *execution, t *txn, result broker.Result) statement.Reply {
	reply := x.reply(result)
	committed := x.statement.Verb == statement.Commit && result.Outcome == broker.Ran && result.Reply.State == statement.Idle
	switch {
	case committed && reply.OK():
		if t.wrote {
			s.record(result.Reply.Mark)
		}
		s.txn, s.state = nil, statement.Idle
	case committed:
		s.txn, s.state = nil, statement.Idle
	case x.statement.Verb == statement.Commit:
		s.rollBack()
		s.state = statement.Idle
	case result.Outcome != broker.Ran || result.Reply.State != statement.InTxn:
		s.rollBack()
		s.state = statement.Failed
	}
	reply.State = s.state
	x.logStatement(result, reply)
	return reply
}

// runFirst selects a server and runs the first statement of a transaction on it.
func (x *execution) runFirst(t *txn) broker.Result {
	latest := x.entry.Freshness == catalogue.FreshLatest
	x.constraints.primaryOnly = t.verb == statement.Begin || latest
	x.begin = t.verb
	if latest {
		// A server that is no longer the primary refuses BEGIN but accepts BEGIN READ.
		x.begin = statement.Begin
	}
	result := x.run()
	t.server, t.via = x.server, result.Via
	return result
}

// runNext runs a later statement of a transaction, on the transaction's server.
func (x *execution) runNext(t *txn) broker.Result {
	x.server = t.server
	x.attempts = 1
	r := x.request(t.server)
	r.InTransaction, r.Via = true, t.via
	r.QueueTimeout = r.StatementTimeout
	requestedAt := clock.Boottime()
	result := x.session.engine.broker.Run(context.Background(), r)
	x.recordResult(result, requestedAt)
	return result
}

// request builds the broker request for one attempt.
func (x *execution) request(server string) broker.Request {
	now := clock.Boottime()
	timeout := x.session.engine.beforeStop(now+x.entry.Deadline.Duration()) - now
	return broker.Request{
		Lane: x.lane, Database: x.entry.GroupName(), Server: server, Entry: x.entry.Name,
		Caller: x.session.callerName(), Rank: x.entry.Rank, Begin: x.begin,
		Statement: x.statement, Prepared: x.prepared, Settings: x.session.settings, MinPosition: x.minPosition,
		StatementTimeout: max(timeout, time.Millisecond), IdleTimeout: x.entry.IdleInTxn.Duration(),
	}
}

// recordResult adds the times of an attempt and caches the position proven with it.
func (x *execution) recordResult(result broker.Result, requestedAt time.Duration) {
	x.queueTime += result.Waited
	x.serverTime += result.Ran
	if !result.Proof.Mark.IsZero() {
		x.session.engine.positions.record(result.Proof.Mark, requestedAt)
	}
}

// run attempts the statement on servers until one has run it, until a retry would be
// unsafe or futile, or until the wait limit has passed.
func (x *execution) run() broker.Result {
	deadline := x.startedAt + x.waitLimit()
	retryBackoff := x.session.engine.options.newRetryBackoff()
	for {
		deadline = x.session.engine.beforeStop(deadline)
		result, tried := x.attempt(deadline)
		x.lastResult = result
		if result.Outcome == broker.Ran && !result.Reply.NotRun() {
			return result
		}
		if result.Outcome == broker.OutcomeUnknown && x.statement.Writes || x.overloaded(result) {
			return result
		}
		if x.begin != 0 && tried {
			x.replaceLane(result)
		}
		now := clock.Boottime()
		deadline = x.session.engine.beforeStop(deadline)
		if now >= deadline {
			return result
		}
		if !tried {
			x.constraints.excluded = nil
			time.Sleep(min(retryBackoff.NextBackOff(), deadline-now))
		}
	}
}

// replaceLane releases whatever a failed attempt to open a transaction may have left
// behind and assigns a new lane, so that the next attempt cannot join it.
func (x *execution) replaceLane(result broker.Result) {
	if result.Outcome != broker.NotRun {
		x.session.engine.broker.Release(result.Via, x.server, x.lane)
	}
	x.lane = x.session.engine.newLane()
	x.session.txn.lane = x.lane
}

// waitLimit returns how long a statement may be retried. It is long enough to outlast
// a promotion while no server can run the statement; a statement that waits for a slot
// is rejected by the server's queue long before.
func (x *execution) waitLimit() time.Duration {
	return max(x.entry.LatencyObjective.Duration(), x.session.engine.options.NoPrimaryWait)
}

// queueTimeout returns how long a statement may queue for a slot: the time left of its
// latency objective, or the route's deadline if there is no objective or less than a
// quarter of it is left.
func (x *execution) queueTimeout(now time.Duration) time.Duration {
	left := x.entry.LatencyObjective.Duration() - (now - x.arrived)
	if x.entry.LatencyObjective == 0 || left < x.entry.LatencyObjective.Duration()/4 {
		left = x.entry.Deadline.Duration()
	}
	return left
}

// overloaded reports whether a statement was shed because of overload and other servers
// are expected to shed it too.
func (x *execution) overloaded(result broker.Result) bool {
	if result.Outcome != broker.NotRun {
		return false
	}
	switch result.Reason {
	case outcome.ReasonDeadline, outcome.ReasonQueueFull, outcome.ReasonMemory:
		return result.Code == statement.NoError && (x.constraints.primaryOnly || len(x.constraints.excluded) > 1)
	default:
		return false
	}
}

// attempt runs the statement on one server. It reports false if no request was sent,
// because no server is eligible or no required position is known.
func (x *execution) attempt(deadline time.Duration) (broker.Result, bool) {
	e := x.session.engine
	now := clock.Boottime()
	x.group = e.source.Snapshot().Groups[x.entry.GroupName()]
	if x.group == nil {
		return broker.Result{Outcome: broker.NotRun, Reason: outcome.ReasonNoServer, Detail: "no server of the group is registered"}, false
	}
	if !x.constraints.primaryOnly {
		if err := x.requirePosition(deadline - now); err != nil {
			return broker.Result{Outcome: broker.NotRun, Reason: outcome.ReasonMarkUnknown, Detail: err.Error()}, false
		}
	}
	server, found := x.selectServer(now)
	if !found {
		if x.lastResult.Reason != "" && x.attempts > 0 {
			return x.lastResult, false
		}
		return broker.Result{Outcome: broker.NotRun, Reason: outcome.ReasonNoPrimary, Detail: "no server of the group can run it now"}, false
	}
	x.server = server.ID
	x.attempts++
	r := x.request(server.ID)
	r.RequiresPrimary = x.constraints.primaryOnly && !x.statement.Writes && x.begin == 0
	r.QueueTimeout = min(x.queueTimeout(now), max(deadline-now, e.options.RetryBackoff))
	result := e.broker.Run(context.Background(), r)
	reason := result.Reason
	if result.Outcome == broker.Ran && result.Reply.NotRun() {
		reason = broker.RefusalReason(result.Reply.Code)
	}
	x.recordResult(result, now)
	e.selector.recordResult(server.ID, result.Waited, reason, clock.Boottime())
	if result.Outcome != broker.Ran || reason != "" {
		x.exclude(server.ID)
		x.logAttempt(result, reason)
	}
	return result, true
}

// selectServer selects the server of the next attempt. A statement for the primary goes
// to the registered primary. If that reports that it was replaced, or if none is
// registered, the other servers are tried, since one of them may already be the primary.
func (x *execution) selectServer(now time.Duration) (topology.Server, bool) {
	server, found := x.session.engine.selector.selectServer(x.group, x.constraints, now)
	if found || !x.constraints.primaryOnly {
		return server, found
	}
	anyServer := x.constraints
	anyServer.primaryOnly = false
	if x.lastResult.Reason != outcome.ReasonReplaced && x.lastResult.Reply.Code != statement.ReadOnly && x.group.Primary != "" {
		return topology.Server{}, false
	}
	return x.session.engine.selector.selectServer(x.group, anyServer, now)
}

func (x *execution) exclude(id string) {
	if x.constraints.excluded == nil {
		x.constraints.excluded = map[string]bool{}
	}
	x.constraints.excluded[id] = true
}

// requirePosition sets the log position that a server must have replayed.
func (x *execution) requirePosition(timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), max(timeout, time.Millisecond))
	defer cancel()
	required, err := x.session.engine.positions.requiredPosition(ctx, x.entry.GroupName(), x.arrived, x.entry.MaxAge.Duration())
	if err != nil {
		return err
	}
	x.minPosition = required
	if x.entry.Freshness == catalogue.FreshOwn {
		// A mark of an earlier term may refer to a commit that a promotion rolled back.
		// A required position of a later term covers everything retained of that term.
		x.minPosition = topology.Max(required, x.session.marks[x.entry.GroupName()])
	}
	return nil
}

// reply converts a result to the caller's reply.
func (x *execution) reply(result broker.Result) statement.Reply {
	switch result.Outcome {
	case broker.Ran:
		return result.Reply
	case broker.NotRun:
		return statement.Reply{Code: x.notRunCode(result), Detail: string(result.Reason) + ": " + result.Detail + retryHint(result)}
	}
	detail := string(result.Reason) + ": " + result.Detail
	if x.mayHaveCommitted() {
		return statement.Reply{Code: statement.InDoubt, Detail: detail}
	}
	return statement.Reply{Code: statement.Aborted, Detail: detail}
}

// retryHint returns text that tells the caller when to retry; empty without an estimate.
func retryHint(result broker.Result) string {
	if result.RetryAfter <= 0 {
		return ""
	}
	return "; come back in " + result.RetryAfter.Round(time.Millisecond).String()
}

// notRunCode returns the reply code of a statement that did not run.
func (x *execution) notRunCode(result broker.Result) statement.Code {
	switch {
	case x.session.txn != nil && x.session.txn.server != "" && x.begin == 0:
		return statement.Aborted
	case result.Reason == outcome.ReasonBehind || result.Reason == outcome.ReasonMarkUnknown:
		return statement.Lagging
	default:
		return statement.Busy
	}
}

// mayHaveCommitted reports whether a statement whose reply was lost may have committed
// a write.
func (x *execution) mayHaveCommitted() bool {
	if x.session.txn == nil {
		return x.statement.Writes
	}
	return x.statement.Verb == statement.Commit && x.session.txn.wrote
}
