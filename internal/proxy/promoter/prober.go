package promoter

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/proxy/connpooler"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

// Errors of commands.
const (
	// ErrCommandRefused is returned if a server answers a command with an error.
	ErrCommandRefused = errors.ConstError("command refused")
	// ErrCommandUnsupported is returned if a server doesn't know a command.
	ErrCommandUnsupported = errors.ConstError("command not supported")
)

// Prober sends commands to servers on new connections: an existing connection may be
// unresponsive although the server works.
type Prober struct {
	Dialer connpooler.Dialer
	// Parse parses the row in which a server reports its status.
	Parse func(row string) (declarer.Status, error)
}

// Status returns the status that the server reports.
func (p *Prober) Status(ctx context.Context, s declarer.Server) (declarer.Status, error) {
	return p.command(ctx, s, declarer.Request{Verb: declarer.VerbStatus})
}

// Demote makes the server step down if it is the primary of an earlier term than t, and returns
// its status.
func (p *Prober) Demote(ctx context.Context, s declarer.Server, t marker.Term) (declarer.Status, error) {
	return p.command(ctx, s, declarer.Request{Verb: declarer.VerbDemote, Term: t})
}

// command sends one command and parses the answer as a status. It uses another connection if the server has
// sent something on the first one before the command.
func (p *Prober) command(ctx context.Context, s declarer.Server, q declarer.Request) (declarer.Status, error) {
	x, err := p.commandOnce(ctx, s, q)
	if errors.Is(err, connpooler.ErrNotSent) {
		return p.commandOnce(ctx, s, q)
	}
	return x, err
}

func (p *Prober) commandOnce(ctx context.Context, s declarer.Server, q declarer.Request) (declarer.Status, error) {
	c, _, err := p.Dialer.Dial(ctx, s, "")
	if err != nil {
		return declarer.Status{}, err
	}
	defer c.Close()
	end, ok := ctx.Deadline()
	if !ok {
		end = time.Now().Add(probeTimeout)
	}
	if err := c.Send([]declarer.Request{q}, end); err != nil {
		return declarer.Status{}, err
	}
	var a declarer.Answer
	if err := c.Receive(&a, end); err != nil {
		return declarer.Status{}, err
	}
	switch a.Code {
	case declarer.CodeNone:
		return p.Parse(a.Row)
	case declarer.CodeMalformed:
		return declarer.Status{}, errors.Annotatef(ErrCommandUnsupported, "server %s: %s", s.ID, a.Body)
	default:
		return declarer.Status{}, errors.Annotatef(ErrCommandRefused, "server %s: %s", s.ID, a.Body)
	}
}
