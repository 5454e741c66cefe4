package promoter

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/clock/scheduler"
	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

// Claim says which host may give a group a primary, beyond which term.
type Claim struct {
	Holder string
	// Server is whom the holder has chosen, empty for nobody yet.
	Server string
	// AboveTerm is the newest term at which the holder found the group.
	AboveTerm marker.Term
	// Token orders claims; each change of a claim raises it.
	Token uint64
}

// Platform makes claims and orders promotions through the platform.
type Platform interface {
	Claim(ctx context.Context, group string) (Claim, error)
	// PutClaim replaces the claim whose token is that of c, zero for none.
	PutClaim(ctx context.Context, group string, c Claim) (Claim, error)
	Promote(ctx context.Context, group, server, holder string, token uint64) error
}

// claimUnclaimed claims the group if nobody has, so that its holder can order a promotion
// while the platform's store is away. Only the first hosts of the group's order do, each
// a little later than the other: all at once would make two calls a host and group.
func (p *Promoter) claimUnclaimed(ctx context.Context) {
	if scheduler.Pause(ctx, firstClaimDelay+firstClaimSpread*p.judge.Delay()) != nil || !p.Roles.MayClaim(p.Group) {
		return
	}
	if _, err := p.claim(ctx); errors.Is(err, ErrNoClaim) {
		_, _ = p.take(ctx, Claim{Holder: p.Host})
	}
}

// win makes the claim to promote the server in place of the present one, which was read
// with err, and reports whether this host may.
func (p *Promoter) win(ctx context.Context, present Claim, err error, server string, above marker.Term) (Claim, bool) {
	switch {
	case errors.Is(err, ErrNoClaim):
	case err != nil:
		return p.fromHeld(server, above)
	case p.defers(ctx, present, server):
		return Claim{}, false
	}
	c, failure := p.take(ctx, Claim{Holder: p.Host, Server: server, AboveTerm: above, Token: present.Token})
	return c, failure == nil
}

// defers reports whether another host holds the claim and is let act first, anew with
// each change of the claim. One that doesn't answer won't act.
func (p *Promoter) defers(ctx context.Context, c Claim, server string) bool {
	if c.Holder == p.Host {
		return false
	}
	if p.rivalAt.IsZero() || c.Token != p.rival {
		p.rival, p.rivalAt = c.Token, time.Now()
	}
	if time.Since(p.rivalAt) >= max(deference, p.Lease()+leaseSlack) {
		return false
	}
	return p.Dialer.HostResponds(ctx, c.Holder, declarer.Server{ID: server})
}

// fromHeld goes on with the claim that this host made last, where the store can't be
// asked. If another host has made one since, the platform refuses the order. The claim
// serves for one server only: an order for another one, carried out late, would have
// the same token.
func (p *Promoter) fromHeld(server string, above marker.Term) (Claim, bool) {
	if p.held.Token == 0 || p.held.Server != "" && p.held.Server != server {
		return Claim{}, false
	}
	p.held.Server, p.held.AboveTerm = server, above
	return p.held, true
}

// renew puts the claim anew for no server, once the order that it was made for is over. Where
// the store is lost together with the next primary, the host could else not act, as its claim
// serves for the server of the last order only.
func (p *Promoter) renew(ctx context.Context) {
	if p.held.Server == "" || time.Since(p.renewed) < renewInterval {
		return
	}
	p.renewed = time.Now()
	x := p.held
	x.Server = ""
	c, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	n, err := p.Platform.PutClaim(c, p.Group, x)
	l := p.Log.WithFields(log.Fields{"database-group": p.Group, "token": x.Token})
	switch {
	case err == nil:
		p.held = n
		l.WithField("token", n.Token).Info("claim renewed")
	case errors.Is(err, ErrClaimChanged):
		// Another host has it, or this call's answer was lost the last time.
		p.held = Claim{}
		l.WithError(err).Info("claim given up")
	default:
		l.WithError(err).Warn("claim not renewed")
	}
}

func (p *Promoter) claim(ctx context.Context) (Claim, error) {
	c, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	return p.Platform.Claim(c, p.Group)
}

// take puts the claim. Where the answer is lost it reads back whether it was made.
func (p *Promoter) take(ctx context.Context, x Claim) (Claim, error) {
	c, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	n, err := p.Platform.PutClaim(c, p.Group, x)
	if err != nil && !errors.Is(err, ErrClaimChanged) {
		n, err = p.settle(ctx, x, err)
	}
	if err != nil {
		p.Log.WithError(err).WithField("database-group", p.Group).Warn("claim not made")
		return n, err
	}
	p.held = n
	return n, nil
}

func (p *Promoter) settle(ctx context.Context, x Claim, cause error) (Claim, error) {
	n, err := p.claim(ctx)
	if err != nil {
		return n, errors.Annotatef(cause, "and not read back: %v", err)
	}
	if n.Holder != x.Holder || n.Server != x.Server || n.Token <= x.Token {
		return n, errors.Annotatef(cause, "claim of %s with token %d stands", n.Holder, n.Token)
	}
	return n, nil
}
