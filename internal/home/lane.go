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

// lane implements txn.Lane: one transaction, or one single statement, on one
// connection.
type lane struct {
	server     *server
	id         admission.ID
	request    txn.Request
	stats      *kindStats
	settings   settingsPlan
	deadline   time.Duration // of the first batch, on the gate's clock
	firstBatch bool          // no batch has run yet
	txStatus   byte          // as of the last ReadyForQuery
	sent       bool          // a byte of a batch may have been sent
	unsynced   bool          // a batch ended with Flush and no Sync followed yet
	skipping   bool          // the server ignores messages until a Sync
	xid        uint64        // transaction ID; 0: not queried
	// batchDeadline is the deadline of the running batch, on the gate's clock.
	batchDeadline time.Duration

	mu          sync.Mutex // guards the fields below
	conn        *pool.Conn
	hasSlot     bool // a slot is held
	running     bool // Run is in progress
	endReason   outcome.Reason
	closing     bool           // Close was called during Run
	discardConn bool           // the connection must not return to the pool
	cancels     sync.WaitGroup // cancel requests in progress
	cancelSent  bool
	idleTimer   *time.Timer
}

var _ txn.Lane = (*lane)(nil)

func (s *server) newLane(r txn.Request, deadline time.Duration) *lane {
	s.gate.Lock()
	defer s.gate.Unlock()
	return &lane{
		server: s, id: s.gate.NewIDLocked(), request: r, stats: s.statsFor(r.Kind), settings: planSettings(r),
		deadline: deadline, firstBatch: true, txStatus: 'I', hasSlot: true,
	}
}

// connect takes a connection from the pool. A non-repeatable request cannot be
// retried on another connection, so connect discards connections that the server has
// already closed.
func (l *lane) connect(ctx context.Context) error {
	for {
		conn, err := l.acquireConnection(ctx)
		if err != nil {
			return &outcome.NotRunError{Reason: outcome.ReasonConnect, Detail: "no connection to server " + l.server.id, Cause: err}
		}
		if l.request.Repeatable || conn.Idle() {
			l.mu.Lock()
			l.conn = conn
			l.mu.Unlock()
			return nil
		}
		l.server.pool.Discard(conn)
		l.server.pool.Suspect()
	}
}

// acquireConnection returns a connection from the pool, and waits until the first
// batch's deadline if none is idle.
func (l *lane) acquireConnection(ctx context.Context) (*pool.Conn, error) {
	conn, err := l.server.pool.TryTake(l.settings.key)
	if conn != nil || err != nil {
		return conn, err
	}
	ctx, cancel := context.WithTimeout(ctx, max(0, l.deadline-l.server.gate.Now()))
	defer cancel()
	return l.server.pool.Take(ctx, l.settings.key)
}

// register adds the lane to the server's open lanes and starts its idle timer.
func (l *lane) register() {
	l.server.gate.Lock()
	l.server.openLanes[l] = struct{}{}
	l.server.gate.Unlock()
	l.mu.Lock()
	l.idleTimer = time.AfterFunc(min(l.request.IdleInTxn, l.server.options.FirstBatchTimeout), l.onIdleTimeout)
	l.mu.Unlock()
}

// onIdleTimeout ends a lane that has received no batch within its idle time-out.
func (l *lane) onIdleTimeout() {
	if l.tryEnd(outcome.ReasonIdleInTxn) {
		l.finish()
	}
}

// Close implements txn.Lane.
func (l *lane) Close() {
	if l.tryEnd(outcome.ReasonCancelled) {
		go l.finish()
	}
}

// tryEnd marks the lane as ended and reports whether the calling goroutine must call
// finish. While Run is in progress it returns false: Run calls finish itself, after
// the statement is cancelled if reason is ReasonCancelled.
func (l *lane) tryEnd(reason outcome.Reason) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.endReason != "" {
		return false
	}
	if l.running {
		if reason == outcome.ReasonCancelled && !l.closing {
			l.closing = true
			l.sendCancel()
		}
		return false
	}
	l.endReason = reason
	return true
}

