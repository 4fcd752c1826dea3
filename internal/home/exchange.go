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

// exchange runs one batch over the lane's connection.
type exchange struct {
	ctx      context.Context
	l        *lane
	b        txn.Batch
	conn     *pool.Conn
	deadline time.Time
	answer   answer
	expected []expected

	askStatus  bool // a hidden status query follows the batch
	wrapped    bool // the batch runs in a hidden transaction
	sent       bool // a byte may have left
	batchSent  bool // a byte of the batch itself may have left
	received   bool // a byte of an answer came
	commitSent bool // a commit may have been sent
	readOnly   bool // the server refused the work as one without the role would
	cancelled  bool // the statement was cancelled at its deadline or by its caller
	detach     func() bool
	detached   chan struct{}
	writeError chan error
}

func newExchange(ctx context.Context, l *lane, b txn.Batch, sink txn.Sink, deadline time.Duration) *exchange {
	return &exchange{
		ctx: ctx, l: l, b: b, conn: l.conn, deadline: l.s.gate.At(deadline),
		askStatus: b.MayCommit && !b.Flush && l.request.Access == catalogue.AccessWrite,
		answer:    answer{sink: sink, heldLimit: l.s.options.HeldBytes, guard: l.guard},
	}
}

// outBuffers holds buffers for messages to servers.
var outBuffers = sync.Pool{New: func() any { b := make([]byte, 0, 4096); return &b }}

// maxPooledBytes bounds the buffers that are kept for reuse.
const maxPooledBytes = 64 << 10

// run runs the batch. A commit that broke and was found to have taken effect
// ends like any other.
func (x *exchange) run() (txn.Result, error) {
	result, err := x.exchange()
	var found *committedError
	if errors.As(err, &found) {
		return x.concludeSettled(found)
	}
	return result, err
}

// exchange sends the batch and delivers its answer.
func (x *exchange) exchange() (txn.Result, error) {
	x.answer.hold = x.askStatus
	x.watch()
	defer x.unwatch()
	buffer := outBuffers.Get().(*[]byte)
	defer func() {
		if cap(*buffer) <= maxPooledBytes {
			outBuffers.Put(buffer)
		}
	}()
	if err := x.prepare(buffer); err != nil {
		return txn.Result{}, err
	}
	err := x.send(*buffer)
	x.batchSent = x.sent
	x.l.sent = x.l.sent || x.batchSent
	if err != nil {
		return txn.Result{}, x.broken(err)
	}
	if err := x.receive(); err != nil {
		return txn.Result{}, x.broken(err)
	}
	x.l.unsynced = x.b.Flush
	return x.conclude()
}

// watch interrupts the connection when the caller goes away.
func (x *exchange) watch() {
	x.conn.SetDeadline(x.deadline)
	if x.ctx.Done() == nil {
		return
	}
	x.detached = make(chan struct{})
	x.detach = context.AfterFunc(x.ctx, func() {
		x.conn.Interrupt()
		close(x.detached)
	})
}

// unwatch ends the watch; afterwards nothing interrupts the connection.
func (x *exchange) unwatch() {
	if x.detach == nil {
		return
	}
	if !x.detach() {
		<-x.detached
	}
	x.detach = nil
}

// prepare encodes everything that is sent at first.
func (x *exchange) prepare(buffer *[]byte) error {
	out := (*buffer)[:0]
	l := x.l
	if err := x.applySettings(&out); err != nil {
		return err
	}
	switch x.b.Begin {
	case txn.BeginReadWrite, txn.BeginReadOnly:
		out = backend.AppendQuery(out, string(x.b.Begin))
		x.answer.prefixes++
	case txn.BeginNone:
	default:
		return &outcome.NotRunError{Reason: outcome.ReasonUnavailable, Detail: "unknown form of BEGIN"}
	}
	if x.askStatus && x.b.Begin == txn.BeginNone && l.s.options.Settle && !l.request.Repeatable {
		if err := x.prepareSettlement(&out); err != nil {
			return err
		}
	}
	out, answers, err := rewriteBatch(out, x.b, x.conn.Statements, l.skipping)
	if err != nil {
		return &outcome.NotRunError{Reason: outcome.ReasonUnavailable, Detail: "the batch is malformed", Cause: err}
	}
	x.expected = answers
	if x.askStatus && !x.wrapped {
		out = backend.AppendQuery(out, backend.SQLStatus)
		x.commitSent = true
	}
	*buffer = out
	return nil
}

// applySettings brings the connection to the request's session settings. The
// proxy's own settings are sent along with the batch; those of callers are
// awaited, as the server may refuse them.
func (x *exchange) applySettings(out *[]byte) error {
	plan := x.l.settings
	if !x.l.first || x.conn.Settings() == plan.key {
		return nil
	}
	x.conn.SetSettings(settingsUnknown)
	message := backend.AppendQuery(nil, plan.sql)
	if plan.own {
		*out = append(*out, message...)
		x.answer.prefixes++
		x.conn.SetSettings(plan.key)
		return nil
	}
	if err := x.send(message); err != nil {
		return x.broken(err)
	}
	_, err := backend.ReadRow(x.next)
	var refused *backend.ServerError
	if errors.As(err, &refused) {
		return &outcome.NotRunError{Reason: outcome.ReasonUnavailable, Detail: "the server refused a session setting", Cause: err}
	}
	if err != nil {
		return x.broken(err)
	}
	x.conn.SetSettings(plan.key)
	return nil
}

