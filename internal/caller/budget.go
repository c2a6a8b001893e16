package caller

import "sync"

const (
	// retriesPerRequest is the number of tokens that a request adds, and so the part of the traffic that retries may
	// add.
	retriesPerRequest = 0.1
	// retryBurst is the capacity of the bucket: the number of retries that are possible at once.
	retryBurst = 10
)

// retryBudget is a token bucket to which requests add and from which retries take, so that retries can't multiply an
// overload.
type retryBudget struct {
	mu     sync.Mutex
	tokens float64
}

func newRetryBudget() *retryBudget { return &retryBudget{tokens: retryBurst} }

// recordRequest adds the tokens of one request.
func (b *retryBudget) recordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+retriesPerRequest, retryBurst)
}

// takeRetry takes the token of one retry and reports whether there was one.
func (b *retryBudget) takeRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
