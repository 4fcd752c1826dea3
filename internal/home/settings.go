package home

import (
	"regexp"
	"sort"
	"strings"

	"egretroad/internal/catalogue"
	"egretroad/internal/txn"
)

// settingsPlan describes how to give a connection a request's session settings.
type settingsPlan struct {
	key string // equal keys mean equal settings; "" is the key of a new connection
	sql string // applies the settings to a connection in any state
	// proxyOnly means that the plan contains only the proxy's own settings, which a
	// server does not reject.
	proxyOnly bool
}

// settingsUnknown is the key of a connection whose settings are unknown.
const settingsUnknown = "?"

const readOnlySQL = "RESET ALL; SET default_transaction_read_only = on"

var (
	defaultWriteSettings = settingsPlan{key: "", sql: "RESET ALL", proxyOnly: true}
	defaultReadSettings  = settingsPlan{key: "read-only", sql: readOnlySQL, proxyOnly: true}
)

func planSettings(r txn.Request) settingsPlan {
	defaults := defaultWriteSettings
	if r.Access == catalogue.AccessRead {
		defaults = defaultReadSettings
	}
	if len(r.Settings) == 0 {
		return defaults
	}
	settings := append([]txn.Setting(nil), r.Settings...)
	sort.Slice(settings, func(i, j int) bool { return settings[i].Name < settings[j].Name })
	var b strings.Builder
	b.WriteString(defaults.sql)
	for _, s := range settings {
		b.WriteString("; SET ")
		b.WriteString(quoteSettingName(s.Name))
		b.WriteString(" = ")
		b.WriteString(quoteSettingValue(s.Name, s.Value))
	}
	sql := b.String()
	return settingsPlan{key: sql, sql: sql}
}

var unquotedName = regexp.MustCompile(`^[A-Za-z_][A-Za-z0-9_.]*$`)

func quoteSettingName(name string) string {
	if unquotedName.MatchString(name) {
		return name
	}
	return quoteIdentifier(name)
}

// quoteSettingValue quotes a setting's value. The elements of search_path are quoted
// as identifiers, all other values as one literal.
func quoteSettingValue(name, value string) string {
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
