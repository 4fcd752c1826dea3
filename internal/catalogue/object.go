package catalogue

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"time"
)

// Edit says who made the last change of an entry.
type Edit struct {
	ID string    `json:"id"` // unique; recognizes a change whose answer was lost
	By string    `json:"by"`
	At time.Time `json:"at"`
}

// Object is the value of a platform object of kind "catalogue": the entry's own
// fields and, unless it was written by hand, its last edit.
type Object struct {
	Entry
	Edit *Edit `json:"edit,omitempty"`
}

// DecodeObject reads and checks the value of the catalogue object of the given
// name. Unknown fields are refused: they may carry a limit that this version
// would not keep.
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

// DecodeStrict reads one JSON value and refuses unknown fields and trailing text.
func DecodeStrict(value []byte, out any) error {
	d := json.NewDecoder(bytes.NewReader(value))
	d.DisallowUnknownFields()
	if err := d.Decode(out); err != nil {
		return err
	}
	if _, err := d.Token(); err != io.EOF {
		return &TrailingTextError{Offset: d.InputOffset()}
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
