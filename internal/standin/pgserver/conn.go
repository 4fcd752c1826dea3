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

// conn is one client connection, served by one goroutine.
type conn struct {
	server  *Server
	link    *link
	backend *pgproto3.Backend
	pid     uint32
	key     uint32
	peer    netip.Addr
	silent  atomic.Bool
	counted bool // guarded by Server.mu

	dropOnce  sync.Once
	dropped   chan struct{}
	interrupt chan struct{} // a cancel request for the running statement
	busy      atomic.Bool   // a statement runs
	deadline  time.Time     // statement_timeout of the running statement

	settings *settings
	prepared map[string]*prepared
	portals  map[string]*portal
	txn      *transaction
	block    bool // inside BEGIN
	failed   bool // the block is aborted
	skip     bool // ignore messages up to Sync
}

func newConn(s *Server, nc net.Conn, pid uint32) *conn {
	c := &conn{
		server:    s,
		pid:       pid,
		key:       rand.Uint32(),
		dropped:   make(chan struct{}),
		interrupt: make(chan struct{}, 1),
		settings:  newSettings(),
		prepared:  map[string]*prepared{},
		portals:   map[string]*portal{},
	}
	if addr, ok := nc.RemoteAddr().(*net.TCPAddr); ok {
		c.peer = addr.AddrPort().Addr().Unmap()
	}
	c.link = &link{Conn: nc, conn: c}
	c.backend = pgproto3.NewBackend(c.link, c.link)
	return c
}

// drop ends the connection from another goroutine.
func (c *conn) drop() {
	c.dropOnce.Do(func() { close(c.dropped) })
	c.link.Close()
}

func (c *conn) serve() {
	defer c.server.unregister(c)
	defer c.drop()
	defer c.abandon()
	if err := c.startup(); err != nil {
		return
	}
	for {
		msg, err := c.backend.Receive()
		if err != nil {
			c.receiveFailed(err)
			return
		}
		if err := c.handle(msg); err != nil {
			return
		}
	}
}

// abandon rolls back what the client left open.
func (c *conn) abandon() {
	if c.txn != nil {
		c.server.rollback(c.txn)
	}
}

// receiveFailed tells the client why its connection ends, where it can hear it.
func (c *conn) receiveFailed(err error) {
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

// startup runs the exchange up to the first ReadyForQuery.
func (c *conn) startup() error {
	for {
		msg, err := c.backend.ReceiveStartupMessage()
		if err != nil {
			return err
		}
		switch m := msg.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := c.link.Write([]byte{'N'}); err != nil {
				return err
			}
		case *pgproto3.CancelRequest:
			c.server.cancel(m.ProcessID, keyOf(m.SecretKey))
			return &connectionLostError{reason: "cancel request done"}
		case *pgproto3.StartupMessage:
			return c.begin(m)
		}
	}
}

// begin admits the client and reports the session's settings.
func (c *conn) begin(m *pgproto3.StartupMessage) error {
	if !c.server.admit(c) {
		return c.refuse(codeTooManyConnections, "sorry, too many clients already")
	}
	connect, _, _ := c.server.delays()
	if err := c.sleep(connect); err != nil {
		return err
	}
	if db := m.Parameters["database"]; db != c.server.group.database {
		return c.refuse(codeUnknownDatabase, "database \""+db+"\" does not exist")
	}
	if err := c.startupSettings(m.Parameters); err != nil {
		return c.refuse(err.code, err.message)
	}
	c.backend.Send(&pgproto3.AuthenticationOk{})
	for name := range reportedSettings {
		c.report(name)
	}
	c.backend.Send(&pgproto3.BackendKeyData{ProcessID: c.pid, SecretKey: keyBytes(c.key)})
	return c.ready()
}

func (c *conn) refuse(code, message string) error {
	c.sendFatal(code, message)
	return &connectionLostError{reason: message}
}

// startupSettings takes the settings of the startup message, also those of
// options=-c name=value.
func (c *conn) startupSettings(parameters map[string]string) *sqlError {
	for name, value := range parameters {
		switch name = strings.ToLower(name); name {
		case "user", "database", "replication":
		case "options":
			for _, part := range strings.Split(value, "-c") {
				n, v, ok := strings.Cut(strings.TrimSpace(part), "=")
				if !ok {
					continue
				}
				if err := c.startupSetting(strings.ToLower(n), v); err != nil {
					return err
				}
			}
		default:
			if err := c.startupSetting(name, value); err != nil {
				return err
			}
		}
	}
	return nil
}

func (c *conn) startupSetting(name, value string) *sqlError {
	var refused *sqlError
	if errors.As(c.settings.check(name, value), &refused) {
		return refused
	}
	c.settings.startup[name] = value
	return nil
}

// report sends the current value of a setting that clients follow.
func (c *conn) report(name string) {
	shown, ok := reportedSettings[name]
	if !ok {
		return
	}
	value, err := c.settings.get(name)
	if err != nil {
		return
	}
	c.backend.Send(&pgproto3.ParameterStatus{Name: shown, Value: value})
}

var (
	readyIdle   = &pgproto3.ReadyForQuery{TxStatus: 'I'}
	readyBlock  = &pgproto3.ReadyForQuery{TxStatus: 'T'}
	readyFailed = &pgproto3.ReadyForQuery{TxStatus: 'E'}
)

func (c *conn) ready() error {
	switch {
	case c.failed:
		c.backend.Send(readyFailed)
	case c.block:
		c.backend.Send(readyBlock)
	default:
		c.backend.Send(readyIdle)
	}
	return nil
}

func keyBytes(key uint32) []byte {
	return []byte{byte(key >> 24), byte(key >> 16), byte(key >> 8), byte(key)}
}

func keyOf(b []byte) uint32 {
	if len(b) != 4 {
		return 0
	}
	return uint32(b[0])<<24 | uint32(b[1])<<16 | uint32(b[2])<<8 | uint32(b[3])
}
