package runner

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cuminwick/cuminwick/internal/proxy/connpooler"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
	"github.com/cuminwick/cuminwick/internal/proxy/executor"
)

// caller is one caller's connection.
type caller struct {
	database string
	in       chan declarer.Statement
	out      chan declarer.Code
}

func (c *caller) Start(time.Time) (string, string, error) { return c.database, "", nil }

func (c *caller) Next(time.Time) (declarer.Statement, error) {
	s, ok := <-c.in
	if !ok {
		return s, io.EOF
	}
	return s, nil
}

func (c *caller) Interrupt()   {}
func (c *caller) Ready() error { return nil }
func (c *caller) Close()       {}

func (c *caller) Refuse(k declarer.Code, _ string) error {
	c.out <- k
	return nil
}

func (c *caller) Done(declarer.State) error {
	c.out <- declarer.CodeNone
	return nil
}

func (c *caller) Fail(k declarer.Code, _ string, _ declarer.State) error {
	c.out <- k
	return nil
}

func (c *caller) Forward(a *declarer.Answer, _ declarer.State) error {
	c.out <- a.Code
	return nil
}

// load are callers that come at a rate, whatever became of those before.
type load struct {
	deployment *deployment

	mu      sync.Mutex
	asked   map[int]int
	inTime  map[int]int
	refused []time.Duration
	// unknown counts answers that leave open whether a statement ran.
	unknown int
	wait    sync.WaitGroup
}

// Statement takes the report of a statement.
func (l *load) Statement(r *executor.Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case r.Code == declarer.CodeOutcomeUnknown || r.Code == declarer.CodeTimeout:
		l.unknown++
	case r.Code != declarer.CodeNone:
		l.refused = append(l.refused, r.Elapsed)
	}
}

// run has callers come until end, rate of them a second at each moment.
func (l *load) run(end time.Duration, rate func(time.Duration) float64) {
	d := l.deployment
	r := rand.New(rand.NewPCG(7, 7))
	for n := 0; time.Since(d.began) < end; n++ {
		at := time.Since(d.began)
		time.Sleep(time.Duration(r.ExpFloat64() / rate(at) * float64(time.Second)))
		l.wait.Go(l.operation(n, r))
	}
	l.wait.Wait()
}

