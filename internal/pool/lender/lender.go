// Package lender leases the connections of this entry host's pool to one backend server.
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
	// uncheckedIdleTime is how long a connection may be idle and still be used without a check.
	uncheckedIdleTime = 2 * time.Second
	// roundTripTimeout bounds the check of an idle connection.
	roundTripTimeout = 250 * time.Millisecond
	// unusedSlotTimeout is how long a slot is kept for the first exchange of its lease. The
	// exchange of another entry host arrives one round trip after the grant, about 20 ms between
	// regions.
	unusedSlotTimeout = 100 * time.Millisecond
)

// ErrSettings is returned when the backend server rejects the settings of a session.
const ErrSettings = errors.ConstError("session settings refused")

// Lender implements lessor.Lessor with a pool of this entry host. The exported fields are set
// before use.
type Lender struct {
	Keeper    *keeper.Keeper
	Gate      *gate.Gate
	Canceller exchanger.Canceller
	// Prober, if set, detects connections that stopped responding and terminates their sessions.
	Prober exchanger.Prober
	// SlotWaitSeconds, if set, observes how long requests waited for a slot, in seconds.
	SlotWaitSeconds prometheus.Observer

	// transactions is the number of leases inside a transaction.
	transactions atomic.Int64
}

// lease implements lessor.Lease for one connection of the pool.
type lease struct {
	lender *Lender
	demand lessor.Demand
	conn   *keeper.Conn
	// unused is the slot that was granted along with the connection.
	unused unusedSlot
	// openTransaction reports that the connection is inside a transaction.
	openTransaction bool
	// returned reports that the connection was returned to the pool after an exchange.
	returned bool
}

// Lease implements lessor.Lessor. It waits for a slot before it takes a connection, so that the
// slots limit the number of busy connections, and few connections are needed.
func (l *Lender) Lease(ctx context.Context, d lessor.Demand) (lessor.Lease, error) {
	q := gate.Request{Team: d.Team, Class: classOf(d), Timeout: timeout(ctx, d.Deadline)}
	s, err := l.acquireSlot(ctx, q)
	if err != nil {
		return nil, notRun(markLeaving(err))
	}
	c := l.Keeper.TryAcquire()
	l.Keeper.EnsureOpen(l.neededConnections())
	if c = l.validate(c); c == nil {
		s, c, err = l.awaitConnection(ctx, s, q)
	}
	if err != nil {
		return nil, notRun(err)
	}
	e := &lease{lender: l, demand: d, conn: c, unused: unusedSlot{slot: s}}
	if err := e.applySettings(ctx); err != nil {
		e.Release(lessor.Return{})
		return nil, notRun(err)
	}
	e.unused.expire()
	return e, nil
}

// validate returns c if it still responds, or else another idle connection that does, nil if
// there is none. A connection that has been idle for a while may be dead without any sign of it; a
// request sent over it would be lost with an unknown outcome. The check costs a round trip, but
// only rarely.
func (l *Lender) validate(c *keeper.Conn) *keeper.Conn {
	for c != nil && !c.LastUsed.IsZero() && time.Since(c.LastUsed) > uncheckedIdleTime {
		err := exchanger.RoundTrip(c, roundTripTimeout)
		if err == nil {
			return c
		}
		l.Keeper.Release(c, false)
		l.closeIdle(c)
		c = l.Keeper.TryAcquire()
	}
	return c
}

// awaitConnection releases the slot, waits for a connection, and then acquires a slot again. A
// slot held while a connection is opened, which takes 10 to 30 ms, would be wasted; and if all
// connections are inside transactions, their statements need the slot to finish.
func (l *Lender) awaitConnection(ctx context.Context, s *gate.Slot, q gate.Request) (*gate.Slot, *keeper.Conn, error) {
	s.ReleaseUnused()
	c, err := l.Keeper.Acquire(ctx)
	if err != nil {
		return nil, nil, classifyAcquireError(ctx, err)
	}
	q.HoldsConnection = true
	q.Timeout = timeout(ctx, time.Time{})
	s, err = l.acquireSlot(ctx, q)
	if err != nil {
		l.Keeper.Release(c, true)
		return nil, nil, markLeaving(err)
	}
	return s, c, nil
}

// acquireSlot waits for a slot and observes the time that this took.
func (l *Lender) acquireSlot(ctx context.Context, q gate.Request) (*gate.Slot, error) {
	if l.SlotWaitSeconds == nil {
		return l.Gate.Acquire(ctx, q)
	}
	t := time.Now()
	s, err := l.Gate.Acquire(ctx, q)
	l.SlotWaitSeconds.Observe(time.Since(t).Seconds())
	return s, err
}

// neededConnections returns how many connections the current requests can use concurrently: up to
// one for each slot, and those held by transactions.
func (l *Lender) neededConnections() int {
	n := l.Gate.Load()
	return min(n.Running+n.Waiting, n.Slots) + int(l.transactions.Load())
}

// Load returns the number of waiting and running requests, by which callers choose a server.
func (l *Lender) Load() gate.Load { return l.Gate.Load() }

func classOf(d lessor.Demand) admitter.Class {
	if d.Write {
		return admitter.ClassWrite
	}
	return admitter.ClassRead
}

// timeout returns the time until the earlier of deadline and ctx's deadline, at least one
// nanosecond, or zero if there is neither.
func timeout(ctx context.Context, deadline time.Time) time.Duration {
	if t, ok := ctx.Deadline(); ok && (deadline.IsZero() || t.Before(deadline)) {
		deadline = t
	}
	if deadline.IsZero() {
		return 0
	}
	return max(1, time.Until(deadline))
}

