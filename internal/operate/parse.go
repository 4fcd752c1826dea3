package operate

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"

	"github.com/tailscale/hujson"

	"egretroad/internal/catalogue"
)

// MaxInputBytes limits the size of a file of entries.
const MaxInputBytes = 4 << 20

// Input is one entry of an operator's file. Version is the version on which the
// change is based; nil stands for the version in the store.
type Input struct {
	catalogue.Entry
	Version *uint64 `json:"version,omitempty"`
}

// InputError reports an invalid entry and its position in the input.
type InputError struct {
	Line, Column int // from 1; 0: unknown
	Cause        error
}

func (e *InputError) Error() string {
	if e.Line == 0 {
		return e.Cause.Error()
	}
	return fmt.Sprintf("line %d, column %d: %v", e.Line, e.Column, e.Cause)
}

// Unwrap returns the cause.
func (e *InputError) Unwrap() error { return e.Cause }

// UnknownFieldError reports a field that is not part of Input.
type UnknownFieldError struct {
	Field string
	Known []string
}

func (e *UnknownFieldError) Error() string {
	return fmt.Sprintf("unknown field %q; known fields: %s", e.Field, strings.Join(e.Known, ", "))
}

// InputTooLargeError reports input larger than MaxInputBytes.
type InputTooLargeError struct{ Bytes int }

func (e *InputTooLargeError) Error() string {
	return fmt.Sprintf("input has %d bytes, want at most %d", e.Bytes, MaxInputBytes)
}

// NotAnEntryError reports a JSON value that is not an object.
type NotAnEntryError struct{}

func (*NotAnEntryError) Error() string { return "want an entry or an array of entries" }

// ParseEntries decodes one entry or an array of entries from JSON with comments
// and validates them. It returns the errors of all entries, joined.
func ParseEntries(text []byte) ([]Input, error) {
	if len(text) > MaxInputBytes {
		return nil, &InputTooLargeError{Bytes: len(text)}
	}
	root, err := hujson.Parse(text)
	if err != nil {
		return nil, &InputError{Cause: err}
	}
	var inputs []Input
	var errs []error
	for _, v := range entryValues(&root) {
		input, err := parseEntry(text, v)
		inputs, errs = append(inputs, input), append(errs, err)
	}
	return inputs, errors.Join(errs...)
}

// entryValues returns the elements of an array, or the value itself.
func entryValues(root *hujson.Value) []*hujson.Value {
	array, isArray := root.Value.(*hujson.Array)
	if !isArray {
		return []*hujson.Value{root}
	}
	var values []*hujson.Value
	for i := range array.Elements {
		values = append(values, &array.Elements[i])
	}
	return values
}

func parseEntry(text []byte, v *hujson.Value) (Input, error) {
	object, isObject := v.Value.(*hujson.Object)
	if !isObject {
		return Input{}, withPosition(text, v.StartOffset, &NotAnEntryError{})
	}
	if err := checkFields(text, object); err != nil {
		return Input{}, err
	}
	standard := v.Clone()
	standard.Standardize()
	var input Input
	if err := json.Unmarshal(standard.Pack(), &input); err != nil {
		return Input{}, locateTypeError(text, object, v.StartOffset, err)
	}
	if err := input.CheckInput(); err != nil {
		return input, withPosition(text, v.StartOffset, err)
	}
	return input, nil
}

// checkFields rejects unknown and duplicate fields.
func checkFields(text []byte, object *hujson.Object) error {
	known := fieldNames(reflect.TypeFor[Input]())
	seen := map[string]bool{}
	var errs []error
	for _, member := range object.Members {
		name := memberName(member)
		switch {
		case !contains(known, name):
			errs = append(errs, withPosition(text, member.Name.StartOffset, &UnknownFieldError{Field: name, Known: known}))
		case seen[name]:
			errs = append(errs, withPosition(text, member.Name.StartOffset, &DuplicateFieldError{Field: name}))
		}
		seen[name] = true
	}
	return errors.Join(errs...)
}

// DuplicateFieldError reports a field that occurs more than once in an entry.
type DuplicateFieldError struct{ Field string }

func (e *DuplicateFieldError) Error() string { return fmt.Sprintf("duplicate field %q", e.Field) }

// FieldTypeError reports a value of the wrong JSON type.
type FieldTypeError struct {
	Field string
	Got   string
	Want  string
}

func (e *FieldTypeError) Error() string {
	return fmt.Sprintf("field %q is a %s, want a %s", e.Field, e.Got, e.Want)
}

// locateTypeError adds a position to a decoding error: that of the field's value if
// the value has the wrong type, else offset.
func locateTypeError(text []byte, object *hujson.Object, offset int, err error) error {
	var typeErr *json.UnmarshalTypeError
	if !errors.As(err, &typeErr) {
		return withPosition(text, offset, err)
	}
	field := typeErr.Field[strings.LastIndex(typeErr.Field, ".")+1:]
	for _, member := range object.Members {
		if memberName(member) == field {
			offset = member.Value.StartOffset
		}
	}
	return withPosition(text, offset, &FieldTypeError{Field: field, Got: typeErr.Value, Want: typeErr.Type.String()})
}

func memberName(m hujson.ObjectMember) string {
	literal, _ := m.Name.Value.(hujson.Literal)
	return literal.String()
}

// withPosition wraps an error in an InputError with the line and column of a byte
// offset.
func withPosition(text []byte, offset int, cause error) error {
	before := string(text[:min(offset, len(text))])
	return &InputError{
		Line:   1 + strings.Count(before, "\n"),
		Column: len(before) - strings.LastIndex(before, "\n"),
		Cause:  cause,
	}
}

// fieldNames returns the JSON names of a struct's fields, including those of
// embedded structs.
func fieldNames(t reflect.Type) []string {
	var names []string
	for i := range t.NumField() {
		f := t.Field(i)
		if f.Anonymous {
			names = append(names, fieldNames(f.Type)...)
			continue
		}
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		names = append(names, name)
	}
	return names
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}

// Input returns the item as input for Apply, based on the item's version.
func (i Item) Input() Input {
	version := i.Version
	return Input{Entry: i.Entry, Version: &version}
}
