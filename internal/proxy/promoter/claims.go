package promoter

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/clock/scheduler"
	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/proxy/successor"
)

// Claim names the host that may promote a server of a group. The platform keeps one claim for
// each group.
type Claim struct {
	// Holder is the name of the host that holds the claim, empty if that isn't known.
	Holder string
	// Server is the server that the holder has chosen. It is empty if no order of the holder can
	// be carried out any more.
	Server string
	// AboveTerm is the newest term that the holder found in the group. A promotion under this
	// claim leads to a newer one.
	AboveTerm marker.Term
	// LedTerm is the newest term in which the holder knows that a server has led.
	LedTerm marker.Term
	// Base is the end of the chosen server's log when the last promotion was ordered. Logs of the
	// same term that are longer may have entries which that promotion has rolled back.
	Base marker.Mark
	// Token is the fencing token, which each change of the claim increases.
	Token uint64
}

// Platform is the platform's interface for claims and promotions.
type Platform interface {
	// Claim returns the present claim of the group, or ErrNoClaim.
	Claim(ctx context.Context, group string) (Claim, error)
	// PutClaim replaces the claim whose token is that of c, or creates one if the token is
	// zero, and returns it with its new token. It returns ErrClaimChanged if the present claim
	// has another token.
	PutClaim(ctx context.Context, group string, c Claim) (Claim, error)
	// Draining reports whether the server's present entry says that it drains. It returns an error if the
	// entry can't be read or there is none.
	Draining(ctx context.Context, server string) (bool, error)
	// Members reads the servers that the platform lists for the group at the time of the call, and the
	// record of its members.
	Members(ctx context.Context, group string) (Members, error)
	// PutMembers replaces the record of the group's members that has the revision, or creates one if that
	// is zero. It returns ErrMembersChanged if the record has another one.
	PutMembers(ctx context.Context, group string, ids []string, revision uint64) error
	// Promote requests a promotion. It returns ErrFenced if the platform refuses.
	Promote(ctx context.Context, r Request) error
}

// Request is a request for a promotion.
type Request struct {
	// Server becomes the primary of the group.
	Group, Server string
	// Holder and Token are those of the claim under which it is requested.
	Holder string
	Token  uint64
	// Valid, if not nil, is called when the request is sent, which must not happen if it returns false.
	Valid func() bool
}

// claimIfUnclaimed claims the group if no host has, so that the holder can request a promotion
// while the platform's store is unavailable. Only a few hosts do so, each after a different
// delay: all at once would make two calls for each host and group.
func (p *Promoter) claimIfUnclaimed(ctx context.Context) {
	if scheduler.Pause(ctx, firstClaimDelay+firstClaimDelayFactor*p.detector.Delay()) != nil || !p.Roles.MayClaim(p.Group) {
		return
	}
	c, err := p.readClaim(ctx)
	if errors.Is(err, ErrNoClaim) {
		_, _ = p.putClaim(ctx, Claim{Holder: p.Host})
	}
	p.suspected = c.Server != "" || err != nil && !errors.Is(err, ErrNoClaim)
}

// acquireClaim replaces the present claim by x, whose holder and token it sets, and reports whether this
// host may promote the server of x. The error is that of reading the present claim.
func (p *Promoter) acquireClaim(ctx context.Context, present Claim, err error, x Claim) (Claim, bool) {
	switch {
	case errors.Is(err, ErrNoClaim):
	case err != nil:
		return p.reuseHeldClaim(x)
	case p.defersTo(ctx, present):
		return Claim{}, false
	}
	p.unsettled = p.unsettled || present.Server != ""
	x.Holder, x.Token = p.Host, present.Token
	c, failure := p.replaceClaim(ctx, present, x)
	return c, failure == nil && !p.awaitsEarlierOrders()
}

// replaceClaim puts x in place of the present claim.
func (p *Promoter) replaceClaim(ctx context.Context, present, x Claim) (Claim, error) {
	// An order under a claim that this process hasn't made may be on its way.
	foreign := present.Server != "" && present.Token != p.heldClaim.Token
	c, err := p.putClaim(ctx, x)
	if err != nil {
		return c, err
	}
	if present.Token != 0 && present.Holder != p.Host {
		p.Log.WithFields(log.Fields{"database-group": p.Group, "token": c.Token, "holder": present.Holder, "replaced": present.Token}).Info("claim of another host replaced")
	}
	if foreign {
		p.awaitEarlierOrders()
	}
	return c, nil
}

// defersTo reports whether another host holds the claim and is given time to act first. The
// time starts again with each change of the claim. A holder that doesn't answer, or answers that it can't order
// a promotion, is not waited for, as it won't act. One that isn't known may act.
func (p *Promoter) defersTo(ctx context.Context, c Claim) bool {
	return p.defersFor(ctx, max(holderGracePeriod, p.Lease()+leaseSlack)+p.earlierOrdersWait(), c)
}

// defersFor is defersTo for the given time.
func (p *Promoter) defersFor(ctx context.Context, d time.Duration, c Claim) bool {
	if c.Holder == p.Host {
		return false
	}
	if p.otherClaimAt.IsZero() || c.Token != p.otherToken {
		p.otherToken, p.otherClaimAt = c.Token, time.Now()
	}
	if time.Since(p.otherClaimAt) >= d {
		return false
	}
	return c.Holder == "" || p.Dialer.HostMayPromote(ctx, c.Holder, p.Group)
}

