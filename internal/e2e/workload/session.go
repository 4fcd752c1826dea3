package workload

import (
	"context"
	"errors"
	"net/url"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"egretroad/internal/e2e/history"
	"egretroad/internal/outcome"
)

// session is a connection of a caller to a proxy.
type session struct {
	conn  *pgx.Conn
	proxy string
	work  string // current kind of work
}

// connect opens a session on a proxy with the given kind of work.
func (w *Workload) connect(ctx context.Context, proxy, work string) (*session, error) {
	ctx, cancel := context.WithTimeout(ctx, w.options.OpTimeout)
	defer cancel()
	query := url.Values{"sslmode": {"disable"}, "egretroad.work": {work}}
	proxyURL := url.URL{
		Scheme:   "postgres",
		User:     url.User("caller"),
		Host:     proxy,
		Path:     "/" + w.options.Database,
		RawQuery: query.Encode(),
	}
	conn, err := pgx.Connect(ctx, proxyURL.String())
	if err != nil {
		w.counts.ConnectFailed.Add(1)
		return nil, err
	}
	return &session{conn: conn, proxy: proxy, work: work}, nil
}

func (s *session) close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	_ = s.conn.Close(ctx)
}

// setWork changes the kind of work of the session, unless it is current already.
func (s *session) setWork(ctx context.Context, work string) error {
	if s.work == work {
		return nil
	}
	if _, err := s.conn.Exec(ctx, "SET egretroad.work = '"+work+"'"); err != nil {
		return err
	}
	s.work = work
	return nil
}

// classify returns the outcome that an error reports to the caller, and its SQLSTATE
// or text.
func classify(err error) (history.Outcome, string) {
	if err == nil {
		return history.OK, ""
	}
	var pgErr *pgconn.PgError
	var notCommitted *notCommittedError
	var commitFailed *commitError
	switch {
	case errors.As(err, &notCommitted):
		_, code := classify(notCommitted.cause)
		return history.NotRun, code
	case errors.As(err, &pgErr) && pgErr.Code == outcome.CodeNotRun:
		return history.NotRun, pgErr.Code + " " + pgErr.Message
	case errors.As(err, &pgErr) && pgErr.Code == outcome.CodeUnknown:
		return history.Unknown, pgErr.Code + " " + pgErr.Message
	case errors.As(err, &pgErr):
		return history.Failed, pgErr.Code
	case errors.Is(err, pgx.ErrTxCommitRollback):
		return history.Failed, "rollback"
	case errors.As(err, &commitFailed):
		return history.Unknown, err.Error()
	case pgconn.SafeToRetry(err):
		return history.NotRun, "not sent: " + err.Error()
	}
	return history.Unknown, err.Error()
}
