package backend

import (
	"context"
	"encoding/binary"
	"net"
	"net/netip"
	"strconv"
	"syscall"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"golang.org/x/sys/unix"

	"egretroad/internal/tcp"
)

// Options configures connections to backend servers.
type Options struct {
	BindIP          string // source address; empty: chosen by the system
	User            string
	Password        string
	ApplicationName string
	ConnectTimeout  time.Duration
	// UnackedTimeout closes a connection whose sent bytes stay unacknowledged for
	// longer (TCP_USER_TIMEOUT).
	UnackedTimeout time.Duration
	KeepAlive      time.Duration
	// ServerIdleInTxn is the time after which the server ends an idle transaction
	// by itself, in case the proxy has vanished or hangs.
	ServerIdleInTxn time.Duration
}

// DefaultOptions returns options without a password, which the caller must set.
func DefaultOptions() Options {
	return Options{
		User:            "egretroad",
		ApplicationName: "egretroad",
		ConnectTimeout:  2 * time.Second,
		UnackedTimeout:  2 * time.Second,
		KeepAlive:       5 * time.Second,
		ServerIdleInTxn: time.Hour,
	}
}

// Sizes of the read buffer and of messages, in bytes.
const (
	readBufferBytes    = 8 << 10
	maxMessageBytes    = 64 << 20
	messageHeaderBytes = 5
)

// Conn is one authenticated connection. Only Interrupt, Cancel and Close are safe for
// concurrent use.
type Conn struct {
	addr   string
	nc     net.Conn
	pid    uint32
	secret []byte
	opts   Options
	buf    []byte
	start  int
	end    int
}

// Connect opens and authenticates a connection. Errors are *ConnectError.
func Connect(ctx context.Context, opts Options, addr, database string) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, opts.ConnectTimeout)
	defer cancel()
	config, err := clientConfig(opts, addr, database)
	if err != nil {
		return nil, &ConnectError{Addr: addr, Cause: err}
	}
	pc, err := pgconn.ConnectConfig(ctx, config)
	if err != nil {
		return nil, &ConnectError{Addr: addr, Cause: err}
	}
	hijacked, err := pc.Hijack()
	if err != nil {
		return nil, &ConnectError{Addr: addr, Cause: err}
	}
	return &Conn{
		addr: addr, nc: hijacked.Conn, pid: hijacked.PID, secret: hijacked.SecretKey, opts: opts,
		buf: make([]byte, readBufferBytes),
	}, nil
}

func clientConfig(opts Options, addr, database string) (*pgconn.Config, error) {
	config, err := pgconn.ParseConfig("")
	if err != nil {
		return nil, err
	}
	host, port, err := splitAddr(addr)
	if err != nil {
		return nil, err
	}
	config.Host, config.Port = host, port
	config.User, config.Password, config.Database = opts.User, opts.Password, database
	config.TLSConfig, config.Fallbacks = nil, nil
	config.RuntimeParams = opts.runtimeParams()
	config.DialFunc = opts.dialer().DialContext
	return config, nil
}

// keepAliveProbes is the number of unanswered TCP keep-alive probes after which a
// server closes a connection to a proxy that has vanished.
const keepAliveProbes = 3

// runtimeParams returns the session settings that are sent at start-up.
func (o Options) runtimeParams() map[string]string {
	interval := strconv.Itoa(int(o.KeepAlive / time.Second))
	return map[string]string{
		"application_name":                    o.ApplicationName,
		"idle_in_transaction_session_timeout": strconv.FormatInt(o.ServerIdleInTxn.Milliseconds(), 10),
		"tcp_keepalives_idle":                 interval,
		"tcp_keepalives_interval":             interval,
		"tcp_keepalives_count":                strconv.Itoa(keepAliveProbes),
	}
}

func splitAddr(addr string) (string, uint16, error) {
	ap, err := netip.ParseAddrPort(addr)
	if err != nil {
		return "", 0, err
	}
	return ap.Addr().String(), ap.Port(), nil
}

// dialer returns a dialer that binds to BindIP.
func (o Options) dialer() *net.Dialer {
	d := &net.Dialer{KeepAlive: o.KeepAlive, Control: tcp.UnackedTimeout(o.UnackedTimeout)}
	if ip := net.ParseIP(o.BindIP); ip != nil {
		d.LocalAddr = &net.TCPAddr{IP: ip}
	}
	return d
}

// Addr returns the server's address.
func (c *Conn) Addr() string { return c.addr }

// PID returns the ID of the server process that serves the session.
func (c *Conn) PID() uint32 { return c.pid }

// SetDeadline sets the deadline of reads and writes; the zero time removes it.
func (c *Conn) SetDeadline(t time.Time) { _ = c.nc.SetDeadline(t) }

// Interrupt makes reads and writes, including those in progress, fail with a timeout
// until the next SetDeadline.
func (c *Conn) Interrupt() { _ = c.nc.SetDeadline(time.Unix(1, 0)) }

