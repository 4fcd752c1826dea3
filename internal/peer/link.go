package peer

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// maxLinkBufferBytes is the send buffer limit of one link. Beyond it one-way messages
// are dropped and other senders block.
const maxLinkBufferBytes = 16 << 20

// LinkClosedError reports a closed link. A nil Cause means that this proxy closed it.
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

// UnresponsiveError reports a link whose peer has not responded to a ping in time.
type UnresponsiveError struct{ Silence time.Duration }

func (e *UnresponsiveError) Error() string { return "no answer to a ping for " + e.Silence.String() }

// activityConn is a connection that records when it has received bytes last.
type activityConn struct {
	net.Conn
	now      func() time.Duration
	lastRead atomic.Int64 // of now, in nanoseconds
}

func newActivityConn(conn net.Conn, now func() time.Duration) *activityConn {
	c := &activityConn{Conn: conn, now: now}
	c.restart()
	return c
}

// Read implements net.Conn.
func (c *activityConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.restart()
	}
	return n, err
}

// restart restarts the measurement of silence.
func (c *activityConn) restart() { c.lastRead.Store(int64(c.now())) }

// silence returns the time since bytes were received.
func (c *activityConn) silence(now time.Duration) time.Duration {
	return now - time.Duration(c.lastRead.Load())
}

// link is one connection between two proxies. A sender that finds no active writer
// becomes the writer and also writes the frames that other senders append meanwhile, so
// a batch of frames costs one system call and no switch between goroutines.
type link struct {
	conn   *activityConn
	reader *bufio.Reader
	vm     string // remote VM ID
	stats  *stats
	opts   *Options

	mu          sync.Mutex // guards the fields below
	writable    *sync.Cond // signalled when writeBuffer shrinks or the link closes
	writeBuffer []byte
	spareBuffer []byte
	writing     bool
	oneWay      oneWay
	cause       error
	recovered   chan struct{} // non-nil while the peer is unresponsive; closed when that ends

	closed       chan struct{}
	unresponsive atomic.Bool  // recovered is not nil
	outstanding  atomic.Int64 // open calls and lanes
	pingSent     bool         // used by checkLiveness only
}

func newLink(conn *activityConn, r *bufio.Reader, vm string, opts *Options, st *stats) *link {
	l := &link{
		conn: conn, reader: r, vm: vm, stats: st, opts: opts,
		closed: make(chan struct{}),
	}
	l.writable = sync.NewCond(&l.mu)
	return l
}

// send queues a frame and, unless another goroutine is writing, writes all queued
// frames. It blocks while the send buffer is full.
func (l *link) send(f frame) error {
	l.mu.Lock()
	for l.cause == nil && len(l.writeBuffer) > maxLinkBufferBytes {
		l.writable.Wait()
	}
	if err := l.bufferFrame(f); err != nil {
		l.mu.Unlock()
		return err
	}
	if l.writing {
		l.mu.Unlock()
		return nil
	}
	l.writing = true
	l.flush()
	return nil
}

// trySend queues a frame without blocking. It reports false if the frame was dropped.
func (l *link) trySend(f frame) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.trySendLocked(f)
}

// trySendLocked is trySend with l.mu held.
func (l *link) trySendLocked(f frame) bool {
	if len(l.writeBuffer) > maxLinkBufferBytes || l.bufferFrame(f) != nil {
		return false
	}
	if !l.writing {
		l.writing = true
		go func() {
			l.mu.Lock()
			l.flush()
		}()
	}
	return true
}

// bufferFrame encodes a frame into writeBuffer; l.mu is held.
func (l *link) bufferFrame(f frame) error {
	if l.cause != nil {
		return l.cause
	}
	before := len(l.writeBuffer)
	var err error
	l.writeBuffer, err = appendFrame(l.writeBuffer, f)
	l.stats.countSent(f.Type, len(l.writeBuffer)-before)
	return err
}

// flush writes until writeBuffer is empty. The caller has set l.writing and holds l.mu,
// which is unlocked on return.
func (l *link) flush() {
	for len(l.writeBuffer) > 0 && l.cause == nil {
		buf := l.writeBuffer
		l.writeBuffer = l.spareBuffer[:0]
		l.mu.Unlock()
		err := l.write(buf)
		l.mu.Lock()
		l.spareBuffer = reuseIfSmall(buf)
		l.writable.Broadcast()
		if err != nil {
			l.closeLocked(err)
		}
	}
	l.writing = false
	l.mu.Unlock()
}

