package peer

import (
	"context"
	"sync"

	"egretroad/internal/outcome"
	"egretroad/internal/txn"
)

// serverLane is the home's end of a lane from another VM.
type serverLane struct {
	link    *link
	number  uint64
	cancel  context.CancelFunc
	batches chan txn.Batch
	window  *window

	mu      sync.Mutex // guards lane
	lane    txn.Lane
	pending []byte // answer bytes not yet sent; used by the lane's goroutine only
}

// serve runs one transaction.
func (l *serverLane) serve(ctx context.Context, home txn.Home, r txn.Request, b txn.Batch) {
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

// end stops the lane; an open transaction is rolled back.
func (l *serverLane) end() {
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

// sink collects whole answer messages and sends them in chunks within the window.
func (l *serverLane) sink(messages []byte) error {
	l.pending = append(l.pending, messages...)
	if len(l.pending) < laneChunkBytes {
		return nil
	}
	err := l.sendData(l.pending)
	l.pending = l.pending[:0]
	return err
}

func (l *serverLane) sendData(data []byte) error {
	if err := l.window.take(len(data)); err != nil {
		return err
	}
	return l.link.send(frame{Type: frameLaneData, Number: l.number, Body: data})
}

// sendDone sends the rest of the answer with the result, in one frame.
func (l *serverLane) sendDone(result txn.Result) error {
	payload, err := encode(doneBody{Result: result, Data: l.pending})
	if err != nil {
		return err
	}
	l.pending = l.pending[:0]
	return l.link.send(frame{Type: frameLaneDone, Number: l.number, Body: payload})
}

// sendLaneError ends a lane with an outcome error.
func sendLaneError(link *link, number uint64, cause error) {
	payload, err := encode(EncodeError(cause))
	if err != nil {
		link.close(err)
		return
	}
	_ = link.send(frame{Type: frameLaneError, Number: number, Body: payload}) // a closed link tells the other side
}

// window counts the bytes that a lane may still send.
type window struct {
	mu     sync.Mutex // guards left and closed
	more   *sync.Cond
	left   int
	closed bool
}

func newWindow(size int) *window {
	w := &window{left: size}
	w.more = sync.NewCond(&w.mu)
	return w
}

// take waits until the window is open, then takes n bytes, also beyond the
// window: a message larger than the window passes on its own.
func (w *window) take(n int) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	for w.left <= 0 && !w.closed {
		w.more.Wait()
	}
	if w.closed {
		return &LaneEndedError{}
	}
	w.left -= n
	return nil
}

func (w *window) add(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.left = min(w.left+n, laneWindowBytes)
	w.more.Broadcast()
}

func (w *window) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	w.more.Broadcast()
}
