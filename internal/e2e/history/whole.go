package history

import (
	"fmt"
	"hash/crc32"
	"strconv"
	"strings"
)

// Payload returns a value for a key that carries the key, a unique name and
// padding, closed by a checksum, so that a foreign or cut answer is recognised.
func Payload(key, unique string, padding int) string {
	body := key + "|" + unique + "|" + strings.Repeat("x", padding)
	return body + "|" + strconv.FormatUint(uint64(crc32.ChecksumIEEE([]byte(body))), 16)
}

// CheckPayload checks that a value is whole and belongs to the key.
func CheckPayload(key, value string) []Violation {
	i := strings.LastIndexByte(value, '|')
	if i < 0 || strconv.FormatUint(uint64(crc32.ChecksumIEEE([]byte(value[:i]))), 16) != value[i+1:] {
		return []Violation{{RuleWholeAnswers, key, fmt.Sprintf("value of %d bytes has a wrong checksum", len(value))}}
	}
	if owner, _, _ := strings.Cut(value, "|"); owner != key {
		return []Violation{{RuleWholeAnswers, key, fmt.Sprintf("answer belongs to key %q", owner)}}
	}
	return nil
}

// CheckReads checks the answer of every read that met a row.
func CheckReads(ops []Operation) []Violation {
	var found []Violation
	for _, op := range ops {
		if op.Kind == Read && op.Outcome == OK && op.Found {
			found = append(found, CheckPayload(op.Key, op.Value)...)
		}
	}
	return found
}

// Row is one row of a list answer.
type Row struct{ Key, Value string }

// CheckList checks an ordered list: every row whole, keys rising, the command
// tag's count equal to the rows, and every key of required present.
func CheckList(rows []Row, tagCount int64, required []string) []Violation {
	var found []Violation
	if tagCount != int64(len(rows)) {
		found = append(found, Violation{RuleWholeAnswers, "list", fmt.Sprintf("%d rows, but the server counted %d", len(rows), tagCount)})
	}
	present := map[string]bool{}
	previous := ""
	for i, r := range rows {
		found = append(found, CheckPayload(r.Key, r.Value)...)
		if i > 0 && r.Key <= previous {
			found = append(found, Violation{RuleWholeAnswers, r.Key, "list is not in order"})
		}
		previous = r.Key
		present[r.Key] = true
	}
	for _, key := range required {
		if !present[key] {
			found = append(found, Violation{RuleWholeAnswers, key, "row is missing from the list"})
		}
	}
	return found
}
