package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"egretroad/internal/catalogue"
	"egretroad/internal/outcome"
	"egretroad/internal/routing"
	"egretroad/internal/topology"
	"egretroad/internal/txn"
)

// request is one batch on its way to a server.
type request struct {
	entry    catalogue.Entry
	ctx      context.Context
	began    time.Time
	deadline time.Time
	pending  int   // bytes of earlier answers that are not sent yet
	flushed  int64 // bytes sent to the caller before the request
	excluded []string
	server   string // tried last; empty: none
	primary  bool
	backoff  time.Duration
	changed  <-chan struct{} // closed at the next change after the attempt's snapshot
}

// perform sends a batch to a server and delivers its answer. It retries only
// what provably did not run, or what is repeatable, and only while no byte of
// the answer has reached the caller.
func (s *session) perform(b txn.Batch) (txn.Result, error) {
	r := request{entry: s.entryTxn, began: time.Now(), pending: s.wire.pending(), flushed: s.wire.flushed}
	if s.lane == nil {
		e, err := s.resolve()
		if err != nil {
			return txn.Result{}, err
		}
		r.entry = e
	}
	s.startRequest(&r)
	result, err := s.attempts(&r, b)
	s.endRequest()
	s.count(&r, err)
	if err != nil {
		return result, err
	}
	s.gateway.learn(result.Status)
	s.raiseMark(result.Mark)
	return result, nil
}

// startRequest sets the deadline and makes the request cancellable. The home
// ends the request at the deadline and knows how it ended; the gateway gives up
// on the home itself only some time later, as that leaves a write unknown.
func (s *session) startRequest(r *request) {
	deadline := r.entry.Deadline.Duration()
	if deadline <= 0 {
		deadline = s.gateway.options.DefaultDeadline
	}
	r.deadline = r.began.Add(deadline)
	ctx, cancel := context.WithDeadline(s.context, r.deadline.Add(s.gateway.options.HomeGrace))
	r.ctx = ctx
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running, s.runLane, s.cancelled, s.inProgress = cancel, s.lane, false, true
}

func (s *session) endRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running()
	s.running, s.runLane, s.inProgress = nil, nil, false
}

// setLane makes the lane the target of cancel requests. It is false when the
// request was cancelled already.
func (s *session) setLane(l txn.Lane) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lane = l
	s.runLane = l
	return !s.cancelled
}

func (s *session) wasCancelled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cancelled
}

// attempts runs the batch until it is answered or must not be tried again.
func (s *session) attempts(r *request, b txn.Batch) (txn.Result, error) {
	if s.lane != nil {
		return s.run(r, b, s.deliver)
	}
	for {
		result, err := s.attempt(r, b)
		if err == nil || !s.again(r, err) {
			return result, s.refine(err)
		}
		s.wire.truncate(r.pending)
	}
}

// attempt opens a lane and runs the batch as its first.
func (s *session) attempt(r *request, b txn.Batch) (txn.Result, error) {
	r.server = ""
	if err := s.open(r); err != nil {
		return txn.Result{}, err
	}
	if begin := plainBegin(s.begin, r.entry.Access); begin != txn.BeginNone {
		b.Begin = begin
	} else if s.begin != "" {
		result, err := s.runBegin(r)
		if err != nil || result.Failed {
			return result, err
		}
	}
	return s.run(r, b, s.deliver)
}

// refine names a caller's cancel request as the reason.
func (s *session) refine(err error) error {
	var notRun *outcome.NotRunError
	if err == nil || !s.wasCancelled() || !errors.As(err, &notRun) {
		return err
	}
	return &outcome.NotRunError{Reason: outcome.ReasonCancelled, Detail: "the caller cancelled the request", Cause: err}
}

// run sends one batch on the open lane. After an error the lane has ended.
func (s *session) run(r *request, b txn.Batch, sink txn.Sink) (txn.Result, error) {
	result, err := s.lane.Run(r.ctx, b, sink)
	if err != nil {
		s.lane.Close()
		s.dropLane()
		return result, err
	}
	return result, nil
}

// plainBegin returns the form of a BEGIN without modes, which can go with the
// transaction's first batch. A kind of work that reads gets READ ONLY.
func plainBegin(sql string, access catalogue.Access) txn.Begin {
	word, rest := keyword(sql)
	if second, after := keyword(rest); second == "TRANSACTION" || second == "WORK" {
		rest = after
	}
	switch {
	case word == "" || skipSpace(rest) != "":
		return txn.BeginNone
	case access == catalogue.AccessRead:
		return txn.BeginReadOnly
	}
	return txn.BeginReadWrite
}

