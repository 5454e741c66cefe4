// Package forwarder borrows connections from the entry host that owns the pool of a backend server.
package forwarder

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/cuminwick/cuminwick/internal/limit/gate"
	"github.com/cuminwick/cuminwick/internal/peer/dialer"
	"github.com/cuminwick/cuminwick/internal/peer/encoder"
	"github.com/cuminwick/cuminwick/internal/pool/avoider"
	"github.com/cuminwick/cuminwick/internal/pool/lessor"
	"github.com/cuminwick/cuminwick/internal/pool/messenger"
)

const (
	// ErrUnavailable says that an entry host didn't take the request on: it
	// can't be reached, it is silent, or it doesn't own the pool. Nothing was
	// sent, and another entry host may do.
	ErrUnavailable = errors.ConstError("pool owner not available")
	// ErrSilent says that an entry host to which a first exchange was sent along didn't
	// take the request on in time. It may run it all the same.
	ErrSilent = errors.ConstError("pool owner silent")
	// beginTimeout bounds the wait for a stream. It is longer than an attempt to
	// connect, whose failure the dialer remembers.
	beginTimeout = 700 * time.Millisecond
	// cancelPatience bounds the wait for the answer to a cancelled exchange.
	cancelPatience = 5 * time.Second
	// MaximumQueuedBytes bounds a batch that is sent ahead of the connection. The
	// pool owner keeps it in memory as long as it waits in its queue, and the queue
	// may hold hundreds.
	MaximumQueuedBytes = 64 << 10
)

// Peers opens streams to entry hosts, usually a dialer.Dialer.
type Peers interface {
	Begin(ctx context.Context, host string, f encoder.Forward) (*dialer.Pending, error)
}

// Forwarder borrows connections. The exported fields are set before use; all
// methods may be called from any goroutine.
type Forwarder struct {
	Peers Peers
	// Avoider remembers hosts that failed to answer.
	Avoider *avoider.Avoider
	// Forwards counts requests by result, unless it is nil.
	Forwards *prometheus.CounterVec
	// MinimumTimeout is the least time that a host is given to open a stream, and to take a
	// request on, beginTimeout and minimumPatience if zero.
	MinimumTimeout time.Duration

	mu   sync.Mutex
	open map[string]map[*lease]struct{}
	// patience is kept for each host that was asked.
	patience map[string]*patience
	// parameters are those that backend servers reported at connect.
	parameters map[server]map[string]string
}

// server names a backend server.
type server struct {
	group, name string
}

// Pool names the pool of a backend server at an entry host.
type Pool struct {
	Host          string
	DatabaseGroup string
	BackendServer string
	// LoadRecorder, if set, is told of the pool's queue with each answer.
	LoadRecorder LoadRecorder
}

// LoadRecorder takes what a pool owner tells of its queue.
type LoadRecorder interface {
	RecordLoad(l gate.Load)
}

// Lease borrows a connection from p. An error wraps lessor.ErrNotRun, and
// ErrUnavailable too where another entry host may do. It returns when the
// connection is there, or will be shortly; in the second case a refusal comes from
// the first exchange, which waits at the pool owner then.
func (f *Forwarder) Lease(ctx context.Context, p Pool, d lessor.Demand) (lessor.Lease, error) {
	e, err := f.begin(ctx, p, d, true)
	if err != nil {
		return nil, err
	}
	err = e.conn.Flush()
	if err == nil {
		err = e.accept(ctx)
	}
	if err != nil {
		e.abort()
		return nil, refusal(ctx, p, err)
	}
	if err := e.await(ctx); err != nil {
		e.abort()
		return nil, err
	}
	return e, nil
}

// LeasePipelined returns a lease whose first exchange is sent along with the request
// for the connection, which spares a round trip. Where the first exchange fails
// with ErrUnavailable, nothing was sent to a backend server. If the host is lost
// before it answers, though, the exchange's outcome is open, so this is for
// exchanges that may be repeated.
func (f *Forwarder) LeasePipelined(ctx context.Context, p Pool, d lessor.Demand) (lessor.Lease, error) {
	e, err := f.begin(ctx, p, d, false)
	if err != nil {
		return nil, err
	}
	return e, nil
}

// begin makes a request for a connection, which is sent with the first message.
func (f *Forwarder) begin(ctx context.Context, p Pool, d lessor.Demand, callUp bool) (*lease, error) {
	if !f.Avoider.Admit(p.Host, time.Now()) {
		return nil, refusal(ctx, p, ErrAvoided)
	}
	x, cancel := context.WithTimeout(ctx, max(beginTimeout, f.MinimumTimeout))
	defer cancel()
	q := request(p, d)
	q.AskParameters = f.known(p) == nil
	q.CallUp = callUp
	n, err := f.Peers.Begin(x, p.Host, q)
	if err != nil {
		f.judge(ctx, p.Host, err)
		return nil, refusal(ctx, p, err)
	}
	e := &lease{forwarder: f, pool: p, pending: n, queued: true, stream: n.Stream, conn: messenger.Conn{Stream: n.Stream, Prefix: n.Request}}
	f.add(e)
	return e, nil
}