// reuseIfSmall returns the emptied buffer, or nil if it has grown too large to retain.
func reuseIfSmall(buf []byte) []byte {
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

// checkLiveness is the link's failure detector, called at each check interval. While
// responses are outstanding it pings a silent peer, then marks the link unresponsive,
// then closes it. A link that carries one-way messages only is closed if their receipt is
// not proven in time.
func (l *link) checkLiveness(now time.Duration) {
	transferTime := l.checkOneWay(now)
	silence := l.conn.silence(now)
	switch {
	case l.outstanding.Load() == 0:
		l.pingSent = false
		l.releaseBuffers()
	case silence < l.opts.PingAfter:
		l.pingSent = false
	case !l.pingSent:
		l.pingSent = l.ping()
	case silence > l.opts.SilenceTimeout+transferTime:
		l.close(&UnresponsiveError{Silence: silence})
	case silence > l.opts.UnresponsiveAfter:
		l.markUnresponsive()
	}
}

// checkOneWay pings if the receipt of one-way messages is to be proven, and closes the link
// if it was not proven in time and nothing else was received. It returns how long the
// unproven messages may take to arrive.
func (l *link) checkOneWay(now time.Duration) time.Duration {
	l.mu.Lock()
	o := &l.oneWay
	pingDue, transferTime := o.pingDue(now, l.opts.ProofAfter), o.transferTime()
	silence := l.conn.silence(now)
	isSilent := o.unproven() && silence > l.opts.ProofTimeout+transferTime
	l.mu.Unlock()
	if isSilent && l.outstanding.Load() == 0 {
		l.close(&UnresponsiveError{Silence: silence})
	} else if pingDue {
		l.ping()
	}
	return transferTime
}

// ping sends a ping and reports whether it was queued.
func (l *link) ping() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.trySendLocked(frame{Type: framePing, Number: l.oneWay.recordPing()})
}

// notify queues a one-way message without blocking. It reports false if it was dropped. With
// keep, takeUnproven returns it if it may not have arrived.
func (l *link) notify(payload []byte, keep bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.trySendLocked(frame{Type: frameNotify, Body: payload}) {
		return false
	}
	l.addOneWay(len(payload))
	if keep {
		l.oneWay.keep(payload)
	}
	return true
}

// takeUnproven returns the kept messages of a closed link that may not have arrived.
func (l *link) takeUnproven() [][]byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.oneWay.takeKept()
}

// addOneWay records a one-way message that is being sent; l.mu is held. The first one that
// is unproven restarts the measurement of silence; see addOutstanding.
func (l *link) addOneWay(size int) {
	now := l.opts.Now()
	if !l.oneWay.unproven() && l.outstanding.Load() == 0 {
		l.conn.restart()
	}
	l.oneWay.add(size, now)
}

// expectProof makes the link prove that its peer still responds, after the caller has
// stopped waiting for a response.
func (l *link) expectProof() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addOneWay(0)
}

// markUnresponsive makes awaitResponsive block, which holds back new work that would
// have an unknown outcome if the link were lost.
func (l *link) markUnresponsive() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cause == nil && l.recovered == nil {
		l.recovered = make(chan struct{})
		l.unresponsive.Store(true)
	}
}

// clearUnresponsive resumes the work that was held back; l.mu is held.
func (l *link) clearUnresponsive() {
	if l.recovered != nil {
		close(l.recovered)
		l.recovered = nil
		l.unresponsive.Store(false)
	}
}

// awaitResponsive waits until the peer is responsive. It fails if the link closes or
// ctx ends first.
func (l *link) awaitResponsive(ctx context.Context) error {
	for {
		l.mu.Lock()
		recovered, err := l.recovered, l.cause
		l.mu.Unlock()
		if err != nil || recovered == nil {
			return err
		}
		select {
		case <-recovered:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// addOutstanding counts an open call or lane. The first one restarts the measurement of
// silence, since an idle link may have received nothing for a long time, unless the peer owes
// a proof already.
func (l *link) addOutstanding() {
	if l.outstanding.Add(1) != 1 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.oneWay.unproven() {
		l.conn.restart()
	}
}

// removeOutstanding counts the end of a call or lane.
func (l *link) removeOutstanding() { l.outstanding.Add(-1) }

// idle reports whether no call or lane is open and nothing was received for timeout.
func (l *link) idle(now, timeout time.Duration) bool {
	return l.outstanding.Load() == 0 && l.conn.silence(now) > timeout
}

// releaseBuffers frees the spare write buffer of an idle link.
func (l *link) releaseBuffers() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.writing {
		l.spareBuffer = nil
	}
}

// read returns the next frame other than a ping or pong. It responds to pings.
func (l *link) read() (frame, error) {
	for {
		f, err := readFrame(l.reader, maxFrameBytes)
		if err != nil {
			return frame{}, err
		}
		if l.unresponsive.Load() {
			l.mu.Lock()
			l.clearUnresponsive()
			l.mu.Unlock()
		}
		l.stats.countReceived(f.Type, len(f.Body)+frameHeaderBytes)
		switch f.Type {
		case framePing:
			l.trySend(frame{Type: framePong, Number: f.Number})
		case framePong:
			l.mu.Lock()
			l.oneWay.recordPong(f.Number, l.opts.Now())
			l.mu.Unlock()
		default:
			return f, nil
		}
	}
}

// close closes the link. Only the first cause is recorded; nil means closed by this proxy.
func (l *link) close(cause error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closeLocked(cause)
}

// closeLocked is close with l.mu held.
func (l *link) closeLocked(cause error) {
	if l.cause != nil {
		return
	}
	l.cause = &LinkClosedError{Remote: l.vm, Cause: cause}
	l.writeBuffer = nil
	l.clearUnresponsive()
	close(l.closed)
	l.writable.Broadcast()
	_ = l.conn.Close() // the cause is already recorded
}

// closeErr returns the reason why the link was closed, or nil while it is open.
func (l *link) closeErr() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cause
}
