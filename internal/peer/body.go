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

// replyBody is the response to a call.
type replyBody struct {
	Error string // empty on success
	Body  []byte
}

// openBody opens a lane and runs its first batch.
type openBody struct {
	Request txn.Request
	Batch   txn.Batch
}

// doneBody ends a batch. Data holds the response bytes not yet sent as lane data.
type doneBody struct {
	Result txn.Result
	Data   []byte
}

// creditBody returns flow-control credit to the sender of a lane's data.
type creditBody struct {
	Bytes int
}

// WireError is the encoded form of an outcome error between proxies.
type WireError struct {
	Unknown    bool
	Reason     outcome.Reason
	Detail     string
	RetryAfter time.Duration
	Sent       bool
}

// EncodeError returns the wire form of an outcome error. Errors of other types are
// encoded as unknown, so that the request is never retried automatically.
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

// Err returns the outcome error that w encodes.
func (w WireError) Err() error {
	if w.Unknown {
		return &outcome.UnknownError{Reason: w.Reason, Detail: w.Detail}
	}
	return &outcome.NotRunError{Reason: w.Reason, Detail: w.Detail, RetryAfter: w.RetryAfter, Sent: w.Sent}
}
