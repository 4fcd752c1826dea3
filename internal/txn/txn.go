// Package txn is the contract between the gateway, which holds callers, and the
// home of a backend server, which holds its connections and its queue. A lane
// carries one transaction, or one single statement, to one backend server.
package txn

import (
	"context"
	"time"

	"egretroad/internal/catalogue"
	"egretroad/internal/topology"
)

// Setting is one session setting that the connection must have.
type Setting struct {
	Name  string `msgpack:"n"`
	Value string `msgpack:"v"`
}

// Request opens a lane.
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
	// Repeatable allows the request to be sent again after bytes may have left.
	Repeatable bool
	// Mark must be covered by the server before a read runs there.
	Mark topology.Mark
	// MarkWait is the longest time to wait for the server to cover Mark; past
	// it the lane fails with a NotRunError of ReasonBehind.
	MarkWait time.Duration
	// MaxAge, when positive, is the measured staleness up to which Mark need not be covered.
	MaxAge    time.Duration
	Timeout   time.Duration // time left until the request's deadline
	IdleInTxn time.Duration // longest idle time inside an open transaction
	Settings  []Setting
}

// Statement is a prepared statement that a batch refers to by Name. Name is
// derived from SQL and ParamOIDs, so equal names mean equal statements.
type Statement struct {
	Name      string   `msgpack:"n"`
	SQL       string   `msgpack:"q"`
	ParamOIDs []uint32 `msgpack:"o"`
}

// Batch is a run of frontend messages up to a Sync, a Query or a Flush.
type Batch struct {
	// Messages holds encoded frontend messages. Named statements carry
	// Statement names; the unnamed statement stays unnamed. A Parse of a named
	// statement is answered with ParseComplete also when the connection
	// already has it.
	Messages []byte
	// Statements lists the prepared statements that Messages uses and that an
	// earlier batch of the session prepared.
	Statements []Statement
	// Begin, when set, opens the transaction on the server ahead of Messages,
	// in the same write; the lane must be new. Its answer is not delivered.
	Begin Begin
	// Flush says that Messages ends with Flush; the lane stays open.
	Flush bool
	// MayCommit says that the batch can commit: a statement outside a
	// transaction block, or a COMMIT. The home then reads the position after
	// it and confirms the write before it delivers any CommandComplete.
	MayCommit bool
}

// Begin is a statement that opens a transaction.
type Begin string

// Statements that open a transaction.
const (
	BeginNone      Begin = ""
	BeginReadWrite Begin = "BEGIN"
	BeginReadOnly  Begin = "BEGIN READ ONLY"
)

// Result is the end of a batch.
type Result struct {
	TxStatus byte // 'I', 'T' or 'E' as in ReadyForQuery; 0 after a Flush
	// Mark is the position after the commit; zero when nothing was committed.
	Mark topology.Mark
	// Status is the server's status as last measured by the home.
	Status topology.ServerStatus
	// Failed says that the messages contained an ErrorResponse.
	Failed bool
}

// Sink takes encoded backend messages in order, without ReadyForQuery. It may
// block for back-pressure. The slice is only valid during the call.
type Sink func(messages []byte) error

// Lane carries one transaction. Run calls must not overlap. When Run returns a
// Result with TxStatus 'I', or an error, the lane has ended and the connection
// is no longer the lane's.
type Lane interface {
	// Run sends a batch and delivers its answer to sink. Errors are
	// *outcome.NotRunError (no statement of the transaction took effect) or
	// *outcome.UnknownError. Messages may have been delivered to sink before
	// an error only when the batch's transaction is then rolled back.
	Run(ctx context.Context, b Batch, sink Sink) (Result, error)
	// Cancel asks the server to cancel the running statement. Safe to call
	// from another goroutine.
	Cancel()
	// Close ends the lane; an open transaction is rolled back. Idempotent.
	Close()
}

// Home serves the backend servers that this VM is home of.
type Home interface {
	// Open admits a request: it waits in the server's queue for a connection.
	// Errors are *outcome.NotRunError.
	Open(ctx context.Context, r Request) (Lane, error)
	// Position returns the primary's log position read after the call began,
	// checked against write authority after the answer came. Calls in progress
	// on one server share one query, but never one that began before the call.
	Position(ctx context.Context, server string) (topology.Mark, error)
	// WaitApplied waits until the server reports the mark's own term and a
	// position at or past the mark, then returns its status.
	WaitApplied(ctx context.Context, server string, m topology.Mark) (topology.ServerStatus, error)
	// Admin runs an administrative step on a server that this VM is home of.
	// The status of AdminFollow carries the bytes of log dropped. A refusal by
	// the server is an *outcome.FailedError.
	Admin(ctx context.Context, r AdminRequest) (topology.ServerStatus, error)
}

// AdminOp names an administrative step.
type AdminOp string

// Administrative steps.
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
	// Confirm returns nil once the write at mark m may be acknowledged: a live
	// lease on (database, term), unless policy asks for a replica, or a replica
	// that has applied it in the same term. Errors are *outcome.UnknownError.
	Confirm(ctx context.Context, m topology.Mark, policy catalogue.Confirm) error
	// Held reports whether a lease on (database, term) is live now.
	Held(database string, term uint64) bool
}
