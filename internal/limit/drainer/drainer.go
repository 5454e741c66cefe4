// Package drainer admits work until a planned stop, and tells when all admitted work has ended.
package drainer

import "sync"

// Work counts the work in progress. No work is admitted once it is closed, so that none begins after the last of it
// was seen to end. The zero value is open.
type Work struct {
	mu     sync.Mutex
	count  int
	closed bool
}

// Begin admits a piece of work, and reports false if Work is closed. Each call that returns true is followed by one of
// End.
func (w *Work) Begin() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return false
	}
	w.count++
	return true
}

// End ends a piece of work.
func (w *Work) End() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.count--
}

// Close refuses all further work.
func (w *Work) Close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
}

// CloseIfIdle refuses all further work if none is in progress, and reports whether Work is closed.
func (w *Work) CloseIfIdle() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = w.closed || w.count == 0
	return w.closed
}

// Count returns how much work is in progress.
func (w *Work) Count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.count
}
