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

// startSession starts a session of the kind at an entry host.
func startSession(d *entryHost, kind string) *client {
	c := newClient(d, "s1", kind, 1)
	go c.session.Run()
	<-c.caller.out
	return c
}

// endSession ends a session that startSession started, and closes its host.
func endSession(d *entryHost, c *client) {
	close(c.caller.in)
	for range c.caller.out {
	}
	d.close()
	synctest.Wait()
}

// Guards against writes that wait until their deadline while no server is the primary. They would
// be refused anyway, so the caller would only wait longer.
func TestMissingPrimaryIsReportedSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newDatabaseGroup(rand.New(rand.NewPCG(1, 1)), newHistory())
		d := newEntryHost(w, "z-0")
		d.board.Do("db", func(g *grouptracker.Group) { g.RecordNotLeading("i-0") })
		c := startSession(d, "primary")
		began := time.Now()
		_, r := c.ask("WRITE x 1")
		if took := time.Since(began); r.code != declarer.CodeBusy || took > 300*time.Millisecond {
			t.Errorf("code %d after %s, want a refusal soon", r.code, took)
		}
		endSession(d, c)
	})
}

// Guards against a failed write when the primary changes while it waits. It must run on the new
// primary without an error to the caller.
func TestWriteWaitsForNewPrimary(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newDatabaseGroup(rand.New(rand.NewPCG(1, 1)), newHistory())
		d := newEntryHost(w, "z-0")
		c := startSession(d, "primary")
		w.promote(w.servers[1])
		time.AfterFunc(50*time.Millisecond, func() { d.board.ReplaceServers(w.listServers()) })
		if _, r := c.ask("WRITE x 1"); r.code != declarer.CodeNone {
			t.Errorf("code %d", r.code)
		}
		if n := len(w.servers[1].log); n != 1 {
			t.Errorf("%d records at the new primary", n)
		}
		endSession(d, c)
	})
}

// Guards against connections held by idle transactions, which others need. After the idle timeout
// the transaction is rolled back, and the caller gets the error with its next statement.
func TestIdleTransactionIsRolledBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newDatabaseGroup(rand.New(rand.NewPCG(1, 1)), newHistory())
		d := newEntryHost(w, "z-0")
		c := startSession(d, "primary")
		c.ask("BEGIN")
		if _, r := c.ask("WRITE x 1"); r.state != declarer.StateTransaction {
			t.Fatalf("state %d", r.state)
		}
		time.Sleep(2 * time.Second)
		if _, r := c.ask("READ x"); r.state != declarer.StateFailed {
			t.Errorf("state %d after the idle timeout, want failed", r.state)
		}
		if _, r := c.ask("COMMIT"); r.code != declarer.CodeAborted || r.state != declarer.StateIdle {
			t.Errorf("code %d, state %d for the commit", r.code, r.state)
		}
		if n := len(w.servers[0].log); n != 0 {
			t.Errorf("%d records remain after the rollback", n)
		}
		endSession(d, c)
	})
}

// Guards against an unknown outcome for a write that was never sent: the connection owner refuses
// a write of a session that has set values.
func TestOwnersRefusalIsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newDatabaseGroup(rand.New(rand.NewPCG(1, 1)), newHistory())
		d := newEntryHost(w, "z-0")
		d.pools["i-0"] = &connpooler.Pool{Server: w.listServers()[0], Dialer: ownerDialer{d}, Observer: d, Limit: 6}
		c := startSession(d, "primary")
		c.ask("SET zone 1")
		if _, r := c.ask("WRITE x 1"); r.code != declarer.CodeBusy {
			t.Errorf("code %d, want busy", r.code)
		}
		endSession(d, c)
	})
}

// Guards against statements that are sent to an overloaded connection owner again and again. Its
// refusal is final and reported at once.
func TestOwnersRefusalIsFinal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newDatabaseGroup(rand.New(rand.NewPCG(1, 1)), newHistory())
		d := newEntryHost(w, "z-0")
		d.pools["i-0"] = &connpooler.Pool{Server: w.listServers()[0], Dialer: ownerDialer{d}, Observer: d, Limit: 6}
		c := startSession(d, "primary")
		began := time.Now()
		if _, r := c.ask("WRITE x 1"); r.code != declarer.CodeBusy {
			t.Errorf("code %d, want busy", r.code)
		}
		if took := time.Since(began); took > 50*time.Millisecond {
			t.Errorf("refused after %s", took)
		}
		endSession(d, c)
	})
}

// noLeaseConnection is a connection to a connection owner that never has a connection to lend.
type noLeaseConnection struct{ connpooler.Connection }

func (noLeaseConnection) Send([]declarer.Request, time.Time) error { return nil }
func (noLeaseConnection) PendingAnswers() int                      { return 0 }
func (noLeaseConnection) Ended() bool                              { return false }
func (noLeaseConnection) Close()                                   {}

func (noLeaseConnection) Receive(a *declarer.Answer, _ time.Time) error {
	a.Code = declarer.CodeNoLease
	return nil
}

