package forwarder

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/clock/scheduler"
	"github.com/cuminwick/cuminwick/internal/peer/dialer"
	"github.com/cuminwick/cuminwick/internal/peer/encoder"
	"github.com/cuminwick/cuminwick/internal/peer/linker"
	"github.com/cuminwick/cuminwick/internal/pool/exchanger"
	"github.com/cuminwick/cuminwick/internal/pool/lessor"
	"github.com/cuminwick/cuminwick/internal/pool/messenger"
	"github.com/cuminwick/cuminwick/internal/wire/batcher"
)

// lease is a connection lent by another entry host. It has a stream of its
// own, so that an answer can't come to another lease.
type lease struct {
	forwarder *Forwarder
	pool      Pool
	// pending is the request for the connection until it is answered.
	pending *dialer.Pending
	// queued says that the pool owner hasn't told yet that it lends a connection.
	queued bool
	// returned says that the pool owner has taken the connection back.
	returned bool
	stream   *linker.Stream
	conn     messenger.Conn
	sequence uint64
	broken   bool
}

var _ lessor.Lease = (*lease)(nil)

// Parameters implements lessor.Lease.
func (e *lease) Parameters() map[string]string { return e.forwarder.known(e.pool) }

// accept waits until the host takes the request on. Hosts do so at once, so
// silence is a host that is gone.
func (e *lease) accept(ctx context.Context) error {
	var w scheduler.Stopwatch
	w.Elapsed()
	x, cancel := context.WithTimeout(ctx, e.forwarder.patienceWith(e.pool.Host))
	defer cancel()
	_, err := e.pending.Await(x)
	e.pending = nil
	if err == nil {
		e.forwarder.took(e.pool.Host, w.Elapsed())
	}
	e.forwarder.judge(ctx, e.pool.Host, err)
	return err
}

// await waits in the pool owner's queue. When ctx ends, the stream is aborted,
// which takes the request out of that queue.
func (e *lease) await(ctx context.Context) error {
	stop := context.AfterFunc(ctx, e.stream.Abort)
	k, b, err := e.conn.Read()
	if !stop() {
		return &unsent{cause: errors.Annotatef(ctx.Err(), "wait at entry host %s for connection", e.pool.Host)}
	}
	if err != nil {
		return &unsent{cause: errors.WithType(errors.Annotatef(err, "wait at entry host %s for connection", e.pool.Host), ErrUnavailable)}
	}
	if k == messenger.KindRequestBatch {
		return nil
	}
	return e.leased(k, b)
}

// leased takes the pool owner's word on the connection.
func (e *lease) leased(k messenger.Kind, b []byte) error {
	var err error
	switch k {
	case messenger.KindLeased:
		e.queued = false
		var l messenger.Leased
		err = encoder.Unmarshal(b, &l)
		if l.Parameters != nil {
			e.forwarder.learn(e.pool, l.Parameters)
		}
	case messenger.KindRefused:
		var f messenger.Failure
		if err = encoder.Unmarshal(b, &f); err == nil {
			return f.Err(e.pool.Host)
		}
	default:
		err = errors.Annotatef(encoder.ErrMalformed, "message %q", k)
	}
	if err != nil {
		return &unsent{cause: errors.Annotatef(err, "read answer of entry host %s", e.pool.Host)}
	}
	return nil
}

// begin takes the answers to the request for the connection, behind which the
// first exchange was sent already. A cancel is a message of its own then, so
// that the pool owner tells whether the exchange ran.
func (e *lease) begin(ctx context.Context) error {
	if e.pending != nil {
		if err := e.begun(ctx); err != nil {
			return err
		}
	}
	if !e.queued {
		return nil
	}
	k, b, err := e.conn.Read()
	if err != nil {
		return e.lost(err)
	}
	err = e.leased(k, b)
	e.broken = err != nil
	return err
}

// begun waits until the host takes on the request and its first exchange.
func (e *lease) begun(ctx context.Context) error {
	err := e.accept(context.WithoutCancel(ctx))
	var r *encoder.Refusal
	switch {
	case errors.As(err, &r):
		e.broken = true
		return refusal(ctx, e.pool, err)
	case err != nil:
		return e.lost(errors.WithType(err, ErrSilent))
	}
	return nil
}

