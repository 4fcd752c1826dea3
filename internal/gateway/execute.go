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

// request is the state of one batch while it is executed, across retries.
type request struct {
	entry           catalogue.Entry
	ctx             context.Context
	startedAt       time.Time
	deadline        time.Time
	pendingBefore   int   // unsent bytes of earlier responses
	flushedBefore   int64 // bytes sent to the caller before the request started
	excluded        []string
	lastServer      string // server of the latest attempt; empty: none was chosen
	toPrimary       bool
	backoff         time.Duration
	topologyChanged <-chan struct{} // closed when the topology changes after the attempt's snapshot
}

// execute sends a batch to a server and forwards the response to the caller. It
// retries only requests that provably did not run or are repeatable, and only
// while no byte of the response has been sent to the caller.
func (s *session) execute(b txn.Batch) (txn.Result, error) {
	r := request{entry: s.txnEntry, startedAt: time.Now(), pendingBefore: s.conn.pendingBytes(), flushedBefore: s.conn.flushedBytes}
	if s.lane == nil {
		e, err := s.resolveEntry()
		if err != nil {
			return txn.Result{}, err
		}
		r.entry = e
	}
	s.startRequest(&r)
	result, err := s.runWithRetries(&r, b)
	s.endRequest()
	s.countOutcome(&r, err)
	if err != nil {
		return result, err
	}
	s.gateway.recordStatus(result.Status)
	s.advanceMark(result.Mark)
	return result, nil
}

// startRequest sets the deadline and makes the request cancellable. The home
// enforces the deadline and reports the outcome of the request. The gateway's own
// context therefore ends HomeGrace later: if it ends first, the outcome of a write
// stays unknown.
func (s *session) startRequest(r *request) {
	deadline := r.entry.Deadline.Duration()
	if deadline <= 0 {
		deadline = s.gateway.options.DefaultDeadline
	}
	r.deadline = r.startedAt.Add(deadline)
	ctx, cancel := context.WithDeadline(s.context, r.deadline.Add(s.gateway.options.HomeGrace))
	r.ctx = ctx
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancelRunning, s.runningLane, s.cancelled, s.inProgress = cancel, s.lane, false, true
}

func (s *session) endRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancelRunning()
	s.cancelRunning, s.runningLane, s.inProgress = nil, nil, false
}

// setLane makes l the session's lane and the target of cancel requests. It returns
// false if the request has already been cancelled.
func (s *session) setLane(l txn.Lane) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lane = l
	s.runningLane = l
	return !s.cancelled
}

func (s *session) wasCancelled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cancelled
}

// runWithRetries runs the batch until a server responds or the error is final. A
// batch on an open lane is not retried.
func (s *session) runWithRetries(r *request, b txn.Batch) (txn.Result, error) {
	if s.lane != nil {
		return s.runOnLane(r, b, s.sendToCaller)
	}
	for {
		result, err := s.attempt(r, b)
		if err == nil || !s.prepareRetry(r, err) {
			return result, s.withCancelReason(err)
		}
		s.conn.truncate(r.pendingBefore)
	}
}

// attempt opens a lane and runs the batch as its first one.
func (s *session) attempt(r *request, b txn.Batch) (txn.Result, error) {
	r.lastServer = ""
	if err := s.openLane(r); err != nil {
		return txn.Result{}, err
	}
	if begin := plainBegin(s.pendingBegin, r.entry.Access); begin != txn.BeginNone {
		b.Begin = begin
	} else if s.pendingBegin != "" {
		result, err := s.runBegin(r)
		if err != nil || result.Failed {
			return result, err
		}
	}
	return s.runOnLane(r, b, s.sendToCaller)
}

// withCancelReason replaces the reason of err by ReasonCancelled if the caller
// cancelled the request.
func (s *session) withCancelReason(err error) error {
	var notRun *outcome.NotRunError
	if err == nil || !s.wasCancelled() || !errors.As(err, &notRun) {
		return err
	}
	return &outcome.NotRunError{Reason: outcome.ReasonCancelled, Detail: "the caller cancelled the request", Cause: err}
}

// runOnLane sends one batch on the open lane. An error ends the lane.
func (s *session) runOnLane(r *request, b txn.Batch, sink txn.Sink) (txn.Result, error) {
	result, err := s.lane.Run(r.ctx, b, sink)
	if err != nil {
		s.lane.Close()
		s.clearLane()
		return result, err
	}
	return result, nil
}

