// Package relaydialer reaches backend servers through other entry hosts where the
// direct route is cut.
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
	// blockedFor is how long the direct route isn't tried after it failed.
	blockedFor = 2 * time.Second
	// unresponsiveFor is how long a host isn't asked after it failed.
	unresponsiveFor = 2 * time.Second
	// width is how many hosts are asked for a route at once: one may be cut off as well,
	// and one may be gone without our having heard.
	width = 3
	// witnesses is how many are asked whether they hear a server. A cut may leave only
	// a part of the hosts with a route: of twelve all miss it in 1 of 170 cases where
	// two thirds are cut off.
	witnesses = 12
	// witnessTimeout bounds their answers: there and back, and a connection that they
	// try to make.
	witnessTimeout = 350 * time.Millisecond
)

// Transport opens a connection to a server, directly or through the host's address.
type Transport interface {
	connpooler.Dialer
	DialVia(ctx context.Context, host string, s declarer.Server) (connpooler.Connection, marker.Mark, error)
	// CheckServer asks a host about the server. The answer is connpooler.ErrServerAlive or connpooler.ErrNoRouteAnywhere;
	// any other error is no answer.
	CheckServer(ctx context.Context, host string, s declarer.Server, q Check) error
}

// Check is what another host is asked about a server.
type Check uint8

// Questions.
const (
	// CheckReachable: does it reach the server, or has heard from it a moment ago?
	CheckReachable Check = iota
	// CheckResponding: has the server itself answered there within the last seconds? That a
	// connection can be made says nothing of a process that hangs.
	CheckResponding
)

// Verdict is what other hosts say of a server.
type Verdict uint8

// Words.
const (
	// VerdictNone: no host could be asked.
	VerdictNone Verdict = iota
	// VerdictDown: some don't hear from it, and none does.
	VerdictDown
	// VerdictAlive: one does.
	VerdictAlive
)

// Dialer opens connections directly where it can, and else through other hosts. Its
// exported fields are set before use.
type Dialer struct {
	Transport Transport
	// Hosts returns the other entry hosts.
	Hosts func() []declarer.Host

	mu sync.Mutex
	// blocked and unresponsive are until when a server or host isn't tried.
	blocked      map[string]time.Time
	unresponsive map[string]time.Time
}

// Dial opens a connection to the server. An answer of the server itself, or of its
// host that no process listens, ends the search: another route leads to the same.
func (d *Dialer) Dial(ctx context.Context, s declarer.Server) (connpooler.Connection, marker.Mark, error) {
	var cause error = connpooler.ErrNoRoute
	if !d.until(d.blocked, s.ID) {
		c, m, err := d.Transport.Dial(ctx, s)
		if err == nil || !errors.Is(err, connpooler.ErrNoRoute) || errors.Is(err, syscall.ECONNREFUSED) {
			return c, m, err
		}
		cause = err
		d.note(&d.blocked, s.ID, blockedFor)
	}
	c, m, err := d.dialRelays(ctx, s)
	if errors.Is(err, connpooler.ErrNoRoute) {
		return nil, m, cause
	}
	return c, m, err
}

// dialRelays asks some of the other hosts at once and takes the first that gets through.
func (d *Dialer) dialRelays(ctx context.Context, s declarer.Server) (connpooler.Connection, marker.Mark, error) {
	l := d.pick(width)
	c, cancel := context.WithCancel(ctx)
	defer cancel()
	r := make(chan result, len(l))
	for _, h := range l {
		go (&relayAttempt{dialer: d, host: h, server: s, results: r}).run(c)
	}
	for i := range l {
		x := <-r
		if x.err == nil || answered(x.err) {
			go (&rest{results: r, n: len(l) - i - 1}).run()
			return x.connection, x.mark, x.err
		}
	}
	return nil, marker.Mark{}, connpooler.ErrNoRoute
}

// CheckRemotely returns what other hosts say of the server. A host that can't be asked says nothing.
func (d *Dialer) CheckRemotely(ctx context.Context, s declarer.Server, q Check) Verdict {
	c, cancel := context.WithTimeout(ctx, witnessTimeout)
	defer cancel()
	l := shuffled(d.Hosts(), witnesses)
	r := make(chan error, len(l))
	for _, h := range l {
		go (&witness{transport: d.Transport, host: h, server: s, question: q, words: r}).run(c)
	}
	word := VerdictNone
	for range l {
		switch err := <-r; {
		case errors.Is(err, connpooler.ErrServerAlive):
			return VerdictAlive
		case errors.Is(err, connpooler.ErrNoRouteAnywhere):
			word = VerdictDown
		}
	}
	return word
}

// HostResponds reports whether the named host answers a question about the server, whatever
// its answer is.
func (d *Dialer) HostResponds(ctx context.Context, host string, s declarer.Server) bool {
	c, cancel := context.WithTimeout(ctx, witnessTimeout)
	defer cancel()
	for _, h := range d.Hosts() {
		if h.Name == host {
			return told(d.Transport.CheckServer(c, h.Address, s, CheckReachable))
		}
	}
	return false
}

// witness is one host asked whether it hears from a server.
type witness struct {
	transport Transport
	host      declarer.Host
	server    declarer.Server
	question  Check
	words     chan<- error
}

func (w *witness) run(ctx context.Context) {
	w.words <- w.transport.CheckServer(ctx, w.host.Address, w.server, w.question)
}

// answered reports whether the error is the server's own word.
func answered(err error) bool {
	return errors.Is(err, connpooler.ErrTooManyConnections) || errors.Is(err, connpooler.ErrConnectionRejected)
}

// pick returns up to n hosts by lot, without those that failed a moment ago.
func (d *Dialer) pick(n int) []declarer.Host {
	var l []declarer.Host
	for _, h := range d.Hosts() {
		if !d.until(d.unresponsive, h.Name) {
			l = append(l, h)
		}
	}
	return shuffled(l, n)
}

// shuffled returns up to n of l by lot.
func shuffled(l []declarer.Host, n int) []declarer.Host {
	rand.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
	return l[:min(len(l), n)]
}

func (d *Dialer) until(m map[string]time.Time, name string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Now().Before(m[name])
}

func (d *Dialer) note(m *map[string]time.Time, name string, t time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if *m == nil {
		*m = make(map[string]time.Time)
	}
	(*m)[name] = time.Now().Add(t)
}

// result is what one route led to.
type result struct {
	connection connpooler.Connection
	mark       marker.Mark
	err        error
}

// relayAttempt is the route through one host.
type relayAttempt struct {
	dialer  *Dialer
	host    declarer.Host
	server  declarer.Server
	results chan<- result
}

func (x *relayAttempt) run(ctx context.Context) {
	c, m, err := x.dialer.Transport.DialVia(ctx, x.host.Address, x.server)
	if err != nil && ctx.Err() == nil && !told(err) {
		// Not where the time ran out: the host may only have been asked late.
		x.dialer.note(&x.dialer.unresponsive, x.host.Name, unresponsiveFor)
	}
	x.results <- result{connection: c, mark: m, err: err}
}

// told reports whether the error is the asked host's word.
func told(err error) bool {
	return answered(err) || errors.Is(err, connpooler.ErrNoRouteAnywhere) || errors.Is(err, connpooler.ErrServerAlive)
}

// rest closes connections that came too late.
type rest struct {
	results <-chan result
	n       int
}

func (x *rest) run() {
	for range x.n {
		if r := <-x.results; r.err == nil {
			r.connection.Close()
		}
	}
}