// ErrAvoided says that the host failed to answer a moment ago.
const ErrAvoided = errors.ConstError("entry host avoided")

// judge remembers whether the host answered.
func (f *Forwarder) judge(ctx context.Context, host string, err error) {
	var r *encoder.Refusal
	f.count(err)
	switch {
	case err == nil, errors.As(err, &r):
		f.Avoider.RecordAnswer(host)
	case ctx.Err() == nil && !errors.Is(err, dialer.ErrStreamLimit):
		f.Avoider.RecordFailure(host, time.Now())
	}
}

// Results of requests to other entry hosts, as labels.
const (
	resultGranted = "granted"
	resultRefused = "refused"
	resultFailed  = "failed"
)

// count counts a request that ended with err.
func (f *Forwarder) count(err error) {
	if f.Forwards == nil {
		return
	}
	l := resultGranted
	var r *encoder.Refusal
	switch {
	case errors.As(err, &r):
		l = resultRefused
	case err != nil:
		l = resultFailed
	}
	f.Forwards.WithLabelValues(l).Inc()
}

// patienceWith returns how long host may take to take a request on, which it does
// before it queues it: silence for longer is a host that is gone.
func (f *Forwarder) patienceWith(host string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.patience[host]
	if p == nil {
		p = newPatience()
	}
	return max(p.limit(), f.MinimumTimeout)
}

// took notes that host answered after d.
func (f *Forwarder) took(host string, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.patience == nil {
		f.patience = make(map[string]*patience)
	}
	if f.patience[host] == nil {
		f.patience[host] = newPatience()
	}
	f.patience[host].answered(d)
}

// AbortLeases ends all leases of a host that is known to be gone. Without it their
// callers would wait until the connection to the host times out.
func (f *Forwarder) AbortLeases(host string) {
	f.mu.Lock()
	delete(f.patience, host)
	var l []*lease
	for e := range f.open[host] {
		l = append(l, e)
	}
	f.mu.Unlock()
	for _, e := range l {
		e.stream.Abort()
	}
}

// Hosts returns the hosts of which leases are open.
func (f *Forwarder) Hosts() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var h []string
	for n := range f.open {
		h = append(h, n)
	}
	return h
}

// known returns the parameters of p's backend server, nil before the first lease.
func (f *Forwarder) known(p Pool) map[string]string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.parameters[server{group: p.DatabaseGroup, name: p.BackendServer}]
}

func (f *Forwarder) learn(p Pool, m map[string]string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.parameters == nil {
		f.parameters = make(map[server]map[string]string)
	}
	f.parameters[server{group: p.DatabaseGroup, name: p.BackendServer}] = m
}

func (f *Forwarder) add(e *lease) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.open == nil {
		f.open = make(map[string]map[*lease]struct{})
	}
	if f.open[e.pool.Host] == nil {
		f.open[e.pool.Host] = make(map[*lease]struct{})
	}
	f.open[e.pool.Host][e] = struct{}{}
}

func (f *Forwarder) remove(e *lease) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.open[e.pool.Host], e)
	if len(f.open[e.pool.Host]) == 0 {
		delete(f.open, e.pool.Host)
	}
}

func request(p Pool, d lessor.Demand) encoder.Forward {
	r := encoder.Forward{
		DatabaseGroup: p.DatabaseGroup,
		BackendServer: p.BackendServer,
		Team:          d.Team,
		Request:       d.Request,
		CancelKey:     d.Session,
		Write:         d.Write,
		Settings:      messenger.EncodeSettings(d.Settings),
	}
	if !d.Deadline.IsZero() {
		// A deadline that has just passed must not turn into none.
		r.Remaining = max(time.Until(d.Deadline), time.Millisecond)
	}
	return r
}

// refusal is the error of a host that didn't take the request on. The caller's
// own end isn't the host's fault.
func refusal(ctx context.Context, p Pool, err error) error {
	if ctx.Err() != nil {
		return &unsent{cause: errors.Annotatef(ctx.Err(), "ask entry host %s for connection", p.Host)}
	}
	t := ErrUnavailable
	if errors.Is(err, dialer.ErrStreamLimit) {
		// The host is there and busy; its successors would only open more
		// connections to the same busy server.
		t = lessor.ErrConnectionLimit
	}
	return &unsent{cause: errors.WithType(errors.Annotatef(err, "ask entry host %s for connection", p.Host), t)}
}

// unsent is an error before anything was sent to a backend server.
type unsent struct {
	cause error
}

// Error implements error.
func (u *unsent) Error() string { return u.cause.Error() }

// Unwrap lets errors.Is find the cause and lessor.ErrNotRun.
func (u *unsent) Unwrap() []error { return []error{u.cause, lessor.ErrNotRun} }
