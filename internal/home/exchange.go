package home

import (
	"context"
	"errors"
	"os"
	"sync"
	"time"

	"egretroad/internal/backend"
	"egretroad/internal/catalogue"
	"egretroad/internal/clock"
	"egretroad/internal/outcome"
	"egretroad/internal/pool"
	"egretroad/internal/topology"
	"egretroad/internal/txn"
)

// exchange sends one batch over the lane's connection and handles its response.
type exchange struct {
	ctx      context.Context
	lane     *lane
	batch    txn.Batch
	conn     *pool.Conn
	deadline time.Time
	response response
	expected []expectedResponse

	queryStatus   bool // a hidden status query follows the batch, to get the log position
	hiddenTxn     bool // the batch runs in a hidden transaction
	sent          bool // a byte may have been sent
	batchSent     bool // a byte of the batch itself may have been sent
	received      bool // a byte of a response was received
	commitSent    bool // a commit may have been sent
	mayBeReplaced bool // an error suggests that the server is no longer the primary
	cancelled     bool // the statement was cancelled at its deadline or by its caller
	stopWatch     func() bool
	watchFired    chan struct{}
	writeError    chan error
}

func newExchange(ctx context.Context, l *lane, b txn.Batch, sink txn.Sink, deadline time.Duration) *exchange {
	return &exchange{
		ctx: ctx, lane: l, batch: b, conn: l.conn, deadline: l.server.gate.At(deadline),
		queryStatus: b.MayCommit && !b.Flush && l.request.Access == catalogue.AccessWrite,
		response:    response{sink: sink, heldLimit: l.server.options.MaxHeldBytes, startTimer: l.startDeliveryTimer},
	}
}

// sendBuffers pools the buffers for messages to servers.
var sendBuffers = sync.Pool{New: func() any { b := make([]byte, 0, 4096); return &b }}

// maxPooledBytes is the capacity of the largest buffer that is kept for reuse.
const maxPooledBytes = 64 << 10

// run runs the batch. If the connection broke during the commit but the server
// reports the transaction as committed, the batch completes normally.
func (x *exchange) run() (txn.Result, error) {
	result, err := x.runOnce()
	var resolved *resolvedCommitError
	if errors.As(err, &resolved) {
		return x.finishResolved(resolved)
	}
	return result, err
}

// runOnce sends the batch, receives its response and delivers it to the caller.
func (x *exchange) runOnce() (txn.Result, error) {
	x.response.hold = x.queryStatus
	x.watchContext()
	defer x.unwatchContext()
	buffer := sendBuffers.Get().(*[]byte)
	defer func() {
		if cap(*buffer) <= maxPooledBytes {
			sendBuffers.Put(buffer)
		}
	}()
	if err := x.encodeRequest(buffer); err != nil {
		return txn.Result{}, err
	}
	err := x.send(*buffer)
	x.batchSent = x.sent
	x.lane.sent = x.lane.sent || x.batchSent
	if err != nil {
		return txn.Result{}, x.connectionError(err)
	}
	if err := x.receive(); err != nil {
		return txn.Result{}, x.connectionError(err)
	}
	x.lane.unsynced = x.batch.Flush
	return x.finishBatch()
}

// watchContext sets the deadline and interrupts the connection when the caller's
// context ends.
func (x *exchange) watchContext() {
	x.conn.SetDeadline(x.deadline)
	if x.ctx.Done() == nil {
		return
	}
	x.watchFired = make(chan struct{})
	x.stopWatch = context.AfterFunc(x.ctx, func() {
		x.conn.Interrupt()
		close(x.watchFired)
	})
}

// unwatchContext stops watchContext. When it returns, the context no longer
// interrupts the connection.
func (x *exchange) unwatchContext() {
	if x.stopWatch == nil {
		return
	}
	if !x.stopWatch() {
		<-x.watchFired
	}
	x.stopWatch = nil
}

