// Package watchdog ends calls that have stopped making progress.
//
// A limit on the whole of a call is too short for a large answer over a slow link: the call
// is given up while its answer arrives, asked again from its beginning, and loads the link
// for nothing. A call under a watchdog goes on for as long as something of its answer comes.
package watchdog

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/juju/errors"
)

// ErrStalled is the cause of a context that ended for want of progress.
const ErrStalled = errors.ConstError("no progress")

type key struct{}

// link is what a context adds to those that it was made from.
type link struct {
	parent   *link
	progress func()
}

// WithStallTimeout returns a context that ends after first, or stall after the last progress if that is
// later. The function ends it at once and must be called.
func WithStallTimeout(ctx context.Context, first, stall time.Duration) (context.Context, context.CancelFunc) {
	c, cancel := context.WithCancelCause(ctx)
	w := &watch{stall: stall, end: time.Now().Add(first)}
	w.timer = time.AfterFunc(first, func() { cancel(ErrStalled) })
	return WithObserver(c, w.extend), func() {
		w.timer.Stop()
		cancel(context.Canceled)
	}
}

// WithObserver returns a context that tells f of each progress.
func WithObserver(ctx context.Context, f func()) context.Context {
	parent, _ := ctx.Value(key{}).(*link)
	return context.WithValue(ctx, key{}, &link{parent: parent, progress: f})
}

// Progress notes that the call that has ctx goes on, for all contexts that it was made from.
func Progress(ctx context.Context) {
	l, _ := ctx.Value(key{}).(*link)
	for ; l != nil; l = l.parent {
		l.progress()
	}
}

// watch is the time until which a context lasts.
type watch struct {
	stall time.Duration
	timer *time.Timer

	mu  sync.Mutex
	end time.Time
}

func (w *watch) extend() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if e := now.Add(w.stall); e.After(w.end) && w.timer.Stop() {
		w.end = e
		w.timer.Reset(w.stall)
	}
}

// Reader notes progress for each piece that it reads.
type Reader struct {
	Context context.Context
	Source  io.Reader
}

// Read is that of the source.
func (r Reader) Read(b []byte) (int, error) {
	n, err := r.Source.Read(b)
	if n > 0 {
		Progress(r.Context)
	}
	return n, err
}
