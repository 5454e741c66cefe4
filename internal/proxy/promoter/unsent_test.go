package promoter

import (
	"context"
	"testing"
	"time"

	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/proxy/connpooler"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

// greetingTwice opens connections on which nothing can be sent, as the server has greeted twice.
type greetingTwice struct{ left int }

func (d *greetingTwice) Dial(context.Context, declarer.Server, string) (connpooler.Connection, marker.Mark, error) {
	d.left--
	return &statusConnection{unusable: d.left >= 0}, marker.Mark{}, nil
}

// statusConnection answers with the term of the command.
type statusConnection struct {
	connpooler.Connection
	unusable bool
}

func (c *statusConnection) Send([]declarer.Request, time.Time) error {
	if c.unusable {
		return connpooler.ErrNotSent
	}
	return nil
}

func (c *statusConnection) Receive(a *declarer.Answer, _ time.Time) error {
	a.Row = "paused"
	return nil
}

func (c *statusConnection) Close() {}

// Guards against a server that counts as failed because it has sent something before a command.
func TestUnsentCommandIsSentOnAnotherConnection(t *testing.T) {
	p := &Prober{Dialer: &greetingTwice{left: 1}, Parse: func(row string) (declarer.Status, error) {
		return declarer.Status{Primary: row == "paused"}, nil
	}}
	if s, err := p.Status(t.Context(), declarer.Server{ID: "i-1"}); err != nil || !s.Primary {
		t.Errorf("status %+v, %v", s, err)
	}
}
