// Package backend implements connections to backend servers, over the PostgreSQL
// protocol, and the SQL for the administrative steps of a database group.
//
// Connect opens a Conn, through pgconn for start-up and authentication. A Conn
// transfers raw protocol messages; ReadRow and the Query method run simple queries.
// The package does not pool connections and does not retry.
package backend

import "fmt"

// Administrative SQL. PostgreSQL provides pg_xact_status, pg_current_xact_id and
// pg_sleep; the platform provides the group_ functions.
//
// SQLStatus returns one row: term int8, fence int8, role text (primary, replica,
// fenced), position pg_lsn as text (0/16B3748), lag_ms int8, slots int8,
// max_connections int8. On a replica, lag_ms is the replication lag: the time since
// the moment up to which the replica has applied all writes.
const (
	SQLStatus = "SELECT term, fence, role, position, lag_ms, slots, max_connections FROM group_status()"
	SQLXactID = "SELECT pg_current_xact_id()"
)

// SQLFence raises the server's fencing token, the lowest term that it accepts. A server
// whose fence is above its term accepts neither writes nor replication of that term.
func SQLFence(term uint64) string { return fmt.Sprintf("SELECT group_fence(%d)", term) }

// SQLPromote makes a fenced server the primary of the term. It fails with SQLSTATE
// 55000 unless the fence equals the term.
func SQLPromote(term uint64) string { return fmt.Sprintf("SELECT group_promote(%d)", term) }

// SQLFollow makes a server a replica of the primary at addr in the term. The server
// drops the tail of its log that the primary does not have, and returns the tail's
// length in bytes.
func SQLFollow(term uint64, addr string) string {
	return fmt.Sprintf("SELECT group_follow(%d, '%s')", term, addr)
}

// SQLXactStatus returns one text column: "committed", "aborted", "in progress", or
// null if the server no longer has the status of the transaction.
func SQLXactStatus(xid uint64) string { return fmt.Sprintf("SELECT pg_xact_status('%d')", xid) }
