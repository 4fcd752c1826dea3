package home

import "sync"

// retryBudget is a token bucket that bounds retries to a fraction of the requests,
// so that retries do not multiply the load on a failing server.
type retryBudget struct {
	mu     sync.Mutex
	ratio  float64
	burst  float64
	tokens float64
}

func newRetryBudget(ratio, burst float64) *retryBudget {
	return &retryBudget{ratio: ratio, burst: burst, tokens: burst}
}

// deposit adds the tokens of one request.
func (b *retryBudget) deposit() {
	b.mu.Lock()
	b.tokens = min(b.burst, b.tokens+b.ratio)
	b.mu.Unlock()
}

// tryWithdraw removes one token and reports whether a retry is allowed.
func (b *retryBudget) tryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