// Exchange implements lessor.Lease.
func (e *lease) Exchange(ctx context.Context, x lessor.Exchange) (exchanger.Result, error) {
	switch {
	case e.returned:
		return exchanger.Result{}, &unsent{cause: errors.WithType(errors.Errorf("connection at entry host %s given back", e.pool.Host), exchanger.ErrNotSent)}
	case e.broken:
		return exchanger.Result{}, e.lost(errors.New("stream closed"))
	}
	if e.queued && e.pending == nil && x.Batch.Bytes() > MaximumQueuedBytes {
		if err := e.await(ctx); err != nil {
			e.broken = true
			return exchanger.Result{}, unsentIfGone(err)
		}
	}
	e.sequence++
	if err := e.send(x); err != nil {
		return exchanger.Result{}, err
	}
	c := &canceller{lease: e, sequence: e.sequence, done: make(chan struct{})}
	stop := context.AfterFunc(ctx, c.run)
	r, err := e.receive(ctx, x)
	if stop() {
		return r, err
	}
	<-c.done
	if e.stream.SetReadDeadline(time.Time{}) != nil {
		e.broken = true
	}
	return r, err
}

func (e *lease) receive(ctx context.Context, x lessor.Exchange) (exchanger.Result, error) {
	if err := e.begin(ctx); err != nil {
		return exchanger.Result{}, err
	}
	a := &answer{lease: e, exchange: x}
	return a.receive()
}

// Release implements lessor.Lease.
func (e *lease) Release(r lessor.Return) {
	if e.broken || e.queued {
		e.abort()
		return
	}
	if !e.returned && e.conn.SendValue(messenger.KindRelease, release(r)) != nil {
		e.abort()
		return
	}
	e.forwarder.remove(e)
	// What was written is delivered all the same, and nothing else comes.
	_ = e.stream.Close()
}

func release(r lessor.Return) messenger.Release {
	return messenger.Release{Clean: r.Clean, Settings: messenger.EncodeSettings(r.Settings), HiddenState: r.HiddenState}
}

func (e *lease) abort() {
	e.forwarder.remove(e)
	e.stream.Abort()
}

const (
	// itemsPerMessage and bytesPerMessage bound a message of items, unless a
	// single item is larger.
	itemsPerMessage = 500
	bytesPerMessage = 256 << 10
)

// send sends the batch. The pool owner does nothing before it has the Execute,
// so a failure before that one leaves the batch unsent.
func (e *lease) send(x lessor.Exchange) error {
	for i := 0; i < len(x.Batch.Items); {
		var m messenger.Items
		i = collect(x.Batch, i, &m)
		b, err := encoder.Marshal(m)
		if err == nil {
			err = e.conn.Put(messenger.KindItems, b)
		}
		if err != nil {
			e.broken = true
			return &unsent{cause: errors.WithType(errors.Annotatef(err, "send to entry host %s", e.pool.Host), exchanger.ErrNotSent)}
		}
	}
	m := messenger.Execute{Sequence: e.sequence, AskPosition: x.AskPosition, AskBefore: x.AskBefore, InTransaction: x.InTransaction, ReturnIfIdle: x.ReturnIfIdle}
	if err := e.conn.SendValue(messenger.KindExecute, m); err != nil && !e.queued {
		return e.lost(err)
	}
	// A pool owner that refuses while the batch is on its way ends the stream, which
	// is noticed first. Its word is still there to be read; without it, a request
	// that certainly didn't run would be told as one of unknown outcome.
	return nil
}

// unsentIfGone has a request made again whose host was lost while it waited there.
func unsentIfGone(err error) error {
	if errors.Is(err, ErrUnavailable) {
		return &unsent{cause: errors.WithType(err, exchanger.ErrNotSent)}
	}
	return err
}

// collect takes items from i on and returns the first that it left.
func collect(b *batcher.Batch, i int, m *messenger.Items) int {
	n := 0
	for ; i < len(b.Items) && len(m.Items) < itemsPerMessage; i++ {
		r := b.Raw(i)
		if n > 0 && n+len(r) > bytesPerMessage {
			break
		}
		n += len(r)
		t := b.Items[i]
		m.Items = append(m.Items, messenger.Item{Type: t.Type, Answer: t.Answer, Name: t.Name, Raw: r, Begins: t.Begins})
	}
	return i
}

// lost is the error of a stream that ended after a batch was sent: the pool
// owner may have passed the batch on, so its outcome is open.
func (e *lease) lost(err error) error {
	e.broken = true
	return errors.WithType(errors.Annotatef(err, "exchange through entry host %s", e.pool.Host), exchanger.ErrLost)
}

// canceller passes the end of an exchange's context on.
type canceller struct {
	lease    *lease
	sequence uint64
	done     chan struct{}
}

// run asks the pool owner to cancel and bounds the wait for the answer: a pool
// owner that died without a word would keep the caller waiting otherwise.
func (c *canceller) run() {
	defer close(c.done)
	_ = c.lease.stream.SetReadDeadline(time.Now().Add(cancelPatience))
	_ = c.lease.stream.SetWriteDeadline(time.Now().Add(cancelPatience))
	_ = c.lease.conn.SendValue(messenger.KindCancel, messenger.Cancel{Sequence: c.sequence})
	_ = c.lease.stream.SetWriteDeadline(time.Time{})
}
