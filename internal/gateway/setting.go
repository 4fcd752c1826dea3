package gateway

import (
	"strings"

	"egretroad/internal/txn"
)

// Names of the settings that the proxy manages itself.
const (
	settingPrefix = "egretroad."
	settingWork   = "egretroad.work"
	settingMark   = "egretroad.mark"
	settingServer = "egretroad.server"
	settingApp    = "application_name"
)

// setCommand is a parsed SET or RESET.
type setCommand struct {
	Name    string
	Value   string
	Local   bool // SET LOCAL
	Default bool // SET … TO DEFAULT, or RESET
	All     bool // RESET ALL
	// Transaction is set for statements that only affect the current
	// transaction: SET TRANSACTION, SET CONSTRAINTS.
	Transaction bool
}

// parseSet parses SET [SESSION|LOCAL] name {TO|=} value and RESET name. It returns
// false for other forms.
func parseSet(sql string) (setCommand, bool) {
	var c setCommand
	first, rest := nextKeyword(sql)
	word, after := nextKeyword(rest)
	if first == "RESET" {
		name, ok := normalizeSettingName(rest)
		c.Default = true
		c.All = word == "ALL"
		c.Name = name
		return c, ok
	}
	switch word {
	case "TRANSACTION", "CONSTRAINTS":
		c.Transaction = true
		return c, true
	case "LOCAL":
		c.Local = true
		rest = after
	case "SESSION":
		rest = after
	}
	word, after = nextKeyword(rest)
	switch word {
	case "TIME":
		_, after = nextKeyword(after)
		c.Name = "timezone"
		return c.withValue(after)
	case "NAMES":
		c.Name = "client_encoding"
		return c.withValue(after)
	case "TRANSACTION":
		c.Transaction = true
		return c, true
	}
	name, value, ok := splitAssignment(rest)
	if !ok {
		return c, false
	}
	c.Name = name
	return c.withValue(value)
}

// splitAssignment splits "name = value" and "name TO value" into name and value.
func splitAssignment(s string) (name, value string, ok bool) {
	s = skipSpace(s)
	end := strings.IndexFunc(s, func(r rune) bool { return !isWord(r) && r != '.' && r != '"' })
	if end < 0 {
		return "", "", false
	}
	name, ok = normalizeSettingName(s[:end])
	value = skipSpace(s[end:])
	if strings.HasPrefix(value, "=") {
		return name, value[1:], ok
	}
	word, after := nextKeyword(value)
	return name, after, ok && word == "TO"
}

// normalizeSettingName converts a setting name, which may be quoted and contain
// dots, to lower case without quotes. It returns false if the name is invalid.
func normalizeSettingName(s string) (string, bool) {
	name := strings.ToLower(strings.ReplaceAll(trimStatement(s), `"`, ""))
	if name == "" || len(name) > 63 {
		return "", false
	}
	for _, r := range name {
		if !isWord(r) && r != '.' {
			return "", false
		}
	}
	return name, true
}

func (c setCommand) withValue(s string) (setCommand, bool) {
	s = trimStatement(s)
	if s == "" {
		return c, false
	}
	if strings.EqualFold(s, "DEFAULT") {
		c.Default = true
		return c, true
	}
	value, ok := parseSettingValue(s)
	c.Value = value
	return c, ok
}

// parseSettingValue returns the value of a literal or of a list of literals.
func parseSettingValue(s string) (string, bool) {
	if s[0] != '\'' {
		return s, !strings.ContainsAny(s, "'\x00")
	}
	if strings.Count(s, "'")%2 != 0 {
		return "", false // unterminated literal
	}
	if quotedEnd(s) != len(s) {
		// A list such as 'a', 'b' is converted to the server's list format "a", "b".
		return strings.ReplaceAll(s, "'", `"`), !strings.Contains(s, "''") && !strings.Contains(s, `"`)
	}
	return strings.ReplaceAll(s[1:len(s)-1], "''", "'"), true
}

// quotedEnd returns the length of the literal at the start of s, in which quotes
// may be doubled.
func quotedEnd(s string) int {
	end := 0
	for end < len(s) && s[end] == '\'' {
		end += quotedLength(s[end:], '\'', false)
	}
	return end
}

// trimStatement removes surrounding white space, leading comments and trailing
// semicolons.
func trimStatement(s string) string {
	s = strings.TrimSpace(skipSpace(s))
	return strings.TrimSpace(strings.TrimRight(s, "; \t\r\n"))
}

// isLocalSetting reports whether the proxy manages the setting itself.
func isLocalSetting(name string) bool {
	return strings.HasPrefix(name, settingPrefix) || name == settingApp
}

// withSetting returns settings with name set to value. The result is a new slice,
// sorted by name, so that sessions with the same settings have equal slices.
func withSetting(settings []txn.Setting, name, value string) []txn.Setting {
	result := make([]txn.Setting, 0, len(settings)+1)
	inserted := false
	for _, s := range settings {
		if !inserted && s.Name >= name {
			result = append(result, txn.Setting{Name: name, Value: value})
			inserted = true
		}
		if s.Name != name {
			result = append(result, s)
		}
	}
	if !inserted {
		result = append(result, txn.Setting{Name: name, Value: value})
	}
	return result
}

// withoutSetting returns a copy of settings without name.
func withoutSetting(settings []txn.Setting, name string) []txn.Setting {
	var result []txn.Setting
	for _, s := range settings {
		if s.Name != name {
			result = append(result, s)
		}
	}
	return result
}
