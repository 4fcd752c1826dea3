package home

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"

	"egretroad/internal/backend"
	"egretroad/internal/outcome"
	"egretroad/internal/topology"
	"egretroad/internal/txn"
)

// Bounds on the back-off between two status queries for a transaction in progress.
const (
	minPollBackoff = 5 * time.Millisecond
	maxPollBackoff = 200 * time.Millisecond
)

// resolvedCommitError reports that the connection broke during a commit, and that the
// server confirmed afterwards that the commit took effect. It is internal to the
// package.
type resolvedCommitError struct{ unknown *outcome.UnknownError }

func (e *resolvedCommitError) Error() string { return "committed: " + e.unknown.Error() }

// Unwrap returns the outcome that applies without the server's confirmation.
func (e *resolvedCommitError) Unwrap() error { return e.unknown }

// pollTransactionStatus queries a transaction's status until it is final. It returns
// "" when the status cannot be determined within ResolveTimeout, or when the server
// is no longer the primary of the term: the tail of its log may have been dropped.
func (s *server) pollTransactionStatus(xid, term uint64) string {
	ctx, cancel := context.WithTimeout(context.Background(), s.options.ResolveTimeout)
	defer cancel()
	retryBackoff := backoff.NewExponentialBackOff()
	retryBackoff.InitialInterval, retryBackoff.MaxInterval = minPollBackoff, maxPollBackoff
	for ctx.Err() == nil {
		if status, final := s.queryTransactionStatus(ctx, xid, term); final {
			return status
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryBackoff.NextBackOff()):
		}
	}
	return ""
}

// queryTransactionStatus queries the status once, within StatusTimeout. final is
// false when the query should be repeated.
func (s *server) queryTransactionStatus(ctx context.Context, xid, term uint64) (status string, final bool) {
	ctx, cancel := context.WithTimeout(ctx, s.options.StatusTimeout)
	defer cancel()
	row, err := s.status.admin.query(ctx, backend.SQLXactStatus(xid))
	var serverErr *backend.ServerError
	if errors.As(err, &serverErr) {
		return "", true
	}
	if err != nil || len(row) != 1 || row[0] == xactInProgress {
		return "", false
	}
	// The result is valid only if the server is still the primary of the term.
	current, err := s.status.wait(ctx, nil)
	if err != nil {
		return "", false
	}
	if current.Term != term || current.Role == topology.RoleReplica {
		return "", true
	}
	return row[0], true
}

// finishResolved confirms the write and delivers the response of a transaction whose
// connection broke during the commit and which the server reports as committed.
func (x *exchange) finishResolved(resolved *resolvedCommitError) (txn.Result, error) {
	if !x.completeResponse() {
		return txn.Result{}, resolved.unknown
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.ctx), x.lane.server.options.ConfirmTimeout)
	defer cancel()
	status, err := x.lane.server.status.wait(ctx, nil)
	if err != nil {
		return txn.Result{}, resolved.unknown
	}
	mark, err := x.confirmWrite(status)
	if err != nil {
		return txn.Result{}, err
	}
	x.lane.txStatus = 'I'
	if err := x.response.flush(); err != nil {
		return txn.Result{}, x.lane.batchError(outcome.ReasonCancelled, "the caller stopped reading", err, true)
	}
	return txn.Result{TxStatus: 'I', Mark: mark, Status: status}, nil
}

// completeResponse completes the response to the caller and reports whether it is
// whole. A statement in a hidden transaction received its response before the commit
// was sent; the response to a batch with only a COMMIT is generated here.
func (x *exchange) completeResponse() bool {
	if x.response.failed {
		return false
	}
	if len(x.expected) == 0 {
		return x.response.completed
	}
	if !isOnlyCommit(x.batch) {
		return false
	}
	for _, e := range x.expected {
		if !x.completeExpected(e) {
			return false
		}
	}
	x.expected = nil
	return true
}

var (
	bindComplete   = []byte{'2', 0, 0, 0, 4}
	commitComplete = []byte{'C', 0, 0, 0, 11, 'C', 'O', 'M', 'M', 'I', 'T', 0}
)

// completeExpected generates one outstanding response to a COMMIT.
func (x *exchange) completeExpected(e expectedResponse) bool {
	switch e.kind {
	case responseParse:
		if !e.hidden {
			x.response.add(parseComplete)
		}
	case responseBind:
		x.response.add(bindComplete)
	case responseClose:
		if !e.hidden {
			x.response.add(closeComplete)
		}
	case responseExecute, responseReady:
		if !x.response.completed {
			x.response.addCompletion(commitComplete)
		}
	default:
		return false
	}
	return true
}
