package operate

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"

	"egretroad/internal/catalogue"
)

// FieldChange is a field that differs between two entries; values are JSON text.
type FieldChange struct {
	Field string `json:"field"`
	From  string `json:"from"` // empty: the field is not set
	To    string `json:"to"`
}

func (c FieldChange) String() string {
	return fmt.Sprintf("%s: %s -> %s", c.Field, formatValue(c.From), formatValue(c.To))
}

func formatValue(value string) string {
	if value == "" {
		return "(unset)"
	}
	return value
}

// Diff returns the fields that differ, sorted by name. A nil entry has no fields.
func Diff(from, to *catalogue.Entry) []FieldChange {
	fromFields, toFields := jsonFields(from), jsonFields(to)
	names := map[string]bool{}
	for name := range fromFields {
		names[name] = true
	}
	for name := range toFields {
		names[name] = true
	}
	var changes []FieldChange
	for name := range names {
		if string(fromFields[name]) != string(toFields[name]) {
			changes = append(changes, FieldChange{Field: name, From: string(fromFields[name]), To: string(toFields[name])})
		}
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].Field < changes[j].Field })
	return changes
}

func jsonFields(e *catalogue.Entry) map[string]json.RawMessage {
	fields := map[string]json.RawMessage{}
	if e == nil {
		return fields
	}
	text, err := json.Marshal(e)
	if err == nil {
		err = json.Unmarshal(text, &fields)
	}
	if err != nil {
		// Unreachable: a struct always encodes to a JSON object.
		panic(&catalogue.ObjectError{Name: e.Name, Cause: err})
	}
	return fields
}

func formatChanges(changes []FieldChange) string {
	if len(changes) == 0 {
		return "no changes"
	}
	lines := make([]string, 0, len(changes))
	for _, c := range changes {
		lines = append(lines, c.String())
	}
	return strings.Join(lines, "; ")
}
