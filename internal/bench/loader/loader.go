// Package loader is many callers that make short sessions, cancel most of their requests and roam between entry hosts.
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

// patience is how long a caller waits for an answer before it gives up.
const patience = 10 * time.Second

// Dial opens a connection from where the callers stand.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Host is one entry host that callers may connect to.
type Host struct {
	Name    string
	Address string
}

// Loader makes the requests of one run and keeps what the callers saw. The
// exported fields are set before Run.
type Loader struct {
	Load   definer.Load
	Groups []string
	// Hosts returns the entry hosts that the balancer knows at the time.
	Hosts func() []Host
	Dial  Dial
	// User and Password are the callers' role.
	User, Password string
	// Token is what sessions bring along that bring no mark, nothing if empty.
	Token string
	// Seed fixes what callers do; the moments stay those of the run.
	Seed uint64
	// StartTime is the run's start.
	StartTime time.Time

	limiter  *rate.Limiter
	mutex    sync.Mutex
	requests []checker.Request
	failed   int
}

// Requests returns what the callers saw so far.
func (l *Loader) Requests() []checker.Request {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return append([]checker.Request(nil), l.requests...)
}

// FailedConnects counts connections that couldn't be opened.
func (l *Loader) FailedConnects() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.failed
}

func (l *Loader) record(r checker.Request) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.requests = append(l.requests, r)
}

func (l *Loader) recordFailure() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.failed++
}

// since returns the time since the run's start.
func (l *Loader) since() time.Duration {
	return time.Since(l.StartTime)
}

// tables are made in every group before the load begins.
var tables = []string{
	"CREATE TABLE IF NOT EXISTS bench_entry (request text NOT NULL, session text, part bigint)",
	"CREATE TABLE IF NOT EXISTS bench_register (session text PRIMARY KEY, v bigint NOT NULL, request text)",
}

// Prepare makes the tables in every group.
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

// Run makes requests until ctx ends. What is in progress then is finished.
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
		c := &gauge{loader: l, group: g, host: i}
		w.Go(func() { c.run(ctx) })
	}
	w.Wait()
}

// caller makes one session after the other.
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

// pickHost returns a random entry host of those that the balancer knows.
func (l *Loader) pickHost(r *rand.Rand) Host {
	h := l.Hosts()
	return h[r.IntN(len(h))]
}

// other returns the name of a session of the same group that has existed, mostly.
func (c *session) other() string {
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
