package commander

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// A backend server isn't polled for a while, as the group was taken out and put
// back. If nobody ran polls from then on, each status would time out and a
// healthy server would count as lost.
func TestPollsResumeAfterRest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &server{asked: make(chan string, 1), answers: make(chan int, 1)}
		c := &Client{Name: "db-1", Address: "127.0.0.1:1", User: "control", Timeout: time.Minute, Dial: s.dial}
		for n := range 3 {
			s.answers <- n + 1
			if a, err := c.Status(t.Context()); err != nil || int(a.Last.Position) != n+1 {
				t.Fatalf("status %d at %v, %v", n, a.Last, err)
			}
			<-s.asked
			time.Sleep(2 * pollRest)
			synctest.Wait()
			c.mutex.Lock()
			if c.polling {
				t.Error("the goroutine for polls goes on without any")
			}
			c.mutex.Unlock()
		}
		if err := c.Close(context.Background()); err != nil {
			t.Error(err)
		}
	})
}
