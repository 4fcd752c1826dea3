package catalogue

import (
	"fmt"
	"strings"
)

// UnknownKindError reports a kind of work without an entry for the database, or a
// database without a default kind (Kind is empty).
type UnknownKindError struct {
	Database string
	Kind     string
	Known    []string
}

func (e *UnknownKindError) Error() string {
	if e.Kind == "" {
		return fmt.Sprintf("database %q has no default kind of work; set egretroad.work to one of: %s", e.Database, strings.Join(e.Known, ", "))
	}
	return fmt.Sprintf("kind of work %q is not in the catalogue of database %q; known kinds: %s", e.Kind, e.Database, strings.Join(e.Known, ", "))
}

// UserNotServedError reports a user that none of the kind's entries serves.
type UserNotServedError struct {
	Database string
	Kind     string
	User     string
}

func (e *UserNotServedError) Error() string {
	return fmt.Sprintf("kind of work %q of database %q does not serve user %q", e.Kind, e.Database, e.User)
}

// FieldError reports one invalid field of an entry.
type FieldError struct {
	Entry string
	Field string
	Value string
	Want  string
}

func (e *FieldError) Error() string {
	return fmt.Sprintf("catalogue entry %q: %s is %s, want %s", e.Entry, e.Field, e.Value, e.Want)
}
