package disturber

import (
	"sync"
	"sync/atomic"
	"time"
)

// Link is one direction of a line with limited bandwidth that many connections share.
type Link struct {
	// BytesPerSecond is the bandwidth, no limit if zero.
	BytesPerSecond int64

	mutex sync.Mutex
	free  time.Time
	bytes atomic.Int64
}

// Reserve books n bytes from now on and returns when the last of them has left.
func (l *Link) Reserve(n int, now time.Time) time.Time {
	l.bytes.Add(int64(n))
	if l.BytesPerSecond <= 0 {
		return now
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(int64(n) * int64(time.Second) / l.BytesPerSecond))
	return l.free
}

// Bytes is how many bytes went over the link.
func (l *Link) Bytes() int64 {
	return l.bytes.Load()
}
