package peer

import (
	"context"
	"sync"
	"time"
)

// clientLink is the dialing side of a link. It makes calls and opens lanes.
type clientLink struct {
	link *link

	mu         sync.Mutex // guards the fields below
	lastNumber uint64
	calls      map[uint64]chan responseBody
	lanes      map[uint64]*clientLane
}

func newClientLink(l *link) *clientLink {
	return &clientLink{link: l, calls: map[uint64]chan responseBody{}, lanes: map[uint64]*clientLane{}}
}

// run reads and dispatches frames until the link closes.
func (c *clientLink) run() {
	for {
		f, err := c.link.read()
		if err == nil {
			err = c.dispatch(f)
		}
		if err != nil {
			c.link.close(err)
			return
		}
	}
}

// dispatch passes a frame to its call or lane. Late frames of calls and lanes that have
// ended are dropped.
func (c *clientLink) dispatch(f frame) error {
	switch f.Type {
	case frameResponse:
		var body responseBody
		if err := decode(f.Body, &body); err != nil {
			return err
		}
		if ch := c.removeCall(f.Number); ch != nil {
			ch <- body
		}
	case frameLaneData, frameLaneDone, frameLaneError:
		c.mu.Lock()
		lane := c.lanes[f.Number]
		c.mu.Unlock()
		if lane != nil {
			lane.inbox.push(f)
		}
	default:
		return &FrameError{Detail: "unexpected type from an acceptor"}
	}
	return nil
}

func (c *clientLink) removeCall(number uint64) chan responseBody {
	c.mu.Lock()
	defer c.mu.Unlock()
	ch := c.calls[number]
	delete(c.calls, number)
	return ch
}

// call sends a unary call and waits for its response.
func (c *clientLink) call(ctx context.Context, method string, body []byte) ([]byte, error) {
	fail := func(cause error) ([]byte, error) {
		return nil, &UnreachableError{VM: c.link.vm, Method: method, Cause: cause}
	}
	payload, err := encode(callBody{Method: method, Timeout: timeLeft(ctx), Body: body})
	if err != nil {
		return nil, err
	}
	responses := make(chan responseBody, 1)
	c.mu.Lock()
	c.lastNumber++
	number := c.lastNumber
	c.calls[number] = responses
	c.mu.Unlock()
	defer c.removeCall(number)
	if err := c.link.send(frame{Type: frameCall, Number: number, Body: payload}); err != nil {
		return fail(err)
	}
	select {
	case response := <-responses:
		if response.Error != "" {
			return nil, &RemoteError{VM: c.link.vm, Method: method, Message: response.Error}
		}
		return response.Body, nil
	case <-ctx.Done():
		c.link.expectProof()
		return fail(ctx.Err())
	case <-c.link.closed:
		return fail(c.link.closeErr())
	}
}

// timeLeft returns the time until ctx's deadline, at least a millisecond; zero means
// that ctx has no deadline.
func timeLeft(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return max(time.Until(deadline), time.Millisecond)
}

// addLane registers a lane and returns its number.
func (c *clientLink) addLane(l *clientLane) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastNumber++
	c.lanes[c.lastNumber] = l
	return c.lastNumber
}

func (c *clientLink) removeLane(number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.lanes, number)
}

// inbox queues a lane's received frames. The lane's flow-control window limits its size.
type inbox struct {
	mu     sync.Mutex // guards frames
	frames []frame
	ready  chan struct{} // has one element while frames is not empty
}

func newInbox() *inbox { return &inbox{ready: make(chan struct{}, 1)} }

func (b *inbox) push(f frame) {
	b.mu.Lock()
	b.frames = append(b.frames, f)
	b.mu.Unlock()
	select {
	case b.ready <- struct{}{}:
	default:
	}
}

// drain removes and returns all frames.
func (b *inbox) drain() []frame {
	b.mu.Lock()
	defer b.mu.Unlock()
	frames := b.frames
	b.frames = nil
	return frames
}
