package platform

import "fmt"

// ConflictError reports a conditional update that met another version.
type ConflictError struct {
	Kind, Name string
	IfVersion  uint64
	Current    Object // zero when the object does not exist
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("platform object %s/%s is at version %d, not %d", e.Kind, e.Name, e.Current.Version, e.IfVersion)
}

// NotFoundError reports an object that does not exist.
type NotFoundError struct{ Kind, Name string }

func (e *NotFoundError) Error() string {
	return fmt.Sprintf("platform object %s/%s does not exist", e.Kind, e.Name)
}

// CompactedError reports a watch from a revision that the platform no longer
// keeps; the caller must list again.
type CompactedError struct{ Since uint64 }

func (e *CompactedError) Error() string {
	return fmt.Sprintf("platform no longer keeps revision %d", e.Since)
}

// UnavailableError reports a call without an answer. A change may have taken
// effect.
type UnavailableError struct {
	Call  string
	Cause error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("platform call %s has no answer: %v", e.Call, e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// RejectedError reports a call that the platform refused for good.
type RejectedError struct {
	Call   string
	Status int // HTTP status
	Body   string
}

func (e *RejectedError) Error() string {
	return fmt.Sprintf("platform refused call %s with status %d: %.200s", e.Call, e.Status, e.Body)
}

// ValueTooLargeError reports a value above MaxValueBytes; nothing was sent.
type ValueTooLargeError struct {
	Kind, Name string
	Bytes      int
}

func (e *ValueTooLargeError) Error() string {
	return fmt.Sprintf("value of %s/%s has %d bytes, want at most %d", e.Kind, e.Name, e.Bytes, MaxValueBytes)
}

// InvalidValueError reports a value that is not JSON; nothing was sent.
type InvalidValueError struct {
	Kind, Name string
	Cause      error
}

func (e *InvalidValueError) Error() string {
	return fmt.Sprintf("value of %s/%s is not JSON: %v", e.Kind, e.Name, e.Cause)
}

// Unwrap returns the cause.
func (e *InvalidValueError) Unwrap() error { return e.Cause }

// BudgetError reports a call that was not sent: the node's budget of calls
// would not have allowed it before the call's deadline.
type BudgetError struct {
	Call  string
	Cause error
}

func (e *BudgetError) Error() string {
	return fmt.Sprintf("budget of platform calls does not allow %s in time: %v", e.Call, e.Cause)
}

// Unwrap returns the cause.
func (e *BudgetError) Unwrap() error { return e.Cause }

// AnswerTooLargeError reports an answer above the client's limit.
type AnswerTooLargeError struct {
	Call       string
	LimitBytes int64
}

func (e *AnswerTooLargeError) Error() string {
	return fmt.Sprintf("answer of platform call %s is longer than %d bytes", e.Call, e.LimitBytes)
}

// StatusError is the HTTP status of a failed answer.
type StatusError struct {
	Status int
	Body   string
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("HTTP status %d: %.200s", e.Status, e.Body)
}
