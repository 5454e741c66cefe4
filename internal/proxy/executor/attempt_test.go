package executor_test

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
	"github.com/cuminwick/cuminwick/internal/proxy/viewer"
)

// start begins a session of the kind at a host before the world.
func start(d *deployment, kind string) *client {
	c := newClient(d, "s1", kind, 1)
	go c.session.Run()
	<-c.caller.out
	return c
}

// end closes what start began.
func end(d *deployment, c *client) {
	close(c.caller.in)
	for range c.caller.out {
	}
	d.close()
	synctest.Wait()
}

// The primary is lost and no other leads yet. An adviser's save can't be made now; held
// back until its deadline it would be refused all the same, and the caller would wait on
// the line for nothing.
func TestNoPrimaryIsSaidSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(rand.New(rand.NewPCG(1, 1)), newHistory())
		d := newDeployment(w, "z-0")
		d.board.Do("db", func(g *viewer.Group) { g.Refused("i-0") })
		c := start(d, "primary")
		began := time.Now()
		_, r := c.ask("WRITE x 1")
		if took := time.Since(began); r.code != declarer.CodeBusy || took > 300*time.Millisecond {
			t.Errorf("code %d after %s, want a refusal soon", r.code, took)
		}
		end(d, c)
	})
}

// The primary changes while a save waits. It is made at the new one, unknown to the caller.
func TestSaveWaitsForNewPrimary(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(rand.New(rand.NewPCG(1, 1)), newHistory())
		d := newDeployment(w, "z-0")
		c := start(d, "primary")
		w.promote(w.servers[1])
		time.AfterFunc(50*time.Millisecond, func() { d.board.TakeServers(w.list()) })
		if _, r := c.ask("WRITE x 1"); r.code != declarer.CodeNone {
			t.Errorf("code %d", r.code)
		}
		if n := len(w.servers[1].log); n != 1 {
			t.Errorf("%d lines at the new primary", n)
		}
		end(d, c)
	})
}

// A caller lets a transaction rest for longer than is allowed. The connection is needed
// by others; the caller learns of it with its next statement, and nothing is kept.
func TestRestingTransactionIsEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(rand.New(rand.NewPCG(1, 1)), newHistory())
		d := newDeployment(w, "z-0")
		c := start(d, "primary")
		c.ask("BEGIN")
		if _, r := c.ask("WRITE x 1"); r.state != declarer.StateTransaction {
			t.Fatalf("state %d", r.state)
		}
		time.Sleep(2 * time.Second)
		if _, r := c.ask("READ x"); r.state != declarer.StateFailed {
			t.Errorf("state %d after the rest, want failed", r.state)
		}
		if _, r := c.ask("COMMIT"); r.code != declarer.CodeAborted || r.state != declarer.StateIdle {
			t.Errorf("code %d state %d to the commit", r.code, r.state)
		}
		if n := len(w.servers[0].log); n != 0 {
			t.Errorf("%d lines are kept", n)
		}
		end(d, c)
	})
}
