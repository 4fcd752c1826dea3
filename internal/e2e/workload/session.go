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

// session is one connection of a caller to one proxy.
type session struct {
	conn  *pgx.Conn
	proxy string
	work  string // kind of work in force
}

// open connects to a proxy with a kind of work.
func (w *Workload) open(ctx context.Context, proxy, work string) (*session, error) {
	ctx, cancel := context.WithTimeout(ctx, w.options.OpTimeout)
	defer cancel()
	query := url.Values{"sslmode": {"disable"}, "egretroad.work": {work}}
	target := url.URL{
		Scheme:   "postgres",
		User:     url.User("caller"),
		Host:     proxy,
		Path:     "/" + w.options.Database,
		RawQuery: query.Encode(),
	}
	conn, err := pgx.Connect(ctx, target.String())
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

// use switches the session's kind of work.
func (s *session) use(ctx context.Context, work string) error {
	if s.work == work {
		return nil
	}
	if _, err := s.conn.Exec(ctx, "SET egretroad.work = '"+work+"'"); err != nil {
		return err
	}
	s.work = work
	return nil
}

// classify returns the outcome that an error tells its caller.
func classify(err error) (history.Outcome, string) {
	if err == nil {
		return history.OK, ""
	}
	var pgErr *pgconn.PgError
	var early *notCommittedError
	var late *commitError
	switch {
	case errors.As(err, &early):
		_, code := classify(early.cause)
		return history.NotRun, code
	case errors.As(err, &pgErr) && pgErr.Code == outcome.CodeNotRun:
		return history.NotRun, pgErr.Code + " " + pgErr.Message
	case errors.As(err, &pgErr) && pgErr.Code == outcome.CodeUnknown:
		return history.Unknown, pgErr.Code + " " + pgErr.Message
	case errors.As(err, &pgErr):
		return history.Failed, pgErr.Code
	case errors.Is(err, pgx.ErrTxCommitRollback):
		return history.Failed, "rollback"
	case errors.As(err, &late):
		return history.Unknown, err.Error()
	case pgconn.SafeToRetry(err):
		return history.NotRun, "not sent: " + err.Error()
	}
	return history.Unknown, err.Error()
}
