// Package statement defines the protocol-neutral statements of callers and replies of
// backend servers. Wire protocols are translated to and from these types at the edges
// of the proxy; sessions, routing and homes depend on no wire protocol. The main types
// are Statement, Command (a statement to run on a backend server) and Reply. The
// package performs no I/O.
package statement

import "egretroad/internal/topology"

// Verb is the kind of a statement.
type Verb uint8

// Verbs.
const (
	Begin     Verb = iota + 1 // opens a transaction that may write
	BeginRead                 // opens a transaction that only reads
	Commit
	Rollback
	Read
	Write
	Set        // sets a session setting
	Prepare    // defines a prepared statement of the session
	Execute    // runs a prepared statement
	Deallocate // removes a prepared statement
	Reset      // clears a connection's settings and prepared statements; sent only by the proxy
)

// String returns the verb's name for logs.
func (v Verb) String() string {
	names := [...]string{"none", "begin", "begin_read", "commit", "rollback", "read", "write", "set", "prepare", "execute", "deallocate", "reset"}
	if int(v) < len(names) {
		return names[v]
	}
	return "invalid"
}

// Statement is one statement of a caller, or of the proxy itself.
type Statement struct {
	ID   string `msgpack:"i"` // the caller's request ID, passed on unchanged
	Verb Verb   `msgpack:"v"`
	Text string `msgpack:"t"` // as the caller wrote it
	// Name is the setting's name for Set, and the prepared statement's name for
	// Prepare, Execute and Deallocate.
	Name string `msgpack:"n,omitempty"`
	// Value is the value for Set, the statement's shape (its text) for Prepare, and
	// the arguments after the name for Execute.
	Value string `msgpack:"x,omitempty"`
	// Writes reports that the statement writes: Write, Prepare of a writing
	// statement, and Execute of one, where the session sets it from the prepared
	// statement.
	Writes bool `msgpack:"w,omitempty"`
}

// Setting is one session setting.
type Setting struct {
	Name  string `msgpack:"n"`
	Value string `msgpack:"v"`
}

// Prepared is the definition of a prepared statement: its text (Shape), and whether
// it writes.
type Prepared struct {
	Writes bool   `msgpack:"w"`
	Shape  string `msgpack:"s"`
}

// State is the transaction state of a session or connection after a reply.
type State uint8

// States.
const (
	Idle   State = iota // no transaction
	InTxn               // in an open transaction
	Failed              // in a failed transaction, which can only be rolled back
)

// Code classifies the failure of a statement.
type Code uint8

// Codes. Busy to TooManyConnections guarantee that no part of the caller's transaction
// took effect.
const (
	None Code = iota
	Busy
	Aborted
	Behind             // the server has not reached the required log position
	ReadOnly           // the server is not the primary of its group
	WrongServer        // a different server responded at the address
	TooManyConnections // the server has reached its connection limit
	// Codes without that guarantee.
	InDoubt
	TimedOut
	Refused // error reported by the server
	// Codes for errors of the caller.
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

// Reply is the complete response to one statement.
type Reply struct {
	Rows      []string `msgpack:"r,omitempty"`
	Signature string   `msgpack:"g,omitempty"` // of the server that ran the statement
	Code      Code     `msgpack:"c,omitempty"` // None: success
	Detail    string   `msgpack:"d,omitempty"`
	State     State    `msgpack:"s,omitempty"`
	// Mark (session consistency token: database, term, log position) is the server's
	// position after the statement; zero if the server returned none.
	Mark topology.Mark `msgpack:"m"`
}

// OK reports whether the statement succeeded.
func (r Reply) OK() bool { return r.Code == None }

// NotRun reports whether the server refused a single statement before running it.
func (r Reply) NotRun() bool {
	switch r.Code {
	case Busy, Behind, ReadOnly, WrongServer, TooManyConnections, UnknownPrepared:
		return true
	default:
		return false
	}
}

// Command is a statement to run on a backend server.
type Command struct {
	Statement // with an empty ID for the proxy's own statements
	// After is the log position that the server must have reached before it runs the
	// statement; zero: none.
	After topology.Mark
}