// markLeaving adds lessor.ErrUnreachable to a refusal because the server is leaving, since
// another server may accept the request.
func markLeaving(err error) error {
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
		return exchanger.Result{}, notRun(markLeaving(err))
	}
	y := exchanger.Exchange{
		Conn:        e.conn,
		Canceller:   e.lender.Canceller,
		Batch:       x.Batch,
		Output:      x.Output,
		Input:       x.Input,
		AskPosition: x.AskPosition,
		AskBefore:   x.AskBefore,
		AskProof:    x.AskProof,
		Prober:      e.lender.Prober,
	}
	r, err := y.Run(ctx)
	e.lender.handleSilence(e.conn, err)
	if r.Status != 0 {
		e.setOpenTransaction(r.Status != exchanger.Idle)
	}
	if err == nil && mayReturn(&x, &r) {
		// The connection is returned before the slot is released. Otherwise the next holder of
		// the slot would find no idle connection, release the slot and have another connection
		// opened.
		r.Returned = true
		e.returnConn(lessor.Return{Clean: true, Settings: e.demand.Settings})
	}
	s.Release()
	return r, err
}

// mayReturn reports whether the connection may be returned to the pool after the result r. If the
// requested log position is missing, the session queries it over the same connection.
func mayReturn(x *lessor.Exchange, r *exchanger.Result) bool {
	return x.ReturnIfIdle && r.Status == exchanger.Idle && (!x.AskPosition || !r.Position.IsZero())
}

// handleSilence closes the idle connections if err reports that c stopped responding. Whatever
// lost the state of this connection, such as a network device, has probably lost that of others of
// the same age as well.
func (l *Lender) handleSilence(c *keeper.Conn, err error) {
	if errors.Is(err, exchanger.ErrSilent) {
		l.closeIdle(c)
	}
}

// closeIdle closes the idle connections and terminates their sessions and that of c at the server.
func (l *Lender) closeIdle(c *keeper.Conn) {
	t := &terminator{lender: l, processIDs: append(l.Keeper.CloseIdle(), c.ProcessID)}
	go t.run()
}

// terminator terminates sessions at the backend server whose connections stopped responding.
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
	e.unused.release()
	e.setOpenTransaction(false)
	if !e.returned {
		e.returnConn(r)
	}
}

// returnConn returns the connection to the pool.
func (e *lease) returnConn(r lessor.Return) {
	e.returned = true
	e.conn.Replay.Finish(r.Settings, r.HiddenState)
	e.lender.Keeper.Release(e.conn, r.Clean)
}

// setOpenTransaction records the begin or the end of a transaction.
func (e *lease) setOpenTransaction(open bool) {
	switch {
	case open && !e.openTransaction:
		e.lender.transactions.Add(1)
		e.lender.Gate.TransactionOpened()
	case !open && e.openTransaction:
		e.lender.transactions.Add(-1)
		e.lender.Gate.TransactionClosed()
	}
	e.openTransaction = open
}

// takeSlot returns the slot that was granted along with the connection, or waits for a new one.
func (e *lease) takeSlot(ctx context.Context, inTransaction bool) (*gate.Slot, error) {
	if s := e.unused.take(); s != nil {
		return s, nil
	}
	q := gate.Request{Team: e.demand.Team, Class: classOf(e.demand), HoldsConnection: true, Timeout: timeout(ctx, time.Time{})}
	if inTransaction || e.openTransaction {
		q.Class = admitter.ClassTransaction
	}
	return e.lender.acquireSlot(ctx, q)
}

// applySettings applies the session's settings to the connection before the session uses it: a
// statement that runs under another caller's settings could return wrong results.
func (e *lease) applySettings(ctx context.Context) error {
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
	b.AddQuery(batcher.Discard, sql)
	x := exchanger.Exchange{Conn: e.conn, Canceller: e.lender.Canceller, Batch: &b, Output: discardOutput{}, AskProof: true, Prober: e.lender.Prober}
	r, err := x.Run(ctx)
	e.lender.handleSilence(e.conn, err)
	if err != nil {
		return errors.WithType(errors.Annotatef(err, "adopt session settings at %s", e.conn.Address), lessor.ErrUnreachable)
	}
	if r.Code != "" {
		return errors.Annotatef(ErrSettings, "SQLSTATE %s at %s", r.Code, e.conn.Address)
	}
	return nil
}

// discardOutput is the output of exchanges whose response isn't forwarded to a caller.
type discardOutput struct{}

// Frame implements exchanger.Output.
func (discardOutput) Frame(byte, []byte, bool, bool) error { return nil }

// classifyAcquireError adds lessor.ErrConnectionLimit if the backend server refused the connection
// because of its limit, and lessor.ErrUnreachable if it couldn't be opened for another reason. It
// adds nothing if ctx ended.
func classifyAcquireError(ctx context.Context, err error) error {
	if keeper.IsConnectionLimit(err) {
		return errors.WithType(err, lessor.ErrConnectionLimit)
	}
	if ctx.Err() != nil {
		return err
	}
	return errors.WithType(err, lessor.ErrUnreachable)
}

// notRunError is an error that occurred before anything was sent. It matches lessor.ErrNotRun and
// its cause.
type notRunError struct {
	cause error
}

// Error implements error.
func (f *notRunError) Error() string { return f.cause.Error() }

// Unwrap returns the cause and lessor.ErrNotRun.
func (f *notRunError) Unwrap() []error { return []error{f.cause, lessor.ErrNotRun} }

func notRun(err error) error { return &notRunError{cause: err} }
