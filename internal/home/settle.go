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

// Bounds on the pause between two look-ups of a transaction in progress.
const (
	lookUpMin = 5 * time.Millisecond
	lookUpMax = 200 * time.Millisecond
)

// committedError says that a broken commit is known to have taken effect. It
// does not leave the package.
type committedError struct{ unknown *outcome.UnknownError }

func (e *committedError) Error() string { return "committed: " + e.unknown.Error() }

// Unwrap returns the outcome without the look-up.
func (e *committedError) Unwrap() error { return e.unknown }

// lookUp asks the server for a transaction's status until it is final. It
// returns "" when that cannot be found out in time, or when the server is no
// longer the primary of the term, as its log may have lost a tail since.
func (s *server) lookUp(xid, term uint64) string {
	ctx, cancel := context.WithTimeout(context.Background(), s.options.SettleTimeout)
	defer cancel()
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = lookUpMin, lookUpMax
	for ctx.Err() == nil {
		if status, final := s.lookUpOnce(ctx, xid, term); final {
			return status
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause.NextBackOff()):
		}
	}
	return ""
}

// lookUpOnce asks once, within the time of a status query.
func (s *server) lookUpOnce(ctx context.Context, xid, term uint64) (status string, final bool) {
	ctx, cancel := context.WithTimeout(ctx, s.options.StatusTimeout)
	defer cancel()
	row, err := s.status.admin.query(ctx, backend.SQLXactStatus(xid))
	var refused *backend.ServerError
	if errors.As(err, &refused) {
		return "", true
	}
	if err != nil || len(row) != 1 || row[0] == xactInProgress {
		return "", false
	}
	// The answer counts if the server still is the primary of the term.
	current, err := s.status.wait(ctx, nil)
	if err != nil {
		return "", false
	}
	if current.Term != term || current.Role == topology.RoleReplica {
		return "", true
	}
	return row[0], true
}

// concludeSettled delivers the answer of a commit that broke and was found to
// have taken effect.
func (x *exchange) concludeSettled(found *committedError) (txn.Result, error) {
	if !x.completeAnswer() {
		return txn.Result{}, found.unknown
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.ctx), x.l.s.options.ConfirmTimeout)
	defer cancel()
	status, err := x.l.s.status.wait(ctx, nil)
	if err != nil {
		return txn.Result{}, found.unknown
	}
	mark, err := x.confirm(status)
	if err != nil {
		return txn.Result{}, err
	}
	x.l.txStatus = 'I'
	if err := x.answer.flush(); err != nil {
		return txn.Result{}, x.l.failed(outcome.ReasonCancelled, "the caller stopped reading", err, true)
	}
	return txn.Result{TxStatus: 'I', Mark: mark, Status: status}, nil
}

// completeAnswer reports whether the caller's whole answer is there. That of a
// hidden transaction came before the commit was sent; that of a lone COMMIT is
// known without the server.
func (x *exchange) completeAnswer() bool {
	if x.answer.failed {
		return false
	}
	if len(x.expected) == 0 {
		return x.answer.completed
	}
	if !isLoneCommit(x.b) {
		return false
	}
	for _, e := range x.expected {
		if !x.completeOne(e) {
			return false
		}
	}
	x.expected = nil
	return true
}

var (
	bindComplete  = []byte{'2', 0, 0, 0, 4}
	commitMessage = []byte{'C', 0, 0, 0, 11, 'C', 'O', 'M', 'M', 'I', 'T', 0}
)

// completeOne adds one outstanding answer to a COMMIT.
func (x *exchange) completeOne(e expected) bool {
	switch e.kind {
	case answerParse:
		if !e.hidden {
			x.answer.add(parseComplete)
		}
	case answerBind:
		x.answer.add(bindComplete)
	case answerClose:
		if !e.hidden {
			x.answer.add(closeComplete)
		}
	case answerExecute, answerReady:
		if !x.answer.completed {
			x.answer.addCompletion(commitMessage)
		}
	default:
		return false
	}
	return true
}
