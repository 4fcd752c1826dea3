package broker

import (
	"sync"
	"time"
)

// health records when a server answered and when it failed to, on CLOCK_BOOTTIME.
type health struct {
	mu           sync.Mutex // guards the fields below
	lastResponse time.Duration
	firstFailure time.Duration // first failure since the last answer; 0: none
	lastError    error
	proof        Proof
	provenAt     time.Duration // before the server was asked for the proof
}

// ok notes an answer.
func (h *health) recordSuccess(now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastResponse, h.firstFailure, h.lastError = now, 0, nil
}

// fail notes that an answer did not come, asked for at the given time.
func (h *health) recordFailure(sentAt time.Duration, cause error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if sentAt < h.lastResponse {
		return
	}
	if h.firstFailure == 0 {
		h.firstFailure = sentAt
	}
	h.lastError = cause
}

// silence returns the time since the first question without an answer.
func (h *health) unresponsiveFor(now time.Duration) (time.Duration, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.firstFailure == 0 {
		return 0, nil
	}
	return now - h.firstFailure, h.lastError
}

// prove notes a position of the leading server, asked for at the given time.
func (h *health) recordProof(p Proof, sentAt time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if p.Mark.IsZero() || sentAt <= h.provenAt {
		return
	}
	h.proof, h.provenAt = p, sentAt
}

// proven returns the last proof with its age; false when there is none.
func (h *health) lastProof(now time.Duration) (Proof, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.provenAt == 0 {
		return Proof{}, false
	}
	return Proof{Mark: h.proof.Mark, Age: now - h.provenAt}, true
}
