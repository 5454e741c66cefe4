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

// errGone says that the other host gave the lease up without a Release: its
// caller disconnected, or it died.
const errGone = errors.ConstError("entry host gave up the lease")

// service is one lease of another entry host.
//
// The stream is read by a goroutine of its own all the time, so that a cancel
// or the end of the other host is seen while an exchange runs. When it ends,
// the exchange is cancelled and the connection closed, which rolls back an
// open transaction; without this, its locks and its place in the pool would
// stay taken for good.
type service struct {
	stream io.ReadWriter
	conn   messenger.Conn
	pool   lessor.Lessor
	demand lessor.Demand
	// ask says that the other host doesn't know the server's parameters.
	ask bool
	// callUp says that the other host holds its first exchange back.
	callUp bool
	// returned says that the connection went back with an answer.
	returned bool

	cancel   context.CancelCauseFunc
	batches  chan batch
	releases chan lessor.Return
	inputs   chan input

	mu sync.Mutex
	// running is the sequence number of the present exchange, and stop cancels it.
	running uint64
	stop    context.CancelFunc
	// done is closed when the last exchange that began has ended.
	done chan struct{}
	// cancelled is the highest sequence number that a cancel named.
	cancelled uint64
}

// gauge tells of a pool's queue.
type gauge interface {
	Load() gate.Load
}

// batch is one exchange to make.
type batch struct {
	messenger.Execute
	batcher.Batch
}

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

// lease waits for the connection. A cancel of the first exchange, which may
// have been sent along with the request, ends the wait.
func (s *service) lease(ctx context.Context) (lessor.Lease, error) {
	x, stop := context.WithCancel(ctx)
	defer stop()
	s.begin(firstSequence, stop)
	defer s.end()
	if s.callUp {
		c := s.announce()
		defer c.end()
	}
	return s.pool.Lease(x, s.demand)
}

// firstSequence numbers the first exchange of a lease.
const firstSequence = 1

// serveLease makes exchanges until the lease is given back.
func (s *service) serveLease(ctx context.Context, l lessor.Lease) (lessor.Return, error) {
	if err := s.tell(l); err != nil {
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
			return s.ended(ctx)
		}
	}
}

// tell tells the other host of its lease, at once where it waits for that and
// else along with the first answer.
func (s *service) tell(l lessor.Lease) error {
	var m messenger.Leased
	if s.ask {
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

// ended tells a lease that was given back at the same moment from one given up.
func (s *service) ended(ctx context.Context) (lessor.Return, error) {
	select {
	case r := <-s.releases:
		return r, nil
	default:
		return lessor.Return{}, context.Cause(ctx)
	}
}

func (s *service) exchange(ctx context.Context, l lessor.Lease, b *batch) error {
	x, stop := context.WithCancel(ctx)
	defer stop()
	s.begin(b.Sequence, stop)
	r, err := s.pass(x, l, b, &inputs{service: s, context: ctx})
	s.end()
	s.returned = r.Returned
	m := messenger.Result{Sequence: b.Sequence, Status: r.Status, Position: r.Position, Before: r.Before, Code: r.Code, Tag: r.Tag, Returned: s.returned}
	if err != nil {
		m.Failure = messenger.NewFailure(err, true)
	}
	if g, ok := s.pool.(gauge); ok {
		v := g.Load()
		m.Load = &v
	}
	return s.conn.SendValue(messenger.KindResult, m)
}

// pass makes the exchange, unless it was cancelled before anything was sent.
func (s *service) pass(x context.Context, l lessor.Lease, b *batch, i *inputs) (exchanger.Result, error) {
	if x.Err() != nil {
		return exchanger.Result{}, errors.WithType(x.Err(), lessor.ErrNotRun)
	}
	return l.Exchange(x, lessor.Exchange{
		Batch:         &b.Batch,
		Output:        &output{conn: &s.conn},
		Input:         i,
		AskPosition:   b.AskPosition,
		AskBefore:     b.AskBefore,
		InTransaction: b.InTransaction,
		ReturnIfIdle:  b.ReturnIfIdle,
	})
}

func (s *service) begin(n uint64, stop context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running, s.stop, s.done = n, stop, make(chan struct{})
	if s.cancelled >= n {
		stop()
	}
}

func (s *service) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running, s.stop = 0, nil
	close(s.done)
}

// over returns a channel that is closed once the last exchange has ended.
func (s *service) over() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.done
}

// cancelExchange cancels exchange n, now or when it begins. One that is over
// is left alone: a late cancel must not hit the next exchange.
func (s *service) cancelExchange(n uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancelled = max(s.cancelled, n)
	if s.running == n && s.stop != nil {
		s.stop()
	}
}

// loopRead takes messages until the stream ends.
func (s *service) loopRead(ctx context.Context) {
	var b batch
	for {
		k, p, err := s.conn.Read()
		if err == nil {
			err = s.take(ctx, &b, k, p)
		}
		if err != nil {
			s.cancel(errors.WithType(err, errGone))
			return
		}
	}
}

func (s *service) take(ctx context.Context, b *batch, k messenger.Kind, p []byte) error {
	switch k {
	case messenger.KindItems:
		return addItems(b, p)
	case messenger.KindExecute:
		return s.takeExecute(ctx, b, p)
	case messenger.KindCopyData:
		return s.takeInput(ctx, p)
	case messenger.KindCopyAbort:
		return s.offer(ctx, input{err: errGone})
	case messenger.KindCancel:
		var c messenger.Cancel
		if err := encoder.Unmarshal(p, &c); err != nil {
			return err
		}
		s.cancelExchange(c.Sequence)
		return nil
	case messenger.KindRelease:
		return s.takeRelease(p)
	}
	return errors.Annotatef(encoder.ErrMalformed, "message %q", k)
}

func addItems(b *batch, p []byte) error {
	var m messenger.Items
	if err := encoder.Unmarshal(p, &m); err != nil {
		return err
	}
	for _, i := range m.Items {
		b.Add(i.Type, i.Answer, i.Raw)
		b.Items[len(b.Items)-1].Name = i.Name
		b.Items[len(b.Items)-1].Begins = i.Begins
	}
	if b.Bytes() > messenger.MaximumBytes {
		return errors.Annotatef(messenger.ErrTooLarge, "batch of %d bytes", b.Bytes())
	}
	return nil
}

func (s *service) takeExecute(ctx context.Context, b *batch, p []byte) error {
	if err := encoder.Unmarshal(p, &b.Execute); err != nil {
		return err
	}
	select {
	case s.batches <- *b:
	case <-ctx.Done():
		return ctx.Err()
	}
	*b = batch{}
	return nil
}

func (s *service) takeRelease(p []byte) error {
	var m messenger.Release
	if err := encoder.Unmarshal(p, &m); err != nil {
		return err
	}
	s.releases <- lessor.Return{Clean: m.Clean, Settings: messenger.DecodeSettings(m.Settings), HiddenState: m.HiddenState}
	return io.EOF
}
