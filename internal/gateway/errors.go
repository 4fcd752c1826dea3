package gateway

import (
	"errors"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"egretroad/internal/catalogue"
	"egretroad/internal/outcome"
)

// SQLSTATEs that the gateway sends of its own.
const (
	codeProtocol       = "08P01"
	codeUnsupported    = "0A000"
	codeInvalidValue   = "22023"
	codeActiveTxn      = "25001"
	codeReadOnly       = "25006"
	codeAborted        = "25P02"
	codeNoStatement    = "26000"
	codeInvalidAuth    = "28000"
	codeBadPassword    = "28P01"
	codeNoDatabase     = "3D000"
	codeDuplicate      = "42P05"
	codeUnknownSetting = "42704"
	codeSyntax         = "42601"
	codeOutOfMemory    = "53200"
	codeTooMany        = "53300"
	codeLimit          = "53400"
	codeTooLarge       = "54000"
	codeCancelled      = "57014"
	codeShutdown       = "57P01"
	codeCannotConnect  = "57P03"
)

const (
	severityError = "ERROR"
	severityFatal = "FATAL"
)

// callerError is an error of the gateway's own that a caller sees.
type callerError struct {
	Code    string // SQLSTATE
	Message string
	Detail  string
	Hint    string
	Fatal   bool // the connection ends
}

func (e *callerError) Error() string { return fmt.Sprintf("SQLSTATE %s: %s", e.Code, e.Message) }

func (e *callerError) response() *pgproto3.ErrorResponse {
	severity := severityError
	if e.Fatal {
		severity = severityFatal
	}
	return &pgproto3.ErrorResponse{
		Severity: severity, SeverityUnlocalized: severity,
		Code: e.Code, Message: e.Message, Detail: e.Detail, Hint: e.Hint,
	}
}

// Outcomes as Detail names them.
const (
	outcomeNotRun  = "not_run"
	outcomeUnknown = "unknown"
)

// detail is the stable part of an error: whether the request may be sent again,
// why, and which outcome it had.
func detail(retrySafe bool, reason outcome.Reason, result string) string {
	safe := "no"
	if retrySafe {
		safe = "yes"
	}
	return fmt.Sprintf("retry_safe=%s reason=%s outcome=%s", safe, reason, result)
}

// describe converts the error of a request into what the caller sees.
func (g *Gateway) describe(err error, e catalogue.Entry) *callerError {
	var own *callerError
	var notRun *outcome.NotRunError
	var unknown *outcome.UnknownError
	switch {
	case errors.As(err, &own):
		return own
	case errors.As(err, &notRun):
		return g.describeNotRun(notRun)
	case errors.As(err, &unknown):
		return describeUnknown(unknown, e.Repeatable || e.Access == catalogue.AccessRead)
	default:
		return describeUnknown(&outcome.UnknownError{Reason: outcome.ReasonUnavailable, Detail: err.Error()}, false)
	}
}

func (g *Gateway) describeNotRun(e *outcome.NotRunError) *callerError {
	after := e.RetryAfter
	if after <= 0 {
		after = g.options.RetryAfterDefault
	}
	c := &callerError{
		Code:    outcome.CodeNotRun,
		Message: e.Error(),
		Detail:  detail(true, e.Reason, outcomeNotRun),
		Hint:    fmt.Sprintf("The request did not run. Send it again after %d ms (retry_after_ms=%d).", after.Milliseconds(), after.Milliseconds()),
	}
	switch e.Reason {
	case outcome.ReasonCancelled:
		c.Code = codeCancelled
		c.Message = "canceling statement due to user request"
	case outcome.ReasonMarkLost:
		c.Hint = "A change of primary dropped an earlier write of this session. Check it, send it again if it is gone, then go on."
	}
	return c
}

func describeUnknown(e *outcome.UnknownError, retrySafe bool) *callerError {
	c := &callerError{
		Code:    outcome.CodeUnknown,
		Message: e.Error(),
		Detail:  detail(retrySafe, e.Reason, outcomeUnknown),
		Hint:    "The request may have taken effect. Read the data it changes before you send it again.",
	}
	if retrySafe {
		c.Hint = "The kind of work is repeatable: the request can be sent again."
	}
	return c
}

func errUnsupported(r *refusal) error {
	return &callerError{Code: codeUnsupported, Message: r.What + " is not supported through egretroad", Hint: r.Hint}
}

func errProtocol(err error) *callerError {
	c := &callerError{Code: codeProtocol, Message: "protocol error: " + err.Error(), Fatal: true}
	var large *messageTooLargeError
	var memory *memoryError
	switch {
	case errors.As(err, &large):
		c.Code = codeTooLarge
		c.Message = large.Error()
		c.Hint = "Send less data in one statement."
	case errors.As(err, &memory):
		c.Code = codeOutOfMemory
		c.Message = memory.Error()
		c.Detail = detail(true, outcome.ReasonMemory, outcomeNotRun)
		c.Hint = "Send it again later, or in smaller parts."
	}
	return c
}

var errAborted = &callerError{
	Code:    codeAborted,
	Message: "current transaction is aborted, commands ignored until end of transaction block",
	Hint:    "Send ROLLBACK.",
}

// errShutdown tells a caller to go to another proxy. Nothing of it is running.
var errShutdown = &callerError{
	Code:    codeShutdown,
	Message: "terminating connection: this proxy is shutting down",
	Detail:  detail(true, outcome.ReasonShuttingDown, outcomeNotRun),
	Hint:    "Connect again, to another proxy, and send the request there.",
	Fatal:   true,
}

var errStarting = &callerError{
	Code:    codeCannotConnect,
	Message: "this proxy is shutting down",
	Hint:    "Connect to another proxy.",
	Fatal:   true,
}

var errTooManyConnections = &callerError{
	Code:    codeTooMany,
	Message: "this proxy has as many connections as it may",
	Hint:    "Connect to another proxy, or close idle connections.",
	Fatal:   true,
}

// DrainError reports sessions that were still at work when a drain's time ended.
type DrainError struct {
	Sessions int
	Waited   time.Duration
	Cause    error
}

func (e *DrainError) Error() string {
	return fmt.Sprintf("drain ended after %s with %d sessions still at work: %v", e.Waited, e.Sessions, e.Cause)
}

// Unwrap returns the cause.
func (e *DrainError) Unwrap() error { return e.Cause }

// ServeError reports a listener that failed.
type ServeError struct{ Cause error }

func (e *ServeError) Error() string { return fmt.Sprintf("accepting callers: %v", e.Cause) }

// Unwrap returns the cause.
func (e *ServeError) Unwrap() error { return e.Cause }
