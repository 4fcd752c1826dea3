package peer

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// maxLinkBufferBytes bounds the unsent bytes of one link. Beyond it one-way
// messages are dropped and other senders wait.
const maxLinkBufferBytes = 16 << 20

// LinkClosedError reports a link that has ended.
type LinkClosedError struct {
	Remote string
	Cause  error
}

func (e *LinkClosedError) Error() string {
	return "peer link to " + e.Remote + " closed: " + causeText(e.Cause)
}

// Unwrap returns the cause.
func (e *LinkClosedError) Unwrap() error { return e.Cause }

func causeText(err error) string {
	if err == nil {
		return "by this proxy"
	}
	return err.Error()
}

// SilentError reports a link on which a ping was not answered in time.
type SilentError struct{ Silence time.Duration }

func (e *SilentError) Error() string { return "no answer to a ping for " + e.Silence.String() }

// link is one connection between two proxies. The goroutine that finds no
// writer active writes for all others that append meanwhile, so a batch of
// frames costs one system call and no hand-over between goroutines.
type link struct {
	conn   net.Conn
	reader *bufio.Reader
	vm     string // remote VM ID
	stats  *stats
	opts   *Options

	mu      sync.Mutex // guards the fields below
	space   *sync.Cond // signalled when pending shrinks or the link closes
	pending []byte
	spare   []byte
	writing bool
	err     error
	doubt   chan struct{} // not nil while a ping is unanswered; closed when that ends

	closed   chan struct{}
	lastRead atomic.Int64 // nanoseconds of opts.Now
	doubted  atomic.Bool  // doubt is not nil
	busy     atomic.Int64 // calls and lanes outstanding
	pinged   bool         // used by checkSilence only
}

func newLink(conn net.Conn, r *bufio.Reader, vm string, opts *Options, st *stats) *link {
	l := &link{
		conn: conn, reader: r, vm: vm, stats: st, opts: opts,
		closed: make(chan struct{}),
	}
	l.space = sync.NewCond(&l.mu)
	l.lastRead.Store(int64(opts.Now()))
	return l
}

// send writes a frame, together with the frames of concurrent senders.
func (l *link) send(f frame) error {
	l.mu.Lock()
	for l.err == nil && len(l.pending) > maxLinkBufferBytes {
		l.space.Wait()
	}
	if err := l.append(f); err != nil {
		l.mu.Unlock()
		return err
	}
	if l.writing {
		l.mu.Unlock()
		return nil
	}
	l.writing = true
	l.writeOut()
	return nil
}

// sendLater queues a frame without blocking; it reports false when the frame was dropped.
func (l *link) sendLater(f frame) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.pending) > maxLinkBufferBytes || l.append(f) != nil {
		return false
	}
	if !l.writing {
		l.writing = true
		go func() {
			l.mu.Lock()
			l.writeOut()
		}()
	}
	return true
}

// append encodes a frame into pending; l.mu is held.
func (l *link) append(f frame) error {
	if l.err != nil {
		return l.err
	}
	before := len(l.pending)
	var err error
	l.pending, err = appendFrame(l.pending, f)
	l.stats.sent(f.Type, len(l.pending)-before)
	return err
}

// writeOut writes pending bytes until none are left. The caller has set
// l.writing; l.mu is held on entry and free on return.
func (l *link) writeOut() {
	for len(l.pending) > 0 && l.err == nil {
		buf := l.pending
		l.pending = l.spare[:0]
		l.mu.Unlock()
		err := l.write(buf)
		l.mu.Lock()
		l.spare = keepSmall(buf)
		l.space.Broadcast()
		if err != nil {
			l.fail(err)
		}
	}
	l.writing = false
	l.mu.Unlock()
}

// keepSmall returns a buffer for reuse unless it has grown large.
func keepSmall(buf []byte) []byte {
	if cap(buf) > laneChunkBytes {
		return nil
	}
	return buf[:0]
}

func (l *link) write(buf []byte) error {
	if err := l.conn.SetWriteDeadline(time.Now().Add(l.opts.WriteTimeout)); err != nil {
		return err
	}
	_, err := l.conn.Write(buf)
	return err
}

// checkSilence pings while answers are outstanding and closes the link when a
// ping stays unanswered. The node calls it at each check interval.
func (l *link) checkSilence(now time.Duration) {
	silence := now - time.Duration(l.lastRead.Load())
	switch {
	case l.busy.Load() == 0:
		l.pinged = false
		l.releaseBuffers()
	case silence < l.opts.PingAfter:
		l.pinged = false
	case !l.pinged:
		l.pinged = l.sendLater(frame{Type: framePing})
	case silence > l.opts.SilenceTimeout:
		l.close(&SilentError{Silence: silence})
	case silence > l.opts.DoubtAfter:
		l.beginDoubt()
	}
}

// beginDoubt holds back new work that must not be lost on a link that has
// gone silent.
func (l *link) beginDoubt() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.err == nil && l.doubt == nil {
		l.doubt = make(chan struct{})
		l.doubted.Store(true)
	}
}

// endDoubt lets held work go on; l.mu is held.
func (l *link) endDoubt() {
	if l.doubt != nil {
		close(l.doubt)
		l.doubt = nil
		l.doubted.Store(false)
	}
}

// awaitAnswer waits until no ping is unanswered. It fails when the link closes
// or ctx ends first.
func (l *link) awaitAnswer(ctx context.Context) error {
	for {
		l.mu.Lock()
		doubt, err := l.doubt, l.err
		l.mu.Unlock()
		if err != nil || doubt == nil {
			return err
		}
		select {
		case <-doubt:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// begin counts an outstanding answer. The silence of a link that had none
// outstanding starts now.
func (l *link) begin() {
	if l.busy.Add(1) == 1 {
		l.lastRead.Store(int64(l.opts.Now()))
	}
}

// end counts an answer that is no longer outstanding.
func (l *link) end() { l.busy.Add(-1) }

// idle reports whether nothing has been outstanding for the given time.
func (l *link) idle(now, timeout time.Duration) bool {
	return l.busy.Load() == 0 && now-time.Duration(l.lastRead.Load()) > timeout
}

// releaseBuffers gives the write buffer of an idle link back.
func (l *link) releaseBuffers() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.writing {
		l.spare = nil
	}
}

// read returns the next frame, answering pings itself.
func (l *link) read() (frame, error) {
	for {
		f, err := readFrame(l.reader, maxFrameBytes)
		if err != nil {
			return frame{}, err
		}
		l.lastRead.Store(int64(l.opts.Now()))
		if l.doubted.Load() {
			l.mu.Lock()
			l.endDoubt()
			l.mu.Unlock()
		}
		l.stats.received(f.Type, len(f.Body)+frameHeaderBytes)
		switch f.Type {
		case framePing:
			l.sendLater(frame{Type: framePong})
		case framePong:
		default:
			return f, nil
		}
	}
}

// close ends the link; the first cause is kept.
func (l *link) close(cause error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fail(cause)
}

// fail marks the link as ended; l.mu is held.
func (l *link) fail(cause error) {
	if l.err != nil {
		return
	}
	l.err = &LinkClosedError{Remote: l.vm, Cause: cause}
	l.pending = nil
	l.endDoubt()
	close(l.closed)
	l.space.Broadcast()
	_ = l.conn.Close() // the cause is already kept
}

// closeErr returns why the link ended.
func (l *link) closeErr() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.err
}
