package authority

import "fmt"

// ObjectError reports a platform object whose value cannot be parsed.
type ObjectError struct {
	Kind  string
	Cause error
}

func (e *ObjectError) Error() string {
	return fmt.Sprintf("value of %s object is not valid: %v", e.Kind, e.Cause)
}

// Unwrap returns the cause.
func (e *ObjectError) Unwrap() error { return e.Cause }
