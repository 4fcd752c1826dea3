// Package explain finds the way of one request in the logs of several VMs and says
// why it ended as it did. It reads the lines that sessions and homes write.
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

// maxLineBytes is the longest line that is read; longer ones end the reading.
const maxLineBytes = 1 << 20

// Line is one log line.
type Line struct {
	Fields map[string]string
	Text   string
	order  int // place in the input: of one VM's lines, the order in which they were written
}

// Parse reads a line of key=value pairs; text before the first pair is passed over.
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

// Read returns the lines about a request, a session or a server.
func Read(inputs []io.Reader, id string) ([]Line, error) {
	var lines []Line
	order := 0
	for _, input := range inputs {
		s := bufio.NewScanner(input)
		s.Buffer(nil, maxLineBytes)
		for s.Scan() {
			order++
			if !strings.Contains(s.Text(), id) {
				continue
			}
			fields := Parse(s.Text())
			if fields["id"] == id || fields["session"] == id || fields["server"] == id {
				lines = append(lines, Line{Fields: fields, Text: s.Text(), order: order})
			}
		}
		if err := s.Err(); err != nil {
			return nil, fmt.Errorf("reading the logs: %w", err)
		}
	}
	return lines, nil
}

// stage orders the lines of one attempt by cause: the home's line comes before
// that of the session that it answered, whatever their clocks say.
func stage(l Line) int {
	switch l.Fields["event"] {
	case "home_statement":
		return 0
	case "attempt_failed":
		return 1
	default:
		return 2
	}
}

// Order sorts the lines of a request: by attempt, then by cause. Lines of homes
// belong to the attempt that went to their server.
func Order(lines []Line) []Line {
	attempts := map[string][]int{} // by home and server
	for _, l := range lines {
		if l.Fields["event"] == "attempt_failed" {
			n, err := strconv.Atoi(l.Fields["attempt"])
			if err == nil {
				key := l.Fields["via"] + "/" + l.Fields["server"]
				attempts[key] = append(attempts[key], n)
			}
		}
	}
	const last = 1 << 30
	place := make(map[int]int, len(lines))
	for _, l := range lines {
		place[l.order] = last
		switch l.Fields["event"] {
		case "attempt_failed":
			if n, err := strconv.Atoi(l.Fields["attempt"]); err == nil {
				place[l.order] = n
			}
		case "home_statement":
			key := l.Fields["vm"] + "/" + l.Fields["server"]
			if known := attempts[key]; len(known) > 0 {
				place[l.order], attempts[key] = known[0], known[1:]
			}
		}
	}
	sorted := append([]Line(nil), lines...)
	sort.SliceStable(sorted, func(i, j int) bool {
		a, b := sorted[i], sorted[j]
		if place[a.order] != place[b.order] {
			return place[a.order] < place[b.order]
		}
		if stage(a) != stage(b) {
			return stage(a) < stage(b)
		}
		return a.order < b.order
	})
	return sorted
}

// causes say what a reason means for the one on call.
var causes = map[outcome.Reason]string{
	outcome.ReasonDeadline:      "no slot of the server was free in time: the server is overloaded, or slow",
	outcome.ReasonQueueFull:     "the server's queue was full",
	outcome.ReasonMemory:        "the server's queue had reached its bound on memory",
	outcome.ReasonNoPrimary:     "the group had no primary that takes work: a promotion was in progress or not possible",
	outcome.ReasonNoServer:      "no server of the group was registered or left to try",
	outcome.ReasonBehind:        "the replicas lacked the log position that the read had to see",
	outcome.ReasonMarkUnknown:   "no log position was proven young enough for the read: the primary or its home was not to be reached",
	outcome.ReasonReplaced:      "the servers asked did not lead their group",
	outcome.ReasonHomeLost:      "the VM that is home of the server did not answer",
	outcome.ReasonConnect:       "no connection to the server was to be had",
	outcome.ReasonConnLost:      "the connection to the server broke",
	outcome.ReasonStatementTime: "the server did not answer within the statement's time",
	outcome.ReasonLeaving:       "the server was leaving",
	outcome.ReasonTxnAborted:    "the transaction had ended before: it was idle for too long, or its home had lost it",
	outcome.ReasonUnavailable:   "the server refused the statement",
}

// serverRefusals are the reasons behind codes with which a server itself refused
// the last attempt.
var serverRefusals = map[string]outcome.Reason{
	statement.Behind.String():   outcome.ReasonBehind,
	statement.ReadOnly.String(): outcome.ReasonReplaced,
}

// Cause says in one sentence why a request ended as it did; "" when the lines do
// not tell.
func Cause(lines []Line) string {
	for i := len(lines) - 1; i >= 0; i-- {
		f := lines[i].Fields
		if f["event"] != "statement" {
			continue
		}
		head := fmt.Sprintf("request %s ended with %s after %s and %s attempts", f["id"], f["code"], f["total"], f["attempts"])
		if f["code"] == "ok" {
			return head + "."
		}
		cause := causes[outcome.Reason(f["reason"])]
		if cause == "" {
			cause = causes[serverRefusals[f["code"]]]
		}
		if cause == "" {
			cause = "the server answered " + f["code"] + " " + f["detail"]
		}
		return fmt.Sprintf("%s: %s (server %s by VM %s, queued %s, at the server %s).", head, cause, f["server"], f["via"], f["queued"], f["ran"])
	}
	return ""
}
