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

// work is one statement on its way, until it has run or is given up.
type work struct {
	s        *session
	st       statement.Statement
	prepared *statement.Prepared
	entry    catalogue.Entry
	begin    statement.Verb // opens a transaction; 0: a single statement
	lane     broker.LaneID
	arrived  time.Duration // of the statement or its transaction, on CLOCK_BOOTTIME
	began    time.Duration
	need     need
	after    topology.Mark
	attempts int
	queued   time.Duration // in queues, all attempts together
	ran      time.Duration // at servers
	last     broker.Result
	server   string
	group    *topology.Group
}

// runSingle runs a statement outside a transaction.
func (s *session) runSingle(st statement.Statement, prepared *statement.Prepared, arrived time.Duration) statement.Reply {
	entry, err := s.e.entry(s.database)
	if err != nil {
		s.e.count(statement.UnknownDatabase)
		return statement.Reply{Code: statement.UnknownDatabase, Detail: err.Error()}
	}
	w := &work{s: s, st: st, prepared: prepared, entry: entry, lane: s.e.newLane(), arrived: arrived, began: arrived}
	w.need.primary = st.Writes || entry.Freshness == catalogue.FreshLatest
	result := w.run()
	reply := w.reply(result)
	if st.Writes && reply.OK() {
		s.mark = later(s.mark, result.Reply.Mark)
	}
	reply.State = statement.Idle
	w.log(result, reply)
	return reply
}

// later returns the later of a session's mark and a commit's position.
func later(a, b topology.Mark) topology.Mark {
	if a.Less(b) {
		return b
	}
	return a
}

// runInTxn runs a statement of the open transaction.
func (s *session) runInTxn(st statement.Statement, prepared *statement.Prepared) statement.Reply {
	t := s.txn
	t.wrote = t.wrote || st.Writes
	w := &work{
		s: s, st: st, prepared: prepared, entry: t.entry, lane: t.lane, arrived: t.arrived, began: clock.Boottime(),
	}
	var result broker.Result
	if t.server != "" {
		result = w.join(t)
	} else {
		result = w.open(t)
	}
	return s.ended(w, t, result)
}

// ended takes the outcome of a transaction's statement over.
func (s *session) ended(w *work, t *txn, result broker.Result) statement.Reply {
	reply := w.reply(result)
	committed := w.st.Verb == statement.Commit && result.Outcome == broker.Ran && result.Reply.State == statement.Idle
	switch {
	case committed && reply.OK():
		if t.wrote {
			s.mark = later(s.mark, result.Reply.Mark)
		}
		s.txn, s.state = nil, statement.Idle
	case committed:
		s.txn, s.state = nil, statement.Idle
	case w.st.Verb == statement.Commit:
		s.rollBack()
		s.state = statement.Idle
	case result.Outcome != broker.Ran || result.Reply.State != statement.InTxn:
		s.rollBack()
		s.state = statement.Failed
	}
	reply.State = s.state
	w.log(result, reply)
	return reply
}

// open runs the first statement of a transaction, on a server chosen for it.
func (w *work) open(t *txn) broker.Result {
	latest := w.entry.Freshness == catalogue.FreshLatest
	w.need.primary = t.verb == statement.Begin || latest
	w.begin = t.verb
	if latest {
		// A server refuses BEGIN once it has lost the lead, not BEGIN READ.
		w.begin = statement.Begin
	}
	result := w.run()
	t.server, t.via = w.server, result.Via
	return result
}

// join runs a further statement of a transaction.
func (w *work) join(t *txn) broker.Result {
	w.server = t.server
	w.attempts = 1
	r := w.request(t.server)
	r.Joined, r.Via = true, t.via
	r.QueueFor = w.entry.Deadline.Duration()
	asked := clock.Boottime()
	result := w.s.e.broker.Run(context.Background(), r)
	w.took(result, asked)
	return result
}

// request builds the request to a server.
func (w *work) request(server string) broker.Request {
	return broker.Request{
		Lane: w.lane, Database: w.entry.GroupName(), Server: server, Entry: w.entry.Name,
		Caller: w.s.name(), Rank: w.entry.Rank, Begin: w.begin,
		Statement: w.st, Prepared: w.prepared, Settings: w.s.settings, After: w.after,
		RunFor: w.entry.Deadline.Duration(), IdleFor: w.entry.IdleInTxn.Duration(),
	}
}

// took notes what an answer taught.
func (w *work) took(result broker.Result, asked time.Duration) {
	w.queued += result.Waited
	w.ran += result.Ran
	if !result.Proof.Mark.IsZero() {
		w.s.e.marks.learn(result.Proof.Mark, asked)
	}
}

// run tries servers until one has run the statement, the statement must not be
// sent again, or its time is over.
func (w *work) run() broker.Result {
	limit := w.began + w.patience()
	pause := w.s.e.options.retryPauses()
	for {
		result, tried := w.attempt(limit)
		w.last = result
		if result.Outcome == broker.Ran && !result.Reply.NotRun() {
			return result
		}
		if result.Outcome == broker.Lost && w.st.Writes || w.overloaded(result) {
			return result
		}
		if w.begin != 0 && tried {
			w.renewLane(result)
		}
		now := clock.Boottime()
		if now >= limit {
			return result
		}
		if !tried {
			w.need.excluded = nil
			time.Sleep(min(pause.NextBackOff(), limit-now))
		}
	}
}

// renewLane gives up what an attempt to open a transaction may have left, so that
// the next attempt cannot meet it.
func (w *work) renewLane(result broker.Result) {
	if result.Outcome != broker.NotRun {
		w.s.e.broker.Release(result.Via, w.server, w.lane)
	}
	w.lane = w.s.e.newLane()
	w.s.txn.lane = w.lane
}

