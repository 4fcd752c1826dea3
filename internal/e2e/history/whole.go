package history

import (
	"fmt"
	"hash/crc32"
	"strconv"
	"strings"
)

// Payload returns a value that consists of its key, a unique ID, padding and a
// checksum, so that CheckPayload detects truncated values and values of other keys.
func Payload(key, uniqueID string, padding int) string {
	body := key + "|" + uniqueID + "|" + strings.Repeat("x", padding)
	return body + "|" + strconv.FormatUint(uint64(crc32.ChecksumIEEE([]byte(body))), 16)
}

// CheckPayload checks the checksum of a value and that it belongs to the key.
func CheckPayload(key, value string) []Violation {
	i := strings.LastIndexByte(value, '|')
	if i < 0 || strconv.FormatUint(uint64(crc32.ChecksumIEEE([]byte(value[:i]))), 16) != value[i+1:] {
		return []Violation{{RuleCompleteResponses, key, fmt.Sprintf("checksum mismatch in a value of %d bytes", len(value))}}
	}
	if owner, _, _ := strings.Cut(value, "|"); owner != key {
		return []Violation{{RuleCompleteResponses, key, fmt.Sprintf("value belongs to key %q", owner)}}
	}
	return nil
}

// CheckReadPayloads checks the value of every read that returned a row.
func CheckReadPayloads(ops []Operation) []Violation {
	var violations []Violation
	for _, op := range ops {
		if op.Kind == Read && op.Outcome == OK && op.Found {
			violations = append(violations, CheckPayload(op.Key, op.Value)...)
		}
	}
	return violations
}

// Row is one row of a list response.
type Row struct{ Key, Value string }

// CheckListResponse checks the response to a list query that orders by key: every
// value is valid, keys are strictly ascending, the count in the command tag equals
// the number of rows, and all required keys are present.
func CheckListResponse(rows []Row, tagCount int64, required []string) []Violation {
	var violations []Violation
	if tagCount != int64(len(rows)) {
		violations = append(violations, Violation{RuleCompleteResponses, "list", fmt.Sprintf("%d rows received, but the command tag says %d", len(rows), tagCount)})
	}
	present := map[string]bool{}
	previous := ""
	for i, r := range rows {
		violations = append(violations, CheckPayload(r.Key, r.Value)...)
		if i > 0 && r.Key <= previous {
			violations = append(violations, Violation{RuleCompleteResponses, r.Key, "list is not sorted by key"})
		}
		previous = r.Key
		present[r.Key] = true
	}
	for _, key := range required {
		if !present[key] {
			violations = append(violations, Violation{RuleCompleteResponses, key, "row is missing from the list"})
		}
	}
	return violations
}
