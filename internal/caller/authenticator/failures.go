package authenticator

import (
	"net"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"golang.org/x/time/rate"
)

// maximumAddresses bounds the memory for addresses with failed logins.
const maximumAddresses = 4096

// FailureLimiter bounds the failed logins of each address. It reads no clock.
type FailureLimiter struct {
	// PerMinute is how many logins may fail in a minute, none are refused if zero.
	PerMinute int

	mu        sync.Mutex
	addresses *lru.Cache[string, *rate.Limiter]
}

// Allow reports whether the address may try to log in at now.
func (f *FailureLimiter) Allow(address string, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.PerMinute <= 0 || f.addresses == nil {
		return true
	}
	l, ok := f.addresses.Get(host(address))
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
		// It fails only for a size that isn't positive.
		f.addresses, _ = lru.New[string, *rate.Limiter](maximumAddresses)
	}
	h := host(address)
	l, ok := f.addresses.Get(h)
	if !ok {
		l = rate.NewLimiter(rate.Limit(float64(f.PerMinute)/60), f.PerMinute)
		f.addresses.Add(h, l)
	}
	l.AllowN(now, 1)
}

// host drops the port, which differs with each connection.
func host(address string) string {
	h, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return h
}
