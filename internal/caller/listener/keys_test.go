package listener

import (
	"sync/atomic"
	"testing"

	"github.com/cuminwick/cuminwick/internal/caller/greeter"
	"github.com/cuminwick/cuminwick/internal/caller/server"
	"github.com/cuminwick/cuminwick/internal/cancel/matcher"
)

// cancelCounter counts the cancels of a session.
type cancelCounter struct {
	server.Counters
	n atomic.Int64
}

func (h *cancelCounter) Cancelled(bool) { h.n.Add(1) }

// Guards against the cancel of a request by someone other than its caller: by a guessed process ID
// without the secret, or by a cancel request that arrives after its session has ended.
func TestCancelNeedsTheWholeKey(t *testing.T) {
	l := &Listener{HostID: matcher.IDOf("entry-1"), sessions: map[greeter.CancelKey]*server.Session{}}
	var h, o cancelCounter
	k, other := l.newKey(), l.newKey()
	l.addSession(k, &server.Session{Counters: &h})
	l.addSession(other, &server.Session{Counters: &o})
	wrong := k
	wrong.SecretKey++
	if l.Cancel(wrong) || h.n.Load() != 0 {
		t.Error("cancelled with a wrong secret")
	}
	if !l.Cancel(k) || h.n.Load() != 1 || o.n.Load() != 0 {
		t.Errorf("with the right key: %d cancels, and %d of another session", h.n.Load(), o.n.Load())
	}
	l.removeSession(k)
	if l.Cancel(k) || h.n.Load() != 1 {
		t.Error("cancelled a session that has ended")
	}
}
