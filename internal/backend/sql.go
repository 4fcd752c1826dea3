// Package backend connects to backend servers through pgconn and runs the
// administrative steps of a database group on them.
package backend

import "fmt"

// Administrative SQL. pg_xact_status, pg_current_xact_id and pg_sleep are
// PostgreSQL's own; the group_ functions are the platform's.
//
// The status query answers one row: term int8, fence int8, role text
// (primary, replica, fenced), position pg_lsn as text (0/16B3748), lag_ms int8,
// slots int8, max_connections int8. On a replica lag_ms is the time since the
// moment up to which it has applied everything.
const (
	SQLStatus = "SELECT term, fence, role, position, lag_ms, slots, max_connections FROM group_status()"
	SQLXactID = "SELECT pg_current_xact_id()"
)

// SQLFence raises the lowest term that the server accepts; a server with a
// fence above its term accepts no write and no replication of the old term.
func SQLFence(term uint64) string { return fmt.Sprintf("SELECT group_fence(%d)", term) }

// SQLPromote makes a fenced server the primary of the term; it answers error
// 55000 when the fence is not exactly that term.
func SQLPromote(term uint64) string { return fmt.Sprintf("SELECT group_promote(%d)", term) }

// SQLFollow makes a server a replica of the primary at addr in the term; a log
// tail that the primary does not have is dropped and its length in bytes returned.
func SQLFollow(term uint64, addr string) string {
	return fmt.Sprintf("SELECT group_follow(%d, '%s')", term, addr)
}

// SQLXactStatus answers one text column: "committed", "aborted", "in progress",
// or null when the server no longer knows the transaction.
func SQLXactStatus(xid uint64) string { return fmt.Sprintf("SELECT pg_xact_status('%d')", xid) }