// ownerDialer dials connections to such an owner.
type ownerDialer struct{ *entryHost }

func (ownerDialer) Dial(context.Context, declarer.Server, string) (connpooler.Connection, marker.Mark, error) {
	return noLeaseConnection{}, marker.Mark{}, nil
}

// Guards against a lost primary that isn't replaced because refusals count as its answers. The
// primary and the owner of its connections are unreachable, and another owner answers that it has
// no connection. If that counted as an answer of the primary, the failover would wait for as long
// as callers retry.
func TestOwnersRefusalIsNotRecordedAsAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newDatabaseGroup(rand.New(rand.NewPCG(1, 1)), newHistory())
		d := newEntryHost(w, "z-0")
		d.pools["i-0"] = &connpooler.Pool{Server: w.listServers()[0], Dialer: ownerDialer{d}, Observer: d, Limit: 6}
		c := startSession(d, "primary")
		var before time.Duration
		d.board.Do("db", func(g *grouptracker.Group) { before = g.Find("i-0").AnsweredAt })
		connected := d.board.Time()
		if _, r := c.ask("WRITE x 1"); r.code != declarer.CodeBusy {
			t.Errorf("code %d, want a refusal", r.code)
		}
		d.board.Do("db", func(g *grouptracker.Group) {
			if at := g.Find("i-0").AnsweredAt; at > connected {
				t.Errorf("answered at %s, was %s when the connection was opened", at, before)
			}
		})
		endSession(d, c)
	})
}

// Guards against a session that exhausts the host's memory by setting and preparing without end.
// Beyond the bound it gets an error. Values set before stay in force, and space that is freed can
// be used again.
func TestSessionStateIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newDatabaseGroup(rand.New(rand.NewPCG(1, 1)), newHistory())
		d := newEntryHost(w, "z-0")
		c := startSession(d, "primary")
		big := strings.Repeat("v", 20<<10)
		for i, want := range []declarer.Code{declarer.CodeNone, declarer.CodeNone, declarer.CodeNone, declarer.CodeTooBig} {
			if _, r := c.ask(fmt.Sprintf("SET big%d %s", i, big)); r.code != want {
				t.Errorf("value %d: code %d, want %d", i, r.code, want)
			}
		}
		if _, r := c.ask("SET big1 " + big + big); r.code != declarer.CodeTooBig {
			t.Errorf("code %d for a larger value beyond the bound", r.code)
		}
		if _, r := c.ask("SET big0 small"); r.code != declarer.CodeNone {
			t.Errorf("code %d for a smaller value", r.code)
		}
		if _, r := c.ask("PREPARE s1 " + big); r.code != declarer.CodeNone {
			t.Errorf("code %d for a statement that fits again", r.code)
		}
		if _, r := c.ask("PREPARE s2 " + big); r.code != declarer.CodeTooBig {
			t.Errorf("code %d for a statement beyond the bound", r.code)
		}
		c.history.values["s1"] = map[string]string{"big0": "small", "big1": big, "big2": big}
		if _, r := c.ask("READ shared"); r.code != declarer.CodeNone {
			t.Errorf("code %d for the read", r.code)
		}
		if f := c.history.check(w.primary.log); len(f) > 0 {
			t.Errorf("faults %q", f)
		}
		endSession(d, c)
	})
}

// Guards against reads that wait until their deadline for the position of a primary that is lost.
func TestReadsAreNotHeldForALostPrimary(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newDatabaseGroup(rand.New(rand.NewPCG(1, 1)), newHistory())
		d := newEntryHost(w, "z-0")
		w.servers[0].unreachable = true
		d.board.Do("db", func(g *grouptracker.Group) { g.RecordFailure("i-0", d.board.Time(), d.board.Time()) })
		time.Sleep(2 * time.Second)
		c := startSession(d, "bounded")
		began := time.Now()
		_, r := c.ask("READ x")
		if took := time.Since(began); r.code != declarer.CodeBusy || took > 400*time.Millisecond {
			t.Errorf("code %d after %s, want a refusal soon", r.code, took)
		}
		endSession(d, c)
	})
}

// Guards against reporting a lost answer for a statement that was never sent: the server already
// has as many statements as it accepts, and a statement of a transaction waits in vain.
func TestRefusedStatementOfTransactionIsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newDatabaseGroup(rand.New(rand.NewPCG(1, 1)), newHistory())
		d := newEntryHost(w, "z-0")
		c := startSession(d, "primary")
		k := connpooler.AcquireRequest{Deadline: time.Now().Add(10 * time.Second)}
		l, err := d.Pool("i-0").Acquire(k)
		if err != nil {
			t.Fatal(err)
		}
		l.Release(false) // the transaction leases this connection
		c.ask("BEGIN")
		if _, r := c.ask("WRITE x 1"); r.code != declarer.CodeNone {
			t.Fatalf("code %d for the write", r.code)
		}
		var permits []*connpooler.Permit
		for range 4 { // the limit: two for each slot of the server
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
		if n := len(w.primary.log); n > 0 {
			t.Errorf("%d records at the server", n)
		}
		endSession(d, c)
	})
}
