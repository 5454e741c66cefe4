// Package relaydialer connects to backend servers through other entry hosts if there is no
// direct route.
package relaydialer

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/proxy/connpooler"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

const (
	// directRetryDelay is how long the direct route to a server is not tried after it failed.
	directRetryDelay = 2 * time.Second
	// refusalGrace is how long a server must have refused direct connections before other routes are
	// tried: a process that is started again refuses them for a moment. refusalRetryDelay is how
	// long other routes to such a server aren't tried after they have failed too.
	refusalGrace      = 300 * time.Millisecond
	refusalRetryDelay = 500 * time.Millisecond
	// hostRetryDelay is how long a host is not used as a relay after it failed.
	hostRetryDelay = 2 * time.Second
	// maximumRelays is how many hosts are tried as relays at the same time: one of them may be
	// partitioned from the server as well, and another may have failed undetected.
	maximumRelays = 3
	// maximumCheckers is how many hosts are asked to check a server. In a partition only some of
	// the hosts may have a route to it: with twelve hosts, all of them lack one in 1 of 170 cases
	// if two thirds of the hosts are cut off.
	maximumCheckers = 12
	// checkTimeout bounds their answers: a round trip, and a connection attempt to the server.
	checkTimeout = 350 * time.Millisecond
	// checkGrace is how long the remaining answers are awaited once more than half of the hosts
	// have answered: those that are cut off don't.
	checkGrace = 100 * time.Millisecond
)

// Transport opens connections to servers, directly or through another host, given by address.
type Transport interface {
	connpooler.Dialer
	DialVia(ctx context.Context, host string, s declarer.Server, customer string) (connpooler.Connection, marker.Mark, error)
	// CheckServer asks a host to check the server. The result is connpooler.ErrServerAlive or
	// connpooler.ErrNoRouteAnywhere; any other error means that the host did not answer.
	CheckServer(ctx context.Context, host string, s declarer.Server, q Check) error
	// MayPromote asks a host whether it can order a promotion of the group now. An error means that the
	// host didn't answer.
	MayPromote(ctx context.Context, host, group string) (bool, error)
}

// Check is what another host is asked to check about a server.
type Check uint8

// Checks.
const (
	// CheckReachable: can the host connect to the server, or has the server answered it recently?
	CheckReachable Check = iota
	// CheckResponding: has the server itself answered the host within the last seconds? A
	// connection alone doesn't show that, because a hung process still accepts connections.
	CheckResponding
)

// Verdict is what the other hosts report about a server.
type Verdict uint8

// Verdicts.
const (
	// VerdictNone: no host has answered.
	VerdictNone Verdict = iota
	// VerdictDown: at least one host has answered, and none reports the server alive.
	VerdictDown
	// VerdictAlive: at least one host reports the server alive.
	VerdictAlive
)

// Dialer opens connections directly if possible, and through other hosts otherwise. Its
// exported fields are set before use.
type Dialer struct {
	Transport Transport
	// Hosts returns the other entry hosts.
	Hosts func() []declarer.Host

	mu sync.Mutex
	// blockedUntil and unresponsiveUntil are until when a server, by id, or a host, by name, is
	// not tried.
	blockedUntil      map[string]time.Time
	unresponsiveUntil map[string]time.Time
	// refusedSince is since when a server, by id, has refused direct connections, and
	// refusedEverywhereUntil until when other routes to it are not tried.
	refusedSince           map[string]time.Time
	refusedEverywhereUntil map[string]time.Time
}

// Dial opens a connection to the server. An answer of the server ends the search, as does a refusal at
// first: most often no process listens on its host, and another route leads to the same result.
func (d *Dialer) Dial(ctx context.Context, s declarer.Server, customer string) (connpooler.Connection, marker.Mark, error) {
	return d.dial(ctx, s, customer, true)
}

// ProbeDialer dials like Dialer, but takes each refusal as final: a probe must not wait for other routes to a
// server that has most likely ended.
type ProbeDialer struct {
	Dialer *Dialer
}

// Dial opens a connection to the server.
func (d ProbeDialer) Dial(ctx context.Context, s declarer.Server, customer string) (connpooler.Connection, marker.Mark, error) {
	return d.Dialer.dial(ctx, s, customer, false)
}

// dial opens a connection. relayRefused is set if other routes are tried to a server that has refused direct
// connections for refusalGrace.
func (d *Dialer) dial(ctx context.Context, s declarer.Server, customer string, relayRefused bool) (connpooler.Connection, marker.Mark, error) {
	var cause error = connpooler.ErrNoRoute
	if !d.isSuspended(d.blockedUntil, s.ID) {
		c, m, err := d.Transport.Dial(ctx, s, customer)
		refused := errors.Is(err, syscall.ECONNREFUSED)
		if err == nil || !errors.Is(err, connpooler.ErrNoRoute) || refused && (!relayRefused || !d.refusesForLong(s.ID)) {
			d.recordDirect(s.ID, refused)
			return c, m, err
		}
		cause = err
		if !refused {
			d.suspend(&d.blockedUntil, s.ID, directRetryDelay)
		}
	}
	c, m, err := d.dialRelays(ctx, s, customer)
	if errors.Is(err, connpooler.ErrNoRoute) {
		if errors.Is(cause, syscall.ECONNREFUSED) {
			d.suspend(&d.refusedEverywhereUntil, s.ID, refusalRetryDelay)
		}
		return nil, m, cause
	}
	return c, m, err
}

