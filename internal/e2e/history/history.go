// Package history records the operations of callers and checks them against the
// statements and commits that the backend servers recorded. A Recorder collects
// operations, a CommitIndex indexes commits, and each Check function returns the
// violations of one guarantee: read-your-writes, at-most-once execution, no loss
// of acknowledged writes, no effect of work reported as not run, no interleaving
// of transactions on a connection, and complete responses. The package performs
// no I/O.
package history

import (
	"fmt"
	"sync"
	"time"
)

// Kind tells reads from writes.
type Kind int

// Kinds of operations.
const (
	Read  Kind = iota // of one row by its key
	Write             // of one row, alone or as part of a transaction
)

// Outcome is the result of an operation as reported to its caller.
type Outcome int

// Outcomes.
const (
	OK      Outcome = iota
	NotRun          // SQLSTATE R0001
	Failed          // error of the backend server
	Unknown         // SQLSTATE R0003, or a broken connection
)

func (o Outcome) String() string {
	return [...]string{"ok", "not run", "failed", "unknown"}[o]
}

// Operation is one operation of a caller. Times are relative to the start of the
// recorder.
type Operation struct {
	Caller   int
	Database string
	Proxy    string
	Kind     Kind
	Key      string
	Value    string // value written or read; unique among all writes
	Found    bool   // the read returned a row
	Outcome  Outcome
	Code     string // SQLSTATE of the error, or its text
	Call     time.Duration
	Return   time.Duration
}

// Recorder collects operations. Safe for concurrent use.
type Recorder struct {
	start time.Time
	mu    sync.Mutex // guards ops
	ops   []Operation
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder { return &Recorder{start: time.Now()} }

// Now returns the time elapsed since the recorder was created.
func (r *Recorder) Now() time.Duration { return time.Since(r.start) }

// Add appends a completed operation.
func (r *Recorder) Add(op Operation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ops = append(r.ops, op)
}

// Operations returns a copy of all operations added so far.
func (r *Recorder) Operations() []Operation {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Operation(nil), r.ops...)
}

// Rule names a consistency guarantee to callers.
type Rule string

// Rules that the Check functions report.
const (
	RuleReadYourWrites    Rule = "read_your_writes"
	RuleAtMostOnce        Rule = "at_most_once"
	RuleSentOnce          Rule = "not_repeatable_sent_once"
	RuleNotRun            Rule = "not_run_has_no_effect"
	RuleNoLostWrite       Rule = "acknowledged_write_survives"
	RuleNoInterleaving    Rule = "transactions_do_not_mix"
	RuleCompleteResponses Rule = "answers_are_whole"
	RuleUndecided         Rule = "undecided" // the search for an order timed out
)

// Violation is one violation of a rule.
type Violation struct {
	Rule   Rule
	Key    string // of a row, or the tag of a transaction
	Detail string
}

func (v Violation) String() string { return fmt.Sprintf("%s: key %s: %s", v.Rule, v.Key, v.Detail) }

// CommitState tells whether the servers committed a write and still have it.
type CommitState int

// Commit states.
const (
	NotCommitted CommitState = iota // no server committed it
	Surviving                       // in the log of the current primary
	Dropped                         // committed, then dropped by a promotion
)

// Commit is one row written by a transaction that some server committed.
type Commit struct {
	Database  string
	Key       string
	Value     string
	Surviving bool
}

// commitKey identifies a write; values are unique.
type commitKey struct{ database, key, value string }

// CommitIndex indexes the commits of all servers by row and value.
type CommitIndex struct {
	commitCounts map[commitKey]int
	surviving    map[commitKey]bool
}

// NewCommitIndex returns the index of the given commits.
func NewCommitIndex(commits []Commit) *CommitIndex {
	index := &CommitIndex{commitCounts: map[commitKey]int{}, surviving: map[commitKey]bool{}}
	for _, c := range commits {
		k := commitKey{c.Database, c.Key, c.Value}
		index.commitCounts[k]++
		index.surviving[k] = index.surviving[k] || c.Surviving
	}
	return index
}

func (c *CommitIndex) commitState(op Operation) CommitState {
	k := commitKey{op.Database, op.Key, op.Value}
	switch {
	case c.commitCounts[k] == 0:
		return NotCommitted
	case c.surviving[k]:
		return Surviving
	}
	return Dropped
}

func (c *CommitIndex) commitCount(op Operation) int {
	return c.commitCounts[commitKey{op.Database, op.Key, op.Value}]
}

// CheckWrites compares the outcome of each write with the commits of the servers.
func CheckWrites(ops []Operation, index *CommitIndex) []Violation {
	var violations []Violation
	for _, op := range ops {
		if op.Kind != Write {
			continue
		}
		if n := index.commitCount(op); n > 1 {
			violations = append(violations, Violation{RuleAtMostOnce, op.Key, fmt.Sprintf("value %q was committed %d times", op.Value, n)})
		}
		state := index.commitState(op)
		switch op.Outcome {
		case OK:
			if state != Surviving {
				violations = append(violations, Violation{RuleNoLostWrite, op.Key, fmt.Sprintf("acknowledged value %q is not in the log of the primary", op.Value)})
			}
		case NotRun, Failed:
			if state != NotCommitted {
				violations = append(violations, Violation{RuleNotRun, op.Key, fmt.Sprintf("value %q was committed, but reported to its caller as %v (%s)", op.Value, op.Outcome, op.Code)})
			}
			if op.Code == codeUniqueViolation {
				violations = append(violations, Violation{RuleAtMostOnce, op.Key, "duplicate key, although only one caller inserts this key, and only once"})
			}
		}
	}
	return violations
}

// codeUniqueViolation is the SQLSTATE of an insert of an existing key.
const codeUniqueViolation = "23505"
