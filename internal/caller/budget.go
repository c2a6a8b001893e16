package caller

import "sync"

const (
	// retriesPerRequest is the part of the traffic that retries may add.
	retriesPerRequest = 0.1
	// retryBurst is the number of retries that quiet traffic saves up.
	retryBurst = 10
)

// retryBudget is a token bucket that requests fill and retries empty, so that retries can't multiply an overload.
type retryBudget struct {
	mu     sync.Mutex
	tokens float64
}

func newRetryBudget() *retryBudget { return &retryBudget{tokens: retryBurst} }

func (b *retryBudget) recordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+retriesPerRequest, retryBurst)
}

func (b *retryBudget) takeRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
