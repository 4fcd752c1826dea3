// Package history records what callers saw and checks it against what the
// backend servers did: read-your-writes, at most once, no lost acknowledged
// write, no effect of work reported as not run, no mixing of transactions on a
// connection, and whole answers. The package performs no I/O.
package history

import (
	"fmt"
	"sync"
	"time"
)

// Kind is the kind of an operation.
type Kind int

// Kinds of operations.
const (
	Read  Kind = iota // one row by its key
	Write             // one row, also as part of a transaction
)

// Outcome is how an operation ended for its caller.
type Outcome int

// Outcomes.
const (
	OK      Outcome = iota
	NotRun          // SQLSTATE R0001
	Failed          // the server's own error
	Unknown         // SQLSTATE R0003, or a connection that broke
)

func (o Outcome) String() string {
	return [...]string{"ok", "not run", "failed", "unknown"}[o]
}

// Operation is one caller's operation. Times count from the recorder's start.
type Operation struct {
	Caller   int
	Database string
	Proxy    string
	Kind     Kind
	Key      string
	Value    string // written, or read; unique among all writes
	Found    bool   // a read met a row
	Outcome  Outcome
	Code     string // SQLSTATE of an error, or its text
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

// Now returns the time since the recorder's start.
func (r *Recorder) Now() time.Duration { return time.Since(r.start) }

// Add appends a finished operation.
func (r *Recorder) Add(op Operation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ops = append(r.ops, op)
}

// Operations returns all operations so far.
func (r *Recorder) Operations() []Operation {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Operation(nil), r.ops...)
}

// Rule names a promise to callers.
type Rule string

// Rules that the checkers check.
const (
	RuleReadYourWrites Rule = "read_your_writes"
	RuleAtMostOnce     Rule = "at_most_once"
	RuleSentOnce       Rule = "not_repeatable_sent_once"
	RuleNotRun         Rule = "not_run_has_no_effect"
	RuleNoLostWrite    Rule = "acknowledged_write_survives"
	RuleNoMixing       Rule = "transactions_do_not_mix"
	RuleWholeAnswers   Rule = "answers_are_whole"
	RuleUndecided      Rule = "undecided" // a checker ran out of time
)

// Violation is one broken promise.
type Violation struct {
	Rule   Rule
	Key    string
	Detail string
}

func (v Violation) String() string { return fmt.Sprintf("%s: key %s: %s", v.Rule, v.Key, v.Detail) }

// Fate is what became of a write, as the servers know it.
type Fate int

// Fates.
const (
	Never     Fate = iota // no server committed it
	Surviving             // in the log of the present primary
	Dropped               // committed, then dropped by a promotion
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

// Ledger is the servers' account of all commits.
type Ledger struct {
	counts    map[commitKey]int
	surviving map[commitKey]bool
}

// NewLedger indexes commits.
func NewLedger(commits []Commit) *Ledger {
	l := &Ledger{counts: map[commitKey]int{}, surviving: map[commitKey]bool{}}
	for _, c := range commits {
		k := commitKey{c.Database, c.Key, c.Value}
		l.counts[k]++
		l.surviving[k] = l.surviving[k] || c.Surviving
	}
	return l
}

func (l *Ledger) fate(op Operation) Fate {
	k := commitKey{op.Database, op.Key, op.Value}
	switch {
	case l.counts[k] == 0:
		return Never
	case l.surviving[k]:
		return Surviving
	}
	return Dropped
}

func (l *Ledger) count(op Operation) int {
	return l.counts[commitKey{op.Database, op.Key, op.Value}]
}

// CheckWrites compares each write's outcome with the servers' account.
func CheckWrites(ops []Operation, l *Ledger) []Violation {
	var found []Violation
	for _, op := range ops {
		if op.Kind != Write {
			continue
		}
		if n := l.count(op); n > 1 {
			found = append(found, Violation{RuleAtMostOnce, op.Key, fmt.Sprintf("value %q was committed %d times", op.Value, n)})
		}
		fate := l.fate(op)
		switch op.Outcome {
		case OK:
			if fate != Surviving {
				found = append(found, Violation{RuleNoLostWrite, op.Key, fmt.Sprintf("acknowledged value %q is not in the primary's log", op.Value)})
			}
		case NotRun, Failed:
			if fate != Never {
				found = append(found, Violation{RuleNotRun, op.Key, fmt.Sprintf("value %q was committed, but its caller was told %v (%s)", op.Value, op.Outcome, op.Code)})
			}
			if op.Code == codeDuplicateKey {
				found = append(found, Violation{RuleAtMostOnce, op.Key, "a key that one caller inserts once met itself"})
			}
		}
	}
	return found
}

// codeDuplicateKey is the SQLSTATE of an insert that met an existing row.
const codeDuplicateKey = "23505"