// Write sends encoded frontend messages. On error, sent is the number of bytes that
// may have been sent. Errors are *BrokenError.
func (c *Conn) Write(messages []byte) (sent int, err error) {
	sent, err = c.nc.Write(messages)
	if err != nil {
		return sent, &BrokenError{Addr: c.addr, Op: "write", Cause: err}
	}
	return sent, nil
}

// Next returns the type of the next backend message, and the message with its header.
// The slice is valid until the next call. A timeout loses no bytes: Next may be called
// again. Errors are *BrokenError.
func (c *Conn) Next() (byte, []byte, error) {
	if err := c.fill(messageHeaderBytes); err != nil {
		return 0, nil, err
	}
	size := int(binary.BigEndian.Uint32(c.buf[c.start+1:])) + 1
	if size < messageHeaderBytes || size > maxMessageBytes {
		return 0, nil, c.readError(&ProtocolError{Detail: "message of " + strconv.Itoa(size) + " bytes"})
	}
	if err := c.fill(size); err != nil {
		return 0, nil, err
	}
	message := c.buf[c.start : c.start+size]
	c.start += size
	return message[0], message, nil
}

// Buffered reports whether a complete message is in the read buffer.
func (c *Conn) Buffered() bool {
	buffered := c.end - c.start
	if buffered < messageHeaderBytes {
		return false
	}
	return buffered > int(binary.BigEndian.Uint32(c.buf[c.start+1:]))
}

// Idle reports whether the connection is open and has no unread data: this VM has
// received neither data nor a close from the server. It does not block.
func (c *Conn) Idle() bool {
	if c.end > c.start {
		return false
	}
	socket, ok := c.nc.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = raw.Control(func(fd uintptr) {
		var peeked [1]byte
		_, _, err := unix.Recvfrom(int(fd), peeked[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		idle = err == unix.EAGAIN
	})
	return err == nil && idle
}

// fill reads until at least n bytes are buffered.
func (c *Conn) fill(n int) error {
	for c.end-c.start < n {
		c.ensureCapacity(n)
		got, err := c.nc.Read(c.buf[c.end:])
		c.end += got
		if err != nil && c.end-c.start < n {
			return c.readError(err)
		}
	}
	return nil
}

// ensureCapacity makes room in the buffer for a message of n bytes, and shrinks a
// buffer that a large message has enlarged.
func (c *Conn) ensureCapacity(n int) {
	if c.start == c.end {
		c.start, c.end = 0, 0
		if len(c.buf) > readBufferBytes && n <= readBufferBytes {
			c.buf = make([]byte, readBufferBytes)
		}
	}
	if c.start+n <= len(c.buf) && c.end < len(c.buf) {
		return
	}
	dst := c.buf
	if n > len(dst) {
		dst = make([]byte, n)
	}
	c.end = copy(dst, c.buf[c.start:c.end])
	c.start = 0
	c.buf = dst
}

func (c *Conn) readError(cause error) error {
	return &BrokenError{Addr: c.addr, Op: "read", Cause: cause}
}

// Cancel asks the server, on a new connection, to cancel the running statement. It
// returns when the server has handled the request, or at the time-out. Errors are
// *ConnectError and *BrokenError.
func (c *Conn) Cancel(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, c.opts.ConnectTimeout)
	defer cancel()
	nc, err := c.opts.dialer().DialContext(ctx, "tcp", c.addr)
	if err != nil {
		return &ConnectError{Addr: c.addr, Cause: err}
	}
	defer nc.Close()
	if deadline, ok := ctx.Deadline(); ok {
		_ = nc.SetDeadline(deadline)
	}
	if _, err := nc.Write(c.cancelRequest()); err != nil {
		return &BrokenError{Addr: c.addr, Op: "write", Cause: err}
	}
	// The server closes the connection once it has handled the request.
	_, _ = nc.Read(make([]byte, 1))
	return nil
}

const cancelRequestCode = 80877102

func (c *Conn) cancelRequest() []byte {
	const fixedBytes = 12
	m := make([]byte, 0, fixedBytes+len(c.secret))
	m = binary.BigEndian.AppendUint32(m, uint32(fixedBytes+len(c.secret)))
	m = binary.BigEndian.AppendUint32(m, cancelRequestCode)
	m = binary.BigEndian.AppendUint32(m, c.pid)
	return append(m, c.secret...)
}

// Close closes the connection without a Terminate message.
func (c *Conn) Close() { _ = c.nc.Close() }

// CloseGracefully sends a Terminate message and closes the connection. Only the owner
// of the connection may call it.
func (c *Conn) CloseGracefully() {
	_ = c.nc.SetWriteDeadline(time.Now().Add(c.opts.ConnectTimeout))
	_, _ = c.nc.Write([]byte{'X', 0, 0, 0, 4})
	_ = c.nc.Close()
}
