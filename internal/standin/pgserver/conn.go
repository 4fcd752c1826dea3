package pgserver

import (
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// conn is one client connection and its session state. One goroutine serves it; other
// goroutines only call drop and requestCancel and set silent.
type conn struct {
	server         *Server
	socket         *faultConn
	backend        *pgproto3.Backend
	pid            uint32
	cancelKey      uint32
	clientIP       netip.Addr
	silent         atomic.Bool // reads and writes stall, see SilenceOpenConns
	countedInLimit bool        // guarded by Server.mu

	dropOnce          sync.Once
	dropped           chan struct{}
	cancelRequests    chan struct{} // pending cancel request for the running statement
	statementRunning  atomic.Bool   // cancel requests apply only while it is set
	statementDeadline time.Time     // when statement_timeout expires; zero without one

	settings      *settings
	prepared      map[string]*preparedStatement
	portals       map[string]*portal
	txn           *transaction
	inBlock       bool // inside a transaction block
	txnFailed     bool // the transaction block is aborted
	skipUntilSync bool // ignore messages up to the next Sync
}

func newConn(s *Server, nc net.Conn, pid uint32) *conn {
	c := &conn{
		server:         s,
		pid:            pid,
		cancelKey:      rand.Uint32(),
		dropped:        make(chan struct{}),
		cancelRequests: make(chan struct{}, 1),
		settings:       newSettings(),
		prepared:       map[string]*preparedStatement{},
		portals:        map[string]*portal{},
	}
	if addr, ok := nc.RemoteAddr().(*net.TCPAddr); ok {
		c.clientIP = addr.AddrPort().Addr().Unmap()
	}
	c.socket = &faultConn{Conn: nc, owner: c}
	c.backend = pgproto3.NewBackend(c.socket, c.socket)
	return c
}

// drop closes the connection. It may be called from any goroutine, more than once.
func (c *conn) drop() {
	c.dropOnce.Do(func() { close(c.dropped) })
	c.socket.Close()
}

func (c *conn) serve() {
	defer c.server.removeConn(c)
	defer c.drop()
	defer c.rollbackOpenTxn()
	if err := c.startup(); err != nil {
		return
	}
	for {
		msg, err := c.backend.Receive()
		if err != nil {
			c.reportReceiveError(err)
			return
		}
		if err := c.handle(msg); err != nil {
			return
		}
	}
}

// rollbackOpenTxn rolls back the transaction that is open when the connection ends.
func (c *conn) rollbackOpenTxn() {
	if c.txn != nil {
		c.server.rollback(c.txn)
	}
}

// reportReceiveError sends the client the reason for closing the connection: an idle
// time-out or an invalid message. After a network error it sends nothing.
func (c *conn) reportReceiveError(err error) {
	var netErr net.Error
	switch {
	case errors.As(err, &netErr) && netErr.Timeout() && errors.Is(err, os.ErrDeadlineExceeded):
		c.sendFatal(codeIdleInTransaction, "terminating connection due to idle-in-transaction timeout")
	case errors.As(err, &netErr), errors.Is(err, net.ErrClosed):
	default:
		c.sendFatal(codeProtocol, "invalid frontend message")
	}
}

func (c *conn) sendFatal(code, message string) {
	e := &sqlError{code: code, message: message, fatal: true}
	c.backend.Send(e.response())
	_ = c.backend.Flush()
}

// startup runs the startup phase of the protocol, up to the first ReadyForQuery. It
// declines TLS and GSSAPI encryption and handles cancel requests.
func (c *conn) startup() error {
	for {
		msg, err := c.backend.ReceiveStartupMessage()
		if err != nil {
			return err
		}
		switch m := msg.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := c.socket.Write([]byte{'N'}); err != nil {
				return err
			}
		case *pgproto3.CancelRequest:
			c.server.cancelStatement(m.ProcessID, decodeCancelKey(m.SecretKey))
			return &connectionLostError{reason: "cancel request handled"}
		case *pgproto3.StartupMessage:
			return c.openSession(m)
		}
	}
}

// openSession handles the startup message: it checks the connection limit and the
// database, applies the settings and sends those that clients track.
func (c *conn) openSession(m *pgproto3.StartupMessage) error {
	if !c.server.admitConn(c) {
		return c.refuse(codeTooManyConnections, "sorry, too many clients already")
	}
	connectDelay, _, _ := c.server.injectedDelays()
	if err := c.sleepInterruptible(connectDelay); err != nil {
		return err
	}
	if db := m.Parameters["database"]; db != c.server.group.database {
		return c.refuse(codeUnknownDatabase, "database \""+db+"\" does not exist")
	}
	if err := c.applyStartupSettings(m.Parameters); err != nil {
		return c.refuse(err.code, err.message)
	}
	c.backend.Send(&pgproto3.AuthenticationOk{})
	for name := range reportedSettings {
		c.sendParameterStatus(name)
	}
	c.backend.Send(&pgproto3.BackendKeyData{ProcessID: c.pid, SecretKey: encodeCancelKey(c.cancelKey)})
	return c.sendReady()
}

func (c *conn) refuse(code, message string) error {
	c.sendFatal(code, message)
	return &connectionLostError{reason: message}
}

// applyStartupSettings applies the settings of the startup message, including those
// passed as options=-c name=value.
func (c *conn) applyStartupSettings(parameters map[string]string) *sqlError {
	for name, value := range parameters {
		switch name = strings.ToLower(name); name {
		case "user", "database", "replication":
		case "options":
			for _, option := range strings.Split(value, "-c") {
				n, v, ok := strings.Cut(strings.TrimSpace(option), "=")
				if !ok {
					continue
				}
				if err := c.applyStartupSetting(strings.ToLower(n), v); err != nil {
					return err
				}
			}
		default:
			if err := c.applyStartupSetting(name, value); err != nil {
				return err
			}
		}
	}
	return nil
}

func (c *conn) applyStartupSetting(name, value string) *sqlError {
	var invalid *sqlError
	if errors.As(c.settings.validate(name, value), &invalid) {
		return invalid
	}
	c.settings.startupValues[name] = value
	return nil
}

// sendParameterStatus sends the current value of a setting if it is one of
// reportedSettings.
func (c *conn) sendParameterStatus(name string) {
	reportedName, ok := reportedSettings[name]
	if !ok {
		return
	}
	value, err := c.settings.get(name)
	if err != nil {
		return
	}
	c.backend.Send(&pgproto3.ParameterStatus{Name: reportedName, Value: value})
}

var (
	readyIdle    = &pgproto3.ReadyForQuery{TxStatus: 'I'}
	readyInBlock = &pgproto3.ReadyForQuery{TxStatus: 'T'}
	readyFailed  = &pgproto3.ReadyForQuery{TxStatus: 'E'}
)

func (c *conn) sendReady() error {
	switch {
	case c.txnFailed:
		c.backend.Send(readyFailed)
	case c.inBlock:
		c.backend.Send(readyInBlock)
	default:
		c.backend.Send(readyIdle)
	}
	return nil
}

func encodeCancelKey(key uint32) []byte {
	return []byte{byte(key >> 24), byte(key >> 16), byte(key >> 8), byte(key)}
}

func decodeCancelKey(b []byte) uint32 {
	if len(b) != 4 {
		return 0
	}
	return uint32(b[0])<<24 | uint32(b[1])<<16 | uint32(b[2])<<8 | uint32(b[3])
}
