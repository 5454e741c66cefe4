package matcher

import (
	"sync"
	"sync/atomic"
	"time"
)

// careDuration is how long the servers of a database group are treated with care after one has answered twice.
const careDuration = time.Minute

// Watch remembers in which database groups a server has lately sent an answer that belonged to no statement: the
// servers of a group run the same software. Its zero value is ready to use. It is safe for concurrent use.
type Watch struct {
	// latest is when the last one did so, in nanoseconds since epoch, zero if none has.
	latest atomic.Int64

	mu     sync.Mutex
	groups map[string]time.Time
}

// Record records that a server of the group has sent such an answer.
func (w *Watch) Record(group string, now time.Time) {
	w.latest.Store(int64(now.Sub(epoch)))
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.groups == nil {
		w.groups = make(map[string]time.Time)
	}
	w.groups[group] = now
	for g, t := range w.groups {
		if now.Sub(t) >= careDuration {
			delete(w.groups, g)
		}
	}
}

// Suspicious reports whether a server of the group has sent such an answer lately.
func (w *Watch) Suspicious(group string, now time.Time) bool {
	if t := w.latest.Load(); t == 0 || now.Sub(epoch)-time.Duration(t) >= careDuration {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	t, ok := w.groups[group]
	return ok && now.Sub(t) < careDuration
}
