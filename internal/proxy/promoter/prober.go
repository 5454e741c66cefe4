package promoter

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/proxy/connpooler"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

// ErrCommandRefused is a command that a server refused.
const ErrCommandRefused = errors.ConstError("command refused")

// Prober asks servers on new connections: an old one may have gone silent though the
// server is well.
type Prober struct {
	Dialer connpooler.Dialer
	// Parse reads the row in which a server tells its status.
	Parse func(row string) (declarer.Status, error)
}

// Status returns the server's word on itself.
func (p *Prober) Status(ctx context.Context, s declarer.Server) (declarer.Status, error) {
	return p.command(ctx, s, declarer.Request{Verb: declarer.VerbStatus})
}

// Demote has a primary below the term step down.
func (p *Prober) Demote(ctx context.Context, s declarer.Server, t marker.Term) (declarer.Status, error) {
	return p.command(ctx, s, declarer.Request{Verb: declarer.VerbDemote, Term: t})
}

func (p *Prober) command(ctx context.Context, s declarer.Server, q declarer.Request) (declarer.Status, error) {
	c, _, err := p.Dialer.Dial(ctx, s)
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
	if a.Code != declarer.CodeNone {
		return declarer.Status{}, errors.Annotatef(ErrCommandRefused, "server %s: %s", s.ID, a.Body)
	}
	return p.Parse(a.Row)
}
