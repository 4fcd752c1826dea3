package history

import (
	"fmt"
	"strings"
)

// Statement is one statement that a backend server executed. Slices of
// statements are in execution order.
type Statement struct {
	Server string
	Conn   uint32
	SQL    string
	Args   []string
}

// TagPrefix starts the tag of a transaction in keys and values: tag#<name>#.
const TagPrefix = "tag#"

// Tag returns the text that assigns a statement to the transaction of this name.
func Tag(name string) string { return TagPrefix + name + "#" }

// findTag returns the tag in the text or arguments of a statement, or "".
func findTag(st Statement) string {
	for _, text := range append([]string{st.SQL}, st.Args...) {
		_, rest, ok := strings.Cut(text, TagPrefix)
		if !ok {
			continue
		}
		if name, _, ok := strings.Cut(rest, "#"); ok {
			return name
		}
	}
	return ""
}

// CheckInterleaving checks that each connection executes tagged statements of only
// one transaction between BEGIN and the end of the transaction.
func CheckInterleaving(statements []Statement) []Violation {
	type connKey struct {
		server string
		conn   uint32
	}
	var violations []Violation
	openTags := map[connKey]string{} // tag of the open transaction, "?" before its first tagged statement
	for _, st := range statements {
		k := connKey{st.Server, st.Conn}
		verb, _, _ := strings.Cut(strings.ToLower(strings.TrimSpace(st.SQL)), " ")
		switch verb {
		case "begin", "start":
			if tag, inTransaction := openTags[k]; inTransaction {
				violations = append(violations, Violation{RuleNoInterleaving, tag, fmt.Sprintf("BEGIN inside an open transaction on server %s, connection %d", st.Server, st.Conn)})
			}
			openTags[k] = "?"
			continue
		case "commit", "rollback", "end", "abort":
			delete(openTags, k)
			continue
		}
		tag := findTag(st)
		openTag, inTransaction := openTags[k]
		if !inTransaction || tag == "" {
			continue
		}
		if openTag == "?" {
			openTags[k] = tag
			continue
		}
		if openTag != tag {
			violations = append(violations, Violation{RuleNoInterleaving, openTag, fmt.Sprintf("%q ran inside this transaction on server %s, connection %d", st.SQL, st.Server, st.Conn)})
		}
	}
	return violations
}

// CheckSentOnce checks that each write statement was executed at most once on all
// servers together. Work that is not repeatable is sent only once, even if its
// first transaction is known to be rolled back. Every write must have a unique
// value.
func CheckSentOnce(statements []Statement) []Violation {
	executions := map[string]int{}
	var violations []Violation
	for _, st := range statements {
		verb, _, _ := strings.Cut(strings.ToLower(st.SQL), " ")
		if verb != "insert" && verb != "update" {
			continue
		}
		id := st.SQL + "\x00" + strings.Join(st.Args, "\x00")
		executions[id]++
		if executions[id] == 2 {
			violations = append(violations, Violation{RuleSentOnce, findTag(st), fmt.Sprintf("the write ran a second time on server %s, connection %d", st.Server, st.Conn)})
		}
	}
	return violations
}

// Transaction is the set of rows that one commit wrote.
type Transaction struct {
	Database string
	Keys     []string
}

// CheckAtomicity checks that each commit contains rows of only one tag, and as many
// of them as rowsPerTag gives for the tag.
func CheckAtomicity(transactions []Transaction, rowsPerTag map[string]int) []Violation {
	var violations []Violation
	for _, c := range transactions {
		tags := map[string]int{}
		for _, key := range c.Keys {
			if tag := findTag(Statement{SQL: key}); tag != "" {
				tags[tag]++
			}
		}
		if len(tags) > 1 {
			violations = append(violations, Violation{RuleNoInterleaving, strings.Join(c.Keys, ","), "one commit contains rows of several transactions"})
		}
		for tag, n := range tags {
			if want := rowsPerTag[tag]; want != n {
				violations = append(violations, Violation{RuleNoInterleaving, tag, fmt.Sprintf("the commit contains %d of the %d rows of the transaction", n, want)})
			}
		}
	}
	return violations
}