// runBegin sends a BEGIN with modes, which was answered before a server saw it.
// A server's error to it becomes the answer of the statement.
func (s *session) runBegin(r *request) (txn.Result, error) {
	messages, err := (&pgproto3.Query{String: s.begin}).Encode(nil)
	if err != nil {
		return txn.Result{}, &callerError{Code: codeProtocol, Message: "protocol error: " + err.Error()}
	}
	var answer []byte
	result, err := s.run(r, txn.Batch{Messages: messages}, func(m []byte) error {
		answer = append(answer, m...)
		return nil
	})
	if err == nil && result.Failed {
		err = s.deliver(answer)
	}
	return result, err
}

// deliver is the sink of answers to the caller.
func (s *session) deliver(messages []byte) error {
	if err := s.wire.sendBytes(messages); err != nil {
		return &callerGoneError{Cause: err}
	}
	return nil
}

// callerGoneError reports a caller that takes no bytes any more.
type callerGoneError struct{ Cause error }

func (e *callerGoneError) Error() string {
	return "the caller does not take its answer: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *callerGoneError) Unwrap() error { return e.Cause }

// open chooses a server and opens a lane to it.
func (s *session) open(r *request) error {
	g := s.gateway
	r.changed = g.deps.Source.Changed()
	snap := g.deps.Source.Snapshot()
	if err := s.checkMark(snap); err != nil {
		return err
	}
	if err := s.learnArrival(r, snap); err != nil {
		return err
	}
	d, err := g.choose(snap, s.database, s.routingRequest(r))
	if err != nil {
		return err
	}
	r.server, r.primary = d.Server.ID, d.Primary
	lane, err := g.deps.Home.Open(r.ctx, s.laneRequest(r, d))
	if err != nil {
		return err
	}
	s.entryTxn = r.entry
	s.server = d.Server.ID
	if !s.setLane(lane) {
		lane.Close()
		s.dropLane()
		return &outcome.NotRunError{Reason: outcome.ReasonCancelled, Detail: "the caller cancelled the request"}
	}
	return nil
}

func (s *session) routingRequest(r *request) routing.Request {
	return routing.Request{
		Access: r.entry.Access, Rank: r.entry.Rank, Mark: s.mark, MarkTime: s.markTime,
		MaxAge: r.entry.MaxAge.Duration(), Excluded: r.excluded,
	}
}

func (s *session) laneRequest(r *request, d routing.Decision) txn.Request {
	s.requests++
	return txn.Request{
		ID:       s.id + strconv.FormatUint(s.requests, 36),
		Database: s.database, Server: d.Server.ID, Term: d.Term,
		Entry: r.entry.Name, Kind: r.entry.Kind, Owner: r.entry.Owner, Caller: s.caller,
		Rank: r.entry.Rank, Access: r.entry.Access, Confirm: r.entry.Confirm, Repeatable: r.entry.Repeatable,
		Mark: s.mark, MarkWait: d.MarkWait, MaxAge: r.entry.MaxAge.Duration(),
		Timeout: time.Until(r.deadline), IdleInTxn: r.entry.IdleInTxn.Duration(), Settings: s.settings,
	}
}

// checkMark tells the caller once when a change of primary dropped a write that
// its mark names, and forgets the mark.
func (s *session) checkMark(snap *topology.Snapshot) error {
	group, ok := snap.Groups[s.database]
	if !ok || s.mark.IsZero() || !routing.Lost(group, s.mark) {
		return nil
	}
	lost := s.mark
	s.mark, s.markKnown = topology.Mark{}, false
	s.gateway.counters.marksLost.Add(1)
	return &outcome.NotRunError{
		Reason: outcome.ReasonMarkLost,
		Detail: "a write of term " + strconv.FormatUint(lost.Term, 10) + " that this session saw is not in the log of term " + strconv.FormatUint(group.Term, 10),
	}
}

// learnArrival takes the primary's position for a session that must see its own
// writes and may have made some before it came here.
func (s *session) learnArrival(r *request, snap *topology.Snapshot) error {
	if s.markKnown || r.entry.Access != catalogue.AccessRead || r.entry.MaxAge > 0 {
		return nil
	}
	group, ok := snap.Groups[s.database]
	if !ok || group.Promotion != nil || group.Primary == "" {
		return &outcome.NotRunError{Reason: outcome.ReasonMarkUnknown, Detail: "the session's earlier writes are not known here while database " + s.database + " has no primary"}
	}
	s.gateway.counters.positions.Add(1)
	m, err := s.gateway.deps.Home.Position(r.ctx, group.Primary)
	if err != nil {
		return &outcome.NotRunError{Reason: outcome.ReasonMarkUnknown, Detail: "the session's earlier writes are not known here: " + err.Error(), Cause: err}
	}
	s.mark = topology.Max(s.mark, m)
	s.markTime = s.gateway.deps.Now()
	s.markKnown = true
	return nil
}

// again prepares the next attempt after an error; it is false when the error is final.
func (s *session) again(r *request, err error) bool {
	reason, ok := s.retryReason(r, err)
	if !ok {
		return false
	}
	g := s.gateway
	if r.server != "" {
		g.refused(r.server, reason)
		r.excluded = append(r.excluded, r.server)
	}
	// Without a server chosen, another try at once would meet the same state.
	more := r.server != "" && s.hasOther(r)
	switch routing.After(r.entry.Access, reason, more) {
	case routing.TryOther:
		return reason == outcome.ReasonBehind || s.spendRetry()
	case routing.WaitAndRetry:
		r.excluded = r.excluded[:0]
		return s.waitForTurn(r)
	}
	return false
}

// retryReason returns why the attempt failed, if it may be repeated at all.
func (s *session) retryReason(r *request, err error) (outcome.Reason, bool) {
	if s.wire.flushed != r.flushed || r.ctx.Err() != nil || !time.Now().Before(r.deadline) || s.wasCancelled() {
		return "", false
	}
	mayRepeat := r.entry.Repeatable || r.entry.Access == catalogue.AccessRead
	var notRun *outcome.NotRunError
	if errors.As(err, &notRun) {
		return notRun.Reason, mayRepeat || !notRun.Sent
	}
	var unknown *outcome.UnknownError
	if errors.As(err, &unknown) && mayRepeat {
		return outcome.ReasonConnLost, true
	}
	return "", false
}

// hasOther reports whether a server is left that was not tried for this request.
func (s *session) hasOther(r *request) bool {
	group, ok := s.gateway.deps.Source.Snapshot().Groups[s.database]
	return ok && routing.Left(group, s.routingRequest(r))
}

func (s *session) spendRetry() bool {
	if !s.gateway.budget.Allow() {
		s.gateway.counters.budgetEmpty.Add(1)
		return false
	}
	s.gateway.counters.retries.Add(1)
	return true
}

// waitForTurn waits until the request may be tried again, within its deadline.
// An attempt that found no server to ask is repeated freely. While the retry
// budget is empty the request goes on waiting: it has done nothing yet.
func (s *session) waitForTurn(r *request) bool {
	for s.waitForRetry(r) {
		if r.server == "" || s.spendRetry() {
			return true
		}
		r.changed = s.gateway.deps.Source.Changed()
	}
	return false
}

// rankDelay spreads the requests that wake at the same change: the less urgent
// ones start later.
const rankDelay = 20 * time.Millisecond

// waitForRetry waits for a change of topology or for the backoff. It is false
// when the request's deadline ends first or too many requests wait.
func (s *session) waitForRetry(r *request) bool {
	g := s.gateway
	if !g.enterWait(r.entry.Rank) {
		return false
	}
	defer g.leaveWait()
	r.backoff = min(max(2*r.backoff, g.options.MinRetryBackoff), g.options.MaxRetryBackoff)
	pause := min(r.backoff/2+rand.N(r.backoff), time.Until(r.deadline))
	if !sleep(r.ctx, r.changed, pause) || !time.Now().Before(r.deadline) {
		return false
	}
	behind := int64(r.entry.Rank - catalogue.RankOrders)
	if behind <= 0 {
		return true
	}
	return sleep(r.ctx, nil, rand.N(time.Duration(behind)*rankDelay))
}

// sleep waits for the time or the channel; it is false when ctx ends first.
func sleep(ctx context.Context, changed <-chan struct{}, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-changed:
	case <-ctx.Done():
		return false
	}
	return ctx.Err() == nil
}
