// Package txn defines the interfaces and messages between the gateway, which serves
// callers' sessions, and the home of a backend server: the one VM that holds the
// server's connection pool and admission queue.
//
// A Request opens a Lane, which carries one transaction, or one single statement, to
// one backend server. Each Batch of PostgreSQL messages on the lane yields a Result.
// Authority decides whether a write may be acknowledged. The package contains no
// implementation; see packages home, dispatch and peer.
package txn

import (
	"context"
	"time"

	"egretroad/internal/catalogue"
	"egretroad/internal/topology"
)

// Setting is a session setting that the connection must have when the request runs.
type Setting struct {
	Name  string `msgpack:"n"`
	Value string `msgpack:"v"`
}

// Request describes the work that opens a lane: the server, the catalogue entry for
// limits and counters, the consistency requirements and the time-outs.
type Request struct {
	ID       string `msgpack:"id"` // unique in the fleet: VM ID, session, counter
	Database string `msgpack:"db"`
	Server   string `msgpack:"srv"` // server ID
	Term     uint64 `msgpack:"term"`
	Entry    string `msgpack:"entry"` // catalogue entry name, for limits and counters
	Kind     string `msgpack:"kind"`
	Owner    string `msgpack:"owner"`
	Caller   string `msgpack:"caller"` // user name and session, for fairness
	Rank     catalogue.Rank
	Access   catalogue.Access
	Confirm  catalogue.Confirm
	// Repeatable allows the request to be resent after some of its bytes may have
	// been sent.
	Repeatable bool
	// Mark (session consistency token: database, term, log position) must be covered
	// by the server before a read runs there.
	Mark topology.Mark
	// MarkWait is the maximum time to wait for the server to meet Mark or MaxAge;
	// after it Open fails with a NotRunError with ReasonBehind.
	MarkWait time.Duration
	// MaxAge, if positive, is the maximum measured staleness; a server within it
	// need not cover Mark.
	MaxAge    time.Duration
	Timeout   time.Duration // time left until the request's deadline
	IdleInTxn time.Duration // maximum idle time inside an open transaction
	Settings  []Setting
}

// Statement is a prepared statement that a batch refers to by Name. Name is derived
// from SQL and ParamOIDs, so statements with equal names are equal.
type Statement struct {
	Name      string   `msgpack:"n"`
	SQL       string   `msgpack:"q"`
	ParamOIDs []uint32 `msgpack:"o"`
}

// Batch is a sequence of frontend messages that ends with Sync, Query or Flush.
type Batch struct {
	// Messages holds the encoded frontend messages. Named prepared statements
	// use Statement names; the unnamed statement stays unnamed. A Parse of a
	// named statement succeeds with ParseComplete even if the connection already
	// has the statement.
	Messages []byte
	// Statements lists the prepared statements that Messages uses and that the
	// session prepared in an earlier batch.
	Statements []Statement
	// Begin, if set, opens the transaction on the server before Messages, in the
	// same write. The lane must be new. The response to Begin is not delivered.
	Begin Begin
	// Flush reports that Messages ends with Flush; the lane stays open.
	Flush bool
	// MayCommit reports that the batch can commit: it contains a statement outside
	// a transaction block, or a COMMIT. If so, the home reads the log position after
	// a write and confirms the write before it delivers any CommandComplete.
	MayCommit bool
}

// Begin is the SQL statement that opens a transaction.
type Begin string

// Statements that open a transaction.
const (
	BeginNone      Begin = ""
	BeginReadWrite Begin = "BEGIN"
	BeginReadOnly  Begin = "BEGIN READ ONLY"
)

// Result is the result of a batch.
type Result struct {
	TxStatus byte // 'I', 'T' or 'E' as in ReadyForQuery; 0 after a Flush
	// Mark holds the log position after the commit; zero if nothing was committed.
	Mark topology.Mark
	// Status is the latest server status known to the home.
	Status topology.ServerStatus
	// Failed reports that the response contained an ErrorResponse.
	Failed bool
}

// Sink receives encoded backend messages in order, without ReadyForQuery. It may
// block to apply back-pressure. The slice is valid only during the call.
type Sink func(messages []byte) error

// Lane runs one transaction on one connection. Run must not be called concurrently.
// Once Run returns a Result with TxStatus 'I', or an error, the lane has ended and
// has released its connection.
type Lane interface {
	// Run sends a batch and delivers its response to sink. Errors are
	// *outcome.NotRunError (no statement of the transaction took effect) or
	// *outcome.UnknownError (the transaction may have been committed). If messages
	// were delivered to sink before an error, the batch's transaction is rolled back.
	Run(ctx context.Context, b Batch, sink Sink) (Result, error)
	// Cancel asks the server to cancel the running statement. It may be called
	// concurrently with Run.
	Cancel()
	// Close ends the lane and rolls back an open transaction. It is idempotent.
	Close()
}

// Home gives access to backend servers through their homes.
type Home interface {
	// Open waits in the server's admission queue until the request gets a
	// connection. Errors are *outcome.NotRunError.
	Open(ctx context.Context, r Request) (Lane, error)
	// Position returns the primary's log position, read after the call began, and
	// checks after the read that the primary still holds write authority.
	// Concurrent calls for one server share a query, but a call never uses a query
	// that was sent before the call.
	Position(ctx context.Context, server string) (topology.Mark, error)
	// WaitApplied waits until the server reports the term of the mark and a
	// position at or after it, then returns the server's status.
	WaitApplied(ctx context.Context, server string, m topology.Mark) (topology.ServerStatus, error)
	// Admin runs an administrative step on a server and returns the status after
	// it. After AdminFollow, Dropped in the status is the number of log bytes
	// dropped. If the server refuses the step, the error is an
	// *outcome.FailedError.
	Admin(ctx context.Context, r AdminRequest) (topology.ServerStatus, error)
}

// AdminOp identifies an administrative step.
type AdminOp string

// Administrative steps. AdminStatus only reads the status.
const (
	AdminStatus  AdminOp = "status"
	AdminFence   AdminOp = "fence"
	AdminPromote AdminOp = "promote"
	AdminFollow  AdminOp = "follow"
)

// AdminRequest is one administrative step on a server. Every step is idempotent.
type AdminRequest struct {
	Server  string  `msgpack:"s"`
	Op      AdminOp `msgpack:"o"`
	Term    uint64  `msgpack:"t"`
	Primary string  `msgpack:"p"` // address of the primary to follow
}

// Authority decides whether a write may be acknowledged.
type Authority interface {
	// Confirm waits until the write at mark m may be acknowledged: a lease on
	// (database, term) is live and policy does not require a replica, or a replica
	// has applied the write in the same term. Errors are *outcome.UnknownError.
	Confirm(ctx context.Context, m topology.Mark, policy catalogue.Confirm) error
	// Held reports whether a lease on (database, term) is live now.
	Held(database string, term uint64) bool
}
