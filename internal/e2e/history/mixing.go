package history

import (
	"fmt"
	"strings"
)

// Statement is one statement as a backend server executed it, in order.
type Statement struct {
	Server string
	Conn   uint32
	SQL    string
	Args   []string
}

// TagMark starts the tag of a transaction inside keys or values: tag#<name>#.
const TagMark = "tag#"

// Tag returns the text that marks a transaction's statements.
func Tag(name string) string { return TagMark + name + "#" }

// tagOf returns the tag in a statement's text or arguments, or "".
func tagOf(st Statement) string {
	for _, text := range append([]string{st.SQL}, st.Args...) {
		_, rest, ok := strings.Cut(text, TagMark)
		if !ok {
			continue
		}
		if name, _, ok := strings.Cut(rest, "#"); ok {
			return name
		}
	}
	return ""
}

// CheckMixing checks that between BEGIN and its end each connection ran tagged
// statements of one transaction only.
func CheckMixing(statements []Statement) []Violation {
	type connKey struct {
		server string
		conn   uint32
	}
	var found []Violation
	open := map[connKey]string{} // tag of the open transaction; "?" before its first
	for _, st := range statements {
		k := connKey{st.Server, st.Conn}
		verb, _, _ := strings.Cut(strings.ToLower(strings.TrimSpace(st.SQL)), " ")
		switch verb {
		case "begin", "start":
			if tag, in := open[k]; in {
				found = append(found, Violation{RuleNoMixing, tag, fmt.Sprintf("BEGIN inside a transaction on %s connection %d", st.Server, st.Conn)})
			}
			open[k] = "?"
			continue
		case "commit", "rollback", "end", "abort":
			delete(open, k)
			continue
		}
		tag := tagOf(st)
		current, in := open[k]
		if !in || tag == "" {
			continue
		}
		if current == "?" {
			open[k] = tag
			continue
		}
		if current != tag {
			found = append(found, Violation{RuleNoMixing, current, fmt.Sprintf("%q ran inside it on %s connection %d", st.SQL, st.Server, st.Conn)})
		}
	}
	return found
}

// CheckSentOnce checks that no server executed a write statement that another
// execution, on any server, had run before: work that is not repeatable is sent
// once, also where its first transaction is known to be rolled back. Every write
// must have a unique value.
func CheckSentOnce(statements []Statement) []Violation {
	executed := map[string]int{}
	var found []Violation
	for _, st := range statements {
		verb, _, _ := strings.Cut(strings.ToLower(st.SQL), " ")
		if verb != "insert" && verb != "update" {
			continue
		}
		id := st.SQL + "\x00" + strings.Join(st.Args, "\x00")
		executed[id]++
		if executed[id] == 2 {
			found = append(found, Violation{RuleSentOnce, tagOf(st), fmt.Sprintf("a write ran again on %s connection %d", st.Server, st.Conn)})
		}
	}
	return found
}

// Transaction is the set of rows that one commit wrote.
type Transaction struct {
	Database string
	Keys     []string
}

// CheckWholeTransactions checks that each commit holds the rows of one tag
// only, and all of the given number of rows of that tag.
func CheckWholeTransactions(commits []Transaction, rows map[string]int) []Violation {
	var found []Violation
	for _, c := range commits {
		tags := map[string]int{}
		for _, key := range c.Keys {
			if tag := tagOf(Statement{SQL: key}); tag != "" {
				tags[tag]++
			}
		}
		if len(tags) > 1 {
			found = append(found, Violation{RuleNoMixing, strings.Join(c.Keys, ","), "one commit holds rows of several transactions"})
		}
		for tag, n := range tags {
			if want := rows[tag]; want != n {
				found = append(found, Violation{RuleNoMixing, tag, fmt.Sprintf("a commit holds %d of its %d rows", n, want)})
			}
		}
	}
	return found
}
