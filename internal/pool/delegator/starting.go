package delegator

import (
	"context"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/pool/exchanger"
	"github.com/cuminwick/cuminwick/internal/pool/forwarder"
	"github.com/cuminwick/cuminwick/internal/pool/lessor"
)

// starting is a lease for reads and for first exchanges without effect, which asks
// for the connection along with the first exchange. That one may be repeated, so it
// doesn't matter that its outcome is open if the owner is lost. A refusal, which
// other leases for writes get from Lease, comes from the first Exchange here.
type starting struct {
	delegator *Delegator
	host      string
	demand    lessor.Demand
	lease     lessor.Lease
}

// Parameters implements lessor.Lease; they aren't known before the first exchange.
func (s *starting) Parameters() map[string]string {
	if s.lease == nil {
		return nil
	}
	return s.lease.Parameters()
}

// Exchange implements lessor.Lease.
func (s *starting) Exchange(ctx context.Context, x lessor.Exchange) (exchanger.Result, error) {
	if s.lease != nil {
		return s.lease.Exchange(ctx, x)
	}
	if x.Batch.Bytes() > forwarder.MaximumQueuedBytes {
		return s.behind(ctx, x)
	}
	r, err := s.first(ctx, x)
	if err == nil || ctx.Err() != nil || !s.again(err) {
		return r, err
	}
	s.Release(lessor.Return{})
	return s.behind(ctx, x)
}

// again reports whether the first exchange may be made at another host: nothing was
// sent, or it has no effect by itself and nobody has answered it. Were the second left
// to the session, a dead owner would use up the group's budget for retries.
func (s *starting) again(err error) bool {
	return errors.Is(err, forwarder.ErrUnavailable) || s.demand.Retryable && errors.Is(err, forwarder.ErrSilent)
}

// behind makes the first exchange over a lease that was waited for.
func (s *starting) behind(ctx context.Context, x lessor.Exchange) (exchanger.Result, error) {
	var err error
	s.lease, err = s.delegator.lease(ctx, s.demand)
	if err != nil {
		s.lease = nil
		return exchanger.Result{}, err
	}
	return s.lease.Exchange(ctx, x)
}

func (s *starting) first(ctx context.Context, x lessor.Exchange) (exchanger.Result, error) {
	e, err := s.delegator.Peers.LeasePipelined(ctx, s.delegator.pool(s.host), s.demand)
	if err != nil {
		return exchanger.Result{}, err
	}
	s.lease = e
	return e.Exchange(ctx, x)
}

// Release implements lessor.Lease.
func (s *starting) Release(r lessor.Return) {
	if s.lease != nil {
		s.lease.Release(r)
		s.lease = nil
	}
}
