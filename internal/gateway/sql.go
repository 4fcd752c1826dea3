package gateway

import "strings"

// statementKind classifies a statement by its first keywords.
type statementKind int

const (
	kindOther statementKind = iota
	kindEmpty
	kindRead     // read-only, unless a function that it calls writes
	kindBegin    // opens a transaction block
	kindCommit   // commits a transaction
	kindRollback // rolls back a transaction
	kindSavepoint
	kindSet
	kindReset
	kindShow
	kindDiscardAll  // DISCARD ALL
	kindDeallocAll  // DEALLOCATE ALL
	kindUnsupported // not supported, for example since it leaves state on a pooled connection
)

// statement is one SQL statement and its classification.
type statement struct {
	SQL         string
	Kind        statementKind
	Unsupported *unsupportedFeature // set for kindUnsupported
	set         setCommand          // for kindSet and kindReset, if setOK
	setOK       bool
	showName    string // for kindShow: the name of the setting
}

// unsupportedFeature names a feature that the proxy does not support and an
// alternative to it.
type unsupportedFeature struct {
	Name string
	Hint string
}

var (
	unsupportedCopy            = &unsupportedFeature{"COPY", "Use INSERT with several rows, or connect to the backend server."}
	unsupportedListen          = &unsupportedFeature{"LISTEN", "Notifications need a connection of their own; connect to the backend server."}
	unsupportedTemp            = &unsupportedFeature{"a temporary table", "Connections are shared between sessions; use a common table expression or an ordinary table."}
	unsupportedRole            = &unsupportedFeature{"changing the role of a session", "Connect as the user that the work needs."}
	unsupportedPrepare         = &unsupportedFeature{"PREPARE, EXECUTE or DEALLOCATE by SQL", "Use the protocol's prepared statements, as client libraries do."}
	unsupportedTwoPhase        = &unsupportedFeature{"two-phase commit", "Use one transaction on one database."}
	unsupportedHold            = &unsupportedFeature{"a cursor WITH HOLD", "Use the cursor inside one transaction."}
	unsupportedLock            = &unsupportedFeature{"a session-level advisory lock", "Use pg_advisory_xact_lock, which ends with the transaction."}
	unsupportedLoad            = &unsupportedFeature{"LOAD", "Load libraries on the backend server."}
	unsupportedDiscard         = &unsupportedFeature{"DISCARD of a part", "Use DISCARD ALL."}
	unsupportedCharacteristics = &unsupportedFeature{"SET SESSION CHARACTERISTICS", "Name the transaction mode in BEGIN, or set default_transaction_isolation."}
	unsupportedChain           = &unsupportedFeature{"AND CHAIN", "Send BEGIN for the next transaction."}
	unsupportedMulti           = &unsupportedFeature{"a session statement among several in one query", "Send it as a query of its own."}
)

var keywordKinds = map[string]statementKind{
	"SELECT": kindRead, "VALUES": kindRead, "TABLE": kindRead, "EXPLAIN": kindRead, "FETCH": kindRead,
	"MOVE": kindRead, "CLOSE": kindRead, "DECLARE": kindRead, "WITH": kindRead,
	"BEGIN": kindBegin, "START": kindBegin, "COMMIT": kindCommit, "END": kindCommit,
	"ROLLBACK": kindRollback, "ABORT": kindRollback, "SAVEPOINT": kindSavepoint, "RELEASE": kindSavepoint,
	"SET": kindSet, "RESET": kindReset, "SHOW": kindShow,
}

var unsupportedKeywords = map[string]*unsupportedFeature{
	"COPY": unsupportedCopy, "LISTEN": unsupportedListen, "UNLISTEN": unsupportedListen, "EXECUTE": unsupportedPrepare,
	"DEALLOCATE": unsupportedPrepare, "LOAD": unsupportedLoad, "DISCARD": unsupportedDiscard,
}

// sessionLockFunctions are the functions that take advisory locks which outlive
// the transaction.
var sessionLockFunctions = []string{"pg_advisory_lock", "pg_try_advisory_lock"}

