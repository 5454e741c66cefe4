package commander

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cuminwick/cuminwick/internal/group/marker"
)

// An entry host polls a server in the goroutine that asks. Another request asks while
// such a poll is under way, and later the server goes silent during one. Did the other
// request get the answer to the first poll, a read could miss a write that came before
// it; did the poll not end by itself, a lost primary would be noticed late.
func TestPollInCallersGoroutine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &server{asked: make(chan string, 8), answers: make(chan int, 4)}
		c := &Client{Name: "db-1", Address: "127.0.0.1:1", User: "control", Dial: s.dial}
		s.answers <- 1
		if _, err := c.Status(t.Context()); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * pollRest)
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
			t.Error("poll handed over although the connection was free")
		}
		second := ask()
		s.answers <- 2
		s.answers <- 3
		for i, r := range []<-chan result{first, second} {
			if g := <-r; g.err != nil || g.status.Last.Position != marker.Position(i+2) {
				t.Errorf("request %d: %+v", i, g)
			}
		}
		time.Sleep(2 * pollRest)
		before := time.Now()
		if r := <-ask(); r.err == nil || time.Since(before) != defaultPollTimeout || c.connection != nil {
			t.Errorf("silent server: %+v after %v", r, time.Since(before))
		}
		s.answers <- 0 // ends the server's side
	})
}
