// Package lender lends the pooled connections of one backend server at this entry host.
package lender

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/cuminwick/cuminwick/internal/limit/admitter"
	"github.com/cuminwick/cuminwick/internal/limit/gate"
	"github.com/cuminwick/cuminwick/internal/pool/exchanger"
	"github.com/cuminwick/cuminwick/internal/pool/keeper"
	"github.com/cuminwick/cuminwick/internal/pool/lessor"
	"github.com/cuminwick/cuminwick/internal/session/replayer"
	"github.com/cuminwick/cuminwick/internal/wire/batcher"
)

const (
	// quiet is how long a connection may be idle and still be used unasked.
	quiet = 2 * time.Second
	// roundTripTimeout bounds the question to a connection that has been quiet.
	roundTripTimeout = 250 * time.Millisecond
	// unusedLimit is how long a slot may wait for the first exchange of its lease.
	// The exchange of another entry host comes a round trip later, 20 ms or so
	// between regions.
	unusedLimit = 100 * time.Millisecond
)

// ErrSettings says that a session's settings were refused by the backend server.
const ErrSettings = errors.ConstError("session settings refused")

// Lender implements lessor.Lessor over a pool of this entry host.
type Lender struct {
	Keeper    *keeper.Keeper
	Gate      *gate.Gate
	Canceller exchanger.Canceller
	// Prober, if set, finds connections gone silent.
	Prober exchanger.Prober
	// SlotWaitSeconds takes the seconds that requests waited for a slot, unless it is nil.
	SlotWaitSeconds prometheus.Observer

	// transactions counts the leases that are inside a transaction.
	transactions atomic.Int64
}

// lease is one connection lent out.
type lease struct {
	lender *Lender
	demand lessor.Demand
	conn   *keeper.Conn
	// unused is the slot that was granted with the connection.
	unused unused
	// open says that the connection is inside a transaction.
	open bool
	// returned says that the connection was given back with an answer.
	returned bool
}

// Lease implements lessor.Lessor. It waits for a slot first and takes a
// connection then: with as many busy connections as slots, few are needed.
func (l *Lender) Lease(ctx context.Context, d lessor.Demand) (lessor.Lease, error) {
	q := gate.Request{Team: d.Team, Class: classOf(d), Timeout: timeout(ctx, d.Deadline)}
	s, err := l.acquire(ctx, q)
	if err != nil {
		return nil, notRun(refused(err))
	}
	c := l.Keeper.TryAcquire()
	l.Keeper.EnsureOpen(l.wanted())
	if c = l.verified(c); c == nil {
		s, c, err = l.await(ctx, s, q)
	}
	if err != nil {
		return nil, notRun(err)
	}
	e := &lease{lender: l, demand: d, conn: c, unused: unused{slot: s}}
	if err := e.adopt(ctx); err != nil {
		e.Release(lessor.Return{})
		return nil, notRun(err)
	}
	e.unused.expire()
	return e, nil
}

// verified returns c if it still answers. A connection that has been quiet for
// a while may have gone silent; a request sent over it would be lost with its
// outcome open, and a round trip beforehand costs one only rarely.
func (l *Lender) verified(c *keeper.Conn) *keeper.Conn {
	for c != nil && !c.LastUsed.IsZero() && time.Since(c.LastUsed) > quiet {
		err := exchanger.RoundTrip(c, roundTripTimeout)
		if err == nil {
			return c
		}
		l.Keeper.Release(c, false)
		l.retire(c)
		c = l.Keeper.TryAcquire()
	}
	return c
}

// await gives the slot back while there is no connection. A slot that is kept
// during a connect of 10 to 30 ms serves nobody; and if all connections are
// inside transactions, their statements need the slot to come to an end.
func (l *Lender) await(ctx context.Context, s *gate.Slot, q gate.Request) (*gate.Slot, *keeper.Conn, error) {
	s.ReleaseUnused()
	c, err := l.Keeper.Acquire(ctx)
	if err != nil {
		return nil, nil, limit(ctx, err)
	}
	q.HoldsConnection = true
	q.Timeout = timeout(ctx, time.Time{})
	s, err = l.acquire(ctx, q)
	if err != nil {
		l.Keeper.Release(c, true)
		return nil, nil, refused(err)
	}
	return s, c, nil
}

