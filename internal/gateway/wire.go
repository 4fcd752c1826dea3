package gateway

import (
	"encoding/binary"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// Sizes of buffers.
const (
	readBufferBytes  = 8 << 10
	flushThreshold   = 32 << 10 // answers up to this size leave in one write
	keptBufferBytes  = 64 << 10 // larger buffers are not pooled
	startupBodyBytes = 10_000   // largest message before authentication
	frameHeaderBytes = 5        // type and length
	startupHeader    = 4        // length
)

// wire is a caller's connection. It holds buffers only while a message is being
// read or an answer written, so that an idle connection costs little. Methods
// other than wake must be called by one goroutine.
type wire struct {
	conn    net.Conn
	raw     syscall.RawConn // nil: conn gives no access to its socket
	gateway *Gateway

	backend *pooledBackend // nil while idle
	input   *[]byte        // nil while idle
	start   int            // of unread bytes in input
	end     int
	frame   int  // bytes left of the frame that is being delivered
	startup bool // frames have no type byte
	// authenticating keeps messages small until the caller is known.
	authenticating bool
	frameDeadline  time.Time // for the message in progress; zero: none
	reserved       int64     // bytes of the gateway's memory limit held

	tryRead   func(fd uintptr) bool
	readCount int
	readErr   error
	nonBlock  bool

	output        *[]byte
	flushed       int64 // bytes sent to the caller
	writeDeadline time.Time
}

func newWire(g *Gateway, conn net.Conn) *wire {
	w := &wire{conn: conn, gateway: g, startup: true}
	if sc, ok := conn.(syscall.Conn); ok {
		w.raw, _ = sc.SyscallConn()
	}
	w.tryRead = w.readSocket
	return w
}

// setConn replaces the connection after a TLS handshake.
func (w *wire) setConn(conn net.Conn) {
	w.conn = conn
	w.raw = nil
}

var inputPool = sync.Pool{New: func() any { b := make([]byte, readBufferBytes); return &b }}
var outputPool = sync.Pool{New: func() any { b := make([]byte, 0, readBufferBytes); return &b }}

// buffered returns the number of bytes received and not yet delivered.
func (w *wire) buffered() int { return w.end - w.start }

// release returns the read buffers to their pools if no unread byte is held.
func (w *wire) release() {
	if w.buffered() > 0 {
		return
	}
	if w.input != nil {
		inputPool.Put(w.input)
		w.input = nil
	}
	if w.backend != nil && !w.startup && w.frame == 0 {
		w.gateway.backends.Put(w.backend)
		w.backend = nil
	}
}

// fill reads more bytes into the input buffer, which has room.
func (w *wire) fill() error {
	if w.start == w.end {
		w.start, w.end = 0, 0
	}
	n, err := w.readInput()
	w.end += n
	return wrapConnection(err)
}

func wrapConnection(err error) error {
	if err == nil {
		return nil
	}
	return &connectionError{Cause: err}
}

func (w *wire) readInput() (int, error) {
	if w.raw == nil {
		w.ensureInput()
		return w.conn.Read((*w.input)[w.end:])
	}
	w.readCount, w.readErr = 0, nil
	if err := w.raw.Read(w.tryRead); err != nil {
		return 0, err
	}
	return w.readCount, w.readErr
}

func (w *wire) ensureInput() {
	if w.input == nil {
		w.input = inputPool.Get().(*[]byte)
		w.start, w.end = 0, 0
	}
}

// readSocket reads once without blocking. It holds a buffer only when there is
// something to read, which keeps idle connections small. It returns false when
// the caller must wait for the socket.
func (w *wire) readSocket(fd uintptr) bool {
	w.ensureInput()
	for {
		n, err := syscall.Read(int(fd), (*w.input)[w.end:])
		switch {
		case err == syscall.EINTR:
			continue
		case err == syscall.EAGAIN && w.nonBlock:
			w.readErr = os.ErrDeadlineExceeded
			return true
		case err == syscall.EAGAIN:
			if w.buffered() == 0 && w.frame == 0 {
				inputPool.Put(w.input)
				w.input = nil
			}
			return false
		case err != nil:
			w.readErr = os.NewSyscallError("read", err)
			return true
		case n == 0:
			w.readErr = io.EOF
			return true
		}
		w.readCount = n
		return true
	}
}

// connectionError reports a connection that ended or failed, as opposed to a
// message that is wrong.
type connectionError struct{ Cause error }

func (e *connectionError) Error() string { return "caller's connection: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *connectionError) Unwrap() error { return e.Cause }

// wait blocks until at least one byte of a message is there. Idle connections
// spend their time here.
func (w *wire) wait() error {
	if w.buffered() > 0 {
		return nil
	}
	w.release()
	return w.fill()
}

// poll takes bytes that are already there without waiting. It reports whether a
// message has begun to arrive.
func (w *wire) poll() bool {
	if w.buffered() > 0 {
		return true
	}
	if w.raw == nil {
		return w.pollConn()
	}
	_ = w.conn.SetReadDeadline(time.Time{})
	w.nonBlock = true
	err := w.fill()
	w.nonBlock = false
	return err == nil && w.buffered() > 0
}

// pollTimeout is the time that poll waits on a connection without a socket of its own.
const pollTimeout = 10 * time.Millisecond

func (w *wire) pollConn() bool {
	_ = w.conn.SetReadDeadline(time.Now().Add(pollTimeout))
	err := w.fill()
	_ = w.conn.SetReadDeadline(time.Time{})
	return err == nil && w.buffered() > 0
}

// Read implements io.Reader for the pgproto3 backend. It never delivers bytes
// past the end of the message in progress, so the backend holds none between
// messages and can be pooled.
func (w *wire) Read(p []byte) (int, error) {
	if w.frame == 0 {
		if err := w.beginFrame(); err != nil {
			return 0, err
		}
	}
	if w.buffered() == 0 {
		if w.frame > readBufferBytes {
			return w.readDirect(p[:min(len(p), w.frame)])
		}
		if err := w.fill(); err != nil {
			return 0, err
		}
	}
	n := copy(p, (*w.input)[w.start:min(w.end, w.start+w.frame)])
	w.start += n
	w.frame -= n
	return n, nil
}

// readDirect reads a part of a large message past the input buffer.
func (w *wire) readDirect(p []byte) (int, error) {
	n, err := w.conn.Read(p)
	w.frame -= n
	return n, wrapConnection(err)
}

// beginFrame reads the next message's length and reserves memory for a large one.
func (w *wire) beginFrame() error {
	header := frameHeaderBytes
	if w.startup {
		header = startupHeader
	}
	for w.buffered() < header {
		w.compact(header)
		if err := w.fill(); err != nil {
			return err
		}
	}
	length := int(int32(binary.BigEndian.Uint32((*w.input)[w.start+header-4:])))
	if length < 4 {
		// The backend reports the invalid length.
		w.frame = header
		return nil
	}
	size := length + header - 4
	limit := w.gateway.options.MaxMessageBytes
	if w.startup || w.authenticating {
		limit = startupBodyBytes
	}
	if length > limit {
		return &messageTooLargeError{Bytes: length, Limit: limit}
	}
	if err := w.reserve(int64(size)); err != nil {
		return err
	}
	w.frame = size
	if size > w.buffered() {
		// The rest must follow within a bounded time.
		w.boundFrame()
	}
	return nil
}

// compact moves unread bytes to the front when a header would not fit.
func (w *wire) compact(header int) {
	if w.input == nil || len(*w.input)-w.start >= header {
		return
	}
	copy(*w.input, (*w.input)[w.start:w.end])
	w.start, w.end = 0, w.end-w.start
}

// reserve takes bytes from the gateway's memory limit; small messages are free.
func (w *wire) reserve(n int64) error {
	if n <= readBufferBytes {
		return nil
	}
	if !w.gateway.memory.take(n) {
		return &memoryError{}
	}
	w.reserved += n
	return nil
}

// unreserve gives back what the messages of a batch took.
func (w *wire) unreserve() {
	if w.reserved > 0 {
		w.gateway.memory.give(w.reserved)
		w.reserved = 0
	}
}

// boundFrame limits the time for the rest of the message in progress. Before
// authentication ends, the startup's own deadline stays in force.
func (w *wire) boundFrame() {
	if w.startup || w.authenticating {
		return
	}
	w.frameDeadline = time.Now().Add(w.gateway.options.MessageTimeout)
	_ = w.conn.SetReadDeadline(w.frameDeadline)
}

// unboundFrame removes the limit after the message.
func (w *wire) unboundFrame() {
	if w.frameDeadline.IsZero() {
		return
	}
	w.frameDeadline = time.Time{}
	_ = w.conn.SetReadDeadline(time.Time{})
}

// receive returns the next message, valid until the next call. A drain wakes
// readers by a deadline, which does not end a message in progress.
func (w *wire) receive() (pgproto3.FrontendMessage, error) {
	w.acquireBackend()
	for {
		msg, err := w.backend.Receive()
		if err == nil || !isTimeout(err) || w.frameDeadline.IsZero() || time.Now().After(w.frameDeadline) {
			w.unboundFrame()
			if err != nil {
				// The backend may hold a part of the message: it must never
				// serve another connection.
				w.backend = nil
			}
			return msg, err
		}
		_ = w.conn.SetReadDeadline(w.frameDeadline)
	}
}

func (w *wire) acquireBackend() {
	if w.backend != nil {
		return
	}
	w.backend = w.gateway.backends.Get().(*pooledBackend).attach(w)
}

// wake makes a read in progress, or the next one, return with a timeout. It may
// be called from any goroutine.
func (w *wire) wake() { _ = w.conn.SetReadDeadline(time.Unix(1, 0)) }

// send appends a message to the answer.
func (w *wire) send(msg pgproto3.BackendMessage) {
	out := w.out()
	encoded, err := msg.Encode(*out)
	if err != nil {
		return
	}
	*out = encoded
}

// sendBytes appends encoded messages and sends the answer on once it is large.
func (w *wire) sendBytes(b []byte) error {
	out := w.out()
	*out = append(*out, b...)
	if len(*out) < flushThreshold {
		return nil
	}
	return w.flush()
}

func (w *wire) out() *[]byte {
	if w.output == nil {
		w.output = outputPool.Get().(*[]byte)
	}
	return w.output
}

// pending returns the number of bytes of the answer that are not sent yet.
func (w *wire) pending() int {
	if w.output == nil {
		return 0
	}
	return len(*w.output)
}

// truncate drops what was appended after the answer had n pending bytes.
func (w *wire) truncate(n int) {
	if w.output != nil {
		*w.output = (*w.output)[:n]
	}
}

// flush sends the answer so far.
func (w *wire) flush() error {
	if w.pending() == 0 {
		return nil
	}
	w.boundWrite()
	n, err := w.conn.Write(*w.output)
	w.flushed += int64(n)
	*w.output = (*w.output)[:0]
	if cap(*w.output) <= keptBufferBytes {
		outputPool.Put(w.output)
	}
	w.output = nil
	return wrapConnection(err)
}

// boundWrite gives the next write between one and two write timeouts. The
// deadline is moved seldom, since moving it costs more than a small write saves.
func (w *wire) boundWrite() {
	now := time.Now()
	timeout := w.gateway.options.WriteTimeout
	if w.writeDeadline.Sub(now) >= timeout {
		return
	}
	w.writeDeadline = now.Add(2 * timeout)
	_ = w.conn.SetWriteDeadline(w.writeDeadline)
}

// closeAfterError ends the connection so that a last error reaches the caller
// even when bytes of it are still unread.
func (w *wire) closeAfterError() {
	if w.flush() != nil {
		w.close()
		return
	}
	if half, ok := w.conn.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
		w.discard()
	}
	w.close()
}

// discard reads until the caller closes, within the linger time.
func (w *wire) discard() {
	_ = w.conn.SetReadDeadline(time.Now().Add(w.gateway.options.CloseLinger))
	w.ensureInput()
	for {
		if _, err := w.conn.Read(*w.input); err != nil {
			return
		}
	}
}

func (w *wire) close() {
	_ = w.conn.Close()
	w.unreserve()
}

// isConnectionError reports whether err comes from the connection, not from a message.
func isConnectionError(err error) bool {
	var ce *connectionError
	return errors.As(err, &ce)
}

// isTimeout reports whether a read ended because of its deadline.
func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
