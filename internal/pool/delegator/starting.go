package delegator

import (
	"context"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/pool/exchanger"
	"github.com/cuminwick/cuminwick/internal/pool/forwarder"
	"github.com/cuminwick/cuminwick/internal/pool/lessor"
)

// pipelinedLease is a lease for reads and for first exchanges without effect. It requests the
// connection together with the first exchange. That exchange may be repeated, so it doesn't matter
// that its outcome is unknown if the owner is lost. A refusal, which Lease returns for other leases,
// is returned by the first Exchange.
type pipelinedLease struct {
	delegator *Delegator
	host      string
	demand    lessor.Demand
	// lease is the lease from the other host, nil before the first exchange.
	lease lessor.Lease
}

// Parameters implements lessor.Lease. It returns nil before the first exchange.
func (s *pipelinedLease) Parameters() map[string]string {
	if s.lease == nil {
		return nil
	}
	return s.lease.Parameters()
}

// Exchange implements lessor.Lease.
func (s *pipelinedLease) Exchange(ctx context.Context, x lessor.Exchange) (exchanger.Result, error) {
	if s.lease != nil {
		return s.lease.Exchange(ctx, x)
	}
	if x.Batch.Size() > forwarder.MaximumQueuedBytes {
		return s.exchangeQueued(ctx, x)
	}
	r, err := s.exchangePipelined(ctx, x)
	if err == nil || ctx.Err() != nil || !s.mayRetry(err) {
		return r, err
	}
	s.Release(lessor.Return{})
	return s.exchangeQueued(ctx, x)
}

// mayRetry reports whether the first exchange may be made at another host after err: nothing was
// sent, or the exchange has no effect by itself and the owner didn't answer. If the session handled
// the second case, the requests that time out at a failed owner would exhaust the group's retry
// budget.
func (s *pipelinedLease) mayRetry(err error) bool {
	return errors.Is(err, forwarder.ErrUnavailable) || s.demand.Retryable && errors.Is(err, forwarder.ErrSilent)
}

// exchangeQueued waits for a lease and makes the first exchange over it.
func (s *pipelinedLease) exchangeQueued(ctx context.Context, x lessor.Exchange) (exchanger.Result, error) {
	var err error
	s.lease, err = s.delegator.lease(ctx, s.demand)
	if err != nil {
		s.lease = nil
		return exchanger.Result{}, err
	}
	return s.lease.Exchange(ctx, x)
}

// exchangePipelined makes the first exchange together with the request for the connection.
func (s *pipelinedLease) exchangePipelined(ctx context.Context, x lessor.Exchange) (exchanger.Result, error) {
	e, err := s.delegator.Peers.LeasePipelined(ctx, s.delegator.pool(s.host), s.demand)
	if err != nil {
		return exchanger.Result{}, err
	}
	s.lease = e
	return e.Exchange(ctx, x)
}

// Release implements lessor.Lease.
func (s *pipelinedLease) Release(r lessor.Return) {
	if s.lease != nil {
		s.lease.Release(r)
		s.lease = nil
	}
}
