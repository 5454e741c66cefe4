package disturber

import (
	"sync"
	"sync/atomic"
	"time"
)

// Link is one direction of a link with limited bandwidth that many connections share.
type Link struct {
	// BytesPerSecond is the bandwidth; zero is no limit.
	BytesPerSecond int64

	mutex sync.Mutex
	// freeAt is when the last reserved byte has been sent.
	freeAt time.Time
	bytes  atomic.Int64
}

// Reserve queues n bytes at the time now, behind those reserved before, and returns when the last
// of them has been sent.
func (l *Link) Reserve(n int, now time.Time) time.Time {
	l.bytes.Add(int64(n))
	if l.BytesPerSecond <= 0 {
		return now
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(int64(n) * int64(time.Second) / l.BytesPerSecond))
	return l.freeAt
}

// Bytes returns how many bytes have been reserved so far.
func (l *Link) Bytes() int64 {
	return l.bytes.Load()
}
