package broker

import (
	"context"
	"errors"
	"time"

	"egretroad/internal/clock"
	"egretroad/internal/coalesce"
	"egretroad/internal/statement"
)

// adminConn is the connection to a server for proofs that it is the primary, which
// occupy no slot, and for queries of the replication status. Its users are serialized.
type adminConn struct {
	server *server
	lock   chan struct{} // holds one token; whoever has received it owns conn
	conn   Conn
	usedAt time.Duration // when conn was used last, on CLOCK_BOOTTIME
	proofs coalesce.Group[string, Proof]
}

func newAdminConn(s *server) *adminConn {
	a := &adminConn{server: s, lock: make(chan struct{}, 1)}
	a.lock <- struct{}{}
	return a
}

// withConn runs f on the connection. If the connection breaks before the time-out, it
// runs f once more on a new one.
func (a *adminConn) withConn(ctx context.Context, f func(c Conn, deadline time.Time) error) error {
	select {
	case <-a.lock:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { a.lock <- struct{}{} }()
	sentAt := clock.Boottime()
	ctx, cancel := context.WithTimeout(ctx, a.server.options.ProbeTimeout)
	defer cancel()
	deadline, _ := ctx.Deadline()
	a.usedAt = sentAt
	err := a.attempt(ctx, deadline, f)
	var broken *BrokenError
	if errors.As(err, &broken) && !broken.Timeout {
		err = a.attempt(ctx, deadline, f)
	}
	a.server.recordResponse(sentAt, err)
	return err
}

func (a *adminConn) attempt(ctx context.Context, deadline time.Time, f func(c Conn, deadline time.Time) error) error {
	if a.conn == nil {
		conn, err := a.server.connector.Connect(ctx, a.server.database, a.server.spec)
		if err != nil {
			return err
		}
		a.conn = conn
	}
	err := f(a.conn, deadline)
	var refused *RefusedError
	if err != nil && !errors.As(err, &refused) {
		a.conn.Close()
		a.conn = nil
	}
	return err
}

// provePrimary proves that the server is the primary: it begins a read-write
// transaction, which only the primary accepts, and rolls it back. Concurrent callers
// share one request.
func (a *adminConn) provePrimary(ctx context.Context) (Proof, error) {
	return a.proofs.Do(ctx, "", func() (Proof, error) {
		var sentAt time.Duration
		var proof Proof
		ctx, cancel := context.WithTimeout(a.server.ctx, 2*a.server.options.ProbeTimeout)
		defer cancel()
		err := a.withConn(ctx, func(c Conn, deadline time.Time) error {
			sentAt = clock.Boottime()
			replies, err := c.Run(deadline, proxyCommand(statement.Begin))
			if err != nil {
				return err
			}
			if !replies[0].OK() {
				return &RefusedError{Code: replies[0].Code, Detail: replies[0].Detail}
			}
			proof.Mark = replies[0].Mark
			_, err = c.Run(deadline, proxyCommand(statement.Rollback))
			return err
		})
		if err != nil {
			return Proof{}, err
		}
		if err := a.server.guard.Permit(ctx, a.server.database, a.server.spec.ID); err != nil {
			return Proof{}, &NotPermittedError{Server: a.server.spec.ID, Cause: err}
		}
		a.server.health.recordProof(proof, sentAt)
		proof.Age = clock.Boottime() - sentAt
		return proof, nil
	})
}

// ping checks that the server responds, without occupying a slot.
func (a *adminConn) ping(ctx context.Context) error {
	return a.withConn(ctx, func(c Conn, deadline time.Time) error {
		_, err := c.Run(deadline, proxyCommand(statement.BeginRead))
		if err != nil {
			return err
		}
		_, err = c.Run(deadline, proxyCommand(statement.Rollback))
		return err
	})
}

func (a *adminConn) replicationStatus(ctx context.Context) (ReplicationStatus, error) {
	var status ReplicationStatus
	err := a.withConn(ctx, func(c Conn, deadline time.Time) (err error) {
		status, err = c.ReplicationStatus(deadline)
		return err
	})
	return status, err
}

// stepDown makes the server a replica if it is the primary of a lower term.
func (a *adminConn) stepDown(ctx context.Context, term uint64) (ReplicationStatus, error) {
	var status ReplicationStatus
	err := a.withConn(ctx, func(c Conn, deadline time.Time) (err error) {
		status, err = c.StepDown(deadline, term)
		return err
	})
	return status, err
}

// closeIdle closes the connection if nobody uses it and it was last used before the
// given time.
func (a *adminConn) closeIdle(usedBefore time.Duration) {
	select {
	case <-a.lock:
	default:
		return
	}
	if a.conn != nil && a.usedAt < usedBefore {
		a.conn.Close()
		a.conn = nil
	}
	a.lock <- struct{}{}
}

// close closes the connection in the background once its current user is done.
func (a *adminConn) close() {
	go func() {
		<-a.lock
		if a.conn != nil {
			a.conn.Close()
			a.conn = nil
		}
		a.lock <- struct{}{}
	}()
}

// proxyCommand returns a command that the proxy issues itself.
func proxyCommand(verb statement.Verb) statement.Command {
	return statement.Command{Statement: statement.Statement{Verb: verb}}
}
