package peer

import (
	"errors"
	"time"

	"egretroad/internal/outcome"
	"egretroad/internal/txn"
)

// callBody is a unary call or a one-way message.
type callBody struct {
	Method  string
	Timeout time.Duration // time left; zero for one-way messages
	Body    []byte
}

// replyBody answers a call.
type replyBody struct {
	Error string // empty: the call succeeded
	Body  []byte
}

// openBody opens a lane and runs its first batch.
type openBody struct {
	Request txn.Request
	Batch   txn.Batch
}

// doneBody ends a batch. Data is the rest of the answer.
type doneBody struct {
	Result txn.Result
	Data   []byte
}

// creditBody allows the sender of a lane's data to send more.
type creditBody struct {
	Bytes int
}

// WireError is the form of an outcome error between proxies.
type WireError struct {
	Unknown    bool
	Reason     outcome.Reason
	Detail     string
	RetryAfter time.Duration
	Sent       bool
}

// EncodeError returns the wire form of an outcome error. An error of another
// type counts as unknown, which never allows a second run.
func EncodeError(err error) WireError {
	var notRun *outcome.NotRunError
	if errors.As(err, &notRun) {
		return WireError{Reason: notRun.Reason, Detail: notRun.Detail, RetryAfter: notRun.RetryAfter, Sent: notRun.Sent}
	}
	var unknown *outcome.UnknownError
	if errors.As(err, &unknown) {
		return WireError{Unknown: true, Reason: unknown.Reason, Detail: unknown.Detail}
	}
	return WireError{Unknown: true, Reason: outcome.ReasonUnavailable, Detail: err.Error()}
}

// Err returns the outcome error.
func (w WireError) Err() error {
	if w.Unknown {
		return &outcome.UnknownError{Reason: w.Reason, Detail: w.Detail}
	}
	return &outcome.NotRunError{Reason: w.Reason, Detail: w.Detail, RetryAfter: w.RetryAfter, Sent: w.Sent}
}
