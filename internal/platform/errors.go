package platform

import "fmt"

// ConflictError reports a conditional change whose expected version is not current.
type ConflictError struct {
	Kind, Name string
	IfVersion  uint64
	Current    Object // zero when the object does not exist
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("platform object %s/%s is at version %d, expected %d", e.Kind, e.Name, e.Current.Version, e.IfVersion)
}

// NotFoundError reports an object that does not exist.
type NotFoundError struct{ Kind, Name string }

func (e *NotFoundError) Error() string {
	return fmt.Sprintf("platform object %s/%s does not exist", e.Kind, e.Name)
}

// CompactedError reports a watch from a revision whose history the platform has
// discarded. The caller must list again.
type CompactedError struct{ Since uint64 }

func (e *CompactedError) Error() string {
	return fmt.Sprintf("platform has compacted revision %d", e.Since)
}

// NotListedError reports a watch of a kind that the store has not listed to this process, or
// not since it compacted the revision to watch from. The caller must list the kind first.
type NotListedError struct{ Kind string }

func (e *NotListedError) Error() string {
	return fmt.Sprintf("kind %s cannot be watched before it has been listed", e.Kind)
}

// UnavailableError reports a call without a usable response. A change may have taken
// effect.
type UnavailableError struct {
	Call  string
	Cause error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("platform call %s got no usable response: %v", e.Call, e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// RejectedError reports a call that the platform refused; retrying does not help.
type RejectedError struct {
	Call   string
	Status int // HTTP status
	Body   string
}

func (e *RejectedError) Error() string {
	return fmt.Sprintf("platform refused call %s with HTTP status %d: %.200s", e.Call, e.Status, e.Body)
}

// ValueTooLargeError reports a value larger than MaxValueBytes. Nothing was sent.
type ValueTooLargeError struct {
	Kind, Name string
	Bytes      int
}

func (e *ValueTooLargeError) Error() string {
	return fmt.Sprintf("value of %s/%s has %d bytes, want at most %d", e.Kind, e.Name, e.Bytes, MaxValueBytes)
}

// InvalidValueError reports a value that cannot be encoded as JSON. Nothing was sent.
type InvalidValueError struct {
	Kind, Name string
	Cause      error
}

func (e *InvalidValueError) Error() string {
	return fmt.Sprintf("cannot encode value of %s/%s as JSON: %v", e.Kind, e.Name, e.Cause)
}

// Unwrap returns the cause.
func (e *InvalidValueError) Unwrap() error { return e.Cause }

// BudgetError reports a call that was not sent because the client's rate limit would
// not have admitted it before the call's deadline.
type BudgetError struct {
	Call  string
	Cause error
}

func (e *BudgetError) Error() string {
	return fmt.Sprintf("rate limit of platform calls does not admit %s before its deadline: %v", e.Call, e.Cause)
}

// Unwrap returns the cause.
func (e *BudgetError) Unwrap() error { return e.Cause }

// ResponseTooLargeError reports a response body larger than the client's limit.
type ResponseTooLargeError struct {
	Call       string
	LimitBytes int64
}

func (e *ResponseTooLargeError) Error() string {
	return fmt.Sprintf("response to platform call %s is longer than %d bytes", e.Call, e.LimitBytes)
}

// StatusError is the HTTP status and body of an error response.
type StatusError struct {
	Status int
	Body   string
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("HTTP status %d: %.200s", e.Status, e.Body)
}
