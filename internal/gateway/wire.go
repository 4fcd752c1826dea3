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
	readBufferBytes      = 8 << 10
	flushThresholdBytes  = 32 << 10 // smaller responses are sent in one write
	maxPooledBufferBytes = 64 << 10 // larger buffers are not pooled
	maxStartupBytes      = 10_000   // largest message before authentication is complete
	frameHeaderBytes     = 5        // type and length
	startupHeaderBytes   = 4        // length
)

// wireConn reads and writes protocol messages on a caller's connection. It holds
// buffers only while a message is read or a response is written, so that idle
// connections use little memory. All methods except interruptRead must be called
// from one goroutine.
type wireConn struct {
	netConn net.Conn
	rawConn syscall.RawConn // nil: netConn gives no access to its socket
	gateway *Gateway

	backend        *pooledBackend // nil while idle
	input          *[]byte        // nil while idle
	unreadStart    int            // start of the unread bytes in input
	unreadEnd      int
	frameRemaining int  // undelivered bytes of the current frame
	inStartup      bool // frames have no type byte
	// authenticating limits the message size until the caller is authenticated.
	authenticating bool
	frameDeadline  time.Time // for the rest of the message in progress; zero: none
	reservedBytes  int64     // bytes reserved from the gateway's memory limit

	readFunc    func(fd uintptr) bool
	readCount   int
	readErr     error
	nonBlocking bool

	output        *[]byte
	flushedBytes  int64 // bytes sent to the caller
	writeDeadline time.Time
}

func newWireConn(g *Gateway, conn net.Conn) *wireConn {
	w := &wireConn{netConn: conn, gateway: g, inStartup: true}
	if sc, ok := conn.(syscall.Conn); ok {
		w.rawConn, _ = sc.SyscallConn()
	}
	w.readFunc = w.readSocket
	return w
}

// setConn replaces the connection after a TLS handshake.
func (w *wireConn) setConn(conn net.Conn) {
	w.netConn = conn
	w.rawConn = nil
}

var inputPool = sync.Pool{New: func() any { b := make([]byte, readBufferBytes); return &b }}
var outputPool = sync.Pool{New: func() any { b := make([]byte, 0, readBufferBytes); return &b }}

// buffered returns the number of bytes received and not yet delivered.
func (w *wireConn) buffered() int { return w.unreadEnd - w.unreadStart }

// releaseBuffers returns the read buffers to their pools unless they hold unread bytes.
func (w *wireConn) releaseBuffers() {
	if w.buffered() > 0 {
		return
	}
	if w.input != nil {
		inputPool.Put(w.input)
		w.input = nil
	}
	if w.backend != nil && !w.inStartup && w.frameRemaining == 0 {
		w.gateway.backendPool.Put(w.backend)
		w.backend = nil
	}
}

// fill reads more bytes into the input buffer, which must have free space.
func (w *wireConn) fill() error {
	if w.unreadStart == w.unreadEnd {
		w.unreadStart, w.unreadEnd = 0, 0
	}
	n, err := w.readInput()
	w.unreadEnd += n
	return wrapConnectionError(err)
}

func wrapConnectionError(err error) error {
	if err == nil {
		return nil
	}
	return &connectionError{Cause: err}
}

func (w *wireConn) readInput() (int, error) {
	if w.rawConn == nil {
		w.ensureInput()
		return w.netConn.Read((*w.input)[w.unreadEnd:])
	}
	w.readCount, w.readErr = 0, nil
	if err := w.rawConn.Read(w.readFunc); err != nil {
		return 0, err
	}
	return w.readCount, w.readErr
}

func (w *wireConn) ensureInput() {
	if w.input == nil {
		w.input = inputPool.Get().(*[]byte)
		w.unreadStart, w.unreadEnd = 0, 0
	}
}

