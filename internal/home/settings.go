package home

import (
	"regexp"
	"sort"
	"strings"

	"egretroad/internal/catalogue"
	"egretroad/internal/txn"
)

// settingsPlan is how a connection gets a request's session settings.
type settingsPlan struct {
	key string // equal keys mean equal settings; "" is that of a new connection
	sql string // brings any connection to the settings
	// own says that only settings of the proxy's own choice are set, which a
	// server does not refuse.
	own bool
}

// settingsUnknown is the key of a connection whose settings are not known.
const settingsUnknown = "?"

const readOnlySQL = "RESET ALL; SET default_transaction_read_only = on"

var (
	plainWrite = settingsPlan{key: "", sql: "RESET ALL", own: true}
	plainRead  = settingsPlan{key: "read-only", sql: readOnlySQL, own: true}
)

func planSettings(r txn.Request) settingsPlan {
	plain := plainWrite
	if r.Access == catalogue.AccessRead {
		plain = plainRead
	}
	if len(r.Settings) == 0 {
		return plain
	}
	settings := append([]txn.Setting(nil), r.Settings...)
	sort.Slice(settings, func(i, j int) bool { return settings[i].Name < settings[j].Name })
	var b strings.Builder
	b.WriteString(plain.sql)
	for _, s := range settings {
		b.WriteString("; SET ")
		b.WriteString(settingName(s.Name))
		b.WriteString(" = ")
		b.WriteString(settingValue(s.Name, s.Value))
	}
	sql := b.String()
	return settingsPlan{key: sql, sql: sql}
}

var plainName = regexp.MustCompile(`^[A-Za-z_][A-Za-z0-9_.]*$`)

func settingName(name string) string {
	if plainName.MatchString(name) {
		return name
	}
	return quoteIdentifier(name)
}

// settingValue quotes a value. The elements of a search path are identifiers.
func settingValue(name, value string) string {
	if !strings.EqualFold(name, "search_path") {
		return quoteLiteral(value)
	}
	parts := strings.Split(value, ",")
	for i, p := range parts {
		parts[i] = quoteIdentifier(strings.Trim(strings.TrimSpace(p), `"`))
	}
	return strings.Join(parts, ", ")
}

func quoteIdentifier(s string) string { return `"` + strings.ReplaceAll(s, `"`, `""`) + `"` }

func quoteLiteral(s string) string { return "'" + strings.ReplaceAll(s, "'", "''") + "'" }
