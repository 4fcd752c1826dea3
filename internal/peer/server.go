package peer

import (
	"context"
	"sync"

	"egretroad/internal/outcome"
	"egretroad/internal/txn"
)

// serverLink is the accepting side of a link: it serves calls and lanes.
type serverLink struct {
	node *Node
	link *link

	mu    sync.Mutex // guards lanes
	lanes map[uint64]*serverLane
	done  sync.WaitGroup
}

func newServerLink(n *Node, l *link) *serverLink {
	return &serverLink{node: n, link: l, lanes: map[uint64]*serverLane{}}
}

// run serves frames until the link ends, and returns why.
func (s *serverLink) run() error {
	for {
		f, err := s.link.read()
		if err != nil {
			return err
		}
		if err := s.serve(f); err != nil {
			return err
		}
	}
}

func (s *serverLink) serve(f frame) error {
	switch f.Type {
	case frameCall:
		return s.serveCall(f)
	case frameNotify:
		return s.serveNotify(f)
	case frameLaneOpen:
		return s.openLane(f)
	case frameLaneBatch:
		return s.laneBatch(f)
	case frameLaneCancel:
		s.withLane(f.Number, (*serverLane).cancelRun)
	case frameLaneClose:
		s.withLane(f.Number, (*serverLane).end)
	case frameLaneCredit:
		var body creditBody
		if err := decode(f.Body, &body); err != nil {
			return err
		}
		s.withLane(f.Number, func(l *serverLane) { l.window.add(body.Bytes) })
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
	s.link.begin()
	s.done.Add(1)
	go func() {
		defer s.done.Done()
		defer s.link.end()
		s.reply(f.Number, s.handle(body))
	}()
	return nil
}

func (s *serverLink) handle(body callBody) replyBody {
	h, ok := s.node.handlers[body.Method]
	if !ok {
		return replyBody{Error: (&UnknownMethodError{Method: body.Method}).Error()}
	}
	ctx := s.node.ctx
	if body.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, body.Timeout)
		defer cancel()
	}
	answer, err := h(ctx, s.link.vm, body.Body)
	if err != nil {
		return replyBody{Error: err.Error()}
	}
	return replyBody{Body: answer}
}

func (s *serverLink) reply(number uint64, body replyBody) {
	payload, err := encode(body)
	if err == nil {
		err = s.link.send(frame{Type: frameReply, Number: number, Body: payload})
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
		_, _ = h(s.node.ctx, s.link.vm, body.Body) // one-way messages have no answer
	}
	return nil
}

func (s *serverLink) openLane(f frame) error {
	var body openBody
	if err := decode(f.Body, &body); err != nil {
		return err
	}
	// closeLanes cancels it when the link ends, also at the node's stop.
	ctx, cancel := context.WithCancel(context.Background())
	l := &serverLane{
		link: s.link, number: f.Number, cancel: cancel,
		batches: make(chan txn.Batch, 1), window: newWindow(laneWindowBytes),
	}
	s.mu.Lock()
	_, taken := s.lanes[f.Number]
	if !taken {
		s.lanes[f.Number] = l
	}
	s.mu.Unlock()
	if taken {
		cancel()
		return &FrameError{Detail: "lane number in use"}
	}
	s.link.begin()
	s.done.Add(1)
	s.node.workers.run(func() {
		defer s.done.Done()
		defer s.forget(l)
		l.serve(ctx, s.node.home, body.Request, body.Batch)
	})
	return nil
}

func (s *serverLink) forget(l *serverLane) {
	l.cancel()
	s.link.end()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.lanes, l.number)
}

// laneBatch hands the next batch to a lane. A batch for a lane that has ended
// is answered: nothing of it was run.
func (s *serverLink) laneBatch(f frame) error {
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

// closeLanes ends every lane after the link has ended, and waits for them.
func (s *serverLink) closeLanes() {
	s.mu.Lock()
	for _, l := range s.lanes {
		l.end()
	}
	s.mu.Unlock()
	s.done.Wait()
}
