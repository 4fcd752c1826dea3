package run

import (
	"fmt"

	"egretroad/internal/topology"
)

// DecodeError reports that a message from a peer cannot be decoded.
type DecodeError struct {
	From  string // VM ID
	Cause error
}

func (e *DecodeError) Error() string {
	return fmt.Sprintf("message from VM %s is not valid: %v", e.From, e.Cause)
}

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Cause }

// EncodeError reports that a message body cannot be encoded.
type EncodeError struct{ Cause error }

func (e *EncodeError) Error() string { return "message cannot be encoded: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *EncodeError) Unwrap() error { return e.Cause }

// NotAppliedError reports that a replica responded without having applied a mark
// (session consistency token: database, term, log position) in the mark's term.
type NotAppliedError struct {
	Status topology.ServerStatus
	Mark   topology.Mark
}

func (e *NotAppliedError) Error() string {
	return fmt.Sprintf("replica %s is at term %d position %d, not at term %d position %d",
		e.Status.Server, e.Status.Term, e.Status.Position, e.Mark.Term, e.Mark.Position)
}
