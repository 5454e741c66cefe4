package executor_test

import (
	"context"
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

// spentDialer opens connections that can't be used any more when a statement with the text is to be sent.
type spentDialer struct {
	connpooler.Dialer
	text string
	// left is how many such statements are not sent.
	left int
}

func (d *spentDialer) Dial(ctx context.Context, s declarer.Server, customer string) (connpooler.Connection, marker.Mark, error) {
	c, m, err := d.Dialer.Dial(ctx, s, customer)
	if err != nil {
		return nil, m, err
	}
	return &spentConnection{Connection: c, dialer: d}, m, nil
}

type spentConnection struct {
	connpooler.Connection
	dialer *spentDialer
}

func (c *spentConnection) Send(r []declarer.Request, deadline time.Time) error {
	if d := c.dialer; d.left > 0 && strings.HasPrefix(r[len(r)-1].Text, d.text) {
		d.left--
		return connpooler.ErrNotSent
	}
	return c.Connection.Send(r, deadline)
}

// startSpentSession starts a session at a host whose connections are those of the dialer.
func startSpentSession(d *spentDialer) (*databaseGroup, *entryHost, *client) {
	w := newDatabaseGroup(rand.New(rand.NewPCG(1, 1)), newHistory())
	h := newEntryHost(w, "z-0")
	d.Dialer = w
	h.pools["i-0"] = &connpooler.Pool{Server: w.listServers()[0], Dialer: d, Observer: h, Limit: 6}
	return w, h, startSession(h, "primary")
}

// Guards against a write with an unknown outcome that was never sent.
func TestUnsentWriteRunsOnAnotherConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, h, c := startSpentSession(&spentDialer{text: "WRITE", left: 2})
		if _, r := c.ask("WRITE x 1"); r.code != declarer.CodeNone {
			t.Errorf("code %d", r.code)
		}
		if n := len(w.servers[0].log); n != 1 {
			t.Errorf("%d records", n)
		}
		endSession(h, c)
	})
}

// Guards against a commit with an unknown outcome that was never sent.
func TestUnsentCommitIsAborted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, h, c := startSpentSession(&spentDialer{text: "COMMIT", left: 1})
		c.ask("BEGIN")
		c.ask("WRITE x 1")
		if _, r := c.ask("COMMIT"); r.code != declarer.CodeAborted || r.state != declarer.StateIdle {
			t.Errorf("code %d, state %d", r.code, r.state)
		}
		if n := len(w.servers[0].log); n != 0 {
			t.Errorf("%d records", n)
		}
		endSession(h, c)
	})
}

// outOfStepConnection is one whose answers can't be told apart.
type outOfStepConnection struct{ connpooler.Connection }

func (outOfStepConnection) Receive(*declarer.Answer, time.Time) error { return connpooler.ErrOutOfStep }

type outOfStepDialer struct{ connpooler.Dialer }

func (d outOfStepDialer) Dial(ctx context.Context, s declarer.Server, customer string) (connpooler.Connection, marker.Mark, error) {
	c, m, err := d.Dialer.Dial(ctx, s, customer)
	if err != nil {
		return nil, m, err
	}
	return outOfStepConnection{c}, m, nil
}

// Guards against a write whose answer can't be told apart that is told not to have run, and against a
// primary that is taken for failed although it has answered.
func TestOutcomeIsUnknownWhereAnswersCannotBeToldApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newDatabaseGroup(rand.New(rand.NewPCG(1, 1)), newHistory())
		h := newEntryHost(w, "z-0")
		h.pools["i-0"] = &connpooler.Pool{Server: w.listServers()[0], Dialer: outOfStepDialer{w}, Observer: h, Limit: 6}
		c := startSession(h, "primary")
		if _, r := c.ask("WRITE x 1"); r.code != declarer.CodeOutcomeUnknown {
			t.Errorf("code %d", r.code)
		}
		h.board.Do("db", func(g *grouptracker.Group) {
			if s := g.Find("i-0"); s.FailingSince != 0 {
				t.Error("the server is taken for failed")
			}
		})
		endSession(h, c)
	})
}
