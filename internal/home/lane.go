package home

import (
	"context"
	"sync"
	"time"

	"egretroad/internal/admission"
	"egretroad/internal/backend"
	"egretroad/internal/catalogue"
	"egretroad/internal/outcome"
	"egretroad/internal/pool"
	"egretroad/internal/topology"
	"egretroad/internal/txn"
)

// lane carries one transaction over one connection.
type lane struct {
	s        *server
	id       admission.ID
	request  txn.Request
	stats    *kindStats
	settings settingsPlan
	deadline time.Duration // of the first batch, on server.now
	first    bool          // no batch has run yet
	txStatus byte          // as of the last ReadyForQuery
	sent     bool          // a byte of a batch may have left
	unsynced bool          // a batch ended with Flush and no Sync came since
	skipping bool          // the server ignores messages until a Sync
	xid      uint64        // transaction's ID, when it was read
	// runDeadline is the deadline of the batch that runs, on server.now.
	runDeadline time.Duration

	mu       sync.Mutex // guards the fields below
	conn     *pool.Conn
	slot     bool // a slot is held
	running  bool // Run is in progress
	ended    outcome.Reason
	closing  bool           // Close was called while Run was in progress
	suspect  bool           // the connection must not be used again
	cancels  sync.WaitGroup // cancel requests on their way
	canceled bool
	idle     *time.Timer
}

var _ txn.Lane = (*lane)(nil)

func (s *server) newLane(r txn.Request, deadline time.Duration) *lane {
	s.gate.Lock()
	defer s.gate.Unlock()
	return &lane{
		s: s, id: s.gate.NewIDLocked(), request: r, stats: s.kindOf(r.Kind), settings: planSettings(r),
		deadline: deadline, first: true, txStatus: 'I', slot: true,
	}
}

// connect takes a connection from the pool. Work that must not be sent twice
// gets none that the server has closed already.
func (l *lane) connect(ctx context.Context) error {
	for {
		conn, err := l.takeConnection(ctx)
		if err != nil {
			return &outcome.NotRunError{Reason: outcome.ReasonConnect, Detail: "no connection to server " + l.s.id, Cause: err}
		}
		if l.request.Repeatable || conn.Idle() {
			l.mu.Lock()
			l.conn = conn
			l.mu.Unlock()
			return nil
		}
		l.s.pool.Discard(conn)
		l.s.pool.Suspect()
	}
}

// takeConnection returns an idle connection, waiting for one if there is none.
func (l *lane) takeConnection(ctx context.Context) (*pool.Conn, error) {
	conn, err := l.s.pool.TryTake(l.settings.key)
	if conn != nil || err != nil {
		return conn, err
	}
	ctx, cancel := context.WithTimeout(ctx, max(0, l.deadline-l.s.gate.Now()))
	defer cancel()
	return l.s.pool.Take(ctx, l.settings.key)
}

// opened registers the lane and starts its idle timer.
func (l *lane) opened() {
	l.s.gate.Lock()
	l.s.openLanes[l] = struct{}{}
	l.s.gate.Unlock()
	l.mu.Lock()
	l.idle = time.AfterFunc(min(l.request.IdleInTxn, l.s.options.FirstBatchTimeout), l.expireIdle)
	l.mu.Unlock()
}

// expireIdle ends a lane whose caller sent nothing for too long.
func (l *lane) expireIdle() {
	if l.takeOver(outcome.ReasonIdleInTxn) {
		l.finish()
	}
}

// Close implements txn.Lane.
func (l *lane) Close() {
	if l.takeOver(outcome.ReasonCancelled) {
		go l.finish()
	}
}

// takeOver ends the lane for its caller and reports whether the connection is
// now the taker's to finish. While Run is in progress, Run finishes it.
func (l *lane) takeOver(reason outcome.Reason) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended != "" {
		return false
	}
	if l.running {
		if reason == outcome.ReasonCancelled && !l.closing {
			l.closing = true
			l.sendCancel()
		}
		return false
	}
	l.ended = reason
	return true
}

// Cancel implements txn.Lane.
func (l *lane) Cancel() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.running && l.ended == "" {
		l.sendCancel()
	}
}

// sendCancel sends a cancel request in the background. The connection is not
// given to others before the request has been handled. The caller holds mu.
func (l *lane) sendCancel() {
	conn := l.conn
	if conn == nil {
		return
	}
	l.canceled = true
	l.cancels.Add(1)
	go func() {
		defer l.cancels.Done()
		ctx, cancel := context.WithTimeout(context.Background(), l.s.options.CancelGrace)
		defer cancel()
		if err := conn.Cancel(ctx); err != nil {
			l.s.deps.Log.Warn("cancel_failed", "server", l.s.id, "cause", backend.CauseOf(err))
		}
	}()
}

// Run implements txn.Lane.
func (l *lane) Run(ctx context.Context, b txn.Batch, sink txn.Sink) (txn.Result, error) {
	if err := l.begin(); err != nil {
		return txn.Result{}, err
	}
	began := l.s.gate.Now()
	result, err := l.runAdmitted(ctx, b, sink)
	l.count(began, err)
	if err == nil && result.TxStatus != 'I' && l.pause() {
		return result, nil
	}
	l.end()
	l.finish()
	return result, err
}

func (l *lane) begin() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended != "" {
		return l.failed(l.ended, "the transaction has ended and was rolled back", nil, false)
	}
	l.running = true
	l.idle.Stop()
	return nil
}

// pause gives the slot back and waits for the next batch. It returns false when
// the lane was closed meanwhile.
func (l *lane) pause() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closing {
		return false
	}
	if l.slot {
		l.slot = false
		l.s.gate.Step(admission.Event{Type: admission.EventStatementEnd, ID: l.id})
	}
	l.running = false
	l.idle.Reset(l.request.IdleInTxn)
	return true
}

