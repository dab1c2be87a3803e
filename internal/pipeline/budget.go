package pipeline

import "sync"

// retryBudget bounds the retries of this entry to a fraction of its requests,
// so that retries do not amplify an overload.
type retryBudget struct {
	mu sync.Mutex
	// ratio is the number of retries that one request earns.
	ratio float64
	// burst is the upper bound of tokens.
	burst  float64
	tokens float64
}

func newRetryBudget(ratio, burst float64) *retryBudget {
	return &retryBudget{ratio: ratio, burst: burst, tokens: burst}
}

// earn adds the retries that one request earns.
func (b *retryBudget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.burst, b.tokens+b.ratio)
}

// take spends one retry, or reports that none is left.
func (b *retryBudget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