// encodeRequest encodes the batch together with the session settings, BEGIN and
// hidden queries that are sent in the same write.
func (x *exchange) encodeRequest(buffer *[]byte) error {
	out := (*buffer)[:0]
	l := x.lane
	if err := x.applySettings(&out); err != nil {
		return err
	}
	switch x.batch.Begin {
	case txn.BeginReadWrite, txn.BeginReadOnly:
		out = backend.AppendQuery(out, string(x.batch.Begin))
		x.response.hiddenQueries++
	case txn.BeginNone:
	default:
		return &outcome.NotRunError{Reason: outcome.ReasonUnavailable, Detail: "unknown form of BEGIN"}
	}
	if x.queryStatus && x.batch.Begin == txn.BeginNone && l.server.options.ResolveCommits && !l.request.Repeatable {
		if err := x.prepareCommitLookup(&out); err != nil {
			return err
		}
	}
	out, responses, err := rewriteBatch(out, x.batch, x.conn.Statements, l.skipping)
	if err != nil {
		return &outcome.NotRunError{Reason: outcome.ReasonUnavailable, Detail: "the batch is malformed", Cause: err}
	}
	x.expected = responses
	if x.queryStatus && !x.hiddenTxn {
		out = backend.AppendQuery(out, backend.SQLStatus)
		x.commitSent = true
	}
	*buffer = out
	return nil
}

// applySettings gives the connection the request's session settings. The proxy's
// own settings are sent in one write with the batch. Settings of callers are sent
// ahead of it and their response is awaited, because the server may reject them.
func (x *exchange) applySettings(out *[]byte) error {
	plan := x.lane.settings
	if !x.lane.firstBatch || x.conn.Settings() == plan.key {
		return nil
	}
	x.conn.SetSettings(settingsUnknown)
	message := backend.AppendQuery(nil, plan.sql)
	if plan.proxyOnly {
		*out = append(*out, message...)
		x.response.hiddenQueries++
		x.conn.SetSettings(plan.key)
		return nil
	}
	if err := x.send(message); err != nil {
		return x.connectionError(err)
	}
	_, err := backend.ReadRow(x.next)
	var serverErr *backend.ServerError
	if errors.As(err, &serverErr) {
		return &outcome.NotRunError{Reason: outcome.ReasonUnavailable, Detail: "the server refused a session setting", Cause: err}
	}
	if err != nil {
		return x.connectionError(err)
	}
	x.conn.SetSettings(plan.key)
	return nil
}

// maxInlineWriteBytes is the size of the largest write that finishes before reading
// begins. A larger write runs in its own goroutine, because the server may stop
// reading until its responses are read, which would deadlock.
const maxInlineWriteBytes = 32 << 10

func (x *exchange) send(messages []byte) error {
	x.sent = true
	if len(messages) > maxInlineWriteBytes {
		x.writeError = make(chan error, 1)
		go func() {
			_, err := x.conn.Write(messages)
			x.writeError <- err
		}()
		return nil
	}
	sent, err := x.conn.Write(messages)
	if err != nil && sent == 0 {
		x.sent = false
		x.commitSent = false
	}
	return err
}

// next reads a message. At the deadline, or when the caller's context ends, it
// cancels the statement and waits up to CancelGrace for the server to end it.
func (x *exchange) next() (byte, []byte, error) {
	for {
		kind, message, err := x.conn.Next()
		if err == nil {
			x.received = true
			return kind, message, nil
		}
		if x.cancelled || !errors.Is(err, os.ErrDeadlineExceeded) {
			return 0, nil, err
		}
		x.cancelled = true
		x.unwatchContext()
		x.conn.SetDeadline(time.Now().Add(x.lane.server.options.CancelGrace))
		x.lane.mu.Lock()
		x.lane.sendCancel()
		x.lane.mu.Unlock()
	}
}

// receive reads the responses to everything that encodeRequest encoded, except for
// the status query.
func (x *exchange) receive() error {
	for ; x.response.hiddenQueries > 0; x.response.hiddenQueries-- {
		if _, err := backend.ReadRow(x.next); err != nil {
			return err
		}
	}
	if x.hiddenTxn {
		if err := x.readHiddenBegin(); err != nil {
			return err
		}
	}
	if err := x.readResponses(); err != nil {
		return err
	}
	if x.writeError != nil {
		return <-x.writeError
	}
	return nil
}

