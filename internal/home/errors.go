package home

import "fmt"

// HeldAnswerError reports a write whose answer is too large to hold until the
// write is confirmed.
type HeldAnswerError struct{ Bytes int }

func (e *HeldAnswerError) Error() string {
	return fmt.Sprintf("answer of %d bytes is too large to hold until the write is confirmed", e.Bytes)
}
