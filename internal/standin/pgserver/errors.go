package pgserver

import (
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"
)

// SQLSTATE codes of the errors and warnings that the servers return.
const (
	codeSyntax             = "42601"
	codeUnknownSetting     = "42704"
	codeReadOnly           = "25006"
	codeTransactionAborted = "25P02"
	codeActiveTransaction  = "25001"
	codeIdleInTransaction  = "25P03"
	codeDuplicateKey       = "23505"
	codeNotNull            = "23502"
	codeCancelled          = "57014"
	codeShutdown           = "57P01"
	codeTooManyConnections = "53300"
	codeUnknownDatabase    = "3D000"
	codeDeadlock           = "40P01"
	codeSerialization      = "40001"
	codeInvalidState       = "55000"
	codeCannotConnect      = "08001"
	codeProtocol           = "08P01"
	codeInvalidValue       = "22023"
	codeInvalidText        = "22P02"
	codeUnknownStatement   = "26000"
	codeDuplicateStatement = "42P05"
	codeUnknownPortal      = "34000"
)

// sqlError is an error that is sent to the client as an ErrorResponse; fatal ones end the
// connection.
type sqlError struct {
	code    string
	message string
	fatal   bool
}

func (e *sqlError) Error() string { return fmt.Sprintf("SQLSTATE %s: %s", e.code, e.message) }

func (e *sqlError) response() *pgproto3.ErrorResponse {
	severity := "ERROR"
	if e.fatal {
		severity = "FATAL"
	}
	return &pgproto3.ErrorResponse{
		Severity:            severity,
		SeverityUnlocalized: severity,
		Code:                e.code,
		Message:             e.message,
	}
}

// errRoleChanged is returned for statements of a transaction that a fence or demotion has
// aborted.
var errRoleChanged = &sqlError{code: codeSerialization, message: "the server's role changed during the transaction"}

// connectionLostError ends a connection without a further response to the client.
type connectionLostError struct{ reason string }

func (e *connectionLostError) Error() string { return "connection lost: " + e.reason }
