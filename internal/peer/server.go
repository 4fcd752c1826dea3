package peer

import (
	"context"
	"fmt"
	"runtime/debug"
	"sync"

	"egretroad/internal/outcome"
	"egretroad/internal/txn"
)

// serverLink is the accepting side of a link. It serves calls and lanes.
type serverLink struct {
	node *Node
	link *link

	mu         sync.Mutex // guards lanes
	lanes      map[uint64]*serverLane
	goroutines sync.WaitGroup
}

func newServerLink(n *Node, l *link) *serverLink {
	return &serverLink{node: n, link: l, lanes: map[uint64]*serverLane{}}
}

// run serves frames until the link fails, and returns the error.
func (s *serverLink) run() error {
	for {
		f, err := s.link.read()
		if err != nil {
			return err
		}
		if err := s.handleFrame(f); err != nil {
			return err
		}
	}
}

func (s *serverLink) handleFrame(f frame) error {
	switch f.Type {
	case frameCall:
		return s.serveCall(f)
	case frameNotify:
		return s.serveNotify(f)
	case frameLaneOpen:
		return s.openLane(f)
	case frameLaneBatch:
		return s.handleBatch(f)
	case frameLaneCancel:
		s.withLane(f.Number, (*serverLane).cancelRun)
	case frameLaneClose:
		s.withLane(f.Number, (*serverLane).stop)
	case frameLaneCredit:
		var body creditBody
		if err := decode(f.Body, &body); err != nil {
			return err
		}
		s.withLane(f.Number, func(l *serverLane) { l.window.extend(body.Bytes) })
	default:
		return &FrameError{Detail: "unexpected type from a dialer"}
	}
	return nil
}

// serveCall runs a handler in its own goroutine.
func (s *serverLink) serveCall(f frame) error {
	var body callBody
	if err := decode(f.Body, &body); err != nil {
		return err
	}
	s.link.addOutstanding()
	s.goroutines.Add(1)
	go func() {
		defer s.goroutines.Done()
		defer s.link.removeOutstanding()
		s.sendResponse(f.Number, s.runHandler(body))
	}()
	return nil
}

func (s *serverLink) runHandler(body callBody) responseBody {
	h, ok := s.node.handlers[body.Method]
	if !ok {
		return responseBody{Error: (&UnknownMethodError{Method: body.Method}).Error()}
	}
	ctx := s.node.ctx
	if body.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, body.Timeout)
		defer cancel()
	}
	response, err := s.callHandler(ctx, h, body)
	if err != nil {
		return responseBody{Error: err.Error()}
	}
	return responseBody{Body: response}
}

// HandlerPanicError reports a handler that panicked. The request may have had effects.
type HandlerPanicError struct {
	Method string
	Value  any
}

func (e *HandlerPanicError) Error() string {
	return fmt.Sprintf("handler of method %s panicked: %v", e.Method, e.Value)
}

// callHandler calls a handler and turns a panic into an error, so that one message
// cannot end the process.
func (s *serverLink) callHandler(ctx context.Context, h Handler, body callBody) (response []byte, err error) {
	defer func() {
		if value := recover(); value != nil {
			err = &HandlerPanicError{Method: body.Method, Value: value}
			s.node.log.Error("peer_handler_panic", "vm", s.link.vm, "method", body.Method, "fault", value, "stack", string(debug.Stack()))
		}
	}()
	return h(ctx, s.link.vm, body.Body)
}

func (s *serverLink) sendResponse(number uint64, body responseBody) {
	payload, err := encode(body)
	if err == nil {
		err = s.link.send(frame{Type: frameResponse, Number: number, Body: payload})
	}
	if err != nil {
		s.node.log.Debug("reply_lost", "vm", s.link.vm, "error", err)
	}
}

func (s *serverLink) serveNotify(f frame) error {
	var body callBody
	if err := decode(f.Body, &body); err != nil {
		return err
	}
	if h, ok := s.node.handlers[body.Method]; ok {
		_, _ = s.callHandler(s.node.ctx, h, body) // one-way messages have no response
	}
	return nil
}

func (s *serverLink) openLane(f frame) error {
	var body openBody
	if err := decode(f.Body, &body); err != nil {
		return err
	}
	// closeLanes cancels the context when the link closes, including at Stop.
	ctx, cancel := context.WithCancel(context.Background())
	l := &serverLane{
		link: s.link, number: f.Number, cancel: cancel,
		batches: make(chan txn.Batch, 1), window: newWindow(laneWindowBytes),
	}
	s.mu.Lock()
	_, inUse := s.lanes[f.Number]
	if !inUse {
		s.lanes[f.Number] = l
	}
	s.mu.Unlock()
	if inUse {
		cancel()
		return &FrameError{Detail: "lane number in use"}
	}
	s.link.addOutstanding()
	s.goroutines.Add(1)
	s.node.workers.run(func() {
		defer s.goroutines.Done()
		defer s.removeLane(l)
		l.runTransaction(ctx, s.node.home, body.Request, body.Batch)
	})
	return nil
}

func (s *serverLink) removeLane(l *serverLane) {
	l.cancel()
	s.link.removeOutstanding()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.lanes, l.number)
}

// handleBatch passes the next batch to its lane. If the lane has ended, it responds with
// an error that reports the batch as not run.
func (s *serverLink) handleBatch(f frame) error {
	var b txn.Batch
	if err := decode(f.Body, &b); err != nil {
		return err
	}
	s.mu.Lock()
	l := s.lanes[f.Number]
	s.mu.Unlock()
	if l == nil {
		sendLaneError(s.link, f.Number, &outcome.NotRunError{Reason: outcome.ReasonTxnAborted, Detail: "the transaction has ended at its home"})
		return nil
	}
	select {
	case l.batches <- b:
		return nil
	default:
		return &FrameError{Detail: "batch before the answer to the last one"}
	}
}

func (s *serverLink) withLane(number uint64, f func(*serverLane)) {
	s.mu.Lock()
	l := s.lanes[number]
	s.mu.Unlock()
	if l != nil {
		f(l)
	}
}

// closeLanes stops every lane after the link has closed and waits for their goroutines.
func (s *serverLink) closeLanes() {
	s.mu.Lock()
	for _, l := range s.lanes {
		l.stop()
	}
	s.mu.Unlock()
	s.goroutines.Wait()
}
