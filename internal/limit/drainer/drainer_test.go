package drainer

import (
	"sync"
	"sync/atomic"
	"testing"

	"pgregory.net/rapid"
)

// Guards against work that is admitted after the last work was seen to end.
func TestNothingBeginsOnceIdleWorkIsClosed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var w Work
		count, closed := 0, false
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				if w.Begin() == closed {
					t.Fatalf("begins: %t, closed: %t", !closed, closed)
				}
				if !closed {
					count++
				}
			},
			"end": func(*rapid.T) {
				if count > 0 {
					w.End()
					count--
				}
			},
			"close": func(*rapid.T) {
				w.Close()
				closed = true
			},
			"close if idle": func(t *rapid.T) {
				closed = closed || count == 0
				if w.CloseIfIdle() != closed {
					t.Fatalf("closed: %t with %d in progress", !closed, count)
				}
			},
			"": func(t *rapid.T) {
				if w.Count() != count {
					t.Fatalf("%d in progress, want %d", w.Count(), count)
				}
			},
		})
	})
}

// Guards against the same between goroutines: once closed as idle, no work is in progress and none begins.
func TestCloseIfIdleRacesWithBegin(t *testing.T) {
	for range 1000 {
		var w Work
		var late atomic.Int64
		var g sync.WaitGroup
		closed := make(chan struct{})
		for range 4 {
			g.Go(func() {
				for w.Begin() {
					select {
					case <-closed:
						late.Add(1)
					default:
					}
					w.End()
				}
			})
		}
		for !w.CloseIfIdle() {
			continue
		}
		close(closed)
		if n := w.Count(); n != 0 {
			t.Fatalf("%d in progress after the close", n)
		}
		g.Wait()
		if late.Load() > 0 {
			t.Fatalf("%d began after the close", late.Load())
		}
	}
}
