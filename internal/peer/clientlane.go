package peer

import (
	"context"
	"sync"

	"egretroad/internal/catalogue"
	"egretroad/internal/outcome"
	"egretroad/internal/txn"
)

// clientLane is the gateway's end of a lane whose home is another VM. It implements
// txn.Lane.
type clientLane struct {
	node    *Node
	vm      string
	request txn.Request
	inbox   *inbox

	mu         sync.Mutex // guards the fields below
	client     *clientLink
	number     uint64
	ended      bool
	commitSent bool // a batch that may commit a write may have been sent
	uncredited int  // data bytes consumed but not yet returned as credit
}

// Run implements txn.Lane.
func (l *clientLane) Run(ctx context.Context, b txn.Batch, sink txn.Sink) (txn.Result, error) {
	first, err := l.acquireLink(ctx)
	if err != nil {
		return txn.Result{}, l.closeWith(&outcome.NotRunError{Reason: outcome.ReasonHomeLost, Detail: "home VM " + l.vm + " cannot be reached", Cause: err})
	}
	if err := l.awaitResponsiveHome(ctx, first, b); err != nil {
		return txn.Result{}, l.closeWith(&outcome.NotRunError{Reason: outcome.ReasonHomeLost, Detail: "home VM " + l.vm + " does not answer", Cause: err})
	}
	if err := l.sendBatch(first, b); err != nil {
		return txn.Result{}, l.closeWith(l.lostResponseError(err))
	}
	for {
		select {
		case <-l.inbox.ready:
		case <-ctx.Done():
			l.trySendFrame(frameLaneCancel)
			return txn.Result{}, l.closeWith(l.lostResponseError(ctx.Err()))
		case <-l.client.link.closed:
			// Process frames that arrived before the link closed.
			select {
			case <-l.inbox.ready:
			default:
				return txn.Result{}, l.closeWith(l.lostResponseError(l.client.link.closeErr()))
			}
		}
		for _, f := range l.inbox.drain() {
			result, done, err := l.handle(f, sink)
			if err != nil {
				return txn.Result{}, l.closeWith(err)
			}
			if done {
				if result.TxStatus == 'I' {
					l.detach()
				}
				return result, nil
			}
		}
	}
}

// acquireLink acquires the link to the home at the first batch; first reports that the
// lane must still be opened.
func (l *clientLane) acquireLink(ctx context.Context) (first bool, err error) {
	l.mu.Lock()
	ended, client := l.ended, l.client
	l.mu.Unlock()
	if ended {
		return false, &LaneEndedError{}
	}
	if client != nil {
		return false, nil
	}
	c, err := l.node.acquireClient(ctx, l.vm)
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

// awaitResponsiveHome holds a batch back while the home is unresponsive, because its
// outcome would be unknown if the link were lost. The first batch of a read fails at
// once instead, so that it can be retried on another server.
func (l *clientLane) awaitResponsiveHome(ctx context.Context, first bool, b txn.Batch) error {
	link := l.client.link
	if !link.unresponsive.Load() || !(first || b.MayCommit) {
		return nil
	}
	if first && l.request.Access == catalogue.AccessRead {
		return &UnresponsiveError{Silence: l.node.opts.UnresponsiveAfter}
	}
	return link.awaitResponsive(ctx)
}

// LaneEndedError reports the use of a lane that has ended.
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
			return result, false, l.callerGoneError(err)
		}
		return result, false, l.returnCredit(len(f.Body))
	case frameLaneDone:
		var body doneBody
		if err := decode(f.Body, &body); err != nil {
			return result, false, l.lostResponseError(err)
		}
		if len(body.Data) > 0 {
			if err := sink(body.Data); err != nil {
				return result, false, l.callerGoneError(err)
			}
		}
		return body.Result, true, nil
	default:
		var body WireError
		if err := decode(f.Body, &body); err != nil {
			return result, false, l.lostResponseError(err)
		}
		return result, false, body.Err()
	}
}

// returnCredit counts n bytes consumed by the caller and returns credit to the home once
// half of the window is consumed.
func (l *clientLane) returnCredit(n int) error {
	l.uncredited += n
	if l.uncredited < laneWindowBytes/2 {
		return nil
	}
	payload, err := encode(creditBody{Bytes: l.uncredited})
	if err != nil {
		return err
	}
	l.uncredited = 0
	if err := l.client.link.send(frame{Type: frameLaneCredit, Number: l.number, Body: payload}); err != nil {
		return l.lostResponseError(err)
	}
	return nil
}

// lostResponseError returns the outcome of a lane whose response was lost. The home rolls
// back what was not committed, so the outcome is unknown only if a commit may have been
// sent.
func (l *clientLane) lostResponseError(cause error) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	detail := "the answer of home VM " + l.vm + " was lost: " + causeText(cause)
	if l.commitSent {
		return &outcome.UnknownError{Reason: outcome.ReasonHomeLost, Detail: detail, Cause: cause}
	}
	return &outcome.NotRunError{Reason: outcome.ReasonHomeLost, Detail: detail, Sent: true, Cause: cause}
}

// callerGoneError returns the outcome of a lane whose caller has disconnected.
func (l *clientLane) callerGoneError(cause error) error {
	return &outcome.UnknownError{Reason: outcome.ReasonCancelled, Detail: "the caller is gone", Cause: cause}
}

// closeWith closes the lane and returns err.
func (l *clientLane) closeWith(err error) error {
	l.Close()
	return err
}

// Cancel implements txn.Lane.
func (l *clientLane) Cancel() { l.trySendFrame(frameLaneCancel) }

// Close implements txn.Lane.
func (l *clientLane) Close() {
	l.trySendFrame(frameLaneClose)
	l.detach()
}

// trySendFrame sends the home a frame without a body, such as cancel or close. It does
// not block, and sends nothing once the lane has ended.
func (l *clientLane) trySendFrame(t frameType) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.client != nil && !l.ended {
		l.client.link.trySend(frame{Type: t, Number: l.number})
		l.client.link.expectProof()
	}
}

// detach removes the lane from its link. It is idempotent.
func (l *clientLane) detach() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return
	}
	l.ended = true
	if l.client != nil {
		l.client.removeLane(l.number)
		l.client.link.removeOutstanding()
	}
}
