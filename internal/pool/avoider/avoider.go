// Package avoider remembers which entry hosts failed to answer, so that requests don't wait for them again and again.
package avoider

import (
	"sync"
	"time"
)

// Avoider decides whether a host is worth asking. The exported fields are set
// before use; it may be used by many goroutines.
type Avoider struct {
	// FirstPause is how long a host is avoided after its first failure; each
	// further one doubles it up to MaximumPause. The one request that tries the
	// host again keeps the others away for FirstPause too.
	FirstPause   time.Duration
	MaximumPause time.Duration

	mu    sync.Mutex
	hosts map[string]failing
}

// failing is a host that didn't answer.
type failing struct {
	failures int
	until    time.Time
}

// Admit reports whether a request may ask host. Of those that come after a
// pause one is admitted: if all were, all would wait for a host that is gone.
func (a *Avoider) Admit(host string, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	f, ok := a.hosts[host]
	if !ok {
		return true
	}
	if now.Before(f.until) {
		return false
	}
	f.until = now.Add(a.FirstPause)
	a.hosts[host] = f
	return true
}

// Avoided reports whether host failed and its pause isn't over.
func (a *Avoider) Avoided(host string, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return now.Before(a.hosts[host].until)
}

// Suspect reports whether host failed and hasn't answered since.
func (a *Avoider) Suspect(host string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	_, ok := a.hosts[host]
	return ok
}

// RecordFailure notes that host didn't answer.
func (a *Avoider) RecordFailure(host string, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.hosts == nil {
		a.hosts = make(map[string]failing)
	}
	f := a.hosts[host]
	// Requests that failed together count once.
	if f.failures > 0 && now.Before(f.until.Add(-a.FirstPause)) {
		return
	}
	const doublings = 4
	f.until = now.Add(min(a.FirstPause<<min(f.failures, doublings), a.MaximumPause))
	f.failures++
	a.hosts[host] = f
}

// RecordAnswer notes that host answered; nothing is held against it any more.
func (a *Avoider) RecordAnswer(host string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.hosts, host)
}

// Retain forgets all hosts that aren't live, so that one that comes back later
// is asked at once.
func (a *Avoider) Retain(live map[string]bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for h := range a.hosts {
		if !live[h] {
			delete(a.hosts, h)
		}
	}
}
