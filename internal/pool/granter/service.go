package granter

import (
	"context"
	"io"
	"sync"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/limit/gate"
	"github.com/cuminwick/cuminwick/internal/peer/encoder"
	"github.com/cuminwick/cuminwick/internal/pool/exchanger"
	"github.com/cuminwick/cuminwick/internal/pool/lessor"
	"github.com/cuminwick/cuminwick/internal/pool/messenger"
	"github.com/cuminwick/cuminwick/internal/wire/batcher"
)

// errLeaseAbandoned reports that the stream of a lease ended without a Release, because the caller
// disconnected or the forwarding host failed.
const errLeaseAbandoned = errors.ConstError("entry host gave up the lease")

// service serves one lease of another entry host, the forwarding host.
//
// A separate goroutine reads the stream all the time, so that a cancel or the failure of the
// forwarding host is detected while an exchange runs. When the stream ends, the exchange is
// cancelled and the connection closed, which rolls back an open transaction. Otherwise the locks
// of the transaction and its connection would never be released.
type service struct {
	stream io.ReadWriter
	conn   messenger.Conn
	pool   lessor.Lessor
	demand lessor.Demand
	// sendParameters reports that the forwarding host requested the server's parameter statuses.
	sendParameters bool
	// batchHeld reports that the forwarding host holds back its first batch until it is requested
	// or the lease is granted.
	batchHeld bool
	// returned reports that the connection was returned to the pool with a result.
	returned bool

	cancel   context.CancelCauseFunc
	batches  chan batch
	releases chan lessor.Return
	inputs   chan input

	mu sync.Mutex
	// running is the sequence number of the current exchange, zero if there is none, and stop
	// cancels it.
	running uint64
	stop    context.CancelFunc
	// done is closed when the exchange that was started last has ended.
	done chan struct{}
	// received is the sequence number of the last exchange that was received. Only loopRead uses it.
	received uint64
	// cancelled is the highest sequence number for which a cancel was received.
	cancelled uint64
}

// loadReporter is a pool that reports the load of its queue.
type loadReporter interface {
	Load() gate.Load
}

// batch is a batch to send in one exchange.
type batch struct {
	messenger.Execute
	batcher.Batch
}

// serve acquires the connection and serves the lease until it ends.
func (s *service) serve() error {
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	s.cancel = cancel
	s.batches = make(chan batch, 1)
	s.releases = make(chan lessor.Return, 1)
	s.inputs = make(chan input)
	go s.loopRead(ctx)
	l, err := s.lease(ctx)
	if err != nil {
		return s.conn.SendValue(messenger.KindRefused, messenger.NewFailure(err, false))
	}
	r, err := s.serveLease(ctx, l)
	l.Release(r)
	return err
}

// lease waits for the connection. A cancel of the first exchange, which may have been sent along
// with the lease request, ends the wait.
func (s *service) lease(ctx context.Context) (lessor.Lease, error) {
	x, stop := context.WithCancel(ctx)
	defer stop()
	s.beginExchange(firstSequence, stop)
	defer s.endExchange()
	if s.batchHeld {
		c := s.scheduleBatchRequest()
		defer c.end()
	}
	return s.pool.Lease(x, s.demand)
}

// firstSequence is the sequence number of the first exchange of a lease.
const firstSequence = 1

// serveLease runs exchanges until the lease is released or abandoned.
func (s *service) serveLease(ctx context.Context, l lessor.Lease) (lessor.Return, error) {
	if err := s.sendLeased(l); err != nil {
		return lessor.Return{}, err
	}
	for {
		select {
		case b := <-s.batches:
			if err := s.exchange(ctx, l, &b); err != nil || s.returned {
				return lessor.Return{}, err
			}
		case r := <-s.releases:
			return r, nil
		case <-ctx.Done():
			return s.finalReturn(ctx)
		}
	}
}

// sendLeased notifies the forwarding host of its lease: at once if it may be waiting for this to
// send its batch, or along with the first part of the response if a batch has already arrived.
func (s *service) sendLeased(l lessor.Lease) error {
	var m messenger.Leased
	if s.sendParameters {
		m.Parameters = l.Parameters()
	}
	b, err := encoder.Marshal(m)
	if err != nil {
		return err
	}
	if len(s.batches) > 0 {
		return s.conn.Put(messenger.KindLeased, b)
	}
	return s.conn.Send(messenger.KindLeased, b)
}

