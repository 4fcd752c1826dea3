package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"regexp"

	"github.com/tailscale/hujson"
)

// maxFileBytes bounds a settings file.
const maxFileBytes = 1 << 20

// SyntaxError reports a settings file that is not valid at a place.
type SyntaxError struct {
	File   string
	Line   int // from 1; 0: unknown
	Column int // from 1, in bytes
	Detail string
}

func (e *SyntaxError) Error() string {
	if e.Line == 0 {
		return fmt.Sprintf("%s: %s", e.File, e.Detail)
	}
	return fmt.Sprintf("%s:%d:%d: %s", e.File, e.Line, e.Column, e.Detail)
}

// ReadError reports a settings file that cannot be read.
type ReadError struct {
	File  string
	Cause error
}

func (e *ReadError) Error() string { return fmt.Sprintf("cannot read settings: %v", e.Cause) }

// Unwrap returns the cause.
func (e *ReadError) Unwrap() error { return e.Cause }

// Load reads and checks a settings file; "-" reads standard input. Errors are
// *ReadError, *SyntaxError, or a joined list of *FieldError.
func Load(file string) (Settings, error) {
	raw, err := read(file)
	if err != nil {
		return Settings{}, &ReadError{File: file, Cause: err}
	}
	s, err := Parse(file, raw)
	if err != nil {
		return Settings{}, err
	}
	return s, s.Check()
}

func read(file string) ([]byte, error) {
	if file == "-" {
		return io.ReadAll(io.LimitReader(os.Stdin, maxFileBytes))
	}
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }() // only read from
	return io.ReadAll(io.LimitReader(f, maxFileBytes))
}

// Parse reads settings over the defaults. name stands for the file in errors.
func Parse(name string, raw []byte) (Settings, error) {
	s := Defaults()
	if err := DecodeStrict(name, raw, &s); err != nil {
		return Settings{}, err
	}
	return s, nil
}

// DecodeStrict reads JSON with comments into v and refuses unknown fields. Its
// errors are *SyntaxError with line and column.
func DecodeStrict(name string, raw []byte, v any) error {
	plain, err := hujson.Standardize(bytes.Clone(raw))
	if err != nil {
		return hujsonError(name, err)
	}
	dec := json.NewDecoder(bytes.NewReader(plain))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return decodeError(name, plain, dec.InputOffset(), err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return newSyntaxError(name, plain, dec.InputOffset(), "unexpected text after the settings")
	}
	return nil
}

// hujsonPlace finds the place in the text of hujson's errors.
var hujsonPlace = regexp.MustCompile(`line (\d+), column (\d+): (.*)`)

func hujsonError(name string, err error) error {
	e := &SyntaxError{File: name, Detail: err.Error()}
	if m := hujsonPlace.FindStringSubmatch(err.Error()); m != nil {
		_, _ = fmt.Sscan(m[1], &e.Line)
		_, _ = fmt.Sscan(m[2], &e.Column)
		e.Detail = m[3]
	}
	return e
}

// unknownField finds the name in the text of encoding/json's error.
var unknownField = regexp.MustCompile(`unknown field "(.*)"`)

func decodeError(name string, raw []byte, offset int64, err error) error {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return newSyntaxError(name, raw, typeErr.Offset, fmt.Sprintf("field %q cannot be a %s", typeErr.Field, typeErr.Value))
	}
	var durationErr *DurationError
	if errors.As(err, &durationErr) {
		if i := bytes.Index(raw, []byte(`"`+durationErr.Text+`"`)); i >= 0 {
			offset = int64(i)
		}
		return newSyntaxError(name, raw, offset, durationErr.Error())
	}
	if m := unknownField.FindStringSubmatch(err.Error()); m != nil {
		return newSyntaxError(name, raw, fieldOffset(raw, m[1], offset), fmt.Sprintf("unknown field %q", m[1]))
	}
	return newSyntaxError(name, raw, offset, err.Error())
}

// fieldOffset returns the offset of the last use of a field name before the
// decoder stopped.
func fieldOffset(raw []byte, field string, stopped int64) int64 {
	stopped = min(stopped, int64(len(raw)))
	name := regexp.MustCompile(`"` + regexp.QuoteMeta(field) + `"\s*:`)
	last := stopped
	for _, at := range name.FindAllIndex(raw, -1) {
		last = int64(at[0])
		if last >= stopped {
			break
		}
	}
	return last
}

func newSyntaxError(name string, raw []byte, offset int64, detail string) *SyntaxError {
	offset = max(0, min(offset, int64(len(raw))))
	before := raw[:offset]
	return &SyntaxError{
		File: name, Detail: detail,
		Line:   bytes.Count(before, []byte("\n")) + 1,
		Column: int(offset) - bytes.LastIndexByte(before, '\n'),
	}
}
