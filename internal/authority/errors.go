package authority

import "fmt"

// ObjectError reports that the value of a platform object cannot be decoded or
// encoded.
type ObjectError struct {
	Kind  string
	Cause error
}

func (e *ObjectError) Error() string {
	return fmt.Sprintf("value of %s object is not valid: %v", e.Kind, e.Cause)
}

// Unwrap returns the cause.
func (e *ObjectError) Unwrap() error { return e.Cause }
