package commander

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// A backend server isn't polled for a while, because its group was removed and added again. If the
// polling goroutine weren't started again, each status would time out and a healthy server would be
// considered lost.
func TestPollsResumeAfterIdleTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &server{queries: make(chan string, 1), answers: make(chan int, 1)}
		c := &Client{Name: "db-1", Address: "127.0.0.1:1", User: "control", Timeout: time.Minute, Dial: s.dial}
		for n := range 3 {
			s.answers <- n + 1
			if a, err := c.Status(t.Context()); err != nil || int(a.Last.Position) != n+1 {
				t.Fatalf("status %d at %v, %v", n, a.Last, err)
			}
			<-s.queries
			time.Sleep(2 * pollIdleTimeout)
			synctest.Wait()
			c.mutex.Lock()
			if c.polling {
				t.Error("the polling goroutine still runs after the idle timeout")
			}
			c.mutex.Unlock()
		}
		if err := c.Close(context.Background()); err != nil {
			t.Error(err)
		}
	})
}