// finishBatch ends the batch once its response has been received: it confirms a
// committed write, then delivers the response.
func (x *exchange) finishBatch() (txn.Result, error) {
	result := txn.Result{Failed: x.response.failed}
	if !x.batch.Flush {
		result.TxStatus = x.lane.txStatus
	}
	if x.queryStatus {
		mark, err := x.commitAndConfirm()
		if err != nil {
			return txn.Result{}, err
		}
		if x.primaryReplaced() {
			return txn.Result{}, x.replacedError()
		}
		result.TxStatus = x.lane.txStatus
		result.Failed = x.response.failed
		result.Mark = mark
	}
	result.Status = x.lane.server.status.latest()
	if result.TxStatus == 'I' {
		// A caller that reads slowly must not hold the slot.
		x.unwatchContext()
		x.lane.releaseServer()
	}
	if err := x.response.flush(); err != nil {
		return result, x.lane.batchError(outcome.ReasonCancelled, "the caller stopped reading", err, x.commitSent)
	}
	return result, nil
}

// confirmWrite waits until the write may be acknowledged. status was read on the
// server after the commit and gives the log position to confirm.
func (x *exchange) confirmWrite(status topology.ServerStatus) (topology.Mark, error) {
	if status.Term != x.lane.request.Term || status.Role == topology.RoleReplica {
		return topology.Mark{}, &outcome.UnknownError{Reason: outcome.ReasonReplaced, Detail: "the primary was replaced during the commit"}
	}
	mark := x.lane.markAt(status)
	x.unwatchContext()
	x.lane.releaseServer()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.ctx), x.lane.server.options.ConfirmTimeout)
	defer cancel()
	if err := x.lane.server.deps.Authority.Confirm(ctx, mark, x.lane.request.Confirm); err != nil {
		var unknown *outcome.UnknownError
		if errors.As(err, &unknown) {
			return mark, unknown
		}
		return mark, &outcome.UnknownError{Reason: outcome.ReasonUnconfirmed, Detail: "the write could not be confirmed", Cause: err}
	}
	return mark, nil
}

// readStatus reads the response to the hidden status query. If the query itself
// failed, for example because it was cancelled, the status is queried again on the
// home's administrative connection.
func (x *exchange) readStatus(queriedAt time.Duration) (topology.ServerStatus, error) {
	row, err := backend.ReadRow(x.next)
	if err == nil {
		var measured backend.Status
		if measured, err = backend.ParseStatus(row); err == nil {
			status := measured.ServerStatus(x.lane.server.id, queriedAt)
			x.lane.server.status.storeIfNewer(status)
			return status, nil
		}
	}
	var serverErr *backend.ServerError
	if !errors.As(err, &serverErr) {
		return topology.ServerStatus{}, err
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.ctx), x.lane.server.options.ConfirmTimeout)
	defer cancel()
	return x.lane.server.status.wait(ctx, nil)
}

// connectionError returns the outcome of a batch whose connection broke.
func (x *exchange) connectionError(err error) error {
	x.lane.discardConn = true
	x.unwatchContext()
	if x.cancelled {
		x.lane.server.pool.ProbeIdle()
	}
	reason := outcome.ReasonConnLost
	if x.cancelled {
		reason = outcome.ReasonStatementTimeout
	}
	if x.commitSent && x.lane.xid != 0 {
		return x.resolveCommit(reason, err)
	}
	return x.lane.batchError(reason, "the connection to server "+x.lane.server.id+" broke", err, x.commitSent)
}

// mayRetry reports whether a batch whose connection broke may run again on another
// connection: it is the first of the transaction, none of its response has reached
// the caller, and either none of it was sent or the request may be resent. If a commit
// may have been sent, only a repeatable request without any response is retried.
func (x *exchange) mayRetry() bool {
	if !x.lane.firstBatch || x.response.delivered || x.cancelled || !x.lane.discardConn {
		return false
	}
	if x.batchSent && !x.lane.mayResend() {
		return false
	}
	return !x.commitSent || x.lane.request.Repeatable && !x.received
}

// statusTime returns the time to record for a status query sent with a batch.
func statusTime() time.Duration { return clock.Boottime() }
