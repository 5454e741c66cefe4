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

// lease is a connection leased from another entry host. Each lease has its own stream, so that an
// answer can't reach another lease.
type lease struct {
	forwarder *Forwarder
	pool      Pool
	// pending is the request for the connection, nil once the host has accepted or refused it.
	pending *dialer.Pending
	// queued reports whether the pool owner hasn't granted a connection yet.
	queued bool
	// returned reports whether the pool owner has taken the connection back with an answer.
	returned bool
	stream   *linker.Stream
	conn     messenger.Conn
	// sequence numbers the exchanges from 1.
	sequence uint64
	// broken reports whether the lease has failed, so that Release aborts its stream.
	broken bool
}

var _ lessor.Lease = (*lease)(nil)

// Parameters implements lessor.Lease.
func (e *lease) Parameters() map[string]string { return e.forwarder.knownParameters(e.pool) }

// awaitAcceptance waits until the host accepts the request. Hosts do so immediately, so one that
// doesn't answer in acceptTimeout is considered unavailable.
func (e *lease) awaitAcceptance(ctx context.Context) error {
	var w scheduler.Stopwatch
	w.Elapsed()
	x, cancel := context.WithTimeout(ctx, e.forwarder.acceptTimeout(e.pool.Host))
	defer cancel()
	_, err := e.pending.Await(x)
	e.pending = nil
	if err == nil {
		e.forwarder.recordResponseTime(e.pool.Host, w.Elapsed())
	}
	e.forwarder.recordAnswer(ctx, e.pool.Host, err)
	return err
}

// awaitLease waits in the pool owner's queue until the connection is granted, or about to be. When
// ctx ends, the stream is aborted, which removes the request from the queue.
func (e *lease) awaitLease(ctx context.Context) error {
	stop := context.AfterFunc(ctx, e.stream.Abort)
	k, b, err := e.conn.Read()
	if !stop() {
		return &notRunError{cause: errors.Annotatef(ctx.Err(), "wait at entry host %s for connection", e.pool.Host)}
	}
	if err != nil {
		return &notRunError{cause: errors.WithType(errors.Annotatef(err, "wait at entry host %s for connection", e.pool.Host), ErrUnavailable)}
	}
	if k == messenger.KindRequestBatch {
		return nil
	}
	return e.handleLeased(k, b)
}

