package caller

import (
	"sync"
	"sync/atomic"

	"github.com/cuminwick/cuminwick/internal/soak/checker"
)

// Recorder collects the history of the callers of one group.
type Recorder struct {
	mu      sync.Mutex
	history checker.History
	// value is the last value that nextValue returned.
	value atomic.Int64
}

// Update calls f with the history while it holds the recorder's lock.
func (r *Recorder) Update(f func(h *checker.History)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(&r.history)
}

// nextValue returns a value higher than all that it returned before. The checker relies on growing
// values of each item.
func (r *Recorder) nextValue() int { return int(r.value.Add(1)) }

// History returns the history without locking, so only once all sessions have ended.
func (r *Recorder) History() *checker.History { return &r.history }
