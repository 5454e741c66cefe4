package executor_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/proxy/connpooler"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
	"github.com/cuminwick/cuminwick/internal/proxy/grouptracker"
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
		d.board.Do("db", func(g *grouptracker.Group) { g.RecordNotLeading("i-0") })
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
		time.AfterFunc(50*time.Millisecond, func() { d.board.ReplaceServers(w.list()) })
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

// The owner of the connections refuses a save of a session that has set values. Nothing
// was sent, so the caller must be told so, and not that the outcome isn't known.
func TestOwnersRefusalIsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(rand.New(rand.NewPCG(1, 1)), newHistory())
		d := newDeployment(w, "z-0")
		d.pools["i-0"] = &connpooler.Pool{Server: w.list()[0], Dialer: owner{d}, Observer: d, Limit: 6}
		c := start(d, "primary")
		c.ask("SET zone 1")
		if _, r := c.ask("WRITE x 1"); r.code != declarer.CodeBusy {
			t.Errorf("code %d, want busy", r.code)
		}
		end(d, c)
	})
}

// Guards against statements that are sent to an overloaded owner again and again: its
// word that the statement can't run in time is final, and told at once.
func TestOwnersRefusalIsFinal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(rand.New(rand.NewPCG(1, 1)), newHistory())
		d := newDeployment(w, "z-0")
		d.pools["i-0"] = &connpooler.Pool{Server: w.list()[0], Dialer: owner{d}, Observer: d, Limit: 6}
		c := start(d, "primary")
		began := time.Now()
		if _, r := c.ask("WRITE x 1"); r.code != declarer.CodeBusy {
			t.Errorf("code %d, want busy", r.code)
		}
		if took := time.Since(began); took > 50*time.Millisecond {
			t.Errorf("refused after %s", took)
		}
		end(d, c)
	})
}

// noLease is a link to an owner that has no connection for anybody.
type noLease struct{ connpooler.Connection }

func (noLease) Send([]declarer.Request, time.Time) error { return nil }
func (noLease) PendingAnswers() int                      { return 0 }
func (noLease) Ended() bool                              { return false }
func (noLease) Close()                                   {}

func (noLease) Receive(a *declarer.Answer, _ time.Time) error {
	a.Code = declarer.CodeNoLease
	return nil
}

// owner is the dialer of such links.
type owner struct{ *deployment }

func (owner) Dial(context.Context, declarer.Server) (connpooler.Connection, marker.Mark, error) {
	return noLease{}, marker.Mark{}, nil
}

// The primary and the host that owns its connections are beyond a cut. The word of
// another owner, that it has no connection, isn't a sign of life of the primary: taken
// for one, the primary wouldn't be replaced for as long as callers keep on trying.
func TestOwnersRefusalIsNoSignOfLife(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(rand.New(rand.NewPCG(1, 1)), newHistory())
		d := newDeployment(w, "z-0")
		d.pools["i-0"] = &connpooler.Pool{Server: w.list()[0], Dialer: owner{d}, Observer: d, Limit: 6}
		c := start(d, "primary")
		var before time.Duration
		d.board.Do("db", func(g *grouptracker.Group) { before = g.Find("i-0").AnsweredAt })
		connected := d.board.Time()
		if _, r := c.ask("WRITE x 1"); r.code != declarer.CodeBusy {
			t.Errorf("code %d, want a refusal", r.code)
		}
		d.board.Do("db", func(g *grouptracker.Group) {
			if at := g.Find("i-0").AnsweredAt; at > connected {
				t.Errorf("answered at %s, was %s when the link was made", at, before)
			}
		})
		end(d, c)
	})
}

// A caller sets and prepares without end. Its session is told so at a bound; what it had
// set before goes on to hold, and giving names back makes room again.
func TestSessionStateIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(rand.New(rand.NewPCG(1, 1)), newHistory())
		d := newDeployment(w, "z-0")
		c := start(d, "primary")
		big := strings.Repeat("v", 20<<10)
		for i, want := range []declarer.Code{declarer.CodeNone, declarer.CodeNone, declarer.CodeNone, declarer.CodeTooBig} {
			if _, r := c.ask(fmt.Sprintf("SET big%d %s", i, big)); r.code != want {
				t.Errorf("value %d: code %d, want %d", i, r.code, want)
			}
		}
		if _, r := c.ask("SET big1 " + big + big); r.code != declarer.CodeTooBig {
			t.Errorf("code %d for a value that grew", r.code)
		}
		if _, r := c.ask("SET big0 small"); r.code != declarer.CodeNone {
			t.Errorf("code %d for a smaller value", r.code)
		}
		if _, r := c.ask("PREPARE s1 " + big); r.code != declarer.CodeNone {
			t.Errorf("code %d for what there is room for now", r.code)
		}
		if _, r := c.ask("PREPARE s2 " + big); r.code != declarer.CodeTooBig {
			t.Errorf("code %d beyond the bound", r.code)
		}
		c.history.values["s1"] = map[string]string{"big0": "small", "big1": big, "big2": big}
		if _, r := c.ask("READ shared"); r.code != declarer.CodeNone {
			t.Errorf("code %d to a read", r.code)
		}
		if f := c.history.check(w.leader.log); len(f) > 0 {
			t.Errorf("faults %q", f)
		}
		end(d, c)
	})
}

// Guards against reads that are held to their deadline for the position of a primary that is
// lost.
func TestReadsAreNotHeldForALostPrimary(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(rand.New(rand.NewPCG(1, 1)), newHistory())
		d := newDeployment(w, "z-0")
		w.servers[0].cut = true
		d.board.Do("db", func(g *grouptracker.Group) { g.RecordFailure("i-0", d.board.Time(), d.board.Time()) })
		time.Sleep(2 * time.Second)
		c := start(d, "bounded")
		began := time.Now()
		_, r := c.ask("READ x")
		if took := time.Since(began); r.code != declarer.CodeBusy || took > 400*time.Millisecond {
			t.Errorf("code %d after %s, want a refusal soon", r.code, took)
		}
		end(d, c)
	})
}

// Guards against a caller that is told that an answer was lost where its statement was never
// sent: the server has as many statements as it gets, and one of a transaction waits in vain.
func TestRefusedStatementOfTransactionIsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(rand.New(rand.NewPCG(1, 1)), newHistory())
		d := newDeployment(w, "z-0")
		c := start(d, "primary")
		k := connpooler.AcquireRequest{Deadline: time.Now().Add(10 * time.Second)}
		l, err := d.Pool("i-0").Acquire(k)
		if err != nil {
			t.Fatal(err)
		}
		l.Release(false) // the transaction gets this connection
		c.ask("BEGIN")
		if _, r := c.ask("WRITE x 1"); r.code != declarer.CodeNone {
			t.Fatalf("code %d to the write", r.code)
		}
		var permits []*connpooler.Permit
		for range 4 { // two for each of the server's slots
			x, err := l.AcquirePermit(k)
			if err != nil {
				t.Fatal(err)
			}
			permits = append(permits, x)
		}
		if _, r := c.ask("READ y"); r.code != declarer.CodeAborted || !strings.HasPrefix(r.text, "not run: ") {
			t.Errorf("code %d, %q", r.code, r.text)
		}
		for _, x := range permits {
			x.End(declarer.CodeNone)
		}
		time.Sleep(time.Second) // the server rolls the transaction back
		if n := len(w.leader.log); n > 0 {
			t.Errorf("%d lines at the server", n)
		}
		end(d, c)
	})
}
