// Package forwarder leases connections from the entry host that owns the pool of a backend server.
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
	// ErrUnavailable is returned when an entry host didn't accept the request, because it can't be
	// reached, doesn't answer, or doesn't own the pool. Nothing was sent to a backend server, and the
	// request may be sent to another entry host.
	ErrUnavailable = errors.ConstError("pool owner not available")
	// ErrSilent is returned when an entry host didn't accept in time a request that was sent
	// together with its first exchange. The host may still run the exchange.
	ErrSilent = errors.ConstError("pool owner silent")
	// beginTimeout bounds the wait for a stream. It is longer than an attempt to connect takes,
	// so that the dialer can record the failure of the attempt.
	beginTimeout = 700 * time.Millisecond
	// cancelTimeout bounds the wait for the answer to a cancelled exchange.
	cancelTimeout = 5 * time.Second
	// MaximumQueuedBytes is the largest batch that is sent before the pool owner has granted a
	// connection. The owner keeps the batch in memory while the request is queued, and the queue
	// may hold hundreds of them.
	MaximumQueuedBytes = 64 << 10
)

// Peers opens streams to entry hosts. It is usually a dialer.Dialer.
type Peers interface {
	// Begin opens a stream to host for the request f, without waiting for the answer.
	Begin(ctx context.Context, host string, f encoder.Forward) (*dialer.Pending, error)
}

// Forwarder leases connections from other entry hosts. The exported fields are set before use. All
// methods may be called from any goroutine.
type Forwarder struct {
	Peers Peers
	// Avoider records hosts that failed to answer, to which no requests are sent for a while.
	Avoider *avoider.Avoider
	// Forwards counts requests by result, unless it is nil.
	Forwards *prometheus.CounterVec
	// MinimumTimeout is a lower bound of the timeouts for opening a stream to a host and for its
	// accepting a request. If it is zero, beginTimeout and minimumAcceptTimeout are the bounds.
	MinimumTimeout time.Duration

	mu sync.Mutex
	// open holds the open leases by entry host.
	open map[string]map[*lease]struct{}
	// estimators holds the timeout estimators by entry host.
	estimators map[string]*timeoutEstimator
	// parameters holds the parameter statuses that backend servers reported at connect.
	parameters map[server]map[string]string
}

// server identifies a backend server.
type server struct {
	group, name string
}

// Pool identifies the pool of a backend server at an entry host.
type Pool struct {
	Host          string
	DatabaseGroup string
	BackendServer string
	// LoadRecorder, if set, receives the load of the pool with each answer.
	LoadRecorder LoadRecorder
}

// LoadRecorder receives the load that a pool owner reports for its pool.
type LoadRecorder interface {
	RecordLoad(l gate.Load)
}

// Lease leases a connection from p. It returns when the connection has been granted or is about to
// be. In the second case the first exchange waits at the pool owner and returns a refusal, if any.
// An error wraps lessor.ErrNotRun, and also ErrUnavailable if the request may be sent to another
// entry host.
func (f *Forwarder) Lease(ctx context.Context, p Pool, d lessor.Demand) (lessor.Lease, error) {
	e, err := f.begin(ctx, p, d, true)
	if err != nil {
		return nil, err
	}
	err = e.conn.Flush()
	if err == nil {
		err = e.awaitAcceptance(ctx)
	}
	if err != nil {
		e.abort()
		return nil, unavailableError(ctx, p, err)
	}
	if err := e.awaitLease(ctx); err != nil {
		e.abort()
		return nil, err
	}
	return e, nil
}

// LeasePipelined returns a lease whose first exchange is sent together with the request for the
// connection, which saves a round trip. If the first exchange fails with ErrUnavailable, nothing was
// sent to a backend server. If the host is lost before it answers, however, the outcome of the
// exchange is unknown, so LeasePipelined is only for exchanges that may be repeated.
func (f *Forwarder) LeasePipelined(ctx context.Context, p Pool, d lessor.Demand) (lessor.Lease, error) {
	e, err := f.begin(ctx, p, d, false)
	if err != nil {
		return nil, err
	}
	return e, nil
}