// handleLeased handles the message by which the pool owner grants or refuses the connection.
func (e *lease) handleLeased(k messenger.Kind, b []byte) error {
	var err error
	switch k {
	case messenger.KindLeased:
		e.queued = false
		var l messenger.Leased
		err = encoder.Unmarshal(b, &l)
		if l.Parameters != nil {
			e.forwarder.setParameters(e.pool, l.Parameters)
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
		return &notRunError{cause: errors.Annotatef(err, "read answer of entry host %s", e.pool.Host)}
	}
	return nil
}

// receiveLease reads the answers to the request for the connection after the first exchange has
// been sent. When ctx ends, it goes on waiting: Exchange sends a Cancel, and the pool owner then
// reports whether the exchange ran.
func (e *lease) receiveLease(ctx context.Context) error {
	if e.pending != nil {
		if err := e.awaitPipelinedAcceptance(ctx); err != nil {
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
	err = e.handleLeased(k, b)
	e.broken = err != nil
	return err
}

// awaitPipelinedAcceptance waits until the host accepts a request that was sent together with its
// first exchange.
func (e *lease) awaitPipelinedAcceptance(ctx context.Context) error {
	err := e.awaitAcceptance(context.WithoutCancel(ctx))
	var r *encoder.Refusal
	switch {
	case errors.As(err, &r):
		e.broken = true
		return unavailableError(ctx, e.pool, err)
	case err != nil:
		return e.lost(errors.WithType(err, ErrSilent))
	}
	return nil
}

// Exchange implements lessor.Lease.
func (e *lease) Exchange(ctx context.Context, x lessor.Exchange) (exchanger.Result, error) {
	switch {
	case e.returned:
		return exchanger.Result{}, &notRunError{cause: errors.WithType(errors.Errorf("connection at entry host %s given back", e.pool.Host), exchanger.ErrNotSent)}
	case e.broken:
		return exchanger.Result{}, e.lost(errors.New("stream closed"))
	}
	if e.queued && e.pending == nil && x.Batch.Size() > MaximumQueuedBytes {
		if err := e.awaitLease(ctx); err != nil {
			e.broken = true
			return exchanger.Result{}, notSentIfUnavailable(err)
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

// receive reads the answer to an exchange, after that to the request for the connection if it is
// still due.
func (e *lease) receive(ctx context.Context, x lessor.Exchange) (exchanger.Result, error) {
	if err := e.receiveLease(ctx); err != nil {
		return exchanger.Result{}, err
	}
	a := &answerReader{lease: e, exchange: x}
	return a.receive()
}

// Release implements lessor.Lease.
func (e *lease) Release(r lessor.Return) {
	if e.broken || e.queued {
		e.abort()
		return
	}
	if !e.returned && e.conn.SendValue(messenger.KindRelease, encodeRelease(r)) != nil {
		e.abort()
		return
	}
	e.forwarder.remove(e)
	// The error is ignored: Close still delivers what was written, and no answer is expected.
	_ = e.stream.Close()
}

// encodeRelease returns the message for r.
func encodeRelease(r lessor.Return) messenger.Release {
	return messenger.Release{Clean: r.Clean, Settings: messenger.EncodeSettings(r.Settings), HiddenState: r.HiddenState}
}

// abort resets the stream, which makes the pool owner close the connection.
func (e *lease) abort() {
	e.forwarder.remove(e)
	e.stream.Abort()
}

const (
	// itemsPerMessage and bytesPerMessage bound an Items message. A single larger item is sent in a
	// message of its own.
	itemsPerMessage = 500
	bytesPerMessage = 256 << 10
)

// send sends the batch. The pool owner runs nothing before it has received the Execute message, so
// after a failure before that one the batch certainly didn't run.
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
			return &notRunError{cause: errors.WithType(errors.Annotatef(err, "send to entry host %s", e.pool.Host), exchanger.ErrNotSent)}
		}
	}
	m := messenger.Execute{Sequence: e.sequence, AskPosition: x.AskPosition, AskBefore: x.AskBefore, InTransaction: x.InTransaction, ReturnIfIdle: x.ReturnIfIdle, AskProof: x.AskProof}
	if err := e.conn.SendValue(messenger.KindExecute, m); err != nil && !e.queued {
		return e.lost(err)
	}
	// A pool owner that refuses the lease while the batch is in flight closes the stream, and the
	// write fails before the refusal is read. The refusal can still be read; if it weren't, a request
	// that certainly didn't run would be reported with an unknown outcome.
	return nil
}

// notSentIfUnavailable adds exchanger.ErrNotSent to an ErrUnavailable, so that a request whose host was
// lost while it was queued there is retried.
func notSentIfUnavailable(err error) error {
	if errors.Is(err, ErrUnavailable) {
		return &notRunError{cause: errors.WithType(err, exchanger.ErrNotSent)}
	}
	return err
}

// collect adds items to m from item i on, and returns the index of the first one that didn't fit.
func collect(b *batcher.Batch, i int, m *messenger.Items) int {
	n := 0
	for ; i < len(b.Items) && len(m.Items) < itemsPerMessage; i++ {
		r := b.Raw(i)
		if n > 0 && n+len(r) > bytesPerMessage {
			break
		}
		n += len(r)
		t := b.Items[i]
		m.Items = append(m.Items, messenger.Item{Type: t.Type, Answer: t.Answer, Name: t.Name, Raw: r, Begins: t.Begins, Results: t.Results})
	}
	return i
}

// lost marks the lease as broken and returns err as an exchanger.ErrLost. The pool owner may have
// sent the batch to the backend server, so its outcome is unknown.
func (e *lease) lost(err error) error {
	e.broken = true
	return errors.WithType(errors.Annotatef(err, "exchange through entry host %s", e.pool.Host), exchanger.ErrLost)
}

// canceller cancels an exchange at the pool owner when the exchange's context ends.
type canceller struct {
	lease    *lease
	sequence uint64
	done     chan struct{}
}

// run sends the Cancel and bounds the wait for the answer. Otherwise a pool owner that crashed
// without closing the connection would block the caller.
func (c *canceller) run() {
	defer close(c.done)
	_ = c.lease.stream.SetReadDeadline(time.Now().Add(cancelTimeout))
	_ = c.lease.stream.SetWriteDeadline(time.Now().Add(cancelTimeout))
	_ = c.lease.conn.SendValue(messenger.KindCancel, messenger.Cancel{Sequence: c.sequence})
	_ = c.lease.stream.SetWriteDeadline(time.Time{})
}
