// Package outcome defines the three ways in which a request can end badly, with
// their SQLSTATEs. Not run: the server never saw it. Failed: the server's own
// error. Unknown: the connection broke after a commit may have been sent.
package outcome

import (
	"errors"
	"fmt"
	"time"
)

// SQLSTATEs of the proxy's own outcomes. Classes that start with R are left by
// the SQL standard to implementations.
const (
	CodeNotRun  = "R0001"
	CodeUnknown = "R0003"
)

// Reason is a stable word that says why a request ended as it did.
type Reason string

// Reasons.
const (
	ReasonQueueFull     Reason = "queue_full"
	ReasonDeadline      Reason = "deadline"
	ReasonRateLimit     Reason = "rate_limit"
	ReasonConcurrency   Reason = "concurrency_limit"
	ReasonNoPrimary     Reason = "no_primary"
	ReasonNoServer      Reason = "no_server"
	ReasonBehind        Reason = "replica_behind"
	ReasonNotHome       Reason = "not_home"
	ReasonHomeLost      Reason = "home_lost"
	ReasonLeaving       Reason = "server_leaving"
	ReasonShuttingDown  Reason = "shutting_down"
	ReasonCancelled     Reason = "cancelled"
	ReasonConnect       Reason = "connect_failed"
	ReasonConnLost      Reason = "connection_lost"
	ReasonReplaced      Reason = "primary_replaced"
	ReasonUnconfirmed   Reason = "not_confirmed"
	ReasonUnknownWork   Reason = "unknown_work"
	ReasonIdleInTxn     Reason = "idle_in_transaction"
	ReasonMarkUnknown   Reason = "mark_unknown"
	ReasonMarkLost      Reason = "mark_lost"
	ReasonTxnAborted    Reason = "transaction_aborted"
	ReasonRetryBudget   Reason = "retry_budget"
	ReasonMemory        Reason = "memory_limit"
	ReasonUnavailable   Reason = "unavailable"
	ReasonStatementTime Reason = "statement_timeout"
)

// NotRunError reports a request of which no statement took effect: nothing was
// sent to a server, or what was sent is known to be rolled back. Sending it
// again is safe.
type NotRunError struct {
	Reason     Reason
	Detail     string
	RetryAfter time.Duration // zero: no hint
	// Sent says that a statement may have reached a server, in a transaction that
	// is known to be rolled back. The proxies send only repeatable work again then.
	Sent  bool
	Cause error
}

func (e *NotRunError) Error() string {
	return fmt.Sprintf("not run: %s: %s", e.Reason, e.Detail)
}

// Unwrap returns the cause, but for a cause with an outcome of its own.
func (e *NotRunError) Unwrap() error { return withoutOutcome(e.Cause) }

// UnknownError reports a request that may or may not have taken effect. Sending
// it again is safe only for repeatable work.
type UnknownError struct {
	Reason Reason
	Detail string
	Cause  error
}

func (e *UnknownError) Error() string {
	return fmt.Sprintf("outcome unknown: %s: %s", e.Reason, e.Detail)
}

// Unwrap returns the cause, but for a cause with an outcome of its own.
func (e *UnknownError) Unwrap() error { return withoutOutcome(e.Cause) }

// withoutOutcome hides a cause that holds another outcome, so that errors.As
// finds the outermost outcome only: a commit whose confirmation could not run is
// unknown, not "not run".
func withoutOutcome(cause error) error {
	var notRun *NotRunError
	var unknown *UnknownError
	if errors.As(cause, &notRun) || errors.As(cause, &unknown) {
		return nil
	}
	return cause
}

// FailedError reports a server's own error outside the message stream, for
// example on an administrative query.
type FailedError struct {
	Code    string // the server's SQLSTATE
	Message string
}

func (e *FailedError) Error() string {
	return fmt.Sprintf("failed: SQLSTATE %s: %s", e.Code, e.Message)
}