func (l *Lender) acquire(ctx context.Context, q gate.Request) (*gate.Slot, error) {
	if l.SlotWaitSeconds == nil {
		return l.Gate.Acquire(ctx, q)
	}
	t := time.Now()
	s, err := l.Gate.Acquire(ctx, q)
	l.SlotWaitSeconds.Observe(time.Since(t).Seconds())
	return s, err
}

// wanted is how many connections the requests at hand can use at a time: one
// for each slot, and those that are kept by transactions.
func (l *Lender) wanted() int {
	n := l.Gate.Load()
	return min(n.Running+n.Waiting, n.Slots) + int(l.transactions.Load())
}

// Load returns what waits and runs here, for the choice between servers.
func (l *Lender) Load() gate.Load { return l.Gate.Load() }

func classOf(d lessor.Demand) admitter.Class {
	if d.Write {
		return admitter.ClassWrite
	}
	return admitter.ClassRead
}

// timeout returns how long the request may still take, zero for no bound.
func timeout(ctx context.Context, deadline time.Time) time.Duration {
	if t, ok := ctx.Deadline(); ok && (deadline.IsZero() || t.Before(deadline)) {
		deadline = t
	}
	if deadline.IsZero() {
		return 0
	}
	return max(1, time.Until(deadline))
}

// refused marks the refusal of a leaving server as one that another server may
// not share.
func refused(err error) error {
	var r *gate.Refusal
	if errors.As(err, &r) && r.Reason == admitter.ReasonLeaving {
		return errors.WithType(err, lessor.ErrUnreachable)
	}
	return err
}

// Parameters implements lessor.Lease.
func (e *lease) Parameters() map[string]string {
	return e.conn.Parameters
}

// Exchange implements lessor.Lease.
func (e *lease) Exchange(ctx context.Context, x lessor.Exchange) (exchanger.Result, error) {
	if e.returned {
		return exchanger.Result{}, notRun(errors.WithType(errors.Errorf("connection to %s given back", e.conn.Address), exchanger.ErrNotSent))
	}
	s, err := e.takeSlot(ctx, x.InTransaction)
	if err != nil {
		return exchanger.Result{}, notRun(refused(err))
	}
	y := exchanger.Exchange{
		Conn:        e.conn,
		Canceller:   e.lender.Canceller,
		Batch:       x.Batch,
		Output:      x.Output,
		Input:       x.Input,
		AskPosition: x.AskPosition,
		AskBefore:   x.AskBefore,
		Prober:      e.lender.Prober,
	}
	r, err := y.Run(ctx)
	e.lender.noteSilence(e.conn, err)
	if r.Status != 0 {
		e.setOpen(r.Status != exchanger.Idle)
	}
	if err == nil && returns(&x, &r) {
		// Before the slot, whose next holder would else find no idle connection, give
		// the slot back and have another connection opened.
		r.Returned = true
		e.giveBack(lessor.Return{Clean: true, Settings: e.demand.Settings})
	}
	s.Release()
	return r, err
}

// returns reports whether the connection may go back with the answer r. Without a
// position that was asked for, the session asks for it over the same connection.
func returns(x *lessor.Exchange, r *exchanger.Result) bool {
	return x.ReturnIfIdle && r.Status == exchanger.Idle && (!x.AskPosition || !r.Position.IsZero())
}

// noteSilence closes the idle connections after one has gone silent: what lost
// track of it is likely to have lost the others of its age as well.
func (l *Lender) noteSilence(c *keeper.Conn, err error) {
	if errors.Is(err, exchanger.ErrSilent) {
		l.retire(c)
	}
}

// retire closes c's idle siblings and has the server end them all.
func (l *Lender) retire(c *keeper.Conn) {
	t := &terminator{lender: l, processIDs: append(l.Keeper.CloseIdle(), c.ProcessID)}
	go t.run()
}