// plainBegin returns the txn.Begin for a BEGIN statement without transaction modes,
// which is sent with the first batch of the transaction. Read-only kinds of work
// get READ ONLY. For any other statement it returns BeginNone.
func plainBegin(sql string, access catalogue.Access) txn.Begin {
	word, rest := nextKeyword(sql)
	if second, after := nextKeyword(rest); second == "TRANSACTION" || second == "WORK" {
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

// runBegin sends a BEGIN with transaction modes to the server. The caller has
// already received the response to it, so if the server rejects the BEGIN, its
// error becomes the response to the current statement.
func (s *session) runBegin(r *request) (txn.Result, error) {
	messages, err := (&pgproto3.Query{String: s.pendingBegin}).Encode(nil)
	if err != nil {
		return txn.Result{}, &callerError{Code: codeProtocol, Message: "protocol error: " + err.Error()}
	}
	var response []byte
	result, err := s.runOnLane(r, txn.Batch{Messages: messages}, func(m []byte) error {
		response = append(response, m...)
		return nil
	})
	if err == nil && result.Failed {
		err = s.sendToCaller(response)
	}
	return result, err
}

// sendToCaller is the txn.Sink that forwards response messages to the caller.
func (s *session) sendToCaller(messages []byte) error {
	if err := s.conn.sendBytes(messages); err != nil {
		return &callerGoneError{Cause: err}
	}
	return nil
}

// callerGoneError reports that writing a response to the caller failed.
type callerGoneError struct{ Cause error }

func (e *callerGoneError) Error() string {
	return "the caller does not take its answer: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *callerGoneError) Unwrap() error { return e.Cause }

// openLane chooses a server and opens a lane to it.
func (s *session) openLane(r *request) error {
	g := s.gateway
	r.topologyChanged = g.deps.Source.Changed()
	snap := g.deps.Source.Snapshot()
	if err := s.checkMarkLost(snap); err != nil {
		return err
	}
	if err := s.fetchInitialMark(r, snap); err != nil {
		return err
	}
	d, err := g.chooseServer(snap, s.database, s.routingRequest(r))
	if err != nil {
		return err
	}
	r.lastServer, r.toPrimary = d.Server.ID, d.Primary
	lane, err := g.deps.Home.Open(r.ctx, s.laneRequest(r, d))
	if err != nil {
		return err
	}
	s.txnEntry = r.entry
	s.lastServer = d.Server.ID
	if !s.setLane(lane) {
		lane.Close()
		s.clearLane()
		return &outcome.NotRunError{Reason: outcome.ReasonCancelled, Detail: "the caller cancelled the request"}
	}
	return nil
}

func (s *session) routingRequest(r *request) routing.Request {
	return routing.Request{
		Access: r.entry.Access, Rank: r.entry.Rank, Mark: s.mark, MarkTime: s.markUpdatedAt,
		MaxAge: r.entry.MaxAge.Duration(), Excluded: r.excluded,
	}
}

func (s *session) laneRequest(r *request, d routing.Decision) txn.Request {
	s.requestCount++
	return txn.Request{
		ID:       s.requestPrefix + strconv.FormatUint(s.requestCount, 36),
		Database: s.database, Server: d.Server.ID, Term: d.Term,
		Entry: r.entry.Name, Kind: r.entry.Kind, Owner: r.entry.Owner, Caller: s.callerName,
		Rank: r.entry.Rank, Access: r.entry.Access, Confirm: r.entry.Confirm, Repeatable: r.entry.Repeatable,
		Mark: s.mark, MarkWait: d.MarkWait, MaxAge: r.entry.MaxAge.Duration(),
		Timeout: time.Until(r.deadline), IdleInTxn: r.entry.IdleInTxn.Duration(), Settings: s.settings,
	}
}

// checkMarkLost returns an error if a failover dropped the write that the session's
// mark refers to. It resets the mark, so that the caller gets this error only once.
func (s *session) checkMarkLost(snap *topology.Snapshot) error {
	group, ok := snap.Groups[s.database]
	if !ok || s.mark.IsZero() || !routing.IsMarkLost(group, s.mark) {
		return nil
	}
	lost := s.mark
	s.mark, s.markComplete = topology.Mark{}, false
	s.gateway.counters.marksLost.Add(1)
	return &outcome.NotRunError{
		Reason: outcome.ReasonMarkLost,
		Detail: "a write of term " + strconv.FormatUint(lost.Term, 10) + " that this session saw is not in the log of term " + strconv.FormatUint(group.Term, 10),
	}
}

// fetchInitialMark advances the mark to the primary's current log position if it may
// not cover all earlier writes of the caller. The caller must read its own writes,
// and may have made some through another proxy before this session.
func (s *session) fetchInitialMark(r *request, snap *topology.Snapshot) error {
	if s.markComplete || r.entry.Access != catalogue.AccessRead || r.entry.MaxAge > 0 {
		return nil
	}
	group, ok := snap.Groups[s.database]
	if !ok || group.Promotion != nil || group.Primary == "" {
		return &outcome.NotRunError{Reason: outcome.ReasonMarkUnknown, Detail: "the session's earlier writes are not known here while database " + s.database + " has no primary"}
	}
	s.gateway.counters.positionQueries.Add(1)
	m, err := s.gateway.deps.Home.Position(r.ctx, group.Primary)
	if err != nil {
		return &outcome.NotRunError{Reason: outcome.ReasonMarkUnknown, Detail: "the session's earlier writes are not known here: " + err.Error(), Cause: err}
	}
	s.mark = topology.Max(s.mark, m)
	s.markUpdatedAt = s.gateway.deps.Now()
	s.markComplete = true
	return nil
}

// prepareRetry prepares the next attempt after err and waits for it if necessary. It
// returns false if the error is final.
func (s *session) prepareRetry(r *request, err error) bool {
	reason, ok := s.retryReason(r, err)
	if !ok {
		return false
	}
	g := s.gateway
	if r.lastServer != "" {
		g.recordRefusal(r.lastServer, reason)
		r.excluded = append(r.excluded, r.lastServer)
	}
	// If no server could be chosen, an immediate retry would see the same state.
	otherServer := r.lastServer != "" && s.hasUntriedServer(r)
	switch routing.StepAfterRefusal(r.entry.Access, reason, otherServer) {
	case routing.RetryOther:
		return reason == outcome.ReasonBehind || s.takeRetryToken()
	case routing.WaitAndRetry:
		r.excluded = r.excluded[:0]
		return s.waitToRetry(r)
	}
	return false
}

// retryReason returns why the attempt failed. It returns false if the request must
// not be retried.
func (s *session) retryReason(r *request, err error) (outcome.Reason, bool) {
	if s.conn.flushedBytes != r.flushedBefore || r.ctx.Err() != nil || !time.Now().Before(r.deadline) || s.wasCancelled() {
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

// hasUntriedServer reports whether the request can go to a server that is not excluded.
func (s *session) hasUntriedServer(r *request) bool {
	group, ok := s.gateway.deps.Source.Snapshot().Groups[s.database]
	return ok && routing.HasUntried(group, s.routingRequest(r))
}

func (s *session) takeRetryToken() bool {
	if !s.gateway.retryBudget.Allow() {
		s.gateway.counters.retriesRefused.Add(1)
		return false
	}
	s.gateway.counters.retries.Add(1)
	return true
}

// waitToRetry waits until the request may be retried; it returns false if the
// deadline ends first. A retry costs no token if the last attempt found no server.
// While the retry budget is empty the request keeps waiting instead of failing,
// since it has had no effect yet.
func (s *session) waitToRetry(r *request) bool {
	for s.waitForChangeOrBackoff(r) {
		if r.lastServer == "" || s.takeRetryToken() {
			return true
		}
		r.topologyChanged = s.gateway.deps.Source.Changed()
	}
	return false
}

// rankWakeDelay is the maximum extra delay per rank. It spreads out requests that
// are woken by the same topology change, the more urgent ones first.
const rankWakeDelay = 20 * time.Millisecond

// waitForChangeOrBackoff waits for a topology change or the end of the backoff. It
// returns false if the request's deadline ends first or too many requests wait.
func (s *session) waitForChangeOrBackoff(r *request) bool {
	g := s.gateway
	if !g.admitWaiter(r.entry.Rank) {
		return false
	}
	defer g.releaseWaiter()
	r.backoff = min(max(2*r.backoff, g.options.MinRetryBackoff), g.options.MaxRetryBackoff)
	delay := min(r.backoff/2+rand.N(r.backoff), time.Until(r.deadline))
	if !sleepUntilChange(r.ctx, r.topologyChanged, delay) || !time.Now().Before(r.deadline) {
		return false
	}
	ranksBelowOrders := int64(r.entry.Rank - catalogue.RankOrders)
	if ranksBelowOrders <= 0 {
		return true
	}
	return sleepUntilChange(r.ctx, nil, rand.N(time.Duration(ranksBelowOrders)*rankWakeDelay))
}

// sleepUntilChange waits for d or until changed is closed. It returns false if ctx
// ends first.
func sleepUntilChange(ctx context.Context, changed <-chan struct{}, d time.Duration) bool {
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
