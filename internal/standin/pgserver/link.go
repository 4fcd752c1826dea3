package pgserver

import (
	"net"
	"time"
)

// faultConn wraps a connection's socket with fault injection: it delays writes, and it
// stalls reads and writes while the network is cut or the connection is silent. It
// flushes the buffered responses before each read from the client.
type faultConn struct {
	net.Conn
	owner           *conn
	readDeadlineSet bool // setIdleDeadline must clear a read deadline outside a block
}

// Read flushes the buffered responses, then reads from the client.
func (f *faultConn) Read(p []byte) (int, error) {
	if err := f.owner.backend.Flush(); err != nil {
		return 0, err
	}
	f.setIdleDeadline()
	n, err := f.Conn.Read(p)
	if blockedErr := f.owner.awaitUnblocked(); blockedErr != nil {
		return 0, blockedErr
	}
	return n, err
}

// setIdleDeadline sets the read deadline to idle_in_transaction_session_timeout inside a
// transaction block and clears it outside.
func (f *faultConn) setIdleDeadline() {
	c := f.owner
	var limit time.Duration
	if c.inBlock {
		limit = c.settings.timeout(settingIdleInTxn)
	}
	if limit > 0 {
		_ = f.Conn.SetReadDeadline(time.Now().Add(limit))
		f.readDeadlineSet = true
	} else if f.readDeadlineSet {
		_ = f.Conn.SetReadDeadline(time.Time{})
		f.readDeadlineSet = false
	}
}

// Write sends to the client after the injected reply delay, once the connection is no
// longer stalled.
func (f *faultConn) Write(p []byte) (int, error) {
	_, responseDelay, _ := f.owner.server.injectedDelays()
	if responseDelay > 0 {
		if err := f.owner.sleepUninterruptible(responseDelay); err != nil {
			return 0, err
		}
	}
	if err := f.owner.awaitUnblocked(); err != nil {
		return 0, err
	}
	return f.Conn.Write(p)
}

// awaitUnblocked waits while the connection is silent or cut off by the network. It
// returns an error when the connection is closed, or after KeepAliveTimeout or, inside a
// transaction block, a shorter idle_in_transaction_session_timeout.
func (c *conn) awaitUnblocked() error {
	if !c.blocked() {
		return nil
	}
	limit := KeepAliveTimeout
	if idle := c.settings.timeout(settingIdleInTxn); c.inBlock && idle > 0 && idle < limit {
		limit = idle
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		changed := c.server.group.net.Changed()
		if !c.blocked() {
			return nil
		}
		select {
		case <-changed:
		case <-c.dropped:
			return &connectionLostError{reason: "dropped"}
		case <-timer.C:
			return &connectionLostError{reason: "keepalive"}
		}
	}
}

// blocked reports whether the connection is silent or the network cuts it off.
func (c *conn) blocked() bool {
	return c.silent.Load() || c.server.group.net.Blocked(c.clientIP, c.server.ip)
}

// sleepUninterruptible waits; cancel requests and the statement timeout do not end it.
func (c *conn) sleepUninterruptible(d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-c.dropped:
		return &connectionLostError{reason: "dropped"}
	}
}

// requestCancel interrupts the running statement, if there is one.
func (c *conn) requestCancel() {
	if !c.statementRunning.Load() {
		return
	}
	select {
	case c.cancelRequests <- struct{}{}:
	default:
	}
}

// startStatement discards a cancel request of an earlier statement and sets the deadline
// of the statement timeout.
func (c *conn) startStatement() {
	select {
	case <-c.cancelRequests:
	default:
	}
	c.statementDeadline = time.Time{}
	if limit := c.settings.timeout(settingStatementTimeout); limit > 0 {
		c.statementDeadline = time.Now().Add(limit)
	}
	c.statementRunning.Store(true)
}

func (c *conn) endStatement() { c.statementRunning.Store(false) }

// sleepInterruptible waits as part of the running statement, which a cancel request, the
// statement timeout or the end of the connection can interrupt.
func (c *conn) sleepInterruptible(d time.Duration) error {
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	return waitReceive(c, timer.C)
}

// waitClosed waits until done is closed, as part of the running statement.
func (c *conn) waitClosed(done <-chan struct{}) error {
	return waitReceive(c, done)
}

// waitReceive waits until done delivers a value or is closed, as part of the running
// statement.
func waitReceive[T any](c *conn, done <-chan T) error {
	return c.withStatementTimeout(func(timeout <-chan time.Time) error {
		select {
		case <-done:
			return nil
		case <-c.cancelRequests:
			return errCancelled
		case <-timeout:
			return errStatementTimeout
		case <-c.dropped:
			return &connectionLostError{reason: "dropped"}
		}
	})
}

// waitSend waits until tokens accepts a token, as part of the running statement.
func (c *conn) waitSend(tokens chan<- struct{}) error {
	return c.withStatementTimeout(func(timeout <-chan time.Time) error {
		select {
		case tokens <- struct{}{}:
			return nil
		case <-c.cancelRequests:
			return errCancelled
		case <-timeout:
			return errStatementTimeout
		case <-c.dropped:
			return &connectionLostError{reason: "dropped"}
		}
	})
}

// withStatementTimeout calls wait with a channel that fires at the statement's deadline,
// or with nil when the statement has none.
func (c *conn) withStatementTimeout(wait func(timeout <-chan time.Time) error) error {
	if c.statementDeadline.IsZero() {
		return wait(nil)
	}
	timer := time.NewTimer(time.Until(c.statementDeadline))
	defer timer.Stop()
	return wait(timer.C)
}

var (
	errCancelled        = &sqlError{code: codeCancelled, message: "canceling statement due to user request"}
	errStatementTimeout = &sqlError{code: codeCancelled, message: "canceling statement due to statement timeout"}
)
