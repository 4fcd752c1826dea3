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

// MaxInputBytes bounds a file of entries.
const MaxInputBytes = 4 << 20

// Input is one entry of an operator's file. Version is the version that the
// change was based on; nil: the version in the store now.
type Input struct {
	catalogue.Entry
	Version *uint64 `json:"version,omitempty"`
}

// InputError reports text that is not a valid entry.
type InputError struct {
	Line, Column int // from 1; 0: not known
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

// UnknownFieldError reports a field that entries do not have.
type UnknownFieldError struct {
	Field string
	Known []string
}

func (e *UnknownFieldError) Error() string {
	return fmt.Sprintf("unknown field %q; known fields: %s", e.Field, strings.Join(e.Known, ", "))
}

// InputTooLargeError reports a file above MaxInputBytes.
type InputTooLargeError struct{ Bytes int }

func (e *InputTooLargeError) Error() string {
	return fmt.Sprintf("input has %d bytes, want at most %d", e.Bytes, MaxInputBytes)
}

// WrongShapeError reports a JSON value that is no entry.
type WrongShapeError struct{}

func (*WrongShapeError) Error() string { return "want an entry or an array of entries" }

// ParseEntries reads one entry or an array of entries from JSON with comments
// and checks them. It returns every fault, joined.
func ParseEntries(text []byte) ([]Input, error) {
	if len(text) > MaxInputBytes {
		return nil, &InputTooLargeError{Bytes: len(text)}
	}
	root, err := hujson.Parse(text)
	if err != nil {
		return nil, &InputError{Cause: err}
	}
	var inputs []Input
	var faults []error
	for _, v := range entryValues(&root) {
		input, err := parseEntry(text, v)
		inputs, faults = append(inputs, input), append(faults, err)
	}
	return inputs, errors.Join(faults...)
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
		return Input{}, at(text, v.StartOffset, &WrongShapeError{})
	}
	if err := checkFields(text, object); err != nil {
		return Input{}, err
	}
	standard := v.Clone()
	standard.Standardize()
	var input Input
	if err := json.Unmarshal(standard.Pack(), &input); err != nil {
		return Input{}, typeError(text, object, v.StartOffset, err)
	}
	if err := input.Check(); err != nil {
		return input, at(text, v.StartOffset, err)
	}
	return input, nil
}

// checkFields refuses unknown and repeated fields.
func checkFields(text []byte, object *hujson.Object) error {
	known := fieldNames(reflect.TypeFor[Input]())
	seen := map[string]bool{}
	var faults []error
	for _, member := range object.Members {
		name := memberName(member)
		switch {
		case !contains(known, name):
			faults = append(faults, at(text, member.Name.StartOffset, &UnknownFieldError{Field: name, Known: known}))
		case seen[name]:
			faults = append(faults, at(text, member.Name.StartOffset, &RepeatedFieldError{Field: name}))
		}
		seen[name] = true
	}
	return errors.Join(faults...)
}

// RepeatedFieldError reports a field that is given twice.
type RepeatedFieldError struct{ Field string }

func (e *RepeatedFieldError) Error() string { return fmt.Sprintf("field %q is given twice", e.Field) }

// FieldTypeError reports a value of the wrong JSON type.
type FieldTypeError struct {
	Field string
	Got   string
	Want  string
}

func (e *FieldTypeError) Error() string {
	return fmt.Sprintf("field %q is a %s, want a %s", e.Field, e.Got, e.Want)
}

// typeError places an error of decoding at the field that caused it.
func typeError(text []byte, object *hujson.Object, start int, err error) error {
	var wrong *json.UnmarshalTypeError
	if !errors.As(err, &wrong) {
		return at(text, start, err)
	}
	field := wrong.Field[strings.LastIndex(wrong.Field, ".")+1:]
	for _, member := range object.Members {
		if memberName(member) == field {
			start = member.Value.StartOffset
		}
	}
	return at(text, start, &FieldTypeError{Field: field, Got: wrong.Value, Want: wrong.Type.String()})
}

func memberName(m hujson.ObjectMember) string {
	literal, _ := m.Name.Value.(hujson.Literal)
	return literal.String()
}

// at adds the line and column of a byte offset to an error.
func at(text []byte, offset int, cause error) error {
	before := string(text[:min(offset, len(text))])
	return &InputError{
		Line:   1 + strings.Count(before, "\n"),
		Column: len(before) - strings.LastIndex(before, "\n"),
		Cause:  cause,
	}
}

// fieldNames returns the JSON names of a struct's fields, embedded ones included.
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

// Input returns the item in the form that Apply takes back: the change is then
// based on the version shown.
func (i Item) Input() Input {
	version := i.Version
	return Input{Entry: i.Entry, Version: &version}
}
