package broker

import (
	"sync"
	"time"
)

// health is the failure detector of one server. It records responses, failures and
// proofs of leadership, on CLOCK_BOOTTIME.
type health struct {
	mu           sync.Mutex // guards the fields below
	lastResponse time.Duration
	firstFailure time.Duration // send time of the first failed request since the last response; 0: none
	lastError    error
	proof        Proof
	provenAt     time.Duration // send time of the request that returned the proof
}

// recordSuccess records a response.
func (h *health) recordSuccess(now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastResponse, h.firstFailure, h.lastError = now, 0, nil
}

// recordFailure records that a request sent at sentAt failed. It ignores requests sent
// before the last response.
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

// unresponsiveFor returns the time since the first request without a response, and the
// last error; zero while the server responds.
func (h *health) unresponsiveFor(now time.Duration) (time.Duration, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.firstFailure == 0 {
		return 0, nil
	}
	return now - h.firstFailure, h.lastError
}

// recordProof records the position of a primary from a request sent at sentAt, unless a
// proof from a later request is known.
func (h *health) recordProof(p Proof, sentAt time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if p.Mark.IsZero() || sentAt <= h.provenAt {
		return
	}
	h.proof, h.provenAt = p, sentAt
}

// lastProof returns the last proof with its current age; false if there is none.
func (h *health) lastProof(now time.Duration) (Proof, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.provenAt == 0 {
		return Proof{}, false
	}
	return Proof{Mark: h.proof.Mark, Age: now - h.provenAt}, true
}
