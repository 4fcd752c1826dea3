package home

import "sync"

// retryBudget lets retries be a bounded share of the requests, so that a failing
// server is not asked many times over.
type retryBudget struct {
	mu     sync.Mutex
	share  float64
	burst  float64
	tokens float64
}

func newRetryBudget(share, burst float64) *retryBudget {
	return &retryBudget{share: share, burst: burst, tokens: burst}
}

// earn adds one request's part.
func (b *retryBudget) earn() {
	b.mu.Lock()
	b.tokens = min(b.burst, b.tokens+b.share)
	b.mu.Unlock()
}

// spend takes one retry, if there is one.
func (b *retryBudget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
