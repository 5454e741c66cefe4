package executor

import (
	"context"
	"testing"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/proxy/connpooler"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

// forgetfulConnection is a connection to a server that knows no prepared statement.
type forgetfulConnection struct{}

func (forgetfulConnection) Dial(context.Context, declarer.Server, string) (connpooler.Connection, marker.Mark, error) {
	return forgetfulConnection{}, marker.Mark{}, nil
}

func (forgetfulConnection) Connected(declarer.Server, marker.Mark) {}

func (forgetfulConnection) Unreachable(declarer.Server, error) {}

func (forgetfulConnection) Send([]declarer.Request, time.Time) error { return nil }

func (forgetfulConnection) Receive(a *declarer.Answer, _ time.Time) error {
	a.Code = declarer.CodeNoSuchStatement
	return nil
}

func (forgetfulConnection) PendingAnswers() int { return 0 }

func (forgetfulConnection) Ended() bool { return false }

func (forgetfulConnection) Close() {}

// Guards against a prepared statement that stays unknown on a connection, as it counts as prepared there.
func TestUnknownStatementIsPreparedAgain(t *testing.T) {
	p := &connpooler.Pool{Server: declarer.Server{ID: "i-1"}, Dialer: forgetfulConnection{}, Observer: forgetfulConnection{}, Limit: 1}
	defer p.Close()
	l, err := p.Acquire(connpooler.AcquireRequest{Deadline: time.Now().Add(10 * time.Second)})
	if err != nil {
		t.Fatal(err)
	}
	defer l.Release(false)
	l.Prepared["r_q"] = struct{}{}
	e := &exchange{lease: l}
	e.add(declarer.Request{ID: "a", Verb: declarer.VerbExecute, Name: "r_q", Argument: "x"})
	var a declarer.Answer
	if err := e.run(&a); err != nil || len(l.Prepared) > 0 {
		t.Errorf("%d statements count as prepared, %v", len(l.Prepared), err)
	}
}

// stalledConnection is a connection to a server that refuses to set a value and answers nothing else in time.
type stalledConnection struct {
	forgetfulConnection
	answers int
}

func (c *stalledConnection) Receive(a *declarer.Answer, _ time.Time) error {
	if c.answers++; c.answers > 1 {
		return connpooler.ErrTimeout
	}
	a.Code = declarer.CodeBusy
	return nil
}

// Guards against a connection that is recovered and counts as set up, though the server has refused that.
func TestRefusedSetupMakesConnectionUnusable(t *testing.T) {
	for n := 1; n <= 2; n++ {
		p := &connpooler.Pool{Server: declarer.Server{ID: "i-1"}, Dialer: forgetfulConnection{}, Observer: forgetfulConnection{}, Limit: 1}
		defer p.Close()
		l, err := p.Acquire(connpooler.AcquireRequest{Deadline: time.Now().Add(10 * time.Second)})
		if err != nil {
			t.Fatal(err)
		}
		l.Connection = &stalledConnection{}
		e := &exchange{lease: l, setupCount: n}
		var a declarer.Answer
		if err := e.run(&a); !errors.Is(err, connpooler.ErrTimeout) || !l.Unusable {
			t.Errorf("%d setup statements: unusable %t, %v", n, l.Unusable, err)
		}
	}
}
