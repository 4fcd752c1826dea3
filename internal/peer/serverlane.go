package peer

import (
	"context"
	"sync"

	"egretroad/internal/outcome"
	"egretroad/internal/txn"
)

// serverLane is the home's end of a lane that another VM opened.
type serverLane struct {
	link    *link
	number  uint64
	cancel  context.CancelFunc
	batches chan txn.Batch
	window  *window

	mu     sync.Mutex // guards lane
	lane   txn.Lane
	unsent []byte // response bytes; used by the lane's goroutine only
}

// runTransaction admits the request and runs its batches until the transaction ends.
func (l *serverLane) runTransaction(ctx context.Context, home txn.Home, r txn.Request, b txn.Batch) {
	if home == nil {
		sendLaneError(l.link, l.number, &outcome.NotRunError{Reason: outcome.ReasonNotHome, Detail: "this proxy serves no lanes"})
		return
	}
	lane, err := home.Open(ctx, r)
	if err != nil {
		sendLaneError(l.link, l.number, err)
		return
	}
	defer lane.Close()
	l.setLane(lane)
	for {
		result, err := lane.Run(ctx, b, l.sink)
		if err != nil {
			sendLaneError(l.link, l.number, err)
			return
		}
		if l.sendDone(result) != nil || result.TxStatus == 'I' {
			return
		}
		select {
		case b = <-l.batches:
		case <-ctx.Done():
			return
		}
	}
}

func (l *serverLane) setLane(lane txn.Lane) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lane = lane
}

// stop cancels the lane. An open transaction is rolled back.
func (l *serverLane) stop() {
	l.cancel()
	l.window.close()
}

// cancelRun cancels the running statement, or the wait for admission.
func (l *serverLane) cancelRun() {
	l.mu.Lock()
	lane := l.lane
	l.mu.Unlock()
	if lane == nil {
		l.cancel()
		return
	}
	lane.Cancel()
}

// sink buffers whole response messages and sends them in chunks, subject to flow control.
func (l *serverLane) sink(messages []byte) error {
	l.unsent = append(l.unsent, messages...)
	if len(l.unsent) < laneChunkBytes {
		return nil
	}
	err := l.sendData(l.unsent)
	l.unsent = l.unsent[:0]
	return err
}

func (l *serverLane) sendData(data []byte) error {
	if err := l.window.acquire(len(data)); err != nil {
		return err
	}
	return l.link.send(frame{Type: frameLaneData, Number: l.number, Body: data})
}

// sendDone sends the buffered rest of the response and the result in one frame.
func (l *serverLane) sendDone(result txn.Result) error {
	payload, err := encode(doneBody{Result: result, Data: l.unsent})
	if err != nil {
		return err
	}
	l.unsent = l.unsent[:0]
	return l.link.send(frame{Type: frameLaneDone, Number: l.number, Body: payload})
}

// sendLaneError sends the outcome error that ends a lane.
func sendLaneError(link *link, number uint64, cause error) {
	payload, err := encode(EncodeError(cause))
	if err != nil {
		link.close(err)
		return
	}
	_ = link.send(frame{Type: frameLaneError, Number: number, Body: payload}) // if the link is closed, the other side notices
}

// window is a lane's flow-control window: the number of bytes it may still send.
type window struct {
	mu        sync.Mutex // guards remaining and closed
	changed   *sync.Cond
	remaining int
	closed    bool
}

func newWindow(size int) *window {
	w := &window{remaining: size}
	w.changed = sync.NewCond(&w.mu)
	return w
}

// acquire waits until the window is positive, then subtracts n bytes. The window may
// become negative, so that a message larger than the window can be sent.
func (w *window) acquire(n int) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	for w.remaining <= 0 && !w.closed {
		w.changed.Wait()
	}
	if w.closed {
		return &LaneEndedError{}
	}
	w.remaining -= n
	return nil
}

func (w *window) extend(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.remaining = min(w.remaining+n, laneWindowBytes)
	w.changed.Broadcast()
}

func (w *window) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	w.changed.Broadcast()
}
