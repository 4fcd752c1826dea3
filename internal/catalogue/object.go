package catalogue

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"time"
)

// Edit identifies the last change to an entry and its author.
type Edit struct {
	ID string    `json:"id"` // unique; identifies a write whose response was lost
	By string    `json:"by"`
	At time.Time `json:"at"`
}

// Object is the value of a platform object of kind "catalogue": the entry's
// fields and its last edit. Edit is nil if the object was written by hand.
type Object struct {
	Entry
	Edit *Edit `json:"edit,omitempty"`
}

// DecodeObject decodes and validates the value of the named catalogue object. It
// rejects unknown fields, because they may hold a limit that this version would
// not enforce.
func DecodeObject(name string, value []byte) (Object, error) {
	var o Object
	if err := DecodeStrict(value, &o); err != nil {
		return Object{}, &ObjectError{Name: name, Cause: err}
	}
	if o.Name != name {
		return Object{}, &FieldError{Entry: name, Field: "name", Value: fmt.Sprintf("%.80q", o.Name), Want: "the name of its object"}
	}
	if err := o.Check(); err != nil {
		return Object{}, err
	}
	return o, nil
}

// DecodeStrict decodes a single JSON value and rejects unknown fields and trailing
// text.
func DecodeStrict(value []byte, target any) error {
	decoder := json.NewDecoder(bytes.NewReader(value))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return err
	}
	if _, err := decoder.Token(); err != io.EOF {
		return &TrailingTextError{Offset: decoder.InputOffset()}
	}
	return nil
}

// ObjectError reports a catalogue object whose value cannot be decoded.
type ObjectError struct {
	Name  string
	Cause error
}

func (e *ObjectError) Error() string {
	return fmt.Sprintf("catalogue object %q cannot be decoded: %v", e.Name, e.Cause)
}

// Unwrap returns the cause.
func (e *ObjectError) Unwrap() error { return e.Cause }

// TrailingTextError reports text after a JSON value.
type TrailingTextError struct{ Offset int64 }

func (e *TrailingTextError) Error() string {
	return fmt.Sprintf("text after the JSON value at byte %d", e.Offset)
}
