// Package watchdog cancels calls that have stopped making progress.
//
// A timeout for a whole call is too short for a large answer over a slow link: the call is cancelled
// while its answer arrives, and its retry transfers the answer from the beginning again and loads the
// link for nothing. A call with a stall timeout continues as long as parts of its answer arrive.
package watchdog

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/juju/errors"
)

// ErrStalled is the cause of a context that was cancelled because there was no progress.
const ErrStalled = errors.ConstError("no progress")

// key is the context key of the innermost observer.
type key struct{}

// observer is the progress function that WithObserver added to a context.
type observer struct {
	// parent is the observer of the nearest parent context that has one, nil if none has.
	parent   *observer
	progress func()
}

// WithStallTimeout returns a context that ends after first, or stall after the last progress if that
// is later. The returned function ends the context immediately and must be called.
func WithStallTimeout(ctx context.Context, first, stall time.Duration) (context.Context, context.CancelFunc) {
	c, cancel := context.WithCancelCause(ctx)
	d := &deadline{stall: stall, end: time.Now().Add(first)}
	d.timer = time.AfterFunc(first, func() { cancel(ErrStalled) })
	return WithObserver(c, d.extend), func() {
		d.timer.Stop()
		cancel(context.Canceled)
	}
}

// WithObserver returns a context for which f is called each time Progress is called with it or with a
// context derived from it.
func WithObserver(ctx context.Context, f func()) context.Context {
	parent, _ := ctx.Value(key{}).(*observer)
	return context.WithValue(ctx, key{}, &observer{parent: parent, progress: f})
}

// Progress reports progress of the call that uses ctx to the observers of ctx and of its parents.
func Progress(ctx context.Context) {
	o, _ := ctx.Value(key{}).(*observer)
	for ; o != nil; o = o.parent {
		o.progress()
	}
}

// deadline is the time at which a context ends for lack of progress.
type deadline struct {
	stall time.Duration
	timer *time.Timer

	mu  sync.Mutex
	end time.Time
}

// extend moves the deadline to stall from now unless it is later already or has passed.
func (d *deadline) extend() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if e := now.Add(d.stall); e.After(d.end) && d.timer.Stop() {
		d.end = e
		d.timer.Reset(d.stall)
	}
}

// Reader reads from Source and reports progress for Context after each read that returned data.
type Reader struct {
	Context context.Context
	Source  io.Reader
}

// Read implements io.Reader.
func (r Reader) Read(b []byte) (int, error) {
	n, err := r.Source.Read(b)
	if n > 0 {
		Progress(r.Context)
	}
	return n, err
}
