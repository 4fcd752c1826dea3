// Package broker runs the statements of sessions on backend servers. Each server has a
// home: the VM that owns its connection pool and admission queue and caches the last
// proof that it is the primary of its group. Manager implements Broker for the servers
// that this VM reaches itself, Router routes requests to the homes on all VMs.
//
// Package control assigns homes to VMs. If a home cannot reach its server, any other VM
// can stand in for it with a few connections of its own.
package broker

import (
	"context"
	"fmt"
	"time"

	"egretroad/internal/catalogue"
	"egretroad/internal/outcome"
	"egretroad/internal/statement"
	"egretroad/internal/topology"
)

// LaneID identifies a lane: one transaction, or one statement outside a transaction, of
// a session.
type LaneID struct {
	VM          string `msgpack:"v"` // VM of the session
	Number      uint64 `msgpack:"n"` // increases within an incarnation of the VM
	Incarnation uint64 `msgpack:"s"` // incarnation of the VM
}

// Request is a request to run one statement.
type Request struct {
	// Via is the VM that runs the open lane, if InTransaction.
	Via      string         `msgpack:"-"`
	Lane     LaneID         `msgpack:"l"`
	Database string         `msgpack:"d"` // the group
	Server   string         `msgpack:"s"`
	Entry    string         `msgpack:"e"` // catalogue entry
	Caller   string         `msgpack:"c"` // session, for fair queueing
	Rank     catalogue.Rank `msgpack:"r"`
	// Begin is the verb that opens a transaction before the statement; 0: the
	// transaction is already open, or the statement runs outside one.
	Begin statement.Verb `msgpack:"b,omitempty"`
	// InTransaction is set if the lane has already opened the statement's transaction.
	InTransaction bool `msgpack:"j,omitempty"`
	// RequiresPrimary requires that the server is the primary of its group during a read.
	RequiresPrimary  bool                `msgpack:"p,omitempty"`
	Statement        statement.Statement `msgpack:"t"`
	Prepared         *statement.Prepared `msgpack:"x,omitempty"` // for Execute
	Settings         []statement.Setting `msgpack:"g,omitempty"` // settings of the session
	MinPosition      topology.Mark       `msgpack:"a"`           // position that the server must have applied
	QueueTimeout     time.Duration       `msgpack:"q"`           // time-out of the wait for a slot
	StatementTimeout time.Duration       `msgpack:"u"`           // time-out from sending to the response
	IdleTimeout      time.Duration       `msgpack:"i,omitempty"` // idle time-out inside the transaction
}

// needsPrimary reports whether new work may only run on the primary.
func (r *Request) needsPrimary() bool {
	return r.RequiresPrimary || r.Begin == statement.Begin || r.Statement.Writes
}

// Outcome classifies how the execution of a statement ended.
type Outcome uint8

// Outcomes.
const (
	// Ran: the server responded; the reply may be an error.
	Ran Outcome = iota
	// NotRun: the statement did not run. If the lane has an open transaction, it is
	// rolled back.
	NotRun
	// OutcomeUnknown: it is unknown whether the statement ran. A transaction is rolled back
	// unless the statement was its COMMIT.
	OutcomeUnknown
)

// String returns the name used in logs and metrics.
func (o Outcome) String() string { return [...]string{"ran", "not_run", "lost"}[o] }

// Proof is a log position that a server reported while it was the primary of its group.
type Proof struct {
	Mark topology.Mark `msgpack:"m"`
	// Age is the time since just before the request to the server was sent. Every commit
	// acknowledged before that moment is at or before Mark.
	Age time.Duration `msgpack:"a"`
}

// Result is the outcome of a request.
type Result struct {
	Via     string          `msgpack:"-"` // VM that ran or refused the statement
	Outcome Outcome         `msgpack:"o"`
	Reason  outcome.Reason  `msgpack:"w,omitempty"` // set unless it ran
	Code    statement.Code  `msgpack:"c,omitempty"` // of the server's refusal, if it did not run
	Detail  string          `msgpack:"d,omitempty"`
	Reply   statement.Reply `msgpack:"r"`
	Proof   Proof           `msgpack:"p"` // zero Mark: no proof
	Waited  time.Duration   `msgpack:"t"` // time in the queue
	Ran     time.Duration   `msgpack:"u"` // time at the server
	// RetryAfter is the estimated time until a slot is free for refused work.
	RetryAfter time.Duration `msgpack:"y,omitempty"`
}

