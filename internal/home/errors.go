package home

import "fmt"

// HeldResponseError reports a write whose response is too large to hold back until
// the write is confirmed.
type HeldResponseError struct{ Bytes int }

func (e *HeldResponseError) Error() string {
	return fmt.Sprintf("answer of %d bytes is too large to hold until the write is confirmed", e.Bytes)
}
