// Package explain reconstructs the path of one request from the logs of several VMs and
// states why it ended as it did. It reads the lines logged by sessions and by homes (the
// VMs that own the connections of a backend server). Read selects the lines, Order
// sorts them and Cause summarizes the outcome.
package explain

import (
	"bufio"
	"fmt"
	"io"
	"sort"
	"strconv"
	"strings"

	"egretroad/internal/outcome"
	"egretroad/internal/statement"
)

// maxLineBytes is the maximum length of a line; Read fails on a longer one.
const maxLineBytes = 1 << 20

// Line is one log line.
type Line struct {
	Fields map[string]string
	Text   string
	index  int // position in the input, which preserves the order of each VM's lines
}

// Parse parses a line of key=value pairs. It skips text before the first pair.
func Parse(text string) map[string]string {
	fields := map[string]string{}
	for rest := text; rest != ""; {
		rest = strings.TrimLeft(rest, " ")
		key, after, found := strings.Cut(rest, "=")
		if !found {
			break
		}
		if i := strings.LastIndexByte(key, ' '); i >= 0 {
			key = key[i+1:]
		}
		value := after
		if quoted, err := strconv.QuotedPrefix(after); err == nil {
			rest = after[len(quoted):]
			value, _ = strconv.Unquote(quoted) // QuotedPrefix has checked it
		} else {
			value, rest, _ = strings.Cut(after, " ")
		}
		if key != "" {
			fields[key] = value
		}
	}
	return fields
}

// Read returns the lines whose request ID, session or server equals id.
func Read(inputs []io.Reader, id string) ([]Line, error) {
	var lines []Line
	index := 0
	for _, input := range inputs {
		s := bufio.NewScanner(input)
		s.Buffer(nil, maxLineBytes)
		for s.Scan() {
			index++
			if !strings.Contains(s.Text(), id) {
				continue
			}
			fields := Parse(s.Text())
			if fields["id"] == id || fields["session"] == id || fields["server"] == id {
				lines = append(lines, Line{Fields: fields, Text: s.Text(), index: index})
			}
		}
		if err := s.Err(); err != nil {
			return nil, fmt.Errorf("reading the logs: %w", err)
		}
	}
	return lines, nil
}

// causalOrder ranks the lines of one attempt by causality: the home's line precedes that
// of the session it replied to, even if the VMs' clocks disagree.
func causalOrder(l Line) int {
	switch l.Fields["event"] {
	case "home_statement":
		return 0
	case "attempt_failed":
		return 1
	default:
		return 2
	}
}

// Order sorts the lines of a request by attempt, then by causality. Each line of a home
// is assigned to an attempt that was sent to that home and server.
func Order(lines []Line) []Line {
	attemptsByHome := map[string][]int{} // keyed by home VM and server
	for _, l := range lines {
		if l.Fields["event"] == "attempt_failed" {
			n, err := strconv.Atoi(l.Fields["attempt"])
			if err == nil {
				key := l.Fields["via"] + "/" + l.Fields["server"]
				attemptsByHome[key] = append(attemptsByHome[key], n)
			}
		}
	}
	const afterAllAttempts = 1 << 30
	attempt := make(map[int]int, len(lines))
	for _, l := range lines {
		attempt[l.index] = afterAllAttempts
		switch l.Fields["event"] {
		case "attempt_failed":
			if n, err := strconv.Atoi(l.Fields["attempt"]); err == nil {
				attempt[l.index] = n
			}
		case "home_statement":
			key := l.Fields["vm"] + "/" + l.Fields["server"]
			if remaining := attemptsByHome[key]; len(remaining) > 0 {
				attempt[l.index], attemptsByHome[key] = remaining[0], remaining[1:]
			}
		}
	}
	sorted := append([]Line(nil), lines...)
	sort.SliceStable(sorted, func(i, j int) bool {
		a, b := sorted[i], sorted[j]
		if attempt[a.index] != attempt[b.index] {
			return attempt[a.index] < attempt[b.index]
		}
		if causalOrder(a) != causalOrder(b) {
			return causalOrder(a) < causalOrder(b)
		}
		return a.index < b.index
	})
	return sorted
}

// reasonTexts explain each reason to the operator.
var reasonTexts = map[outcome.Reason]string{
	outcome.ReasonDeadline:         "no slot of the server was free in time: the server is overloaded, or slow",
	outcome.ReasonQueueFull:        "the server's queue was full",
	outcome.ReasonMemory:           "the server's queue had reached its memory limit",
	outcome.ReasonNoPrimary:        "the group had no primary that takes work: a promotion was in progress or not possible",
	outcome.ReasonUnconfirmed:      "the server may have been replaced as primary before it committed",
	outcome.ReasonNoServer:         "no server of the group was registered or left to try",
	outcome.ReasonBehind:           "the replicas lacked the log position that the read required",
	outcome.ReasonMarkUnknown:      "no log position was proven recently enough for the read: the primary or its home was unreachable",
	outcome.ReasonReplaced:         "the servers tried were not the primary of their group",
	outcome.ReasonHomeLost:         "the VM that is home of the server did not answer",
	outcome.ReasonConnect:          "no connection to the server could be opened",
	outcome.ReasonConnLost:         "the connection to the server broke",
	outcome.ReasonStatementTimeout: "the server did not answer within the statement's time",
	outcome.ReasonLeaving:          "the server was leaving",
	outcome.ReasonTxnAborted:       "the transaction had ended before: it was idle for too long, or its home had lost it",
	outcome.ReasonUnavailable:      "the server refused the statement",
}

// refusalReasons maps the codes with which a server itself refuses a statement to the
// corresponding reason.
var refusalReasons = map[string]outcome.Reason{
	statement.Lagging.String():  outcome.ReasonBehind,
	statement.ReadOnly.String(): outcome.ReasonReplaced,
}

// Cause returns one sentence that states why a request ended as it did, or "" if the
// lines do not contain its outcome.
func Cause(lines []Line) string {
	for i := len(lines) - 1; i >= 0; i-- {
		f := lines[i].Fields
		if f["event"] == "statement_refused" {
			return fmt.Sprintf("request %s was refused by VM %s: it holds no route of database %s; it holds every route up to configuration %s (%s), and %s of later ones.",
				f["id"], f["vm"], f["database"], f["complete"], f["complete_from"], f["later_entries"])
		}
		if f["event"] != "statement" {
			continue
		}
		prefix := fmt.Sprintf("request %s ended with %s after %s and %s attempts", f["id"], f["code"], f["total"], f["attempts"])
		if f["code"] == "ok" {
			return prefix + "."
		}
		cause := reasonTexts[outcome.Reason(f["reason"])]
		if cause == "" {
			cause = reasonTexts[refusalReasons[f["code"]]]
		}
		if cause == "" {
			cause = "the server answered " + f["code"] + " " + f["detail"]
		}
		return fmt.Sprintf("%s: %s (server %s by VM %s, queued %s, at the server %s).", prefix, cause, f["server"], f["via"], f["queued"], f["ran"])
	}
	return ""
}
