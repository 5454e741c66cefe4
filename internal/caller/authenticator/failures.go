package authenticator

import (
	"net"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"golang.org/x/time/rate"
)

// maximumAddresses is the number of addresses whose failed logins are counted. It bounds the memory.
const maximumAddresses = 4096

// FailureLimiter limits the failed logins of each address. It reads no clock; the methods are given
// the time.
type FailureLimiter struct {
	// PerMinute is the number of logins that may fail in a minute; zero disables the limit.
	PerMinute int

	mu        sync.Mutex
	addresses *lru.Cache[string, *rate.Limiter]
}

// Allow reports whether the address may attempt a login at now.
func (f *FailureLimiter) Allow(address string, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.PerMinute <= 0 || f.addresses == nil {
		return true
	}
	l, ok := f.addresses.Get(withoutPort(address))
	return !ok || l.TokensAt(now) >= 1
}

// RecordFailure counts a failed login of the address at now.
func (f *FailureLimiter) RecordFailure(address string, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.PerMinute <= 0 {
		return
	}
	if f.addresses == nil {
		// New only fails for a size that isn't positive.
		f.addresses, _ = lru.New[string, *rate.Limiter](maximumAddresses)
	}
	h := withoutPort(address)
	l, ok := f.addresses.Get(h)
	if !ok {
		l = rate.NewLimiter(rate.Limit(float64(f.PerMinute)/60), f.PerMinute)
		f.addresses.Add(h, l)
	}
	l.AllowN(now, 1)
}

// withoutPort removes the port, which differs between the connections of a caller.
func withoutPort(address string) string {
	h, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return h
}
