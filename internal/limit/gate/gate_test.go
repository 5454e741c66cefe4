package gate

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/limit/admitter"
)

const ms = time.Millisecond

func newGate(slots int) *Gate {
	return &Gate{BackendServer: "kalkul-1a", Queue: admitter.Queue{Slots: slots, Length: 4}}
}

func read(timeout time.Duration) Request {
	return Request{Team: "a", Class: admitter.ClassRead, Timeout: timeout}
}

func acquire(t *testing.T, g *Gate, r Request) *Slot {
	t.Helper()
	s, err := g.Acquire(context.Background(), r)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// Guards against refusals that arrive late: a waiting request times out, is cancelled, or its server
// starts to leave. If the refusal waited for a slot too, the caller would hold a connection for nothing
// and retry late.
func TestAbandonedRequestsAreRefusedAtOnce(t *testing.T) {
	tests := []struct {
		name  string
		end   func(g *Gate, cancel func())
		want  admitter.Reason
		state string
		after time.Duration
	}{
		{name: "cancelled", want: admitter.ReasonCancelled, state: "57014", after: 20 * ms,
			end: func(_ *Gate, cancel func()) { time.Sleep(20 * ms); cancel() }},
		{name: "deadline", want: admitter.ReasonDeadline, state: "57014", after: 100 * ms,
			end: func(*Gate, func()) {}},
		{name: "leaving", want: admitter.ReasonLeaving, state: "53300", after: 30 * ms,
			end: func(g *Gate, _ func()) {
				time.Sleep(30 * ms)
				g.Adjust(func(q *admitter.Queue) { q.Closed = admitter.ReasonLeaving })
			}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newGate(1)
				s := acquire(t, g, read(0))
				x, cancel := context.WithCancel(t.Context())
				defer cancel()
				start := time.Now()
				go tt.end(g, cancel)
				_, err := g.Acquire(x, read(100*ms))
				var r *Refusal
				if !errors.As(err, &r) || !errors.Is(err, ErrNotGranted) || r.Reason != tt.want || r.SQLState() != tt.state {
					t.Errorf("error %v, want reason %v with SQLSTATE %s", err, tt.want, tt.state)
				}
				if d := time.Since(start); d != tt.after {
					t.Errorf("answered after %v, want %v", d, tt.after)
				}
				s.Release()
				if l := g.Load(); l.Running != 0 || l.Waiting != 0 {
					t.Errorf("load after all requests ended: %+v", l)
				}
			})
		})
	}
}

func TestExpectedWaitIsRefusedWithoutWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGate(1)
		s := acquire(t, g, read(0))
		time.Sleep(50 * ms)
		s.Release()
		s = acquire(t, g, read(0))
		defer s.Release()
		start := time.Now()
		_, err := g.Acquire(t.Context(), read(60*ms))
		var r *Refusal
		if !errors.As(err, &r) || r.Reason != admitter.ReasonExpectedWait || r.RetryAfter != 50*ms || time.Since(start) != 0 {
			t.Errorf("error %v, hint %v, after %v", err, r, time.Since(start))
		}
		if r.RefusalReason() != "expected-wait" || r.RetryAfterHint() != 50*time.Millisecond {
			t.Errorf("reason %q, retry after %v", r.RefusalReason(), r.RetryAfterHint())
		}
	})
}

// Guards against a lost slot: a request is cancelled at the moment in which its slot is granted. If the
// slot isn't freed, it stays in use until the entry host restarts.
func TestCancelOfGrantedRequestFreesSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGate(1)
		w := &waiter{done: make(chan struct{})}
		g.offer(w, Request{})
		g.cancel(w)
		_, err := g.result(w)
		var r *Refusal
		if !errors.As(err, &r) || r.Reason != admitter.ReasonCancelled {
			t.Errorf("error %v, want a cancelled refusal", err)
		}
		acquire(t, g, read(0)).Release()
	})
}

// Guards against slots that are lost when many requests are cancelled at random moments: the server
// would be idle while its queue is full.
func TestManyCancels(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGate(3)
		g.Queue.Length = 1000
		var w sync.WaitGroup
		var mu sync.Mutex
		running, ran := 0, 0
		for i := range 500 {
			w.Go(func() {
				x := t.Context()
				if i%5 != 0 {
					c, cancel := context.WithTimeout(x, time.Duration(i*7919%400)*ms)
					defer cancel()
					x = c
				}
				s, err := g.Acquire(x, read(0))
				if err != nil {
					return
				}
				defer s.Release()
				mu.Lock()
				running++
				ran++
				if running > 3 {
					t.Errorf("%d running in 3 slots", running)
				}
				mu.Unlock()
				time.Sleep(10 * ms)
				mu.Lock()
				running--
				mu.Unlock()
			})
		}
		w.Wait()
		if l := g.Load(); ran < 100 || l.Running != 0 || l.Waiting != 0 {
			t.Errorf("%d ran, load %+v", ran, l)
		}
	})
}
