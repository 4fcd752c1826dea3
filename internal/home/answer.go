package home

import (
	"time"

	"egretroad/internal/txn"
)

// Thresholds for delivering buffered response bytes to the caller.
const (
	deliverThresholdBytes = 16 << 10
	streamThresholdBytes  = 2 << 10
	maxHeldFactor         = 16 // times MaxHeldBytes: the limit on bytes held from a CommandComplete on
)

// response buffers the response to a batch and delivers it to the caller. With hold
// set, messages stay in the buffer until flush, so that the caller sees no
// CommandComplete of a write before the write is confirmed; past heldLimit, rows
// before the first CommandComplete are delivered.
type response struct {
	sink          txn.Sink
	hold          bool
	heldLimit     int
	buffer        []byte
	completionPos int  // 1 + offset of the first CommandComplete in buffer; 0: none
	failed        bool // an ErrorResponse was received
	commitSeen    bool // a CommandComplete with the tag COMMIT was received
	completed     bool // a CommandComplete was received
	delivered     bool // part of the response may have reached the caller
	overflow      bool // the held bytes exceed maxHeldFactor*heldLimit
	hiddenQueries int  // hidden queries ahead of the batch whose responses are outstanding
	sinkError     error
	startTimer    func() *time.Timer // starts the time-out of a delivery that blocks the connection
}

// add appends an encoded message.
func (r *response) add(message []byte) {
	r.buffer = append(r.buffer, message...)
	if r.hold {
		r.enforceHeldLimit()
		return
	}
	if len(r.buffer) >= deliverThresholdBytes {
		r.deliverWithTimeout()
	}
}

// addCompletion appends a CommandComplete.
func (r *response) addCompletion(message []byte) {
	if r.completionPos == 0 {
		r.completionPos = len(r.buffer) + 1
	}
	r.completed = true
	r.add(message)
}

// enforceHeldLimit delivers rows that exceed heldLimit. Bytes from a
// CommandComplete on must stay in the buffer; too many of them set overflow.
func (r *response) enforceHeldLimit() {
	if len(r.buffer) < r.heldLimit {
		return
	}
	if !r.completed {
		r.deliverWithTimeout()
		return
	}
	r.overflow = len(r.buffer) > maxHeldFactor*r.heldLimit
}

// deliverPartial delivers the buffer if it has reached streamThresholdBytes. It is
// called when no further message has been read from the server.
func (r *response) deliverPartial() error {
	if !r.hold && len(r.buffer) >= streamThresholdBytes {
		r.deliverWithTimeout()
	}
	if r.overflow {
		return &HeldResponseError{Bytes: len(r.buffer)}
	}
	return nil
}

// deliverWithTimeout delivers the buffer while the server may have more messages to
// send. If the caller does not read in time, the timer discards the connection.
func (r *response) deliverWithTimeout() {
	timer := r.startTimer()
	r.deliver()
	timer.Stop()
}

// deliver passes the buffer to the sink. After a sink error, the rest of the
// response is read from the server and discarded.
func (r *response) deliver() {
	if len(r.buffer) == 0 {
		return
	}
	r.delivered = true
	if r.sinkError == nil {
		r.sinkError = r.sink(r.buffer)
	}
	r.buffer = r.buffer[:0]
}

// flush delivers the rest of the buffer and returns the first sink error.
func (r *response) flush() error {
	r.deliver()
	return r.sinkError
}

// replaceCompletion replaces everything from the first CommandComplete on with an
// ErrorResponse.
func (r *response) replaceCompletion(message []byte) {
	if r.completionPos > 0 {
		r.buffer = r.buffer[:r.completionPos-1]
	}
	r.failed = true
	r.buffer = append(r.buffer, message...)
}