// inlineWriteBytes bounds writes that are done before reading begins. A larger
// one runs beside the reading, as a server may stop reading while its answers
// are not read.
const inlineWriteBytes = 32 << 10

func (x *exchange) send(messages []byte) error {
	x.sent = true
	if len(messages) > inlineWriteBytes {
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

// next reads a message. At the deadline, or when the caller goes away, it
// cancels the statement and gives the server some time to answer that.
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
		x.unwatch()
		x.conn.SetDeadline(time.Now().Add(x.l.s.options.CancelGrace))
		x.l.mu.Lock()
		x.l.sendCancel()
		x.l.mu.Unlock()
	}
}

// receive reads the answers to everything sent at first.
func (x *exchange) receive() error {
	for ; x.answer.prefixes > 0; x.answer.prefixes-- {
		if _, err := backend.ReadRow(x.next); err != nil {
			return err
		}
	}
	if x.wrapped {
		if err := x.readHiddenBegin(); err != nil {
			return err
		}
	}
	if err := x.readAnswers(); err != nil {
		return err
	}
	if x.writeError != nil {
		return <-x.writeError
	}
	return nil
}

// conclude ends the batch after its answer came: it confirms what was committed
// and delivers the answer.
func (x *exchange) conclude() (txn.Result, error) {
	result := txn.Result{Failed: x.answer.failed}
	if !x.b.Flush {
		result.TxStatus = x.l.txStatus
	}
	if x.askStatus {
		mark, err := x.commit()
		if err != nil {
			return txn.Result{}, err
		}
		if x.replaced() {
			return txn.Result{}, x.replacedError()
		}
		result.TxStatus = x.l.txStatus
		result.Failed = x.answer.failed
		result.Mark = mark
	}
	result.Status = x.l.s.status.last()
	if result.TxStatus == 'I' {
		// A caller that reads slowly must not keep the slot.
		x.unwatch()
		x.l.leaveServer()
	}
	if err := x.answer.flush(); err != nil {
		return result, x.l.failed(outcome.ReasonCancelled, "the caller stopped reading", err, x.commitSent)
	}
	return result, nil
}

// confirm waits until the write at a status may be acknowledged.
func (x *exchange) confirm(status topology.ServerStatus) (topology.Mark, error) {
	if status.Term != x.l.request.Term || status.Role == topology.RoleReplica {
		return topology.Mark{}, &outcome.UnknownError{Reason: outcome.ReasonReplaced, Detail: "the primary was replaced during the commit"}
	}
	mark := x.l.mark(status)
	x.unwatch()
	x.l.leaveServer()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.ctx), x.l.s.options.ConfirmTimeout)
	defer cancel()
	if err := x.l.s.deps.Authority.Confirm(ctx, mark, x.l.request.Confirm); err != nil {
		var unknown *outcome.UnknownError
		if errors.As(err, &unknown) {
			return mark, unknown
		}
		return mark, &outcome.UnknownError{Reason: outcome.ReasonUnconfirmed, Detail: "the write could not be confirmed", Cause: err}
	}
	return mark, nil
}

// readStatus reads the answer to the hidden status query. When the query itself
// was refused, for example cancelled, the home asks again on its own connection.
func (x *exchange) readStatus(asked time.Duration) (topology.ServerStatus, error) {
	row, err := backend.ReadRow(x.next)
	if err == nil {
		var measured backend.Status
		if measured, err = backend.ParseStatus(row); err == nil {
			status := measured.ServerStatus(x.l.s.id, asked)
			x.l.s.status.offer(status)
			return status, nil
		}
	}
	var refused *backend.ServerError
	if !errors.As(err, &refused) {
		return topology.ServerStatus{}, err
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.ctx), x.l.s.options.ConfirmTimeout)
	defer cancel()
	return x.l.s.status.wait(ctx, nil)
}

// broken turns a broken exchange into its outcome.
func (x *exchange) broken(err error) error {
	x.l.suspect = true
	x.unwatch()
	if x.cancelled {
		x.l.s.pool.Suspect()
	}
	reason := outcome.ReasonConnLost
	if x.cancelled {
		reason = outcome.ReasonStatementTime
	}
	if x.commitSent && x.l.xid != 0 {
		return x.settle(reason, err)
	}
	return x.l.failed(reason, "the connection to server "+x.l.s.id+" broke", err, x.commitSent)
}

// mayRetry reports whether a broken batch may run again on another connection:
// it was the transaction's first, the caller has seen nothing of it, and none of
// it was sent or it may be repeated.
func (x *exchange) mayRetry() bool {
	if !x.l.first || x.answer.delivered || x.cancelled || !x.l.suspect {
		return false
	}
	if x.batchSent && !x.l.mayRepeat() {
		return false
	}
	return !x.commitSent || x.l.request.Repeatable && !x.received
}

// asked returns the time for the status that goes along with a batch.
func asked() time.Duration { return clock.Boottime() }
