package reporter

import (
	"sync"

	"golang.org/x/time/rate"
)

const (
	// linesPerSecond and linesBurst bound the log lines of one kind.
	linesPerSecond = 2
	linesBurst     = 20
)

// lineLimiter bounds the log lines of one kind. Its zero value is ready to use.
type lineLimiter struct {
	once  sync.Once
	lines *rate.Limiter

	mu sync.Mutex
	// skipped is how many lines have not been logged since the last one.
	skipped int
}

// admit reports whether the next line is logged, and how many were not logged before it.
func (l *lineLimiter) admit() (skipped int, ok bool) {
	l.once.Do(func() { l.lines = rate.NewLimiter(linesPerSecond, linesBurst) })
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.lines.Allow() {
		l.skipped++
		return 0, false
	}
	skipped, l.skipped = l.skipped, 0
	return skipped, true
}