// readSocket is the function passed to rawConn.Read. It reads once without
// blocking and keeps a buffer only if there are bytes to read, so that idle
// connections use little memory. It returns false to wait until the socket is
// readable.
func (w *wireConn) readSocket(fd uintptr) bool {
	w.ensureInput()
	for {
		n, err := syscall.Read(int(fd), (*w.input)[w.unreadEnd:])
		switch {
		case err == syscall.EINTR:
			continue
		case err == syscall.EAGAIN && w.nonBlocking:
			w.readErr = os.ErrDeadlineExceeded
			return true
		case err == syscall.EAGAIN:
			if w.buffered() == 0 && w.frameRemaining == 0 {
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

// connectionError reports a connection that ended or failed, as opposed to an
// invalid message.
type connectionError struct{ Cause error }

func (e *connectionError) Error() string { return "caller's connection: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *connectionError) Unwrap() error { return e.Cause }

// waitForInput blocks until at least one byte of a message is available. Idle
// connections block here.
func (w *wireConn) waitForInput() error {
	if w.buffered() > 0 {
		return nil
	}
	w.releaseBuffers()
	return w.fill()
}

// pollInput reads available bytes without blocking. It reports whether part of a
// message has arrived.
func (w *wireConn) pollInput() bool {
	if w.buffered() > 0 {
		return true
	}
	if w.rawConn == nil {
		return w.pollConn()
	}
	_ = w.netConn.SetReadDeadline(time.Time{})
	w.nonBlocking = true
	err := w.fill()
	w.nonBlocking = false
	return err == nil && w.buffered() > 0
}

// pollTimeout limits how long pollInput waits on a connection without access to its
// socket, such as a TLS connection.
const pollTimeout = 10 * time.Millisecond

func (w *wireConn) pollConn() bool {
	_ = w.netConn.SetReadDeadline(time.Now().Add(pollTimeout))
	err := w.fill()
	_ = w.netConn.SetReadDeadline(time.Time{})
	return err == nil && w.buffered() > 0
}

// Read implements io.Reader for the pgproto3 backend. It never returns bytes past
// the end of the current message. The backend therefore buffers nothing between
// messages and can be pooled.
func (w *wireConn) Read(p []byte) (int, error) {
	if w.frameRemaining == 0 {
		if err := w.beginFrame(); err != nil {
			return 0, err
		}
	}
	if w.buffered() == 0 {
		if w.frameRemaining > readBufferBytes {
			return w.readUnbuffered(p[:min(len(p), w.frameRemaining)])
		}
		if err := w.fill(); err != nil {
			return 0, err
		}
	}
	n := copy(p, (*w.input)[w.unreadStart:min(w.unreadEnd, w.unreadStart+w.frameRemaining)])
	w.unreadStart += n
	w.frameRemaining -= n
	return n, nil
}

// readUnbuffered reads part of a large message into p, bypassing the input buffer.
func (w *wireConn) readUnbuffered(p []byte) (int, error) {
	n, err := w.netConn.Read(p)
	w.frameRemaining -= n
	return n, wrapConnectionError(err)
}

// beginFrame reads the length of the next message, checks it against the limit and
// reserves memory for a large message.
func (w *wireConn) beginFrame() error {
	header := frameHeaderBytes
	if w.inStartup {
		header = startupHeaderBytes
	}
	for w.buffered() < header {
		w.compact(header)
		if err := w.fill(); err != nil {
			return err
		}
	}
	length := int(int32(binary.BigEndian.Uint32((*w.input)[w.unreadStart+header-4:])))
	if length < 4 {
		// Pass on the header only: the backend reports the invalid length.
		w.frameRemaining = header
		return nil
	}
	size := length + header - 4
	limit := w.gateway.options.MaxMessageBytes
	if w.inStartup || w.authenticating {
		limit = maxStartupBytes
	}
	if length > limit {
		return &messageTooLargeError{Bytes: length, Limit: limit}
	}
	if err := w.reserve(int64(size)); err != nil {
		return err
	}
	w.frameRemaining = size
	if size > w.buffered() {
		// The rest must arrive within MessageTimeout.
		w.setFrameDeadline()
	}
	return nil
}

// compact moves the unread bytes to the front of the buffer if a header does not
// fit behind them.
func (w *wireConn) compact(header int) {
	if w.input == nil || len(*w.input)-w.unreadStart >= header {
		return
	}
	copy(*w.input, (*w.input)[w.unreadStart:w.unreadEnd])
	w.unreadStart, w.unreadEnd = 0, w.unreadEnd-w.unreadStart
}

// reserve reserves n bytes of the gateway's memory limit. Messages that fit the
// read buffer need no reservation.
func (w *wireConn) reserve(n int64) error {
	if n <= readBufferBytes {
		return nil
	}
	if !w.gateway.memory.TryReserve(n) {
		return &memoryError{}
	}
	w.reservedBytes += n
	return nil
}

// releaseReserved releases the memory reserved for the messages of a batch.
func (w *wireConn) releaseReserved() {
	if w.reservedBytes > 0 {
		w.gateway.memory.Release(w.reservedBytes)
		w.reservedBytes = 0
	}
}

// setFrameDeadline limits the time for the rest of the message in progress. Until
// authentication is complete, the startup deadline applies instead.
func (w *wireConn) setFrameDeadline() {
	if w.inStartup || w.authenticating {
		return
	}
	w.frameDeadline = time.Now().Add(w.gateway.options.MessageTimeout)
	_ = w.netConn.SetReadDeadline(w.frameDeadline)
}

// clearFrameDeadline removes the limit after the message has been read.
func (w *wireConn) clearFrameDeadline() {
	if w.frameDeadline.IsZero() {
		return
	}
	w.frameDeadline = time.Time{}
	_ = w.netConn.SetReadDeadline(time.Time{})
}

// receive returns the next message, which is valid until the next call. A drain
// interrupts reads with a deadline in the past; receive ignores that while a
// message is in progress.
func (w *wireConn) receive() (pgproto3.FrontendMessage, error) {
	w.acquireBackend()
	for {
		msg, err := w.backend.Receive()
		if err == nil || !isTimeout(err) || w.frameDeadline.IsZero() || time.Now().After(w.frameDeadline) {
			w.clearFrameDeadline()
			if err != nil {
				// The backend may hold a part of the message, so it must not
				// be reused for another connection.
				w.backend = nil
			}
			return msg, err
		}
		_ = w.netConn.SetReadDeadline(w.frameDeadline)
	}
}

func (w *wireConn) acquireBackend() {
	if w.backend != nil {
		return
	}
	w.backend = w.gateway.backendPool.Get().(*pooledBackend).attach(w)
}

// interruptRead makes the read in progress, or the next one, return with a
// time-out. It may be called from any goroutine.
func (w *wireConn) interruptRead() { _ = w.netConn.SetReadDeadline(time.Unix(1, 0)) }

// send appends a message to the output buffer.
func (w *wireConn) send(msg pgproto3.BackendMessage) {
	out := w.outputBuffer()
	encoded, err := msg.Encode(*out)
	if err != nil {
		return
	}
	*out = encoded
}

// sendBytes appends encoded messages to the output buffer and flushes it when it
// reaches flushThresholdBytes.
func (w *wireConn) sendBytes(b []byte) error {
	out := w.outputBuffer()
	*out = append(*out, b...)
	if len(*out) < flushThresholdBytes {
		return nil
	}
	return w.flush()
}

func (w *wireConn) outputBuffer() *[]byte {
	if w.output == nil {
		w.output = outputPool.Get().(*[]byte)
	}
	return w.output
}

// pendingBytes returns the number of bytes in the output buffer.
func (w *wireConn) pendingBytes() int {
	if w.output == nil {
		return 0
	}
	return len(*w.output)
}

// truncate shortens the output buffer to n bytes.
func (w *wireConn) truncate(n int) {
	if w.output != nil {
		*w.output = (*w.output)[:n]
	}
}

// flush writes the output buffer to the connection.
func (w *wireConn) flush() error {
	if w.pendingBytes() == 0 {
		return nil
	}
	w.extendWriteDeadline()
	n, err := w.netConn.Write(*w.output)
	w.flushedBytes += int64(n)
	*w.output = (*w.output)[:0]
	if cap(*w.output) <= maxPooledBufferBytes {
		outputPool.Put(w.output)
	}
	w.output = nil
	return wrapConnectionError(err)
}

// extendWriteDeadline gives the next write between one and two write timeouts. It
// sets the deadline only when less than one timeout is left, since setting it
// costs more than a small write.
func (w *wireConn) extendWriteDeadline() {
	now := time.Now()
	timeout := w.gateway.options.WriteTimeout
	if w.writeDeadline.Sub(now) >= timeout {
		return
	}
	w.writeDeadline = now.Add(2 * timeout)
	_ = w.netConn.SetWriteDeadline(w.writeDeadline)
}

// closeAfterError flushes and closes the connection. It reads the remaining input
// first, since closing a connection with unread bytes could drop the final error
// before the caller receives it.
func (w *wireConn) closeAfterError() {
	if w.flush() != nil {
		w.close()
		return
	}
	if halfCloser, ok := w.netConn.(interface{ CloseWrite() error }); ok && halfCloser.CloseWrite() == nil {
		w.discardInput()
	}
	w.close()
}

// discardInput reads and drops input until the caller closes the connection, for at
// most CloseLinger.
func (w *wireConn) discardInput() {
	_ = w.netConn.SetReadDeadline(time.Now().Add(w.gateway.options.CloseLinger))
	w.ensureInput()
	for {
		if _, err := w.netConn.Read(*w.input); err != nil {
			return
		}
	}
}

func (w *wireConn) close() {
	_ = w.netConn.Close()
	w.releaseReserved()
}

// isConnectionError reports whether err is a connection failure rather than an
// invalid message.
func isConnectionError(err error) bool {
	var ce *connectionError
	return errors.As(err, &ce)
}

// isTimeout reports whether a read ended because its deadline passed.
func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
