package home

import (
	"bytes"
	"strings"

	"egretroad/internal/txn"
)

// isSingleStatement reports whether a batch outside a transaction block is one
// statement that may run inside of one instead, without another meaning.
func isSingleStatement(b txn.Batch) bool {
	sql, one := onlyStatement(b)
	return one && isPlainStatement(sql)
}

// isLoneCommit reports whether a batch is nothing but a COMMIT.
func isLoneCommit(b txn.Batch) bool {
	sql, one := onlyStatement(b)
	word := strings.ToUpper(strings.TrimRight(strings.TrimSpace(sql), "; \t\r\n"))
	return one && (word == "COMMIT" || word == "END")
}

// onlyStatement returns the SQL of a batch that executes one statement.
func onlyStatement(b txn.Batch) (sql string, one bool) {
	executes := 0
	for rest := b.Messages; len(rest) > 0; {
		message, after, err := cutMessage(rest)
		if err != nil {
			return "", false
		}
		rest = after
		body := message[messageHeaderBytes:]
		switch message[0] {
		case 'Q':
			executes++
			sql = cString(body)
		case 'E':
			executes++
		case 'P':
			if end := bytes.IndexByte(body, 0); end >= 0 {
				sql = cString(body[end+1:])
			}
		}
	}
	if sql == "" && len(b.Statements) == 1 {
		sql = b.Statements[0].SQL
	}
	return sql, executes == 1 && !b.Flush
}

// isPlainStatement reports whether SQL is one data statement.
func isPlainStatement(sql string) bool {
	sql = strings.TrimRight(strings.TrimSpace(sql), "; \t\r\n")
	if strings.Contains(sql, ";") {
		return false
	}
	word, _, _ := strings.Cut(sql, " ")
	switch strings.ToUpper(word) {
	case "INSERT", "UPDATE", "DELETE", "MERGE":
		return true
	default:
		return false
	}
}
