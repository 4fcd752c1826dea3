package peer

import (
	"context"
	"sync"

	"egretroad/internal/catalogue"
	"egretroad/internal/outcome"
	"egretroad/internal/txn"
)

// clientLane is the gateway's end of a lane on another VM.
type clientLane struct {
	node    *Node
	vm      string
	request txn.Request
	inbox   *inbox

	mu         sync.Mutex // guards the fields below
	client     *clientLink
	number     uint64
	ended      bool
	commitSent bool // a batch that may commit a write may have left
	consumed   int  // bytes of data not yet credited
}

// Run implements txn.Lane.
func (l *clientLane) Run(ctx context.Context, b txn.Batch, sink txn.Sink) (txn.Result, error) {
	first, err := l.connect(ctx)
	if err != nil {
		return txn.Result{}, l.finish(&outcome.NotRunError{Reason: outcome.ReasonHomeLost, Detail: "home VM " + l.vm + " cannot be reached", Cause: err})
	}
	if err := l.awaitHome(ctx, first, b); err != nil {
		return txn.Result{}, l.finish(&outcome.NotRunError{Reason: outcome.ReasonHomeLost, Detail: "home VM " + l.vm + " does not answer", Cause: err})
	}
	if err := l.sendBatch(first, b); err != nil {
		return txn.Result{}, l.finish(l.broken(err))
	}
	for {
		select {
		case <-l.inbox.ready:
		case <-ctx.Done():
			l.notifyEnd(frameLaneCancel)
			return txn.Result{}, l.finish(l.broken(ctx.Err()))
		case <-l.client.link.closed:
			// Frames that arrived before the end still count.
			select {
			case <-l.inbox.ready:
			default:
				return txn.Result{}, l.finish(l.broken(l.client.link.closeErr()))
			}
		}
		for _, f := range l.inbox.take() {
			result, done, err := l.handle(f, sink)
			if err != nil {
				return txn.Result{}, l.finish(err)
			}
			if done {
				if result.TxStatus == 'I' {
					l.release()
				}
				return result, nil
			}
		}
	}
}

// connect finds the link at the first batch; first reports that the lane still
// has to be opened.
func (l *clientLane) connect(ctx context.Context) (first bool, err error) {
	l.mu.Lock()
	ended, client := l.ended, l.client
	l.mu.Unlock()
	if ended {
		return false, &LaneEndedError{}
	}
	if client != nil {
		return false, nil
	}
	c, err := l.node.client(ctx, l.vm)
	if err != nil {
		return false, err
	}
	l.inbox = newInbox()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.client = c
	l.number = c.addLane(l)
	return true, nil
}

// awaitHome holds a batch back while the home does not answer: its outcome would
// be unknown if the link were lost. A read that has not begun fails at once, so
// that it can go to another server.
func (l *clientLane) awaitHome(ctx context.Context, first bool, b txn.Batch) error {
	link := l.client.link
	if !link.doubted.Load() || !(first || b.MayCommit) {
		return nil
	}
	if first && l.request.Access == catalogue.AccessRead {
		return &SilentError{Silence: l.node.opts.DoubtAfter}
	}
	return link.awaitAnswer(ctx)
}

// LaneEndedError reports a batch on a lane that has ended.
type LaneEndedError struct{}

func (e *LaneEndedError) Error() string { return "the lane has ended" }

func (l *clientLane) sendBatch(first bool, b txn.Batch) error {
	kind, body := frameLaneBatch, any(b)
	if first {
		kind, body = frameLaneOpen, openBody{Request: l.request, Batch: b}
	}
	payload, err := encode(body)
	if err != nil {
		return err
	}
	if b.MayCommit && l.request.Access == catalogue.AccessWrite {
		l.mu.Lock()
		l.commitSent = true
		l.mu.Unlock()
	}
	return l.client.link.send(frame{Type: kind, Number: l.number, Body: payload})
}

// handle processes one frame; done reports the end of the batch.
func (l *clientLane) handle(f frame, sink txn.Sink) (result txn.Result, done bool, err error) {
	switch f.Type {
	case frameLaneData:
		if err := sink(f.Body); err != nil {
			return result, false, l.sinkFailed(err)
		}
		return result, false, l.credit(len(f.Body))
	case frameLaneDone:
		var body doneBody
		if err := decode(f.Body, &body); err != nil {
			return result, false, l.broken(err)
		}
		if len(body.Data) > 0 {
			if err := sink(body.Data); err != nil {
				return result, false, l.sinkFailed(err)
			}
		}
		return body.Result, true, nil
	default:
		var body WireError
		if err := decode(f.Body, &body); err != nil {
			return result, false, l.broken(err)
		}
		return result, false, body.Err()
	}
}

// credit lets the home send more after the caller has taken n bytes.
func (l *clientLane) credit(n int) error {
	l.consumed += n
	if l.consumed < laneWindowBytes/2 {
		return nil
	}
	payload, err := encode(creditBody{Bytes: l.consumed})
	if err != nil {
		return err
	}
	l.consumed = 0
	if err := l.client.link.send(frame{Type: frameLaneCredit, Number: l.number, Body: payload}); err != nil {
		return l.broken(err)
	}
	return nil
}

// broken returns the outcome of a lane whose answer was lost: the home rolls
// back what was not committed.
func (l *clientLane) broken(cause error) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	detail := "the answer of home VM " + l.vm + " was lost: " + causeText(cause)
	if l.commitSent {
		return &outcome.UnknownError{Reason: outcome.ReasonHomeLost, Detail: detail, Cause: cause}
	}
	return &outcome.NotRunError{Reason: outcome.ReasonHomeLost, Detail: detail, Sent: true, Cause: cause}
}

// sinkFailed ends a lane whose caller is gone.
func (l *clientLane) sinkFailed(cause error) error {
	return &outcome.UnknownError{Reason: outcome.ReasonCancelled, Detail: "the caller is gone", Cause: cause}
}

// finish ends the lane and returns err.
func (l *clientLane) finish(err error) error {
	l.Close()
	return err
}

// Cancel implements txn.Lane.
func (l *clientLane) Cancel() { l.notifyEnd(frameLaneCancel) }

// Close implements txn.Lane.
func (l *clientLane) Close() {
	l.notifyEnd(frameLaneClose)
	l.release()
}

// notifyEnd tells the home to cancel or close the lane, without blocking.
func (l *clientLane) notifyEnd(t frameType) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.client != nil && !l.ended {
		l.client.link.sendLater(frame{Type: t, Number: l.number})
	}
}

// release forgets the lane on this side. Idempotent.
func (l *clientLane) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return
	}
	l.ended = true
	if l.client != nil {
		l.client.removeLane(l.number)
		l.client.link.end()
	}
}