// finalReturn returns the Release of a lease that was released just as its stream ended, or the
// cause if the lease was abandoned.
func (s *service) finalReturn(ctx context.Context) (lessor.Return, error) {
	select {
	case r := <-s.releases:
		return r, nil
	default:
		return lessor.Return{}, context.Cause(ctx)
	}
}

// exchange runs one exchange and sends its result.
func (s *service) exchange(ctx context.Context, l lessor.Lease, b *batch) error {
	x, stop := context.WithCancel(ctx)
	defer stop()
	s.beginExchange(b.Sequence, stop)
	r, err := s.runExchange(x, l, b, &inputs{service: s, context: ctx})
	s.endExchange()
	s.returned = r.Returned
	m := messenger.Result{Sequence: b.Sequence, Status: r.Status, Position: r.Position, Before: r.Before, Code: r.Code, Tag: r.Tag, Returned: s.returned}
	if err != nil {
		m.Failure = messenger.NewFailure(err, true)
	}
	if g, ok := s.pool.(loadReporter); ok {
		v := g.Load()
		m.Load = &v
	}
	return s.conn.SendValue(messenger.KindResult, m)
}

// runExchange sends the batch and passes on the response, unless the exchange was cancelled before.
func (s *service) runExchange(x context.Context, l lessor.Lease, b *batch, i *inputs) (exchanger.Result, error) {
	if x.Err() != nil {
		return exchanger.Result{}, errors.WithType(x.Err(), lessor.ErrNotRun)
	}
	return l.Exchange(x, lessor.Exchange{
		Batch:         &b.Batch,
		Output:        &output{conn: &s.conn},
		Input:         i,
		AskPosition:   b.AskPosition,
		AskBefore:     b.AskBefore,
		AskProof:      b.AskProof,
		InTransaction: b.InTransaction,
		ReturnIfIdle:  b.ReturnIfIdle,
	})
}

// beginExchange records exchange n as running and cancels it if a cancel for it has arrived before.
func (s *service) beginExchange(n uint64, stop context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running, s.stop, s.done = n, stop, make(chan struct{})
	if s.cancelled >= n {
		stop()
	}
}

func (s *service) endExchange() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running, s.stop = 0, nil
	close(s.done)
}

// exchangeDone returns a channel that is closed when the exchange that was started last has ended.
func (s *service) exchangeDone() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.done
}

// cancelExchange cancels exchange n now, or when it begins. It does nothing if the exchange has
// ended: a late cancel must not affect the next exchange.
func (s *service) cancelExchange(n uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancelled = max(s.cancelled, n)
	if s.running == n && s.stop != nil {
		s.stop()
	}
}

// loopRead handles messages until the stream ends.
func (s *service) loopRead(ctx context.Context) {
	var b batch
	for {
		k, p, err := s.conn.Read()
		if err == nil {
			err = s.handle(ctx, &b, k, p)
		}
		if err != nil {
			s.cancel(errors.WithType(err, errLeaseAbandoned))
			return
		}
	}
}

func (s *service) handle(ctx context.Context, b *batch, k messenger.Kind, p []byte) error {
	switch k {
	case messenger.KindItems:
		return addItems(b, p)
	case messenger.KindExecute:
		return s.handleExecute(ctx, b, p)
	case messenger.KindCopyData:
		return s.handleCopyData(ctx, p)
	case messenger.KindCopyAbort:
		return s.deliverInput(ctx, input{err: errLeaseAbandoned})
	case messenger.KindCancel:
		var c messenger.Cancel
		if err := encoder.Unmarshal(p, &c); err != nil {
			return err
		}
		s.cancelExchange(c.Sequence)
		return nil
	case messenger.KindRelease:
		return s.handleRelease(p)
	}
	return errors.Annotatef(encoder.ErrMalformed, "message %q", k)
}

func (s *service) handleRelease(p []byte) error {
	var m messenger.Release
	if err := encoder.Unmarshal(p, &m); err != nil {
		return err
	}
	s.releases <- lessor.Return{Clean: m.Clean, Settings: messenger.DecodeSettings(m.Settings), HiddenState: m.HiddenState}
	return io.EOF
}
