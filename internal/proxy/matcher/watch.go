package matcher

import (
	"sync"
	"sync/atomic"
	"time"
)

// careDuration is how long a server that has answered twice is treated with care.
const careDuration = time.Minute

// Watch remembers which servers have lately sent answers that belonged to no statement. Its zero value is
// ready to use. It is safe for concurrent use.
type Watch struct {
	// latest is when the last of them did so, in nanoseconds since epoch, zero if none has.
	latest atomic.Int64

	mu      sync.Mutex
	servers map[string]time.Time
}

// Record records that the server has sent such an answer.
func (w *Watch) Record(server string, now time.Time) {
	w.latest.Store(int64(now.Sub(epoch)))
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.servers == nil {
		w.servers = make(map[string]time.Time)
	}
	w.servers[server] = now
	for s, t := range w.servers {
		if now.Sub(t) >= careDuration {
			delete(w.servers, s)
		}
	}
}

// Suspicious reports whether the server has sent such an answer lately.
func (w *Watch) Suspicious(server string, now time.Time) bool {
	if t := w.latest.Load(); t == 0 || now.Sub(epoch)-time.Duration(t) >= careDuration {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	t, ok := w.servers[server]
	return ok && now.Sub(t) < careDuration
}
