package caller

import "sync"

const (
	// retryShare is the part of the traffic that retries may add.
	retryShare = 0.1
	// retryBurst is the number of retries that quiet traffic saves up.
	retryBurst = 10
)

// budget is a token bucket that requests fill and retries empty, so that retries can't multiply an overload.
type budget struct {
	mu     sync.Mutex
	tokens float64
}

func newBudget() *budget { return &budget{tokens: retryBurst} }

func (b *budget) request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+retryShare, retryBurst)
}

func (b *budget) retry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
