package commander

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cuminwick/cuminwick/internal/group/marker"
)

// A poll runs in its caller's goroutine while another request queries the status. If that request
// shared the first poll, a read could miss an earlier write. Later the server stops responding
// during such a poll. If the poll didn't time out by itself, the loss of a primary would be
// detected late.
func TestPollInCallersGoroutine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &server{queries: make(chan string, 8), answers: make(chan int, 4)}
		c := &Client{Name: "db-1", Address: "127.0.0.1:1", User: "control", Dial: s.dial}
		s.answers <- 1
		if _, err := c.Status(t.Context()); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * pollIdleTimeout)
		ask := func() <-chan result {
			r := make(chan result, 1)
			go func() {
				x, stop := context.WithTimeout(t.Context(), defaultPollTimeout)
				defer stop()
				a, err := c.Status(x)
				r <- result{a, err}
			}()
			synctest.Wait()
			return r
		}
		first := ask()
		if c.polling {
			t.Error("poll ran in another goroutine although the connection was idle")
		}
		second := ask()
		s.answers <- 2
		s.answers <- 3
		for i, r := range []<-chan result{first, second} {
			if g := <-r; g.err != nil || g.status.Last.Position != marker.Position(i+2) {
				t.Errorf("request %d: %+v", i, g)
			}
		}
		time.Sleep(2 * pollIdleTimeout)
		before := time.Now()
		if r := <-ask(); r.err == nil || time.Since(before) != defaultPollTimeout || c.connection != nil {
			t.Errorf("unresponsive server: %+v after %v", r, time.Since(before))
		}
		s.answers <- 0 // ends server.serve
	})
}