// Guard decides whether this VM may use a server as the primary of its group.
// Implementations are safe for concurrent use.
type Guard interface {
	// Permit returns nil if the server may be used as the primary at the time of the
	// return. It waits for the decision until ctx ends at most.
	Permit(ctx context.Context, database, server string) error
	// Permitted is like Permit, but does not wait.
	Permitted(database, server string) bool
}

// Unguarded permits the use of every server, for deployments without promotion.
type Unguarded struct{}

// Permit implements Guard.
func (Unguarded) Permit(context.Context, string, string) error { return nil }

// Permitted implements Guard.
func (Unguarded) Permitted(string, string) bool { return true }

// ReplicationStatus is the replication status that a server reports.
type ReplicationStatus struct {
	Primary  bool          `msgpack:"p"`
	Term     uint64        `msgpack:"t"`
	Received topology.Mark `msgpack:"r"` // last log position received
	Lag      time.Duration `msgpack:"l"`
}

// Broker runs statements on backend servers.
type Broker interface {
	// Run runs one statement. It returns within the time-outs of the request.
	Run(ctx context.Context, r Request) Result
	// Release ends a lane that the VM via runs and rolls an open transaction back.
	Release(via, server string, lane LaneID)
	// ProvePosition returns a proof that is at most maxAge old.
	ProvePosition(ctx context.Context, server string, maxAge time.Duration) (Proof, error)
	// ReplicationStatus queries a server for its replication status.
	ReplicationStatus(ctx context.Context, server string) (ReplicationStatus, error)
}

// Conn is a connection to a backend server. It is not safe for concurrent use.
type Conn interface {
	// Run sends the commands in one write and reads a reply to each. Errors are
	// *BrokenError; the connection is unusable after an error.
	Run(deadline time.Time, commands ...statement.Command) ([]statement.Reply, error)
	// ReplicationStatus queries the replication status, which occupies a slot of the server.
	// Errors are *BrokenError and *RefusedError.
	ReplicationStatus(deadline time.Time) (ReplicationStatus, error)
	// StepDown makes a primary of a lower term a replica and returns the server's status
	// afterwards. Errors are as for ReplicationStatus.
	StepDown(deadline time.Time, term uint64) (ReplicationStatus, error)
	// Idle reports whether the connection is open and has no unread data.
	Idle() bool
	Close()
}

// Connector opens connections. Errors are *ConnectError.
type Connector interface {
	Connect(ctx context.Context, database string, s topology.Server) (Conn, error)
}

// ConnectError reports a failed attempt to open a connection.
type ConnectError struct {
	Server string
	Code   statement.Code // of the server's refusal; NoError: the server was not reached
	Cause  error
}

func (e *ConnectError) Error() string {
	return fmt.Sprintf("cannot connect to server %s: %v", e.Server, e.Cause)
}

// Unwrap returns the cause.
func (e *ConnectError) Unwrap() error { return e.Cause }

// BrokenError reports a connection that broke while replies were outstanding.
type BrokenError struct {
	Timeout bool
	Cause   error
}

func (e *BrokenError) Error() string {
	if e.Timeout {
		return "the server did not answer in time"
	}
	return fmt.Sprintf("the connection to the server broke: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Cause }

// RefusedError reports that a server refused a statement issued by the proxy itself.
type RefusedError struct {
	Code   statement.Code
	Detail string
}

func (e *RefusedError) Error() string {
	return "the server refused: " + e.Code.String() + " " + e.Detail
}

// NotPermittedError reports a server that responds but may not be used as the primary.
type NotPermittedError struct {
	Server string
	Cause  error
}

func (e *NotPermittedError) Error() string {
	return fmt.Sprintf("server %s may not be used as the primary: %v", e.Server, e.Cause)
}

// Unwrap returns the cause.
func (e *NotPermittedError) Unwrap() error { return e.Cause }

// UnknownServerError reports a server that is not in the current snapshot.
type UnknownServerError struct{ Server string }

func (e *UnknownServerError) Error() string { return "server " + e.Server + " is not known" }
