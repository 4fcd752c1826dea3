package pgserver

import (
	"net"
	"time"
)

// link is a connection's socket. Answers leave only when the input is drained;
// while the network is cut or the connection is silent, nothing passes.
type link struct {
	net.Conn
	conn    *conn
	pending bool // a read deadline is set
}

// Read sends what is buffered, then waits for the client.
func (l *link) Read(p []byte) (int, error) {
	if err := l.conn.backend.Flush(); err != nil {
		return 0, err
	}
	l.setIdleDeadline()
	n, err := l.Conn.Read(p)
	if gateErr := l.conn.gate(); gateErr != nil {
		return 0, gateErr
	}
	return n, err
}

// setIdleDeadline applies idle_in_transaction_session_timeout.
func (l *link) setIdleDeadline() {
	c := l.conn
	var limit time.Duration
	if c.block {
		limit = c.settings.timeout(settingIdleInTxn)
	}
	if limit > 0 {
		_ = l.Conn.SetReadDeadline(time.Now().Add(limit))
		l.pending = true
	} else if l.pending {
		_ = l.Conn.SetReadDeadline(time.Time{})
		l.pending = false
	}
}

// Write sends to the client once nothing holds it back.
func (l *link) Write(p []byte) (int, error) {
	_, reply, _ := l.conn.server.delays()
	if reply > 0 {
		if err := l.conn.pause(reply); err != nil {
			return 0, err
		}
	}
	if err := l.conn.gate(); err != nil {
		return 0, err
	}
	return l.Conn.Write(p)
}

// gate waits while the connection is silent or cut off. It returns an error
// when the connection ends, or has been held for KeepAlive or for the idle
// timeout of its open transaction.
func (c *conn) gate() error {
	if !c.held() {
		return nil
	}
	limit := KeepAlive
	if idle := c.settings.timeout(settingIdleInTxn); c.block && idle > 0 && idle < limit {
		limit = idle
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		changed := c.server.group.net.Changed()
		if !c.held() {
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

func (c *conn) held() bool {
	return c.silent.Load() || c.server.group.net.Blocked(c.peer, c.server.ip)
}

// pause waits without regard to cancel requests.
func (c *conn) pause(d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-c.dropped:
		return &connectionLostError{reason: "dropped"}
	}
}

// interruptStatement cancels the statement in progress, if there is one.
func (c *conn) interruptStatement() {
	if !c.busy.Load() {
		return
	}
	select {
	case c.interrupt <- struct{}{}:
	default:
	}
}

// startStatement arms the cancel request and the statement timeout.
func (c *conn) startStatement() {
	select {
	case <-c.interrupt:
	default:
	}
	c.deadline = time.Time{}
	if limit := c.settings.timeout(settingStatementTimeout); limit > 0 {
		c.deadline = time.Now().Add(limit)
	}
	c.busy.Store(true)
}

func (c *conn) endStatement() { c.busy.Store(false) }

// sleep waits as part of the running statement.
func (c *conn) sleep(d time.Duration) error {
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	return waitOn(c, timer.C)
}

// waitFor waits until done is closed, as part of the running statement.
func (c *conn) waitFor(done <-chan struct{}) error {
	return waitOn(c, done)
}

// waitOn waits until done yields or is closed, unless the statement is interrupted.
func waitOn[T any](c *conn, done <-chan T) error {
	return c.await(func(timeout <-chan time.Time) error {
		select {
		case <-done:
			return nil
		case <-c.interrupt:
			return errCancelled
		case <-timeout:
			return errStatementTimeout
		case <-c.dropped:
			return &connectionLostError{reason: "dropped"}
		}
	})
}

// waitSend waits until a token fits, as part of the running statement.
func (c *conn) waitSend(tokens chan<- struct{}) error {
	return c.await(func(timeout <-chan time.Time) error {
		select {
		case tokens <- struct{}{}:
			return nil
		case <-c.interrupt:
			return errCancelled
		case <-timeout:
			return errStatementTimeout
		case <-c.dropped:
			return &connectionLostError{reason: "dropped"}
		}
	})
}

// await runs a wait with the statement timeout, when one is set.
func (c *conn) await(wait func(timeout <-chan time.Time) error) error {
	if c.deadline.IsZero() {
		return wait(nil)
	}
	timer := time.NewTimer(time.Until(c.deadline))
	defer timer.Stop()
	return wait(timer.C)
}

var (
	errCancelled        = &sqlError{code: codeCancelled, message: "canceling statement due to user request"}
	errStatementTimeout = &sqlError{code: codeCancelled, message: "canceling statement due to statement timeout"}
)