// classify classifies one statement by its first keywords.
func classify(sql string) statement {
	st := statement{SQL: sql}
	first, rest := nextKeyword(sql)
	if first == "" {
		if strings.TrimLeft(skipSpace(sql), ";") == "" {
			st.Kind = kindEmpty
		}
		return st
	}
	st.Kind = keywordKinds[first]
	st.Unsupported = unsupportedKeywords[first]
	second, third := "", ""
	switch first {
	case "SELECT", "WITH", "VALUES", "EXPLAIN":
		st.Unsupported = checkSessionLocks(sql)
		if first != "SELECT" && containsWrite(rest) {
			st.Kind = kindOther
		}
	case "CREATE", "PREPARE", "COMMIT", "ROLLBACK", "DECLARE", "DEALLOCATE", "DISCARD", "SET", "RESET":
		second, rest = nextKeyword(rest)
		third, _ = nextKeyword(rest)
	}
	switch {
	case first == "PREPARE" && second == "TRANSACTION", second == "PREPARED" && first != "CREATE":
		st.Unsupported = unsupportedTwoPhase
	case first == "PREPARE":
		st.Unsupported = unsupportedPrepare
	case first == "CREATE" && (isTemp(second) || isTemp(third)):
		st.Unsupported = unsupportedTemp
	case first == "DECLARE" && strings.Contains(strings.ToUpper(sql), "WITH HOLD"):
		st.Unsupported = unsupportedHold
	case first == "DEALLOCATE" && (second == "ALL" || second == "PREPARE" && third == "ALL"):
		st.Kind, st.Unsupported = kindDeallocAll, nil
	case first == "DISCARD" && second == "ALL":
		st.Kind, st.Unsupported = kindDiscardAll, nil
	case first == "ROLLBACK" && isSavepointTarget(rest, second):
		st.Kind = kindSavepoint
	case (st.Kind == kindCommit || st.Kind == kindRollback) && hasAndChain(sql):
		st.Unsupported = unsupportedChain
	case (first == "SET" || first == "RESET") && isRole(second, third):
		st.Unsupported = unsupportedRole
	case first == "SET" && second == "SESSION" && third == "CHARACTERISTICS":
		st.Unsupported = unsupportedCharacteristics
	}
	if st.Unsupported != nil {
		st.Kind = kindUnsupported
	}
	st.parseSetting(rest)
	return st
}

// parseSetting parses the setting of SET, RESET and SHOW.
func (st *statement) parseSetting(rest string) {
	switch st.Kind {
	case kindSet, kindReset:
		st.set, st.setOK = parseSet(st.SQL)
	case kindShow:
		st.showName, _ = normalizeSettingName(rest)
	}
}

func isTemp(word string) bool { return word == "TEMP" || word == "TEMPORARY" }

func isRole(second, third string) bool {
	return second == "ROLE" || second == "SESSION_AUTHORIZATION" || third == "ROLE" ||
		(second == "SESSION" && third == "AUTHORIZATION")
}

// isSavepointTarget reports whether a ROLLBACK has the form
// ROLLBACK [WORK | TRANSACTION] TO.
func isSavepointTarget(rest, second string) bool {
	if second == "TO" {
		return true
	}
	third, _ := nextKeyword(rest)
	return (second == "WORK" || second == "TRANSACTION") && third == "TO"
}

// hasAndChain reports whether the statement ends with AND CHAIN (not AND NO CHAIN).
func hasAndChain(sql string) bool {
	words := strings.Fields(strings.ToUpper(trimStatement(sql)))
	n := len(words)
	return n > 2 && words[n-1] == "CHAIN" && words[n-2] == "AND"
}

func checkSessionLocks(sql string) *unsupportedFeature {
	if len(sql) < len(sessionLockFunctions[0]) || !strings.Contains(sql, "advisory_lock") {
		return nil
	}
	lower := strings.ToLower(sql)
	for _, f := range sessionLockFunctions {
		if strings.Contains(lower, f) {
			return unsupportedLock
		}
	}
	return nil
}

