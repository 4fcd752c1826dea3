package gateway

import (
	"errors"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"egretroad/internal/catalogue"
	"egretroad/internal/outcome"
)

// SQLSTATEs of errors that originate in the gateway.
const (
	codeProtocol           = "08P01"
	codeUnsupported        = "0A000"
	codeInvalidValue       = "22023"
	codeActiveTxn          = "25001"
	codeReadOnly           = "25006"
	codeAborted            = "25P02"
	codeUnknownStatement   = "26000"
	codeInvalidAuth        = "28000"
	codeBadPassword        = "28P01"
	codeUnknownDatabase    = "3D000"
	codeDuplicateStatement = "42P05"
	codeUnknownSetting     = "42704"
	codeSyntax             = "42601"
	codeOutOfMemory        = "53200"
	codeTooManyConnections = "53300"
	codeLimitExceeded      = "53400"
	codeTooLarge           = "54000"
	codeCancelled          = "57014"
	codeShutdown           = "57P01"
	codeCannotConnect      = "57P03"
)

const (
	severityError = "ERROR"
	severityFatal = "FATAL"
)

// callerError is an error that the gateway itself reports to a caller.
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

// Values of the outcome field in an error's Detail.
const (
	outcomeNotRun  = "not_run"
	outcomeUnknown = "unknown"
)

// errorDetail formats the machine-readable Detail of an error: whether the request
// may be retried, the reason for the error, and the outcome of the request.
func errorDetail(retrySafe bool, reason outcome.Reason, outcomeName string) string {
	retrySafeText := "no"
	if retrySafe {
		retrySafeText = "yes"
	}
	return fmt.Sprintf("retry_safe=%s reason=%s outcome=%s", retrySafeText, reason, outcomeName)
}

// toCallerError converts the error of a request into the error that the caller gets.
func (g *Gateway) toCallerError(err error, e catalogue.Entry) *callerError {
	var callerErr *callerError
	var notRun *outcome.NotRunError
	var unknown *outcome.UnknownError
	switch {
	case errors.As(err, &callerErr):
		return callerErr
	case errors.As(err, &notRun):
		return g.notRunToCallerError(notRun)
	case errors.As(err, &unknown):
		return unknownToCallerError(unknown, e.Repeatable || e.Access == catalogue.AccessRead)
	default:
		return unknownToCallerError(&outcome.UnknownError{Reason: outcome.ReasonUnavailable, Detail: err.Error()}, false)
	}
}

func (g *Gateway) notRunToCallerError(e *outcome.NotRunError) *callerError {
	retryAfter := e.RetryAfter
	if retryAfter <= 0 {
		retryAfter = g.options.RetryAfterDefault
	}
	c := &callerError{
		Code:    outcome.CodeNotRun,
		Message: e.Error(),
		Detail:  errorDetail(true, e.Reason, outcomeNotRun),
		Hint:    fmt.Sprintf("The request did not run. Send it again after %d ms (retry_after_ms=%d).", retryAfter.Milliseconds(), retryAfter.Milliseconds()),
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

func unknownToCallerError(e *outcome.UnknownError, retrySafe bool) *callerError {
	c := &callerError{
		Code:    outcome.CodeUnknown,
		Message: e.Error(),
		Detail:  errorDetail(retrySafe, e.Reason, outcomeUnknown),
		Hint:    "The request may have taken effect. Read the data it changes before you send it again.",
	}
	if retrySafe {
		c.Hint = "The kind of work is repeatable: the request can be sent again."
	}
	return c
}

func unsupportedError(feature *unsupportedFeature) error {
	return &callerError{Code: codeUnsupported, Message: feature.Name + " is not supported through egretroad", Hint: feature.Hint}
}

func protocolError(err error) *callerError {
	c := &callerError{Code: codeProtocol, Message: "protocol error: " + err.Error(), Fatal: true}
	var tooLarge *messageTooLargeError
	var memoryErr *memoryError
	switch {
	case errors.As(err, &tooLarge):
		c.Code = codeTooLarge
		c.Message = tooLarge.Error()
		c.Hint = "Send less data in one statement."
	case errors.As(err, &memoryErr):
		c.Code = codeOutOfMemory
		c.Message = memoryErr.Error()
		c.Detail = errorDetail(true, outcome.ReasonMemory, outcomeNotRun)
		c.Hint = "Send it again later, or in smaller parts."
	}
	return c
}

var errTxnAborted = &callerError{
	Code:    codeAborted,
	Message: "current transaction is aborted, commands ignored until end of transaction block",
	Hint:    "Send ROLLBACK.",
}

// errShuttingDown tells a caller to reconnect to another proxy. It is sent only
// while the session has no request in progress.
var errShuttingDown = &callerError{
	Code:    codeShutdown,
	Message: "terminating connection: this proxy is shutting down",
	Detail:  errorDetail(true, outcome.ReasonShuttingDown, outcomeNotRun),
	Hint:    "Connect again, to another proxy, and send the request there.",
	Fatal:   true,
}

var errNotAccepting = &callerError{
	Code:    codeCannotConnect,
	Message: "this proxy is shutting down",
	Hint:    "Connect to another proxy.",
	Fatal:   true,
}

var errTooManyConnections = &callerError{
	Code:    codeTooManyConnections,
	Message: "this proxy has as many connections as it may",
	Hint:    "Connect to another proxy, or close idle connections.",
	Fatal:   true,
}

// DrainError reports sessions that were still open when the context of a drain ended.
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

// ServeError reports a permanent failure of a listener.
type ServeError struct{ Cause error }

func (e *ServeError) Error() string { return fmt.Sprintf("accepting callers: %v", e.Cause) }

// Unwrap returns the cause.
func (e *ServeError) Unwrap() error { return e.Cause }