// patience returns how long a statement may wait to be run. Work that nobody can
// serve for the moment waits out a promotion; work that waits for a slot is
// refused by the queue long before.
func (w *work) patience() time.Duration {
	return max(w.entry.Objective.Duration(), w.s.e.options.GapWait)
}

// queueFor returns how long a statement may wait for a slot: while it can meet
// its objective it waits for that, else a statement's time.
func (w *work) queueFor(now time.Duration) time.Duration {
	left := w.entry.Objective.Duration() - (now - w.arrived)
	if w.entry.Objective == 0 || left < w.entry.Objective.Duration()/4 {
		left = w.entry.Deadline.Duration()
	}
	return left
}

// overloaded reports a refusal that other servers would give as well.
func (w *work) overloaded(result broker.Result) bool {
	if result.Outcome != broker.NotRun {
		return false
	}
	switch result.Reason {
	case outcome.ReasonDeadline, outcome.ReasonQueueFull, outcome.ReasonMemory:
		return result.Code == statement.None && (w.need.primary || len(w.need.excluded) > 1)
	default:
		return false
	}
}

// attempt tries one server. It reports false when no server is left to try.
func (w *work) attempt(limit time.Duration) (broker.Result, bool) {
	e := w.s.e
	now := clock.Boottime()
	w.group = e.source.Snapshot().Groups[w.entry.GroupName()]
	if w.group == nil {
		return broker.Result{Outcome: broker.NotRun, Reason: outcome.ReasonNoServer, Detail: "no server of the group is registered"}, false
	}
	if !w.need.primary {
		if err := w.cover(limit - now); err != nil {
			return broker.Result{Outcome: broker.NotRun, Reason: outcome.ReasonMarkUnknown, Detail: err.Error()}, false
		}
	}
	server, found := w.choose(now)
	if !found {
		if w.last.Reason != "" && w.attempts > 0 {
			return w.last, false
		}
		return broker.Result{Outcome: broker.NotRun, Reason: outcome.ReasonNoPrimary, Detail: "no server of the group can run it now"}, false
	}
	w.server = server.ID
	w.attempts++
	r := w.request(server.ID)
	r.Leading = w.need.primary && !w.st.Writes && w.begin == 0
	r.QueueFor = min(w.queueFor(now), max(limit-now, e.options.RetryPause))
	result := e.broker.Run(context.Background(), r)
	reason := result.Reason
	if result.Outcome == broker.Ran && result.Reply.NotRun() {
		reason = broker.RefusalReason(result.Reply.Code)
	}
	w.took(result, now)
	e.chooser.answered(server.ID, result.Waited, reason, clock.Boottime())
	if result.Outcome != broker.Ran || reason != "" {
		w.exclude(server.ID)
		w.logAttempt(result, reason)
	}
	return result, true
}

// choose picks the server. Work for the primary goes to the registered one, and,
// once that refused, to the others: one of them may lead already.
func (w *work) choose(now time.Duration) (topology.Server, bool) {
	server, found := w.s.e.chooser.choose(w.group, w.need, now)
	if found || !w.need.primary {
		return server, found
	}
	others := w.need
	others.primary = false
	if w.last.Reason != outcome.ReasonReplaced && w.last.Reply.Code != statement.ReadOnly && w.group.Primary != "" {
		return topology.Server{}, false
	}
	return w.s.e.chooser.choose(w.group, others, now)
}

func (w *work) exclude(id string) {
	if w.need.excluded == nil {
		w.need.excluded = map[string]bool{}
	}
	w.need.excluded[id] = true
}

// cover sets the position that a server must have.
func (w *work) cover(left time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), max(left, time.Millisecond))
	defer cancel()
	floor, err := w.s.e.marks.covering(ctx, w.entry.GroupName(), w.arrived, w.entry.MaxAge.Duration())
	if err != nil {
		return err
	}
	w.after = floor
	if w.entry.Freshness == catalogue.FreshOwn {
		// A mark of an earlier term may name a commit that a promotion rolled back;
		// the floor of the later term covers what is left of that term.
		w.after = later(floor, w.s.mark)
	}
	return nil
}

// reply turns the outcome into the caller's answer.
func (w *work) reply(result broker.Result) statement.Reply {
	switch result.Outcome {
	case broker.Ran:
		return result.Reply
	case broker.NotRun:
		return statement.Reply{Code: w.promise(result), Detail: string(result.Reason) + ": " + result.Detail + retryHint(result)}
	}
	detail := string(result.Reason) + ": " + result.Detail
	if w.mayBeKept() {
		return statement.Reply{Code: statement.InDoubt, Detail: detail}
	}
	return statement.Reply{Code: statement.Aborted, Detail: detail}
}

// retryHint says when refused work may find a slot; "" when nobody knows.
func retryHint(result broker.Result) string {
	if result.RetryAfter <= 0 {
		return ""
	}
	return "; come back in " + result.RetryAfter.Round(time.Millisecond).String()
}

// promise returns the code of a statement that did not run.
func (w *work) promise(result broker.Result) statement.Code {
	switch {
	case w.s.txn != nil && w.s.txn.server != "" && w.begin == 0:
		return statement.Aborted
	case result.Reason == outcome.ReasonBehind || result.Reason == outcome.ReasonMarkUnknown:
		return statement.Behind
	default:
		return statement.Busy
	}
}

// mayBeKept reports whether a lost statement can have committed something.
func (w *work) mayBeKept() bool {
	if w.s.txn == nil {
		return w.st.Writes
	}
	return w.st.Verb == statement.Commit && w.s.txn.wrote
}
