package executor

import (
	"context"
	"testing"
	"time"

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
