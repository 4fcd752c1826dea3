// Package statement is the protocol-neutral form of what callers send and
// backend servers answer. A wire, whichever it is, is translated to and from
// these types at the edges; sessions, routing and homes know nothing else. The
// package performs no I/O.
package statement

import "egretroad/internal/topology"

// Verb says what a statement does.
type Verb uint8

// Verbs.
const (
	Begin     Verb = iota + 1 // opens a transaction that may write
	BeginRead                 // opens a transaction that only reads
	Commit
	Rollback
	Read
	Write
	Set        // sets a session value
	Prepare    // names a statement of the session
	Execute    // runs a prepared statement
	Deallocate // forgets a prepared statement
	Reset      // clears a connection's values and prepared statements; the proxy's own
)

// String returns the verb's name for logs.
func (v Verb) String() string {
	names := [...]string{"none", "begin", "begin_read", "commit", "rollback", "read", "write", "set", "prepare", "execute", "deallocate", "reset"}
	if int(v) < len(names) {
		return names[v]
	}
	return "invalid"
}

// Statement is one statement of a caller.
type Statement struct {
	ID   string `msgpack:"i"` // the caller's request ID, passed on unchanged
	Verb Verb   `msgpack:"v"`
	Text string `msgpack:"t"` // as the caller wrote it
	// Name is the session value's name of Set, and the prepared statement's
	// name of Prepare, Execute and Deallocate.
	Name string `msgpack:"n,omitempty"`
	// Value is the value of Set, the shape of Prepare, and what follows the name
	// of Execute.
	Value string `msgpack:"x,omitempty"`
	// Writes says that the statement writes: Write, Prepare of a writing
	// statement, and, once the session has looked the name up, Execute of one.
	Writes bool `msgpack:"w,omitempty"`
}

// Setting is one session value.
type Setting struct {
	Name  string `msgpack:"n"`
	Value string `msgpack:"v"`
}

// Prepared is what a prepared name stands for.
type Prepared struct {
	Writes bool   `msgpack:"w"`
	Shape  string `msgpack:"s"`
}

// State is the state of a session or connection after an answer.
type State uint8

// States.
const (
	Idle   State = iota // no transaction
	InTxn               // in a transaction
	Failed              // in a transaction that can only be rolled back
)

// Code classifies a failure.
type Code uint8

// Codes. Those from Busy to TooManyConnections promise that nothing of the
// caller's transaction is kept.
const (
	None Code = iota
	Busy
	Aborted
	Behind             // the server lacks a log position
	ReadOnly           // the server does not lead its group
	WrongServer        // another server answers at the address
	TooManyConnections // the server takes no further connection
	// Codes that promise nothing.
	InDoubt
	TimedOut
	Refused // the server's own error
	// Codes of a caller's mistakes.
	UnknownPrepared
	UnknownDatabase
	Malformed
	TooLarge
	Denied
)

// String returns the code's name for logs.
func (c Code) String() string {
	names := [...]string{
		"ok", "busy", "aborted", "behind", "read_only", "wrong_server", "too_many_connections",
		"in_doubt", "timed_out", "failed", "unknown_prepared", "unknown_database", "malformed", "too_large", "denied",
	}
	if int(c) < len(names) {
		return names[c]
	}
	return "invalid"
}

// Reply is the whole answer to one statement.
type Reply struct {
	Rows      []string `msgpack:"r,omitempty"`
	Signature string   `msgpack:"g,omitempty"` // of the server that ran the statement
	Code      Code     `msgpack:"c,omitempty"` // None: success
	Detail    string   `msgpack:"d,omitempty"`
	State     State    `msgpack:"s,omitempty"`
	// Mark is the server's log position; zero when it gave none.
	Mark topology.Mark `msgpack:"m"`
}

// OK reports success.
func (r Reply) OK() bool { return r.Code == None }

// NotRun reports a server's refusal of a single statement before it ran.
func (r Reply) NotRun() bool {
	switch r.Code {
	case Busy, Behind, ReadOnly, WrongServer, TooManyConnections, UnknownPrepared:
		return true
	default:
		return false
	}
}

// Command is one statement on its way to a backend server.
type Command struct {
	Statement // an empty ID marks a statement of the proxy's own
	// After is the log position that the server must have before it runs the
	// statement; zero: none.
	After topology.Mark
}
