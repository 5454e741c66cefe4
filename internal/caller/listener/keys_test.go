package listener

import (
	"sync/atomic"
	"testing"

	"github.com/cuminwick/cuminwick/internal/caller/greeter"
	"github.com/cuminwick/cuminwick/internal/caller/server"
	"github.com/cuminwick/cuminwick/internal/cancel/matcher"
)

// hits counts the cancels that a session got.
type hits struct {
	server.Counters
	n atomic.Int64
}

func (h *hits) Cancelled(bool) { h.n.Add(1) }

// Somebody guesses the number of another caller's session, or a cancel comes after
// its session ended. Neither may break off a request.
func TestCancelNeedsTheWholeKey(t *testing.T) {
	l := &Listener{HostID: matcher.IDOf("entry-1"), sessions: map[greeter.CancelKey]*server.Session{}}
	var h, o hits
	k, other := l.key(), l.key()
	l.add(k, &server.Session{Counters: &h})
	l.add(other, &server.Session{Counters: &o})
	wrong := k
	wrong.SecretKey++
	if l.Cancel(wrong) || h.n.Load() != 0 {
		t.Error("cancelled with a wrong secret")
	}
	if !l.Cancel(k) || h.n.Load() != 1 || o.n.Load() != 0 {
		t.Errorf("with the key: %d cancels, %d at another session", h.n.Load(), o.n.Load())
	}
	l.remove(k)
	if l.Cancel(k) || h.n.Load() != 1 {
		t.Error("cancelled a session that had ended")
	}
}