func (l *lane) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running = false
	l.ended = outcome.ReasonTxnAborted
}

// runAdmitted gets a slot unless the lane has one, then runs the batch.
func (l *lane) runAdmitted(ctx context.Context, b txn.Batch, sink txn.Sink) (txn.Result, error) {
	deadline := l.deadline
	if !l.first {
		deadline = l.s.gate.Now() + l.request.Timeout
	}
	if !l.slot {
		e := admission.Event{Type: admission.EventStatement, ID: l.id, Deadline: deadline}
		if _, err := l.s.await(ctx, e, l.id, l.stats); err != nil {
			return txn.Result{}, err
		}
		l.slot = true
	}
	if l.request.Access == catalogue.AccessWrite && (l.first || b.MayCommit) {
		if err := l.s.checkPrimary(l.request); err != nil {
			return txn.Result{}, err
		}
	}
	if l.s.gate.Now() >= deadline {
		return txn.Result{}, notRun(outcome.ReasonDeadline, "the deadline passed before the statement was sent")
	}
	l.runDeadline = deadline
	result, err := l.attempt(ctx, b, sink, deadline)
	l.first = false
	return result, err
}

// attempt runs the batch, and once more on another connection when that is safe.
func (l *lane) attempt(ctx context.Context, b txn.Batch, sink txn.Sink, deadline time.Duration) (txn.Result, error) {
	x := newExchange(ctx, l, b, sink, deadline)
	result, err := x.run()
	if err == nil || !x.mayRetry() || ctx.Err() != nil || !l.s.budget.spend() {
		return result, err
	}
	if !l.replaceConnection(ctx) {
		return result, err
	}
	return newExchange(ctx, l, b, sink, deadline).run()
}

// replaceConnection gives up a broken connection for another one.
func (l *lane) replaceConnection(ctx context.Context) bool {
	l.cancels.Wait()
	l.mu.Lock()
	old := l.conn
	l.conn = nil
	l.suspect = false
	l.mu.Unlock()
	if old == nil {
		return false
	}
	l.s.pool.Discard(old)
	l.txStatus, l.skipping, l.canceled, l.xid = 'I', false, false, 0
	return l.connect(ctx) == nil
}

// count records a batch.
func (l *lane) count(began time.Duration, err error) {
	s := l.s
	s.gate.Lock()
	defer s.gate.Unlock()
	l.stats.batches++
	_ = l.stats.latency.RecordValue(clampUS(s.gate.Now() - began))
	if err != nil {
		l.stats.failures++
	}
}

// finish ends the lane.
func (l *lane) finish() {
	l.idle.Stop()
	l.leaveServer()
	s := l.s
	s.gate.Lock()
	delete(s.openLanes, l)
	s.gate.Unlock()
	s.lanes.Done()
}

// leaveServer rolls an open transaction back and gives the connection and the
// slot to others. Repeated calls do nothing.
func (l *lane) leaveServer() {
	conn := l.giveUpConnection()
	if conn == nil {
		return
	}
	l.cancels.Wait()
	if l.suspect || !l.clean(conn) {
		l.s.pool.Discard(conn)
	} else {
		l.s.pool.Put(conn)
	}
	l.s.gate.Step(admission.Event{Type: admission.EventEnd, ID: l.id})
}

// giveUpConnection returns the lane's connection, which then is the caller's; nil
// when the lane has none.
func (l *lane) giveUpConnection() *pool.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	conn := l.conn
	l.conn = nil
	return conn
}

// guard starts a timer that takes the connection away from a caller that does
// not read its answer by the statement's deadline.
func (l *lane) guard() *time.Timer {
	left := l.s.gate.At(l.runDeadline).Add(l.s.options.CancelGrace)
	return time.AfterFunc(time.Until(left), l.abandon)
}

// abandon closes the connection in the middle of an answer.
func (l *lane) abandon() {
	conn := l.giveUpConnection()
	if conn == nil {
		return
	}
	l.s.pool.Discard(conn)
	l.s.gate.Step(admission.Event{Type: admission.EventEnd, ID: l.id})
}

// clean leaves the connection without an open transaction or a cancel request
// that could still hit the next user.
func (l *lane) clean(conn *pool.Conn) bool {
	if l.unsynced || l.skipping {
		// A Sync would commit what has run so far.
		return false
	}
	if l.txStatus == 'I' && !l.canceled {
		return true
	}
	deadline := time.Now().Add(l.s.options.RollbackTimeout)
	if l.canceled && conn.Probe(deadline) != nil {
		return false
	}
	if l.txStatus == 'I' {
		return true
	}
	_, err := conn.Query("ROLLBACK", deadline)
	return err == nil
}

// failed builds the error of a broken exchange: not run unless a commit may have
// been sent.
func (l *lane) failed(reason outcome.Reason, detail string, cause error, mayHaveCommitted bool) error {
	if mayHaveCommitted && l.request.Access == catalogue.AccessWrite {
		return &outcome.UnknownError{Reason: reason, Detail: detail, Cause: cause}
	}
	return &outcome.NotRunError{Reason: reason, Detail: detail, Sent: l.sent, Cause: cause}
}

// mayRepeat reports whether the request may be sent again after bytes of it left.
func (l *lane) mayRepeat() bool {
	return l.request.Repeatable || l.request.Access == catalogue.AccessRead
}

// mark returns the position of a commit.
func (l *lane) mark(st topology.ServerStatus) topology.Mark {
	return topology.Mark{Database: l.s.database, Term: st.Term, Position: st.Position}
}