// Cancel implements txn.Lane.
func (l *lane) Cancel() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.running && l.endReason == "" {
		l.sendCancel()
	}
}

// sendCancel sends a cancel request in the background. The connection returns to the
// pool only after the request has been handled, so that it cannot cancel a statement
// of the connection's next user. The caller holds mu.
func (l *lane) sendCancel() {
	conn := l.conn
	if conn == nil {
		return
	}
	l.cancelSent = true
	l.cancels.Add(1)
	go func() {
		defer l.cancels.Done()
		ctx, cancel := context.WithTimeout(context.Background(), l.server.options.CancelGrace)
		defer cancel()
		if err := conn.Cancel(ctx); err != nil {
			l.server.deps.Log.Warn("cancel_failed", "server", l.server.id, "cause", backend.CauseOf(err))
		}
	}()
}

// Run implements txn.Lane.
func (l *lane) Run(ctx context.Context, b txn.Batch, sink txn.Sink) (txn.Result, error) {
	if err := l.beginRun(); err != nil {
		return txn.Result{}, err
	}
	start := l.server.gate.Now()
	result, err := l.runAdmitted(ctx, b, sink)
	l.recordBatch(start, err)
	if err == nil && result.TxStatus != 'I' && l.markIdle() {
		return result, nil
	}
	l.markEnded()
	l.finish()
	return result, err
}

func (l *lane) beginRun() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.endReason != "" {
		return l.batchError(l.endReason, "the transaction has ended and was rolled back", nil, false)
	}
	l.running = true
	l.idleTimer.Stop()
	return nil
}

// markIdle releases the slot and starts the idle timer between two batches. It
// returns false if Close was called during Run.
func (l *lane) markIdle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closing {
		return false
	}
	if l.hasSlot {
		l.hasSlot = false
		l.server.gate.Step(admission.Event{Type: admission.EventStatementEnd, ID: l.id})
	}
	l.running = false
	l.idleTimer.Reset(l.request.IdleInTxn)
	return true
}

func (l *lane) markEnded() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running = false
	l.endReason = outcome.ReasonTxnAborted
}

// runAdmitted waits for a slot unless the lane has one, then runs the batch.
func (l *lane) runAdmitted(ctx context.Context, b txn.Batch, sink txn.Sink) (txn.Result, error) {
	deadline := l.deadline
	if !l.firstBatch {
		deadline = l.server.gate.Now() + l.request.Timeout
	}
	if !l.hasSlot {
		e := admission.Event{Type: admission.EventStatement, ID: l.id, Deadline: deadline}
		if _, err := l.server.awaitGrant(ctx, e, l.id, l.stats); err != nil {
			return txn.Result{}, err
		}
		l.hasSlot = true
	}
	if l.request.Access == catalogue.AccessWrite && (l.firstBatch || b.MayCommit) {
		if err := l.server.checkPrimary(l.request); err != nil {
			return txn.Result{}, err
		}
	}
	if l.server.gate.Now() >= deadline {
		return txn.Result{}, notRun(outcome.ReasonDeadline, "the deadline passed before the statement was sent")
	}
	l.batchDeadline = deadline
	result, err := l.runWithRetry(ctx, b, sink, deadline)
	l.firstBatch = false
	return result, err
}

// runWithRetry runs the batch, and retries it once on another connection if that is
// safe and the retry budget allows it.
func (l *lane) runWithRetry(ctx context.Context, b txn.Batch, sink txn.Sink, deadline time.Duration) (txn.Result, error) {
	x := newExchange(ctx, l, b, sink, deadline)
	result, err := x.run()
	if err == nil || !x.mayRetry() || ctx.Err() != nil || !l.server.budget.tryWithdraw() {
		return result, err
	}
	if !l.replaceConnection(ctx) {
		return result, err
	}
	return newExchange(ctx, l, b, sink, deadline).run()
}

