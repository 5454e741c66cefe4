package lender

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/proxy/connpooler"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

// refusingServer refuses the first statement that is described so, with the code.
type refusingServer struct {
	server
	refused string
	code    declarer.Code
}

func (s *refusingServer) Dial(context.Context, declarer.Server, string) (connpooler.Connection, marker.Mark, error) {
	return &refusingConnection{connection: connection{server: &s.server}, refusing: s}, marker.Mark{}, nil
}

// refusingConnection is a connection to a refusingServer.
type refusingConnection struct {
	connection
	refusing *refusingServer
	codes    []declarer.Code
}

func (c *refusingConnection) Send(r []declarer.Request, deadline time.Time) error {
	for _, x := range r {
		code := declarer.CodeNone
		if describe(x) == c.refusing.refused {
			code, c.refusing.refused = c.refusing.code, ""
		}
		c.codes = append(c.codes, code)
	}
	return c.connection.Send(r, deadline)
}

func (c *refusingConnection) Receive(a *declarer.Answer, deadline time.Time) error {
	if err := c.connection.Receive(a, deadline); err != nil {
		return err
	}
	a.Code, c.codes = c.codes[0], c.codes[1:]
	return nil
}

// A server may refuse what sets a connection up. Guards against a statement that runs with the values of another
// session, or without its prepared statement: the connection counts as set up for the next borrower.
func TestRefusedSetupIsNotRemembered(t *testing.T) {
	for name, c := range map[string]struct {
		refused string
		first   []declarer.Request
		next    []declarer.Request
		want    []string
	}{
		"a value":              {"SET a 1", []declarer.Request{set("a", "1"), text("READ x")}, []declarer.Request{set("a", "1"), text("READ y")}, []string{"SET a 1", "READ x", "SET a 1", "READ y"}},
		"a prepared statement": {"PREPARE p", []declarer.Request{prepare("p"), text("EXEC p x")}, []declarer.Request{prepare("p"), text("EXEC p y")}, []string{"PREPARE p", "EXEC p x", "PREPARE p", "EXEC p y"}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &refusingServer{refused: c.refused, code: declarer.CodeBusy}
				p := pool(&s.server)
				p.Dialer = s
				// The borrower closes its link after an error of its setup.
				serve(&s.server, p, lend(), batch(c.first...))
				serve(&s.server, p, lend(), batch(c.next...), Event{Kind: KindReturn})
				check(t, "sent", s.sent, c.want)
				p.Close()
			})
		})
	}
}

// Guards against a statement that runs with the values of the connection's last borrower.
func TestStatementAfterRefusedResetDoesNotSucceed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &refusingServer{refused: "RESET", code: declarer.CodeBusy}
		p := pool(&s.server)
		p.Dialer = s
		serve(&s.server, p, lend(), batch(set("a", "1"), text("READ x")), Event{Kind: KindReturn})
		b := serve(&s.server, p, lend(), batch(text("READ y")), Event{Kind: KindReturn})
		check(t, "answers to the second borrower", b.answers, nil)
		p.Close()
	})
}

// Guards against a prepared statement that stays unknown on a connection, as it counts as prepared there.
func TestUnknownStatementIsPreparedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &refusingServer{refused: "EXEC p x", code: declarer.CodeNoSuchStatement}
		p := pool(&s.server)
		p.Dialer = s
		serve(&s.server, p, lend(), batch(prepare("p"), text("EXEC p x")), Event{Kind: KindReturn})
		serve(&s.server, p, lend(), batch(prepare("p"), text("EXEC p y")), Event{Kind: KindReturn})
		check(t, "sent", s.sent, []string{"PREPARE p", "EXEC p x", "PREPARE p", "EXEC p y"})
		p.Close()
	})
}
