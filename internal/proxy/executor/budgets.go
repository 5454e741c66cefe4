package executor

import (
	"sync"

	"github.com/cuminwick/cuminwick/internal/limit/retrier"
)

const (
	// retryShare is the part of a group's statements at one entry host that may be retried because
	// a server had no capacity, and retryBurst how many such retries may accumulate.
	retryShare = 0.5
	retryBurst = 10
)

// RetryBudgets bounds, per database group, the retries of statements that servers had no capacity
// for. Its zero value is ready to use. It is safe for concurrent use.
type RetryBudgets struct {
	mu     sync.Mutex
	groups map[string]*retrier.Budget
}

func (b *RetryBudgets) group(name string) *retrier.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.groups == nil {
		b.groups = make(map[string]*retrier.Budget)
	}
	g := b.groups[name]
	if g == nil {
		g = &retrier.Budget{Share: retryShare, Burst: retryBurst}
		b.groups[name] = g
	}
	return g
}
