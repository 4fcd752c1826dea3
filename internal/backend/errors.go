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

// SQLSTATEs of a server that the proxy reacts to.
const (
	CodeTooManyConnections = "53300"
	CodeQueryCancelled     = "57014"
)

// Words for the cause of a failed exchange, as in reducer.ServerObserved.Err.
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

// ConnectError reports a connection that could not be opened.
type ConnectError struct {
	Addr  string
	Cause error
}

func (e *ConnectError) Error() string {
	return fmt.Sprintf("connect to backend server %s: %v", e.Addr, e.Cause)
}

// Unwrap returns the cause.
func (e *ConnectError) Unwrap() error { return e.Cause }

// BrokenError reports a connection that failed while it was in use.
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

// ProtocolError reports a message that breaks the PostgreSQL protocol.
type ProtocolError struct{ Detail string }

func (e *ProtocolError) Error() string { return "protocol violation: " + e.Detail }

// ServerError is an ErrorResponse of the server to the proxy's own query.
type ServerError struct {
	Code    string // SQLSTATE
	Message string
}

func (e *ServerError) Error() string {
	return fmt.Sprintf("server error: SQLSTATE %s: %s", e.Code, e.Message)
}

// CauseOf returns a stable word for an error of this package.
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