// containsWrite reports whether sql contains the keyword of a statement that
// writes. Statements that start like a read may write in a common table expression
// or by EXPLAIN ANALYZE.
func containsWrite(sql string) bool {
	for _, word := range strings.FieldsFunc(strings.ToUpper(sql), func(r rune) bool { return !isWord(r) }) {
		switch word {
		case "INSERT", "UPDATE", "DELETE", "MERGE":
			return true
		}
	}
	return false
}

// commitsTransaction reports whether the statement may commit an open transaction.
func (st statement) commitsTransaction() bool { return st.Kind == kindCommit }

// nextKeyword returns the first word of sql in upper case and the text after it.
func nextKeyword(sql string) (word, rest string) {
	sql = skipSpace(sql)
	for i, r := range sql {
		if !isWord(r) {
			return strings.ToUpper(sql[:i]), sql[i:]
		}
	}
	return strings.ToUpper(sql), ""
}

func isWord(r rune) bool {
	return r == '_' || r >= '0' && r <= '9' || r >= 'A' && r <= 'Z' || r >= 'a' && r <= 'z' || r >= 0x80
}

// skipSpace removes leading white space and comments.
func skipSpace(sql string) string {
	for {
		sql = strings.TrimLeft(sql, " \t\r\n\f\v")
		n := commentLength(sql)
		if n == 0 {
			return sql
		}
		sql = sql[n:]
	}
}

// commentLength returns the length of the comment at the start of sql, or 0.
func commentLength(sql string) int {
	if strings.HasPrefix(sql, "--") {
		if end := strings.IndexByte(sql, '\n'); end >= 0 {
			return end + 1
		}
		return len(sql)
	}
	if !strings.HasPrefix(sql, "/*") {
		return 0
	}
	depth := 1
	for i := 2; i+1 < len(sql); i++ {
		switch sql[i : i+2] {
		case "/*":
			depth++
			i++
		case "*/":
			depth--
			i++
			if depth == 0 {
				return i + 1
			}
		}
	}
	return len(sql)
}

// splitStatements splits a simple query into statements at the semicolons outside
// literals and comments. It omits empty statements.
func splitStatements(sql string) []string {
	if end := strings.IndexByte(sql, ';'); end < 0 || skipSpace(sql[end+1:]) == "" {
		return []string{sql}
	}
	var parts []string
	add := func(part string) {
		if skipSpace(part) != "" {
			parts = append(parts, part)
		}
	}
	start := 0
	for i := 0; i < len(sql); {
		if sql[i] == ';' {
			add(sql[start:i])
			start = i + 1
		}
		i += max(1, tokenLength(sql, i))
	}
	add(sql[start:])
	return parts
}

// tokenLength returns the length of the literal or comment at sql[i:], or 0.
func tokenLength(sql string, i int) int {
	switch sql[i] {
	case '-', '/':
		return commentLength(sql[i:])
	case '"':
		return quotedLength(sql[i:], '"', false)
	case '\'':
		escapes := i > 0 && (sql[i-1] == 'e' || sql[i-1] == 'E') && (i == 1 || !isWord(rune(sql[i-2])))
		return quotedLength(sql[i:], '\'', escapes)
	case '$':
		if i > 0 && isWord(rune(sql[i-1])) {
			return 0
		}
		return dollarLength(sql[i:])
	}
	return 0
}

func quotedLength(s string, quote byte, escapes bool) int {
	for i := 1; i < len(s); i++ {
		switch {
		case escapes && s[i] == '\\':
			i++
		case s[i] == quote:
			return i + 1
		}
	}
	return len(s)
}

func dollarLength(s string) int {
	end := strings.IndexByte(s[1:], '$')
	if end < 0 || strings.ContainsFunc(s[1:1+end], func(r rune) bool { return !isWord(r) }) {
		return 0
	}
	tag := s[:end+2]
	if len(tag) > 2 && tag[1] >= '0' && tag[1] <= '9' {
		return 0
	}
	closing := strings.Index(s[len(tag):], tag)
	if closing < 0 {
		return len(s)
	}
	return closing + 2*len(tag)
}
