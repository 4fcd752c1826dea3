package home

import (
	"context"
	"errors"
	"strconv"
	"time"

	"egretroad/internal/backend"
	"egretroad/internal/catalogue"
	"egretroad/internal/outcome"
	"egretroad/internal/topology"
	"egretroad/internal/txn"
)

// adminConn is a server's connection for status queries and administrative steps,
// outside the pool. Concurrent queries run one after another.
type adminConn struct {
	options  backend.Options
	addr     string
	database string
	sem      chan struct{} // semaphore with one token, whose holder owns conn
	conn     *backend.Conn
}

func newAdminConn(options backend.Options, addr, database string) *adminConn {
	a := &adminConn{options: options, addr: addr, database: database, sem: make(chan struct{}, 1)}
	a.sem <- struct{}{}
	return a
}

// query runs a statement until the deadline of ctx, and connects first if there is no
// connection. A broken connection is closed; the next query opens a new one.
func (a *adminConn) query(ctx context.Context, sql string) (backend.Row, error) {
	select {
	case <-a.sem:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	defer func() { a.sem <- struct{}{} }()
	if a.conn == nil {
		conn, err := backend.Connect(ctx, a.options, a.addr, a.database)
		if err != nil {
			return nil, err
		}
		a.conn = conn
	}
	deadline, _ := ctx.Deadline()
	row, err := a.conn.Query(sql, deadline)
	var serverErr *backend.ServerError
	if err != nil && !errors.As(err, &serverErr) {
		a.conn.Close()
		a.conn = nil
	}
	return row, err
}

// close closes the connection after the query in progress has ended.
func (a *adminConn) close() {
	<-a.sem
	if a.conn != nil {
		a.conn.CloseGracefully()
		a.conn = nil
	}
	a.sem <- struct{}{}
}

// runAdmin runs an administrative step and returns the status after it.
func (s *server) runAdmin(ctx context.Context, r txn.AdminRequest) (topology.ServerStatus, error) {
	ctx, cancel := withDefaultTimeout(ctx, s.options.AdminTimeout)
	defer cancel()
	dropped := uint64(0)
	if sql := adminSQL(r); sql != "" {
		row, err := s.execAdmin(ctx, sql)
		if err != nil {
			return topology.ServerStatus{}, err
		}
		if r.Op == txn.AdminFollow && len(row) == 1 {
			dropped, _ = strconv.ParseUint(row[0], 10, 64)
		}
	}
	status, err := s.status.wait(ctx, nil)
	status.Dropped = dropped
	return status, err
}

// execAdmin runs an idempotent statement, and retries it once if the connection
// breaks before ctx ends.
func (s *server) execAdmin(ctx context.Context, sql string) (row backend.Row, err error) {
	const attempts = 2
	for range attempts {
		row, err = s.status.admin.query(ctx, sql)
		var serverErr *backend.ServerError
		if errors.As(err, &serverErr) {
			return nil, &outcome.FailedError{Code: serverErr.Code, Message: serverErr.Message}
		}
		if err == nil || ctx.Err() != nil {
			return row, err
		}
	}
	return nil, err
}

func adminSQL(r txn.AdminRequest) string {
	switch r.Op {
	case txn.AdminFence:
		return backend.SQLFence(r.Term)
	case txn.AdminPromote:
		return backend.SQLPromote(r.Term)
	case txn.AdminFollow:
		return backend.SQLFollow(r.Term, r.Primary)
	default:
		return ""
	}
}

// position returns the primary's log position, confirmed by a lease on the term or
// by a replica.
func (s *server) position(ctx context.Context) (topology.Mark, error) {
	status, err := s.status.wait(ctx, nil)
	if err != nil {
		return topology.Mark{}, s.positionError(outcome.ReasonMarkUnknown, "the position could not be read", err)
	}
	v := s.view.Load()
	if status.Role != topology.RolePrimary || status.Term < v.group.Term {
		return topology.Mark{}, s.positionError(outcome.ReasonNoPrimary, "the server is not the primary", nil)
	}
	mark := topology.Mark{Database: s.database, Term: status.Term, Position: status.Position}
	if s.deps.Authority.Held(s.database, status.Term) {
		return mark, nil
	}
	if err := s.deps.Authority.Confirm(ctx, mark, catalogue.ConfirmAny); err != nil {
		return topology.Mark{}, s.positionError(outcome.ReasonMarkUnknown, "the position could not be confirmed", err)
	}
	return mark, nil
}

func (s *server) positionError(reason outcome.Reason, detail string, cause error) error {
	return &outcome.NotRunError{Reason: reason, Detail: detail, Cause: cause}
}

// waitApplied waits until the server is in the term of m and has applied m's position.
func (s *server) waitApplied(ctx context.Context, m topology.Mark) (topology.ServerStatus, error) {
	applied := func(st topology.ServerStatus) bool { return st.Term == m.Term && st.Position >= m.Position }
	status, err := s.status.wait(ctx, applied)
	if err != nil {
		return status, &outcome.NotRunError{Reason: outcome.ReasonBehind, Detail: "server " + s.id + " has not applied the position", Cause: err}
	}
	return status, nil
}

func withDefaultTimeout(ctx context.Context, limit time.Duration) (context.Context, context.CancelFunc) {
	if _, bounded := ctx.Deadline(); bounded {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, limit)
}
