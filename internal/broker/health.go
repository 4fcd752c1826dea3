package broker

import (
	"sync"
	"time"
)

// health records when a server answered and when it failed to, on CLOCK_BOOTTIME.
type health struct {
	mu       sync.Mutex // guards the fields below
	answered time.Duration
	failed   time.Duration // first failure since the last answer; 0: none
	cause    error
	proof    Proof
	provenAt time.Duration // before the server was asked for the proof
}

// ok notes an answer.
func (h *health) ok(now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.answered, h.failed, h.cause = now, 0, nil
}

// fail notes that an answer did not come, asked for at the given time.
func (h *health) fail(asked time.Duration, cause error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if asked < h.answered {
		return
	}
	if h.failed == 0 {
		h.failed = asked
	}
	h.cause = cause
}

// silence returns the time since the first question without an answer.
func (h *health) silence(now time.Duration) (time.Duration, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.failed == 0 {
		return 0, nil
	}
	return now - h.failed, h.cause
}

// prove notes a position of the leading server, asked for at the given time.
func (h *health) prove(p Proof, asked time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if p.Mark.IsZero() || asked <= h.provenAt {
		return
	}
	h.proof, h.provenAt = p, asked
}

// proven returns the last proof with its age; false when there is none.
func (h *health) proven(now time.Duration) (Proof, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.provenAt == 0 {
		return Proof{}, false
	}
	return Proof{Mark: h.proof.Mark, Age: now - h.provenAt}, true
}