// begin opens a stream and prepares the request for a connection, which is sent with the first
// message. With batchHeld the pool owner sends KindRequestBatch shortly before it grants the connection.
func (f *Forwarder) begin(ctx context.Context, p Pool, d lessor.Demand, batchHeld bool) (*lease, error) {
	if !f.Avoider.Admit(p.Host, time.Now()) {
		return nil, unavailableError(ctx, p, ErrAvoided)
	}
	x, cancel := context.WithTimeout(ctx, max(beginTimeout, f.MinimumTimeout))
	defer cancel()
	q := newRequest(p, d)
	q.AskParameters = f.knownParameters(p) == nil
	q.BatchHeld = batchHeld
	n, err := f.Peers.Begin(x, p.Host, q)
	if err != nil {
		f.recordAnswer(ctx, p.Host, err)
		return nil, unavailableError(ctx, p, err)
	}
	e := &lease{forwarder: f, pool: p, pending: n, queued: true, stream: n.Stream, conn: messenger.Conn{Stream: n.Stream, Prefix: n.Request}}
	f.add(e)
	return e, nil
}

// ErrAvoided is the cause of an error for a host that recently failed to answer.
const ErrAvoided = errors.ConstError("entry host avoided")

// recordAnswer counts a request that ended with err, and tells Avoider whether the host answered.
func (f *Forwarder) recordAnswer(ctx context.Context, host string, err error) {
	var r *encoder.Refusal
	f.count(err)
	switch {
	case err == nil, errors.As(err, &r):
		f.Avoider.RecordAnswer(host)
	case ctx.Err() == nil && !errors.Is(err, dialer.ErrStreamLimit):
		f.Avoider.RecordFailure(host, time.Now())
	}
}

// Results of requests to other entry hosts, as metric labels.
const (
	resultGranted = "granted"
	resultRefused = "refused"
	resultFailed  = "failed"
)

// count counts a request that ended with err by its result.
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

// acceptTimeout returns how long to wait for host to accept a request. A host accepts a request
// before it queues it, so one that takes longer is considered unavailable.
func (f *Forwarder) acceptTimeout(host string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.estimators[host]
	if p == nil {
		p = newTimeoutEstimator()
	}
	return max(p.timeout(), f.MinimumTimeout)
}

// recordResponseTime records that host answered after d.
func (f *Forwarder) recordResponseTime(host string, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.estimators == nil {
		f.estimators = make(map[string]*timeoutEstimator)
	}
	if f.estimators[host] == nil {
		f.estimators[host] = newTimeoutEstimator()
	}
	f.estimators[host].observe(d)
}

// AbortLeases aborts all leases at a host that is known not to be live. Otherwise their
// callers would wait until the connection to the host times out.
func (f *Forwarder) AbortLeases(host string) {
	f.mu.Lock()
	delete(f.estimators, host)
	var l []*lease
	for e := range f.open[host] {
		l = append(l, e)
	}
	f.mu.Unlock()
	for _, e := range l {
		e.stream.Abort()
	}
}

// Hosts returns the hosts at which leases are open.
func (f *Forwarder) Hosts() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var h []string
	for n := range f.open {
		h = append(h, n)
	}
	return h
}

// knownParameters returns the parameters of p's backend server, nil before the first lease.
func (f *Forwarder) knownParameters(p Pool) map[string]string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.parameters[server{group: p.DatabaseGroup, name: p.BackendServer}]
}

// setParameters records the parameters of p's backend server.
func (f *Forwarder) setParameters(p Pool, m map[string]string) {
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

// newRequest returns the message that asks the owner of p for a connection.
func newRequest(p Pool, d lessor.Demand) encoder.Forward {
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
		// A zero Remaining means no deadline, so one that has just passed is sent as 1 ms.
		r.Remaining = max(time.Until(d.Deadline), time.Millisecond)
	}
	return r
}

// unavailableError returns the error for a host that didn't accept the request because of err. If
// ctx has ended, the error is the context's and doesn't wrap ErrUnavailable, because the host didn't
// fail.
func unavailableError(ctx context.Context, p Pool, err error) error {
	if ctx.Err() != nil {
		return &notRunError{cause: errors.Annotatef(ctx.Err(), "ask entry host %s for connection", p.Host)}
	}
	t := ErrUnavailable
	if errors.Is(err, dialer.ErrStreamLimit) {
		// The host is available but overloaded. Its successors would only open more connections
		// to the same overloaded backend server.
		t = lessor.ErrConnectionLimit
	}
	return &notRunError{cause: errors.WithType(errors.Annotatef(err, "ask entry host %s for connection", p.Host), t)}
}

// notRunError is an error that occurred before anything was sent to a backend server.
type notRunError struct {
	cause error
}

// Error implements error.
func (u *notRunError) Error() string { return u.cause.Error() }

// Unwrap returns the cause and lessor.ErrNotRun, for errors.Is.
func (u *notRunError) Unwrap() []error { return []error{u.cause, lessor.ErrNotRun} }