// replaceConnection discards a broken connection and takes another from the pool.
func (l *lane) replaceConnection(ctx context.Context) bool {
	l.cancels.Wait()
	l.mu.Lock()
	old := l.conn
	l.conn = nil
	l.discardConn = false
	l.mu.Unlock()
	if old == nil {
		return false
	}
	l.server.pool.Discard(old)
	l.txStatus, l.skipping, l.cancelSent, l.xid = 'I', false, false, 0
	return l.connect(ctx) == nil
}

// recordBatch records a batch's latency and result in the kind's statistics.
func (l *lane) recordBatch(start time.Duration, err error) {
	s := l.server
	s.gate.Lock()
	defer s.gate.Unlock()
	l.stats.batches++
	_ = l.stats.latency.RecordValue(clampUS(s.gate.Now() - start))
	if err != nil {
		l.stats.failures++
	}
}

// finish releases everything that the lane holds and unregisters it.
func (l *lane) finish() {
	l.idleTimer.Stop()
	l.releaseServer()
	s := l.server
	s.gate.Lock()
	delete(s.openLanes, l)
	s.gate.Unlock()
	s.activeLanes.Done()
}

// releaseServer rolls back an open transaction and releases the connection and the
// slot. It is idempotent.
func (l *lane) releaseServer() {
	conn := l.detachConnection()
	if conn == nil {
		return
	}
	l.cancels.Wait()
	if l.discardConn || !l.makeReusable(conn) {
		l.server.pool.Discard(conn)
	} else {
		l.server.pool.Put(conn)
	}
	l.server.gate.Step(admission.Event{Type: admission.EventEnd, ID: l.id})
}

// detachConnection removes the connection from the lane and returns it, so that the
// calling function owns it; nil if the lane has none.
func (l *lane) detachConnection() *pool.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	conn := l.conn
	l.conn = nil
	return conn
}

// startDeliveryTimer starts a timer that takes the connection away from a caller that
// has not read its response CancelGrace after the statement's deadline.
func (l *lane) startDeliveryTimer() *time.Timer {
	expiry := l.server.gate.At(l.batchDeadline).Add(l.server.options.CancelGrace)
	return time.AfterFunc(time.Until(expiry), l.abortDelivery)
}

// abortDelivery discards the connection in the middle of a response and releases the
// slot.
func (l *lane) abortDelivery() {
	conn := l.detachConnection()
	if conn == nil {
		return
	}
	l.server.pool.Discard(conn)
	l.server.gate.Step(admission.Event{Type: admission.EventEnd, ID: l.id})
}

// makeReusable prepares the connection for its next user: it rolls back an open
// transaction and makes sure that no cancel request can still take effect. It returns
// false if the connection must be discarded.
func (l *lane) makeReusable(conn *pool.Conn) bool {
	if l.unsynced || l.skipping {
		// The Sync that a reset needs would commit the statements run so far.
		return false
	}
	if l.txStatus == 'I' && !l.cancelSent {
		return true
	}
	deadline := time.Now().Add(l.server.options.RollbackTimeout)
	if l.cancelSent && conn.Probe(deadline) != nil {
		return false
	}
	if l.txStatus == 'I' {
		return true
	}
	_, err := conn.Query("ROLLBACK", deadline)
	return err == nil
}

// batchError returns the error of a failed batch: *outcome.UnknownError for a write
// whose commit may have been sent, otherwise *outcome.NotRunError.
func (l *lane) batchError(reason outcome.Reason, detail string, cause error, mayHaveCommitted bool) error {
	if mayHaveCommitted && l.request.Access == catalogue.AccessWrite {
		return &outcome.UnknownError{Reason: reason, Detail: detail, Cause: cause}
	}
	return &outcome.NotRunError{Reason: reason, Detail: detail, Sent: l.sent, Cause: cause}
}

// mayResend reports whether the request may be sent again after bytes of it were sent.
func (l *lane) mayResend() bool {
	return l.request.Repeatable || l.request.Access == catalogue.AccessRead
}

// markAt returns the mark of a commit for the status read after it.
func (l *lane) markAt(st topology.ServerStatus) topology.Mark {
	return topology.Mark{Database: l.server.database, Term: st.Term, Position: st.Position}
}
