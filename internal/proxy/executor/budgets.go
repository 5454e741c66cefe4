package executor

import (
	"sync"

	"github.com/cuminwick/cuminwick/internal/limit/retrier"
)

const (
	// retryShare is the part of a group's statements at one entry host that may be sent
	// again since a server had no room, and retryBurst how many may be saved up.
	retryShare = 0.5
	retryBurst = 10
)

// RetryBudgets bounds by group how many statements are sent again to servers that had no
// room. Its zero value is ready; it may be used by many goroutines.
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
