package operate

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"

	"egretroad/internal/catalogue"
)

// FieldChange is one field that differs between two entries, in JSON.
type FieldChange struct {
	Field string `json:"field"`
	From  string `json:"from"` // empty: the field is not set
	To    string `json:"to"`
}

func (c FieldChange) String() string {
	return fmt.Sprintf("%s: %s -> %s", c.Field, orUnset(c.From), orUnset(c.To))
}

func orUnset(value string) string {
	if value == "" {
		return "(unset)"
	}
	return value
}

// Diff returns the fields that differ, sorted by name. nil stands for no entry.
func Diff(from, to *catalogue.Entry) []FieldChange {
	a, b := fieldsOf(from), fieldsOf(to)
	names := map[string]bool{}
	for name := range a {
		names[name] = true
	}
	for name := range b {
		names[name] = true
	}
	var changes []FieldChange
	for name := range names {
		if string(a[name]) != string(b[name]) {
			changes = append(changes, FieldChange{Field: name, From: string(a[name]), To: string(b[name])})
		}
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].Field < changes[j].Field })
	return changes
}

func fieldsOf(e *catalogue.Entry) map[string]json.RawMessage {
	fields := map[string]json.RawMessage{}
	if e == nil {
		return fields
	}
	text, err := json.Marshal(e)
	if err == nil {
		err = json.Unmarshal(text, &fields)
	}
	if err != nil {
		// Entries are encoded by their own type and read back as an object.
		panic(&catalogue.ObjectError{Name: e.Name, Cause: err})
	}
	return fields
}

func describeChanges(changes []FieldChange) string {
	if len(changes) == 0 {
		return "no difference"
	}
	lines := make([]string, 0, len(changes))
	for _, c := range changes {
		lines = append(lines, c.String())
	}
	return strings.Join(lines, "; ")
}
