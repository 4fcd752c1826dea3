package backend

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"

	"github.com/jackc/pgx/v5/pgconn"
)

// SQLSTATEs of servers that the proxy handles specially.
const (
	CodeTooManyConnections = "53300"
	CodeQueryCancelled     = "57014"
)

// Causes of a failed connection or query, as in reducer.ServerObserved.Err and in log
// lines.
const (
	CauseRefused            = "refused"
	CauseTimeout            = "timeout"
	CauseReset              = "reset"
	CauseTooManyConnections = "too_many_connections"
	CauseAuthentication     = "authentication"
	CauseProtocol           = "protocol"
	CauseServer             = "server_error"
	CauseUnreachable        = "unreachable"
)

// ConnectError reports a failed attempt to open a connection.
type ConnectError struct {
	Addr  string
	Cause error
}

func (e *ConnectError) Error() string {
	return fmt.Sprintf("connect to backend server %s: %v", e.Addr, e.Cause)
}

// Unwrap returns the cause.
func (e *ConnectError) Unwrap() error { return e.Cause }

// BrokenError reports a read or write that failed on an open connection.
type BrokenError struct {
	Addr  string
	Op    string // "read", "write"
	Cause error
}

func (e *BrokenError) Error() string {
	return fmt.Sprintf("%s on connection to backend server %s: %v", e.Op, e.Addr, e.Cause)
}

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Cause }

// ProtocolError reports a message that violates the PostgreSQL protocol.
type ProtocolError struct{ Detail string }

func (e *ProtocolError) Error() string { return "protocol violation: " + e.Detail }

// ServerError is an ErrorResponse of the server.
type ServerError struct {
	Code    string // SQLSTATE
	Message string
}

func (e *ServerError) Error() string {
	return fmt.Sprintf("server error: SQLSTATE %s: %s", e.Code, e.Message)
}

// CauseOf classifies an error of this package as one of the Cause constants.
func CauseOf(err error) string {
	var (
		pgErr       *pgconn.PgError
		serverErr   *ServerError
		protocolErr *ProtocolError
		netErr      net.Error
	)
	switch {
	case errors.As(err, &pgErr):
		return causeOfSQLSTATE(pgErr.Code)
	case errors.As(err, &serverErr):
		return causeOfSQLSTATE(serverErr.Code)
	case errors.As(err, &protocolErr):
		return CauseProtocol
	case errors.Is(err, syscall.ECONNREFUSED):
		return CauseRefused
	case errors.Is(err, os.ErrDeadlineExceeded), errors.As(err, &netErr) && netErr.Timeout():
		return CauseTimeout
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE),
		errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return CauseReset
	default:
		return CauseUnreachable
	}
}

func causeOfSQLSTATE(code string) string {
	if code == CodeTooManyConnections {
		return CauseTooManyConnections
	}
	if len(code) == 5 && code[:2] == "28" {
		return CauseAuthentication
	}
	return CauseServer
}