// terminator ends silent sessions at the backend server.
type terminator struct {
	lender     *Lender
	processIDs []uint32
}

func (t *terminator) run() {
	if t.lender.Prober == nil {
		return
	}
	if err := t.lender.Prober.Terminate(context.Background(), t.processIDs); err != nil {
		t.lender.Keeper.Log.WithError(err).WithField("step", "end silent sessions").WithField("peer", t.lender.Keeper.Server.Name).Warn("silent sessions may still hold connections")
	}
}

// Release implements lessor.Lease.
func (e *lease) Release(r lessor.Return) {
	e.unused.giveBack()
	e.setOpen(false)
	if !e.returned {
		e.giveBack(r)
	}
}

func (e *lease) giveBack(r lessor.Return) {
	e.returned = true
	e.conn.Replay.Finish(r.Settings, r.HiddenState)
	e.lender.Keeper.Release(e.conn, r.Clean)
}

// setOpen notes the begin and the end of a transaction.
func (e *lease) setOpen(open bool) {
	switch {
	case open && !e.open:
		e.lender.transactions.Add(1)
		e.lender.Gate.TransactionOpened()
	case !open && e.open:
		e.lender.transactions.Add(-1)
		e.lender.Gate.TransactionClosed()
	}
	e.open = open
}

// takeSlot uses the slot that came with the connection, or waits for one.
func (e *lease) takeSlot(ctx context.Context, inTransaction bool) (*gate.Slot, error) {
	if s := e.unused.take(); s != nil {
		return s, nil
	}
	q := gate.Request{Team: e.demand.Team, Class: classOf(e.demand), HoldsConnection: true, Timeout: timeout(ctx, time.Time{})}
	if inTransaction || e.open {
		q.Class = admitter.ClassTransaction
	}
	return e.lender.acquire(ctx, q)
}

// adopt gives the connection the session's settings before the session uses
// it: a statement that ran under another caller's settings could answer wrongly.
func (e *lease) adopt(ctx context.Context) error {
	p := e.conn.Replay.PlanSettings(e.demand.Settings)
	if p.Discard {
		if err := e.execute(ctx, replayer.DiscardSQL); err != nil {
			return err
		}
	}
	if p.SQL == "" {
		return nil
	}
	return e.execute(ctx, p.SQL)
}

func (e *lease) execute(ctx context.Context, sql string) error {
	var b batcher.Batch
	b.AddQuery(batcher.Swallow, sql)
	x := exchanger.Exchange{Conn: e.conn, Canceller: e.lender.Canceller, Batch: &b, Output: discard{}, Prober: e.lender.Prober}
	r, err := x.Run(ctx)
	e.lender.noteSilence(e.conn, err)
	if err != nil {
		return errors.WithType(errors.Annotatef(err, "adopt session settings at %s", e.conn.Address), lessor.ErrUnreachable)
	}
	if r.Code != "" {
		return errors.Annotatef(ErrSettings, "SQLSTATE %s at %s", r.Code, e.conn.Address)
	}
	return nil
}

// discard is the output of exchanges that no caller sees.
type discard struct{}

// Frame implements exchanger.Output.
func (discard) Frame(byte, []byte, bool, bool) error { return nil }

// limit tells a connection that the backend server refused for its limit from
// one that couldn't be opened.
func limit(ctx context.Context, err error) error {
	if keeper.IsConnectionLimit(err) {
		return errors.WithType(err, lessor.ErrConnectionLimit)
	}
	if ctx.Err() != nil {
		return err
	}
	return errors.WithType(err, lessor.ErrUnreachable)
}

// failure is an error before anything was sent; it keeps its cause for
// errors.Is and errors.As.
type failure struct {
	cause error
}

// Error implements error.
func (f *failure) Error() string { return f.cause.Error() }

// Unwrap lets callers find the cause and ErrNotRun.
func (f *failure) Unwrap() []error { return []error{f.cause, lessor.ErrNotRun} }

func notRun(err error) error { return &failure{cause: err} }
