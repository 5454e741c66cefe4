// Package loader generates load: many callers run short sessions, cancel most of their requests and switch between entry hosts.
package loader

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
	"golang.org/x/time/rate"

	"github.com/cuminwick/cuminwick/internal/bench/checker"
	"github.com/cuminwick/cuminwick/internal/bench/definer"
)

// requestTimeout is how long a caller waits for the response to a request.
const requestTimeout = 10 * time.Second

// Dial opens a connection from the callers' place in the network.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Host is one entry host that callers may connect to.
type Host struct {
	Name    string
	Address string
}

// Loader makes the requests of one run and records the result of each as its caller observed it.
// The exported fields are set before Run.
type Loader struct {
	Load   definer.Load
	Groups []string
	// Hosts returns the entry hosts that the load balancer currently sends callers to.
	Hosts func() []Host
	Dial  Dial
	// User and Password are the credentials of the callers' database role.
	User, Password string
	// Token is sent in place of a mark by sessions that send no mark. If it is empty, they
	// send nothing.
	Token string
	// Seed determines the callers' random choices. Timing still varies between runs.
	Seed uint64
	// StartTime is the start of the run.
	StartTime time.Time

	limiter        *rate.Limiter
	mutex          sync.Mutex
	requests       []checker.Request
	failedConnects int
}

// Requests returns the requests recorded so far.
func (l *Loader) Requests() []checker.Request {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return append([]checker.Request(nil), l.requests...)
}

// FailedConnects counts connections that could not be opened.
func (l *Loader) FailedConnects() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.failedConnects
}

func (l *Loader) record(r checker.Request) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.requests = append(l.requests, r)
}

func (l *Loader) recordFailedConnect() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.failedConnects++
}

// elapsed returns the time elapsed the run's start.
func (l *Loader) elapsed() time.Duration {
	return time.Since(l.StartTime)
}

// tables are the statements that create the tables of every group before the load starts.
var tables = []string{
	"CREATE TABLE IF NOT EXISTS bench_entry (request text NOT NULL, session text, part bigint)",
	"CREATE TABLE IF NOT EXISTS bench_register (session text PRIMARY KEY, v bigint NOT NULL, request text)",
}

// Prepare creates the tables in every group.
func (l *Loader) Prepare(ctx context.Context) error {
	for _, g := range l.Groups {
		c, err := l.Connect(ctx, l.Hosts()[0], g, "")
		if err != nil {
			return errors.Annotatef(err, "prepare group %s", g)
		}
		for _, q := range tables {
			if _, err := c.Exec(ctx, q).ReadAll(); err != nil {
				return errors.Annotatef(err, "prepare group %s", g)
			}
		}
		if err := c.Close(ctx); err != nil {
			return errors.Annotatef(err, "prepare group %s", g)
		}
	}
	return nil
}

// Run makes requests until ctx ends. Requests in progress at that time are completed.
func (l *Loader) Run(ctx context.Context) {
	l.limiter = rate.NewLimiter(rate.Inf, 1)
	if l.Load.RequestsPerSecond > 0 {
		l.limiter = rate.NewLimiter(rate.Limit(l.Load.RequestsPerSecond), max(1, l.Load.Callers/4))
	}
	var w sync.WaitGroup
	for i := range l.Load.Callers {
		c := &caller{loader: l, number: i, random: rand.New(rand.NewPCG(l.Seed, uint64(i)))}
		w.Go(func() { c.run(ctx) })
	}
	for i, g := range l.Groups {
		c := &gauge{loader: l, group: g, hostIndex: i}
		w.Go(func() { c.run(ctx) })
	}
	w.Wait()
}

// caller runs one session after the other.
type caller struct {
	loader *Loader
	number int
	random *rand.Rand
}

func (c *caller) run(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		s := &session{
			loader: c.loader,
			random: c.random,
			name:   fmt.Sprintf("s%d-%d", c.number, i),
			group:  c.loader.Groups[c.random.IntN(len(c.loader.Groups))],
		}
		s.run(ctx)
	}
}

// pickHost returns a random entry host that the load balancer currently sends callers to.
func (l *Loader) pickHost(r *rand.Rand) Host {
	h := l.Hosts()
	return h[r.IntN(len(h))]
}

// pickReviewedSession returns the name of a random session of the same group, or the session's own
// name if none is found within a few attempts.
func (c *session) pickReviewedSession() string {
	l := c.loader
	l.mutex.Lock()
	defer l.mutex.Unlock()
	const attempts = 20
	for range attempts {
		if len(l.requests) == 0 {
			break
		}
		r := &l.requests[c.random.IntN(len(l.requests))]
		if r.Group == c.group {
			return r.Session
		}
	}
	return c.name
}