// recordDirect records whether the server has refused a direct connection.
func (d *Dialer) recordDirect(id string, refused bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, known := d.refusedSince[id]
	switch {
	case !refused:
		delete(d.refusedSince, id)
	case !known:
		if d.refusedSince == nil {
			d.refusedSince = make(map[string]time.Time)
		}
		d.refusedSince[id] = time.Now()
	}
}

// refusesForLong reports whether the server has refused direct connections for refusalGrace, so that other
// routes are to be tried.
func (d *Dialer) refusesForLong(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	since, known := d.refusedSince[id]
	return known && time.Since(since) >= refusalGrace && !time.Now().Before(d.refusedEverywhereUntil[id])
}

// dialRelays tries several hosts at the same time and returns the first connection or the first
// answer of the server.
func (d *Dialer) dialRelays(ctx context.Context, s declarer.Server, customer string) (connpooler.Connection, marker.Mark, error) {
	l := d.selectHosts(maximumRelays)
	c, cancel := context.WithCancel(ctx)
	defer cancel()
	r := make(chan result, len(l))
	for _, h := range l {
		go (&relayAttempt{dialer: d, host: h, server: s, customer: customer, results: r}).run(c)
	}
	for i := range l {
		x := <-r
		if x.err == nil || isServerAnswer(x.err) {
			go (&lateResults{results: r, n: len(l) - i - 1}).run()
			return x.connection, x.mark, x.err
		}
	}
	return nil, marker.Mark{}, connpooler.ErrNoRoute
}

// CheckRemotely returns what other hosts report about the server. A host that does not answer
// does not count.
func (d *Dialer) CheckRemotely(ctx context.Context, s declarer.Server, q Check) Verdict {
	c, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	l := sample(d.Hosts(), maximumCheckers)
	r := make(chan error, len(l))
	for _, h := range l {
		go (&remoteCheck{transport: d.Transport, host: h, server: s, check: q, results: r}).run(c)
	}
	down := 0
	var late <-chan time.Time
	for range l {
		select {
		case err := <-r:
			if errors.Is(err, connpooler.ErrServerAlive) {
				return VerdictAlive
			}
			if errors.Is(err, connpooler.ErrNoRouteAnywhere) {
				down++
			}
		case <-late:
			return VerdictDown
		}
		if 2*down > len(l) && late == nil {
			late = time.After(checkGrace)
		}
	}
	if down == 0 {
		return VerdictNone
	}
	return VerdictDown
}

// HostMayPromote reports whether the named host answers that it can order a promotion of the group now.
func (d *Dialer) HostMayPromote(ctx context.Context, host, group string) bool {
	c, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	for _, h := range d.Hosts() {
		if h.Name == host {
			may, err := d.Transport.MayPromote(c, h.Address, group)
			return err == nil && may
		}
	}
	return false
}

// remoteCheck is a check of a server by one host.
type remoteCheck struct {
	transport Transport
	host      declarer.Host
	server    declarer.Server
	check     Check
	results   chan<- error
}

func (w *remoteCheck) run(ctx context.Context) {
	w.results <- w.transport.CheckServer(ctx, w.host.Address, w.server, w.check)
}

// isServerAnswer reports whether the error is the server's own answer.
func isServerAnswer(err error) bool {
	return errors.Is(err, connpooler.ErrTooManyConnections) || errors.Is(err, connpooler.ErrConnectionRejected)
}

// selectHosts returns up to n random hosts, without those that failed recently.
func (d *Dialer) selectHosts(n int) []declarer.Host {
	var l []declarer.Host
	for _, h := range d.Hosts() {
		if !d.isSuspended(d.unresponsiveUntil, h.Name) {
			l = append(l, h)
		}
	}
	return sample(l, n)
}

// sample returns up to n random elements of l, which it shuffles.
func sample(l []declarer.Host, n int) []declarer.Host {
	rand.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
	return l[:min(len(l), n)]
}

func (d *Dialer) isSuspended(m map[string]time.Time, name string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Now().Before(m[name])
}

func (d *Dialer) suspend(m *map[string]time.Time, name string, t time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if *m == nil {
		*m = make(map[string]time.Time)
	}
	(*m)[name] = time.Now().Add(t)
}

// result is the outcome of one route.
type result struct {
	connection connpooler.Connection
	mark       marker.Mark
	err        error
}

// relayAttempt is a connection attempt through one host.
type relayAttempt struct {
	dialer   *Dialer
	host     declarer.Host
	server   declarer.Server
	customer string
	results  chan<- result
}

func (x *relayAttempt) run(ctx context.Context) {
	c, m, err := x.dialer.Transport.DialVia(ctx, x.host.Address, x.server, x.customer)
	if err != nil && ctx.Err() == nil && !isHostAnswer(err) {
		// After a timeout the host is not suspended: it may have been asked late.
		x.dialer.suspend(&x.dialer.unresponsiveUntil, x.host.Name, hostRetryDelay)
	}
	x.results <- result{connection: c, mark: m, err: err}
}

// isHostAnswer reports whether the error is an answer of the asked host.
func isHostAnswer(err error) bool {
	return isServerAnswer(err) || errors.Is(err, connpooler.ErrNoRouteAnywhere) || errors.Is(err, connpooler.ErrServerAlive)
}

// lateResults closes connections that are opened after another one was chosen.
type lateResults struct {
	results <-chan result
	n       int
}

func (x *lateResults) run() {
	for range x.n {
		if r := <-x.results; r.err == nil {
			r.connection.Close()
		}
	}
}
