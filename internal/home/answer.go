package home

import (
	"time"

	"egretroad/internal/txn"
)

// Sizes for passing answers on, in bytes.
const (
	deliverBytes  = 16 << 10
	streamBytes   = 2 << 10
	maxHeldFactor = 16 // times HeldBytes: the most that is held behind a completion
)

// answer collects a batch's answer for its caller. With hold set, everything is
// kept until flush; past heldLimit, rows before the first CommandComplete are
// delivered.
type answer struct {
	sink       txn.Sink
	hold       bool
	heldLimit  int
	buffer     []byte
	completion int  // place of the first CommandComplete in buffer, plus 1
	failed     bool // an ErrorResponse came
	commitSeen bool // the tag COMMIT came
	completed  bool // a CommandComplete came
	delivered  bool // the caller may have seen a part
	overflow   bool // more was held than is allowed
	prefixes   int  // hidden queries sent before the batch
	sinkError  error
	guard      func() *time.Timer // bounds a delivery while the server waits
}

// add appends an encoded message.
func (a *answer) add(message []byte) {
	a.buffer = append(a.buffer, message...)
	if a.hold {
		a.relieve()
		return
	}
	if len(a.buffer) >= deliverBytes {
		a.deliverGuarded()
	}
}

// addCompletion appends a CommandComplete.
func (a *answer) addCompletion(message []byte) {
	if a.completion == 0 {
		a.completion = len(a.buffer) + 1
	}
	a.completed = true
	a.add(message)
}

// relieve delivers rows that are too many to hold.
func (a *answer) relieve() {
	if len(a.buffer) < a.heldLimit {
		return
	}
	if !a.completed {
		a.deliverGuarded()
		return
	}
	a.overflow = len(a.buffer) > maxHeldFactor*a.heldLimit
}

// stream delivers what has come so far when that is worth a call.
func (a *answer) stream() error {
	if !a.hold && len(a.buffer) >= streamBytes {
		a.deliverGuarded()
	}
	if a.overflow {
		return &HeldAnswerError{Bytes: len(a.buffer)}
	}
	return nil
}

// deliverGuarded delivers while more is to come from the server.
func (a *answer) deliverGuarded() {
	timer := a.guard()
	a.deliver()
	timer.Stop()
}

// deliver hands the buffer to the sink. After a failed delivery the rest of the
// answer is read and dropped.
func (a *answer) deliver() {
	if len(a.buffer) == 0 {
		return
	}
	a.delivered = true
	if a.sinkError == nil {
		a.sinkError = a.sink(a.buffer)
	}
	a.buffer = a.buffer[:0]
}

// flush delivers the rest.
func (a *answer) flush() error {
	a.deliver()
	return a.sinkError
}

// replaceCompletion drops everything from the first CommandComplete on and puts
// an ErrorResponse in its place.
func (a *answer) replaceCompletion(message []byte) {
	if a.completion > 0 {
		a.buffer = a.buffer[:a.completion-1]
	}
	a.failed = true
	a.buffer = append(a.buffer, message...)
}