// ordersWithoutStore reports whether this host may order a promotion for the reason while it can't read the
// claim. If another host has made a newer one, only a platform that checks fences refuses the promotion. If replicas
// must have a commit before it is acknowledged, the list of servers must be current as well.
func (p *Promoter) ordersWithoutStore(r successor.Reason) bool {
	return p.FencesChecked() && !p.needsMembers(r)
}

// MayPromote reports whether this host can order a promotion of the group now if it finds a reason, so that other
// hosts leave that to it if it holds the claim. It may be called at any time.
func (p *Promoter) MayPromote(ctx context.Context) bool {
	if p.ordering.Load() || p.ordersWithoutStore(successor.ReasonDown) || p.hasReadClaim() {
		return true
	}
	c, cancel := context.WithTimeout(ctx, mayPromoteTimeout)
	defer cancel()
	_, err := p.Platform.Claim(c, p.Group)
	return err == nil || errors.Is(err, ErrNoClaim)
}

// hasReadClaim reports whether the store has just answered a read of the claim: it may be too slow to answer
// another one before the host that asks gives up.
func (p *Promoter) hasReadClaim() bool {
	t := time.Duration(p.readAt.Load())
	return t != 0 && p.Board.Time()-t < recentRead
}

// reuseHeldClaim returns the last claim that this host made, for use while the store is
// unavailable. If another host has made one since, the platform refuses the promotion. The claim
// is valid for one server only: a late request for another server would have the same token.
func (p *Promoter) reuseHeldClaim(x Claim) (Claim, bool) {
	if p.heldClaim.Token == 0 || p.heldClaim.Server != "" && p.heldClaim.Server != x.Server {
		return Claim{}, false
	}
	x.Holder, x.Token = p.heldClaim.Holder, p.heldClaim.Token
	p.heldClaim = x
	return p.heldClaim, true
}

// renewClaim replaces the held claim by one for no server, once the promotion that it was made
// for is over. Otherwise, the host could not act if the store were lost together with the next
// primary, as its claim would be valid for the server of the last promotion only.
func (p *Promoter) renewClaim(ctx context.Context) {
	if p.unsettled || p.heldClaim.Server == "" || time.Since(p.renewedAt) < claimRenewInterval {
		return
	}
	p.renewedAt = time.Now()
	x := p.heldClaim
	x.Server, x.LedTerm = "", max(x.LedTerm, p.ledTerm())
	c, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	n, err := p.Platform.PutClaim(c, p.Group, x)
	l := p.Log.WithFields(log.Fields{"database-group": p.Group, "token": x.Token})
	switch {
	case err == nil:
		p.heldClaim = n
		l.WithField("token", n.Token).Info("claim renewed")
	case errors.Is(err, ErrClaimChanged):
		// Another host holds the claim, or the answer to the last renewal was lost.
		p.heldClaim = Claim{}
		l.WithError(err).Info("claim given up")
	default:
		l.WithError(err).Warn("claim not renewed")
	}
}

// readClaim reads the present claim of the group from the platform.
func (p *Promoter) readClaim(ctx context.Context) (Claim, error) {
	c, cancel := context.WithTimeout(ctx, p.storeTimeout())
	defer cancel()
	x, err := p.Platform.Claim(c, p.Group)
	if err == nil || errors.Is(err, ErrNoClaim) {
		p.readAt.Store(int64(p.Board.Time()))
	}
	return x, err
}

// storeTimeout bounds a call to the store about the group. A host that can't order anything without the store waits
// for one that is slow.
func (p *Promoter) storeTimeout() time.Duration {
	if p.ordersWithoutStore(successor.ReasonDown) {
		return claimTimeout
	}
	return requiredStoreTimeout
}

// putClaim makes or replaces the claim. If the answer is lost, it reads the claim back to find
// out whether it was made.
func (p *Promoter) putClaim(ctx context.Context, x Claim) (Claim, error) {
	c, cancel := context.WithTimeout(ctx, p.storeTimeout())
	defer cancel()
	began := p.Board.Time()
	n, err := p.Platform.PutClaim(c, p.Group, x)
	if err != nil && !errors.Is(err, ErrClaimChanged) {
		n, err = p.confirmPut(ctx, x, err)
	}
	if err != nil {
		p.Log.WithError(err).WithField("database-group", p.Group).Warn("claim not made")
		return n, err
	}
	p.heldClaim, p.provedAt = n, began
	return n, nil
}

// confirmPut returns the present claim if it is the one put as x, although the call failed with
// cause.
func (p *Promoter) confirmPut(ctx context.Context, x Claim, cause error) (Claim, error) {
	n, err := p.readClaim(ctx)
	if err != nil {
		return n, errors.Annotatef(cause, "and not read back: %v", err)
	}
	if n.Holder != x.Holder || n.Server != x.Server || n.Token <= x.Token {
		return n, errors.Annotatef(cause, "claim of %s with token %d stands", n.Holder, n.Token)
	}
	return n, nil
}