// operation returns what one caller does: a statement, tried three times at most.
func (l *load) operation(n int, r *rand.Rand) func() {
	database, text, aim, deadline := "reschedule", "READ", 500*time.Millisecond, 2*time.Second
	mean, writes := 9.0, 0.12
	switch k := r.IntN(20); {
	case k < 3:
		database, mean, writes, aim = "confirm", 3, 0.5, 300*time.Millisecond
	case k < 6:
		database, mean, writes, deadline = "browse", 15, 0, 3*time.Second
	}
	if r.Float64() < writes {
		text = "WRITE"
	}
	work := int(mean * 1000 * (0.4 + 1.2*r.Float64()))
	hosts := []uint64{r.Uint64(), r.Uint64(), r.Uint64()}
	return func() {
		began := time.Now()
		window := int(time.Since(l.deployment.began) / time.Second)
		served := false
		for i, h := range hosts {
			if i > 0 {
				time.Sleep(100 * time.Millisecond)
			}
			if time.Since(began) > deadline {
				break
			}
			k, err := l.try(h, database, fmt.Sprintf("%d.%d", n, i), fmt.Sprintf("%s %d", text, work))
			if err == nil && k == declarer.CodeNone {
				served = true
				break
			}
			if err == nil && text == "WRITE" && !k.NotRun() && k != declarer.CodeAborted {
				break
			}
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		l.asked[window]++
		if served && time.Since(began) <= aim {
			l.inTime[window]++
		}
	}
}

// try has one statement served by a host.
func (l *load) try(draw uint64, database, id, text string) (declarer.Code, error) {
	d := l.deployment
	d.mu.Lock()
	if len(d.nodes) == 0 {
		d.mu.Unlock()
		return 0, errNoHost
	}
	h := d.nodes[draw%uint64(len(d.nodes))].host
	d.mu.Unlock()
	c := &caller{database: database, in: make(chan declarer.Statement), out: make(chan declarer.Code, 4)}
	s := &executor.Session{Caller: c, Board: h.Board, Pools: &h.pools, Reporter: l, Observer: &h.observer, RetryBudgets: &h.budgets, Ready: func() bool { return true }}
	go s.Run()
	v := declarer.VerbRead
	if text[0] == 'W' {
		v = declarer.VerbWrite
	}
	c.in <- declarer.Statement{ID: id, Verb: v, Text: text}
	k := <-c.out
	close(c.in)
	return k, nil
}

// goodput is the part of the callers from one second to another that were served in time.
func (l *load) goodput(from, to int) float64 {
	asked, served := 0, 0
	for i := from; i < to; i++ {
		asked += l.asked[i]
		served += l.inTime[i]
	}
	return float64(served) / float64(max(1, asked))
}

// play runs callers at a rate over a deployment whose faults are told by disturb.
func play(t *testing.T, hosts, limit int, end time.Duration, rate func(time.Duration) float64, disturb func(*deployment)) *load {
	t.Helper()
	d := newDeployment(hosts, limit, 1)
	l := &load{deployment: d, asked: make(map[int]int), inTime: make(map[int]int)}
	ctx, cancel := context.WithCancel(context.Background())
	go d.trim(ctx)
	go disturb(d)
	l.run(end, rate)
	t.Cleanup(func() {
		cancel()
		for _, x := range d.nodes {
			for _, p := range x.host.pools.pools {
				p.Close()
			}
		}
		time.Sleep(time.Minute)
	})
	for i := range int(end / time.Second) {
		t.Logf("%2d s: %d of %d in time", i, l.inTime[i], l.asked[i])
	}
	slices.Sort(l.refused)
	t.Logf("%d arrivals at servers, %d shed; %d refused, %d unknown", d.arrivals, d.shed, len(l.refused), l.unknown)
	return l
}

func steady(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

const (
	// usual is the load of callers a second, recovery how many seconds goodput may take to be
	// back once the last cause of a loss has ended, and healthy what it is then.
	usual    = 280
	recovery = 2
	healthy  = 0.97
)

// Guards against an overload that outlives its cause: replicas lag so that the primary has
// the reads of all, then catch up.
func TestGoodputReturnsAfterReplicasLagged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := play(t, 24, 30, 20*time.Second, steady(usual), func(d *deployment) {
			time.Sleep(4 * time.Second)
			d.lagBy(4 * time.Second)
			time.Sleep(4 * time.Second)
			d.lagBy(90 * time.Millisecond)
		})
		// The last commit of the fault is visible four seconds after it.
		if g := l.goodput(12+recovery, 20); g < healthy {
			t.Errorf("goodput %.3f after replicas caught up", g)
		}
		if len(l.refused) == 0 {
			t.Fatal("nothing was refused; the load is too small to show anything")
		}
		if l.unknown > 0 {
			t.Errorf("%d statements whose outcome isn't known, no server was lost", l.unknown)
		}
		if d := l.deployment; d.shed*100 > 3*d.arrivals {
			t.Errorf("servers shed %d of %d", d.shed, d.arrivals)
		}
	})
}

// Guards against retries that keep a burst's load up after it has ended, in a deployment
// whose hosts have connections of their own and in one where they borrow.
func TestGoodputReturnsAfterBurst(t *testing.T) {
	for name, hosts := range map[string]int{"small": 6, "large": 120} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := play(t, hosts, 30, 14*time.Second, func(at time.Duration) float64 {
					if at > 4*time.Second && at < 7*time.Second {
						return 3 * usual
					}
					return usual
				}, func(*deployment) {})
				if g := l.goodput(7+recovery, 14); g < healthy {
					t.Errorf("goodput %.3f after the burst", g)
				}
				if d := l.deployment; d.shed*100 > 3*d.arrivals {
					t.Errorf("servers shed %d of %d", d.shed, d.arrivals)
				}
			})
		})
	}
}

