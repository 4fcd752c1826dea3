// Package broker is the home of backend servers for statement sessions. It holds
// a server's connections and its queue, runs statements and transactions over
// them, and knows when the server last proved that it leads its group. Which VM is
// home of which server is control's decision; any VM can stand in for a home that
// cannot reach its server.
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

// LaneID names one transaction, or one single statement, of a session.
type LaneID struct {
	VM     string `msgpack:"v"` // VM of the session
	Number uint64 `msgpack:"n"` // rises within an incarnation of the VM
	Start  uint64 `msgpack:"s"` // incarnation of the VM
}

// Request asks for one statement to be run.
type Request struct {
	// Via is the VM that holds the lane of a Joined statement.
	Via      string         `msgpack:"-"`
	Lane     LaneID         `msgpack:"l"`
	Database string         `msgpack:"d"` // the group
	Server   string         `msgpack:"s"`
	Entry    string         `msgpack:"e"`
	Caller   string         `msgpack:"c"` // session, for fairness
	Rank     catalogue.Rank `msgpack:"r"`
	// Begin opens a transaction ahead of the statement; 0: the lane has one, or
	// the statement runs alone.
	Begin statement.Verb `msgpack:"b,omitempty"`
	// Joined says that the statement belongs to the transaction of the lane.
	Joined bool `msgpack:"j,omitempty"`
	// Leading says that a read must run while the server leads its group.
	Leading   bool                `msgpack:"p,omitempty"`
	Statement statement.Statement `msgpack:"t"`
	Prepared  *statement.Prepared `msgpack:"x,omitempty"` // of Execute
	Settings  []statement.Setting `msgpack:"g,omitempty"` // the session's values
	After     topology.Mark       `msgpack:"a"`           // position that the server must have
	QueueFor  time.Duration       `msgpack:"q"`           // longest wait for a slot
	RunFor    time.Duration       `msgpack:"u"`           // from sending to the answer
	IdleFor   time.Duration       `msgpack:"i,omitempty"` // longest pause inside the transaction
}

// Outcome says what became of a statement.
type Outcome uint8

// Outcomes.
const (
	// Ran: the server answered; the reply may be an error of its own.
	Ran Outcome = iota
	// NotRun: the statement did not run, and the lane's transaction, if there is
	// one, is rolled back.
	NotRun
	// Lost: the statement may have run; a transaction that was not asked to
	// commit is rolled back.
	Lost
)

// String returns the outcome's name for logs.
func (o Outcome) String() string { return [...]string{"ran", "not_run", "lost"}[o] }

// Proof is a log position of a server that led its group when it gave it.
type Proof struct {
	Mark topology.Mark `msgpack:"m"`
	// Age is the time since before the server was asked: every commit
	// acknowledged earlier than that is at or before Mark.
	Age time.Duration `msgpack:"a"`
}

// Result is the outcome of a request.
type Result struct {
	Via     string          `msgpack:"-"` // VM that ran the statement or refused it
	Outcome Outcome         `msgpack:"o"`
	Reason  outcome.Reason  `msgpack:"w,omitempty"` // unless it ran
	Code    statement.Code  `msgpack:"c,omitempty"` // of the server's refusal, when not run
	Detail  string          `msgpack:"d,omitempty"`
	Reply   statement.Reply `msgpack:"r"`
	Proof   Proof           `msgpack:"p"` // zero Mark: none
	Waited  time.Duration   `msgpack:"t"` // in the queue
	Ran     time.Duration   `msgpack:"u"` // at the server
	// RetryAfter is when refused work may find a slot.
	RetryAfter time.Duration `msgpack:"y,omitempty"`
}

// Standing is a server's own account of its place in its group.
type Standing struct {
	Primary  bool          `msgpack:"p"`
	Received topology.Mark `msgpack:"r"` // log position received
	Lag      time.Duration `msgpack:"l"`
}

// Broker runs statements on backend servers.
type Broker interface {
	// Run runs one statement. It returns by the request's times.
	Run(ctx context.Context, r Request) Result
	// Release ends a lane, held by the VM via; an open transaction is rolled back.
	Release(via, server string, lane LaneID)
	// Position returns a position proven no longer than maxAge ago.
	Position(ctx context.Context, server string, maxAge time.Duration) (Proof, error)
	// Standing asks a server for its place in its group.
	Standing(ctx context.Context, server string) (Standing, error)
}

// Conn is a connection to a backend server. It is not safe for concurrent use.
type Conn interface {
	// Run sends commands in one write and reads a reply to each. Errors are
	// *BrokenError; the connection is then of no more use.
	Run(deadline time.Time, commands ...statement.Command) ([]statement.Reply, error)
	// Standing takes a slot. Errors are *BrokenError and *RefusedError.
	Standing(deadline time.Time) (Standing, error)
	// Idle reports whether the server has neither closed nor sent anything.
	Idle() bool
	Close()
}

// Connector opens connections. Errors are *ConnectError.
type Connector interface {
	Connect(ctx context.Context, database string, s topology.Server) (Conn, error)
}

// ConnectError reports a connection that could not be opened.
type ConnectError struct {
	Server string
	Code   statement.Code // of the server's refusal; None: it was not reached
	Cause  error
}

func (e *ConnectError) Error() string {
	return fmt.Sprintf("cannot connect to server %s: %v", e.Server, e.Cause)
}

// Unwrap returns the cause.
func (e *ConnectError) Unwrap() error { return e.Cause }

// BrokenError reports a connection that broke while answers were outstanding.
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

// RefusedError reports a server's refusal of a statement of the proxy's own.
type RefusedError struct {
	Code   statement.Code
	Detail string
}

func (e *RefusedError) Error() string {
	return "the server refused: " + e.Code.String() + " " + e.Detail
}

// UnknownServerError reports a server that the snapshot in force does not contain.
type UnknownServerError struct{ Server string }

func (e *UnknownServerError) Error() string { return "server " + e.Server + " is not known" }
