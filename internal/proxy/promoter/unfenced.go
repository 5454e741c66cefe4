package promoter

import (
	"context"
	"time"

	"github.com/juju/errors"
)

const (
	// claimProofAge is how long before a request is sent the claim must have been this host's, if the
	// platform doesn't check fences. Until then another host that has replaced the claim orders nothing.
	claimProofAge = time.Second
	// orderTransit bounds the time in which a request reaches the platform: the kernel sends it again for
	// 2 s and then closes the connection.
	orderTransit = 2200 * time.Millisecond
)

// awaitEarlierOrders postpones the orders of this host until those have arrived that were sent under an earlier
// claim. A platform that doesn't check fences would carry them out after this host's.
func (p *Promoter) awaitEarlierOrders() { p.orderAfter = p.Board.Time() + p.earlierOrdersWait() }

// earlierOrdersWait returns how long a host that has replaced another one's claim orders nothing.
func (p *Promoter) earlierOrdersWait() time.Duration {
	if p.FencesChecked() {
		return 0
	}
	return claimProofAge + orderTransit
}

// awaitsEarlierOrders reports whether orders are postponed.
func (p *Promoter) awaitsEarlierOrders() bool { return p.Board.Time() < p.orderAfter }

// proveClaim checks that the claim with the token is the present one, unless that is known from a call that began
// at most claimProofAge ago. It returns ErrFenced if another host has replaced the claim.
func (p *Promoter) proveClaim(ctx context.Context, token uint64) error {
	if p.heldClaim.Token == token && p.Board.Time()-p.provedAt < claimProofAge/2 {
		return nil
	}
	began := p.Board.Time()
	c, err := p.readClaim(ctx)
	switch {
	case err != nil:
		return errors.Annotate(err, "claim not read before a promotion")
	case c.Token != token:
		return errors.Annotatef(ErrFenced, "claim of %s with token %d stands", c.Holder, c.Token)
	}
	p.provedAt = began
	return nil
}

// provedClaim returns a function that reports whether the last proof of the claim is recent enough to send a
// request. It may be called at any time.
func (p *Promoter) provedClaim() func() bool {
	t := p.provedAt
	return func() bool { return p.Board.Time()-t < claimProofAge }
}