// seeds is how many courses of faults are played.
var seeds = flag.Uint64("load.seeds", 6, "courses of faults that are played under load")

// fault is one that is over after a while.
type fault struct {
	name string
	// begin begins it and returns when its last effect is over.
	begin func(d *deployment, r *rand.Rand) time.Duration
}

var faults = []fault{
	{"replicas lag", func(d *deployment, r *rand.Rand) time.Duration {
		lag := time.Duration(1+r.IntN(3)) * time.Second
		d.lagBy(lag)
		time.AfterFunc(2*time.Second, func() { d.lagBy(90 * time.Millisecond) })
		return 2*time.Second + lag
	}},
	{"a replica is dark", func(d *deployment, r *rand.Rand) time.Duration {
		t := time.Duration(1+r.IntN(4)) * time.Second
		go d.servers[1+r.IntN(2)].darken(t)
		return t
	}},
	{"a host restarts", func(d *deployment, r *rand.Rand) time.Duration {
		go d.restart(r.Uint64())
		return 3 * time.Second
	}},
	{"all hosts lose power", func(d *deployment, _ *rand.Rand) time.Duration {
		go d.loseAll(1200*time.Millisecond, 3*time.Second)
		return 1200*time.Millisecond + acquaintance
	}},
}

// Guards against a state that outlives what brought it about: two faults at random times,
// and two seconds after the last of them callers are served as before, by every server from
// every host.
func TestServiceReturnsWhateverFailed(t *testing.T) {
	for seed := range *seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := rand.New(rand.NewPCG(seed, 5))
				var over time.Duration
				l := play(t, 30, 30, 22*time.Second, steady(usual), func(d *deployment) {
					for range 2 {
						time.Sleep(time.Duration(1000+r.IntN(3000)) * time.Millisecond)
						f := faults[r.IntN(len(faults))]
						t.Logf("%s at %s", f.name, time.Since(d.began))
						over = max(over, time.Since(d.began)+f.begin(d, r))
					}
				})
				from := int(over/time.Second) + 1 + recovery
				if g := l.goodput(from, 22); g < healthy {
					t.Errorf("goodput %.3f from %d s", g, from)
				}
				l.deployment.askAll(t)
			})
		})
	}
}

// askAll has every host ask every server.
func (d *deployment) askAll(t *testing.T) {
	t.Helper()
	for _, x := range d.nodes {
		for _, s := range d.servers {
			p := x.host.pools.Pool(s.declared.ID)
			l, err := p.Acquire(connpooler.AcquireRequest{Deadline: time.Now().Add(time.Second)})
			if err != nil {
				t.Errorf("%s has no connection to %s: %v", x.host.Name, s.declared.ID, err)
				continue
			}
			var a declarer.Answer
			err = l.Send([]declarer.Request{{Verb: declarer.VerbReset}}, time.Now().Add(time.Second))
			if err == nil {
				err = l.Receive(&a, time.Now().Add(time.Second))
			}
			if err != nil || a.Code != declarer.CodeNone {
				t.Errorf("%s asks %s: code %d, %v", x.host.Name, s.declared.ID, a.Code, err)
			}
			l.Release(err != nil)
		}
	}
}

// Guards against servers that nobody can use after all hosts lost power: hosts that don't
// know the owners yet each open a connection, and keep it.
func TestServersServeAgainAfterLossOfPower(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := play(t, 78, 16, 22*time.Second, steady(usual), func(d *deployment) {
			time.Sleep(4 * time.Second)
			d.loseAll(1200*time.Millisecond, 3*time.Second)
		})
		// Hosts know each other from 8.2 s.
		if g := l.goodput(9+recovery, 22); g < healthy {
			t.Errorf("goodput %.3f after the loss of power", g)
		}
	})
}
