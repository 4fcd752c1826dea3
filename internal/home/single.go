package home

import (
	"bytes"
	"strings"

	"egretroad/internal/txn"
)

// isSingleStatement reports whether a batch is one statement that has the same effect
// when it is wrapped in a transaction block.
func isSingleStatement(b txn.Batch) bool {
	sql, single := singleStatement(b)
	return single && isDataModification(sql)
}

// isOnlyCommit reports whether a batch consists of a single COMMIT.
func isOnlyCommit(b txn.Batch) bool {
	sql, single := singleStatement(b)
	keyword := strings.ToUpper(strings.TrimRight(strings.TrimSpace(sql), "; \t\r\n"))
	return single && (keyword == "COMMIT" || keyword == "END")
}

// singleStatement returns the SQL of a batch, and whether the batch executes exactly
// one statement.
func singleStatement(b txn.Batch) (sql string, single bool) {
	executes := 0
	for rest := b.Messages; len(rest) > 0; {
		message, after, err := splitMessage(rest)
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

// isDataModification reports whether the SQL is a single INSERT, UPDATE, DELETE or
// MERGE.
func isDataModification(sql string) bool {
	sql = strings.TrimRight(strings.TrimSpace(sql), "; \t\r\n")
	if strings.Contains(sql, ";") {
		return false
	}
	keyword, _, _ := strings.Cut(sql, " ")
	switch strings.ToUpper(keyword) {
	case "INSERT", "UPDATE", "DELETE", "MERGE":
		return true
	default:
		return false
	}
}
