// Package outcome defines the error types for the three ways a request can fail, and
// the SQLSTATEs that callers receive:
//   - not run (NotRunError): no statement took effect; a retry is safe.
//   - failed (FailedError): the server returned an error.
//   - unknown (UnknownError): the connection broke after a commit may have been sent.
package outcome

import (
	"errors"
	"fmt"
	"time"
)

// SQLSTATEs of errors raised by the proxy. The SQL standard leaves classes that start
// with R to implementations.
const (
	CodeNotRun  = "R0001"
	CodeUnknown = "R0003"
)

// Reason is a stable identifier of why a request ended as it did. It appears in
// messages to callers, log lines and metric labels.
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

// NotRunError reports a request of which no statement took effect: nothing was sent to
// a server, or what was sent is known to be rolled back. A retry is safe.
type NotRunError struct {
	Reason     Reason
	Detail     string
	RetryAfter time.Duration // zero: no hint
	// Sent reports that a statement may have reached a server in a transaction that is
	// known to be rolled back. The proxies then retry only repeatable requests.
	Sent  bool
	Cause error
}

func (e *NotRunError) Error() string {
	return fmt.Sprintf("not run: %s: %s", e.Reason, e.Detail)
}

// Unwrap returns the cause unless the cause has an outcome of its own.
func (e *NotRunError) Unwrap() error { return withoutOutcome(e.Cause) }

// UnknownError reports a request that may or may not have taken effect. A retry is safe
// only if the request is repeatable (idempotent).
type UnknownError struct {
	Reason Reason
	Detail string
	Cause  error
}

func (e *UnknownError) Error() string {
	return fmt.Sprintf("outcome unknown: %s: %s", e.Reason, e.Detail)
}

// Unwrap returns the cause unless the cause has an outcome of its own.
func (e *UnknownError) Unwrap() error { return withoutOutcome(e.Cause) }

// withoutOutcome hides a cause that contains another outcome, so that errors.As finds
// only the outermost one: a commit whose confirmation by replicas did not run is
// unknown, not "not run".
func withoutOutcome(cause error) error {
	var notRun *NotRunError
	var unknown *UnknownError
	if errors.As(cause, &notRun) || errors.As(cause, &unknown) {
		return nil
	}
	return cause
}

// FailedError reports an error returned by a server outside the message stream, for
// example to an administrative query.
type FailedError struct {
	Code    string // the server's SQLSTATE
	Message string
}

func (e *FailedError) Error() string {
	return fmt.Sprintf("failed: SQLSTATE %s: %s", e.Code, e.Message)
}
