// Package detourer reaches backend servers by way of other entry hosts where the
// direct way is cut.
package detourer

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
	"github.com/cuminwick/cuminwick/internal/proxy/keeper"
)

const (
	// blockedFor is how long the direct way isn't tried after it failed.
	blockedFor = 2 * time.Second
	// deafFor is how long a host isn't asked after it failed.
	deafFor = 2 * time.Second
	// width is how many hosts are asked at once: one may be cut off as well, and one
	// may be gone without our having heard.
	width = 3
)

// Way opens a connection to a server, directly or through the host's address.
type Way interface {
	keeper.Dialer
	Via(ctx context.Context, host string, s declarer.Server) (keeper.Connection, marker.Mark, error)
}

// Dialer opens connections directly where it can, and else by way of other hosts. Its
// exported fields are set before use.
type Dialer struct {
	Way Way
	// Hosts returns the other entry hosts.
	Hosts func() []declarer.Host

	mu sync.Mutex
	// blocked and deaf are until when a server or host isn't tried.
	blocked map[string]time.Time
	deaf    map[string]time.Time
}

// Dial opens a connection to the server. An answer of the server itself, or of its
// host that no process listens, ends the search: another way leads to the same.
func (d *Dialer) Dial(ctx context.Context, s declarer.Server) (keeper.Connection, marker.Mark, error) {
	var cause error = keeper.ErrNoWay
	if !d.until(d.blocked, s.ID) {
		c, m, err := d.Way.Dial(ctx, s)
		if err == nil || !errors.Is(err, keeper.ErrNoWay) || errors.Is(err, syscall.ECONNREFUSED) {
			return c, m, err
		}
		cause = err
		d.note(&d.blocked, s.ID, blockedFor)
	}
	c, m, err := d.around(ctx, s)
	if errors.Is(err, keeper.ErrNoWay) && !errors.Is(err, keeper.ErrLost) {
		return nil, m, cause
	}
	return c, m, err
}

// around asks some of the other hosts at once and takes the first that gets through.
// A host that can't be asked says nothing of the server; where one that can says that
// it has no way either, the fault isn't ours.
func (d *Dialer) around(ctx context.Context, s declarer.Server) (keeper.Connection, marker.Mark, error) {
	l := d.pick()
	c, cancel := context.WithCancel(ctx)
	defer cancel()
	r := make(chan result, len(l))
	for _, h := range l {
		go (&detour{dialer: d, host: h, server: s, results: r}).run(c)
	}
	err := keeper.ErrNoWay
	for i := range l {
		x := <-r
		if x.err == nil || answered(x.err) {
			go (&rest{results: r, n: len(l) - i - 1}).run()
			return x.connection, x.mark, x.err
		}
		if errors.Is(x.err, keeper.ErrLost) {
			err = keeper.ErrLost
		}
	}
	if err == keeper.ErrLost {
		return nil, marker.Mark{}, errors.WithType(errors.Annotatef(keeper.ErrLost, "server %s", s.ID), keeper.ErrNoWay)
	}
	return nil, marker.Mark{}, err
}

// answered reports whether the error is the server's own word.
func answered(err error) bool {
	return errors.Is(err, keeper.ErrCrowded) || errors.Is(err, keeper.ErrTurnedAway)
}

// pick returns some hosts by lot, that didn't fail a moment ago.
func (d *Dialer) pick() []declarer.Host {
	var l []declarer.Host
	for _, h := range d.Hosts() {
		if !d.until(d.deaf, h.Name) {
			l = append(l, h)
		}
	}
	rand.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
	return l[:min(len(l), width)]
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

// result is what one way led to.
type result struct {
	connection keeper.Connection
	mark       marker.Mark
	err        error
}

// detour is the way through one host.
type detour struct {
	dialer  *Dialer
	host    declarer.Host
	server  declarer.Server
	results chan<- result
}

func (x *detour) run(ctx context.Context) {
	c, m, err := x.dialer.Way.Via(ctx, x.host.Address, x.server)
	if err != nil && ctx.Err() != context.Canceled && !answered(err) && !errors.Is(err, keeper.ErrLost) {
		x.dialer.note(&x.dialer.deaf, x.host.Name, deafFor)
	}
	x.results <- result{connection: c, mark: m, err: err}
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
