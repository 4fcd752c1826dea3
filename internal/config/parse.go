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

// maxFileBytes limits the size of a settings file.
const maxFileBytes = 1 << 20

// SyntaxError reports invalid JSON, an unknown field or a value of the wrong type,
// with its position in the settings file.
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

// Load reads and validates a settings file; "-" reads standard input. Errors are
// *ReadError, *SyntaxError, or joined *FieldErrors.
func Load(file string) (Settings, error) {
	raw, err := readFile(file)
	if err != nil {
		return Settings{}, &ReadError{File: file, Cause: err}
	}
	s, err := Parse(file, raw)
	if err != nil {
		return Settings{}, err
	}
	return s, s.Check()
}

func readFile(file string) ([]byte, error) {
	if file == "-" {
		return io.ReadAll(io.LimitReader(os.Stdin, maxFileBytes))
	}
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }() // opened read-only
	return io.ReadAll(io.LimitReader(f, maxFileBytes))
}

// Parse decodes settings on top of Defaults, without validation. name identifies
// the file in errors.
func Parse(name string, raw []byte) (Settings, error) {
	s := Defaults()
	if err := DecodeStrict(name, raw, &s); err != nil {
		return Settings{}, err
	}
	return s, nil
}

// DecodeStrict decodes JSON with comments into v and rejects unknown fields and
// trailing text. Errors are *SyntaxError with line and column.
func DecodeStrict(name string, raw []byte, v any) error {
	standard, err := hujson.Standardize(bytes.Clone(raw))
	if err != nil {
		return hujsonError(name, err)
	}
	dec := json.NewDecoder(bytes.NewReader(standard))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return decodeError(name, standard, dec.InputOffset(), err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return newSyntaxError(name, standard, dec.InputOffset(), "unexpected text after the settings")
	}
	return nil
}

// hujsonPosition extracts line, column and message from the text of a hujson error.
var hujsonPosition = regexp.MustCompile(`line (\d+), column (\d+): (.*)`)

func hujsonError(name string, err error) error {
	e := &SyntaxError{File: name, Detail: err.Error()}
	if m := hujsonPosition.FindStringSubmatch(err.Error()); m != nil {
		_, _ = fmt.Sscan(m[1], &e.Line)
		_, _ = fmt.Sscan(m[2], &e.Column)
		e.Detail = m[3]
	}
	return e
}

// unknownFieldPattern extracts the field name from an encoding/json error, which
// has no type of its own.
var unknownFieldPattern = regexp.MustCompile(`unknown field "(.*)"`)

func decodeError(name string, raw []byte, offset int64, err error) error {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return newSyntaxError(name, raw, typeErr.Offset, fmt.Sprintf("field %q does not accept a %s", typeErr.Field, typeErr.Value))
	}
	var durationErr *DurationError
	if errors.As(err, &durationErr) {
		if i := bytes.Index(raw, []byte(`"`+durationErr.Text+`"`)); i >= 0 {
			offset = int64(i)
		}
		return newSyntaxError(name, raw, offset, durationErr.Error())
	}
	if m := unknownFieldPattern.FindStringSubmatch(err.Error()); m != nil {
		return newSyntaxError(name, raw, fieldOffset(raw, m[1], offset), fmt.Sprintf("unknown field %q", m[1]))
	}
	return newSyntaxError(name, raw, offset, err.Error())
}

// fieldOffset returns the offset of the last occurrence of a field name before
// decoderOffset, where the decoder stopped.
func fieldOffset(raw []byte, field string, decoderOffset int64) int64 {
	decoderOffset = min(decoderOffset, int64(len(raw)))
	pattern := regexp.MustCompile(`"` + regexp.QuoteMeta(field) + `"\s*:`)
	offset := decoderOffset
	for _, match := range pattern.FindAllIndex(raw, -1) {
		offset = int64(match[0])
		if offset >= decoderOffset {
			break
		}
	}
	return offset
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
