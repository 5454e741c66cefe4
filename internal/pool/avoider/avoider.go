// Package avoider tracks which entry hosts failed to respond, so that requests don't wait for them repeatedly.
package avoider

import (
	"sync"
	"time"
)

// Avoider decides whether a request may be sent to a host, like a circuit breaker per host. The
// exported fields are set before use; it may be used by many goroutines.
type Avoider struct {
	// FirstPause is how long a host is avoided after its first failure. Each further failure
	// doubles the pause, up to MaximumPause. While one request retries the host, others avoid it
	// for FirstPause too.
	FirstPause   time.Duration
	MaximumPause time.Duration

	mu    sync.Mutex
	hosts map[string]failure
}

// failure is the state of a host that failed to respond.
type failure struct {
	failures int
	// until is the end of the pause.
	until time.Time
}

// Admit reports whether a request may be sent to host. Only one request is admitted after a pause:
// if all were, all of them would wait for a host that is still down.
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

// Suspect reports whether host failed and hasn't responded since.
func (a *Avoider) Suspect(host string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	_, ok := a.hosts[host]
	return ok
}

// RecordFailure records that host failed to respond.
func (a *Avoider) RecordFailure(host string, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.hosts == nil {
		a.hosts = make(map[string]failure)
	}
	f := a.hosts[host]
	// Requests that fail at the same time count as one failure.
	if f.failures > 0 && now.Before(f.until.Add(-a.FirstPause)) {
		return
	}
	const maximumDoublings = 4
	f.until = now.Add(min(a.FirstPause<<min(f.failures, maximumDoublings), a.MaximumPause))
	f.failures++
	a.hosts[host] = f
}

// RecordAnswer records that host responded, which clears its failures.
func (a *Avoider) RecordAnswer(host string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.hosts, host)
}

// Retain removes the failures of all hosts that aren't live, so that a host that joins again later
// is admitted at once.
func (a *Avoider) Retain(live map[string]bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for h := range a.hosts {
		if !live[h] {
			delete(a.hosts, h)
		}
	}
}
