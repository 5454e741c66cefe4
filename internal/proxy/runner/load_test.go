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

// caller simulates one caller's connection.
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

// load simulates callers that arrive at a rate, independently of the outcome of earlier ones.
type load struct {
	deployment *deployment

	mu sync.Mutex
	// arrived and inTime count, by second, the operations that began then and those of them that
	// were served within their objective.
	arrived map[int]int
	inTime  map[int]int
	// refused holds how long each refused statement took.
	refused []time.Duration
	// unknown counts answers that do not tell whether the statement ran.
	unknown    int
	operations sync.WaitGroup
}

// Statement counts the report of a statement.
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

// run starts callers' operations until end, at rate per second, and waits for them.
func (l *load) run(end time.Duration, rate func(time.Duration) float64) {
	d := l.deployment
	r := rand.New(rand.NewPCG(7, 7))
	for n := 0; time.Since(d.began) < end; n++ {
		at := time.Since(d.began)
		time.Sleep(time.Duration(r.ExpFloat64() / rate(at) * float64(time.Second)))
		l.operations.Go(l.operation(n, r))
	}
	l.operations.Wait()
}

// operation returns the operation of one caller: a statement that is sent up to three times.
func (l *load) operation(n int, r *rand.Rand) func() {
	database, text, objective, deadline := "reschedule", "READ", 500*time.Millisecond, 2*time.Second
	mean, writes := 9.0, 0.12
	switch k := r.IntN(20); {
	case k < 3:
		database, mean, writes, objective = "confirm", 3, 0.5, 300*time.Millisecond
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
		l.arrived[window]++
		if served && time.Since(began) <= objective {
			l.inTime[window]++
		}
	}
}

// try sends one statement to a host and returns its code.
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
	s := &executor.Session{Caller: c, Board: h.Board, Pools: &h.pools, Reporter: l, Observer: &h.observer, RetryBudgets: &h.budgets, KeyWaits: &h.keyWaits, Ready: func() bool { return true }}
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

// goodput returns the share of operations that began between two seconds and were served in time.
func (l *load) goodput(from, to int) float64 {
	arrived, served := 0, 0
	for i := from; i < to; i++ {
		arrived += l.arrived[i]
		served += l.inTime[i]
	}
	return float64(served) / float64(max(1, arrived))
}

// runUnderLoad runs callers at a rate against a deployment into which injectFaults injects faults.
func runUnderLoad(t *testing.T, hosts, limit int, end time.Duration, rate func(time.Duration) float64, injectFaults func(*deployment)) *load {
	t.Helper()
	return runDeployment(t, newDeployment(hosts, limit, 1), end, rate, injectFaults)
}

func runDeployment(t *testing.T, d *deployment, end time.Duration, rate func(time.Duration) float64, injectFaults func(*deployment)) *load {
	t.Helper()
	l := &load{deployment: d, arrived: make(map[int]int), inTime: make(map[int]int)}
	ctx, cancel := context.WithCancel(context.Background())
	go d.trim(ctx)
	go injectFaults(d)
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
		t.Logf("%2d s: %d of %d in time", i, l.inTime[i], l.arrived[i])
	}
	slices.Sort(l.refused)
	t.Logf("%d arrivals at servers, %d shed, %d lagging; %d refused, %d unknown", d.arrivals, d.shed, d.lagging, len(l.refused), l.unknown)
	return l
}

func steady(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

const (
	// usualRate is the normal load in operations per second.
	usualRate = 280
	// recoverySeconds is how long goodput may stay below minimumGoodput after the last cause of
	// a loss has ended.
	recoverySeconds = 2
	minimumGoodput  = 0.97
)

// Guards against an overload that outlives its cause: while the replicas lag, the primary receives
// all reads; after they have caught up, goodput must recover.
func TestGoodputRecoversAfterReplicaLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := runUnderLoad(t, 24, 30, 20*time.Second, steady(usualRate), func(d *deployment) {
			time.Sleep(4 * time.Second)
			d.setLag(4 * time.Second)
			time.Sleep(4 * time.Second)
			d.setLag(90 * time.Millisecond)
		})
		// The last commit made during the fault is visible four seconds after the fault has ended.
		if g := l.goodput(12+recoverySeconds, 20); g < minimumGoodput {
			t.Errorf("goodput %.3f after replicas caught up", g)
		}
		if len(l.refused) == 0 {
			t.Fatal("no statement was refused; the load is too small for this test")
		}
		if l.unknown > 0 {
			t.Errorf("%d statements with an unknown outcome although no server failed", l.unknown)
		}
		if d := l.deployment; d.shed*100 > 3*d.arrivals {
			t.Errorf("servers shed %d of %d", d.shed, d.arrivals)
		}
	})
}

// Guards against retries that sustain the load of a burst after it has ended, in a deployment whose
// hosts open their own connections and in one whose hosts borrow.
func TestGoodputRecoversAfterBurst(t *testing.T) {
	for name, hosts := range map[string]int{"small": 6, "large": 120} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := runUnderLoad(t, hosts, 30, 14*time.Second, func(at time.Duration) float64 {
					if at > 4*time.Second && at < 7*time.Second {
						return 3 * usualRate
					}
					return usualRate
				}, func(*deployment) {})
				if g := l.goodput(7+recoverySeconds, 14); g < minimumGoodput {
					t.Errorf("goodput %.3f after the burst", g)
				}
				if d := l.deployment; d.shed*100 > 3*d.arrivals {
					t.Errorf("servers shed %d of %d", d.shed, d.arrivals)
				}
			})
		})
	}
}

// Guards against reads that a large deployment sends to replicas in vain: a host with few reads of a
// group has no position of the primary that is as old as the reads may be, and if it asked for the
// present one, replicas would lack that. However many hosts the callers are spread over, about as few
// reads must be turned away for it.
func TestReadsSpreadOverManyHostsFindReplicas(t *testing.T) {
	for _, hosts := range []int{30, 120, 480} {
		t.Run(fmt.Sprint(hosts, " hosts"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := runUnderLoad(t, hosts, 30, 12*time.Second, steady(usualRate), func(*deployment) {})
				if d := l.deployment; d.lagging*100 > 2*d.arrivals {
					t.Errorf("replicas turned %d of %d statements away", d.lagging, d.arrivals)
				}
				if g := l.goodput(2, 12); g < minimumGoodput {
					t.Errorf("goodput %.3f", g)
				}
			})
		})
	}
}

// seeds is the number of random fault sequences that are tested.
var seeds = flag.Uint64("load.seeds", 6, "number of fault sequences that are tested under load")

// fault is a temporary fault.
type fault struct {
	name string
	// inject starts the fault and returns after which time its last effect has ended.
	inject func(d *deployment, r *rand.Rand) time.Duration
}

var faults = []fault{
	{"replicas lag", func(d *deployment, r *rand.Rand) time.Duration {
		lag := time.Duration(1+r.IntN(3)) * time.Second
		d.setLag(lag)
		time.AfterFunc(2*time.Second, func() { d.setLag(90 * time.Millisecond) })
		return 2*time.Second + lag
	}},
	{"a replica is unresponsive", func(d *deployment, r *rand.Rand) time.Duration {
		t := time.Duration(1+r.IntN(4)) * time.Second
		go d.servers[1+r.IntN(2)].makeUnresponsive(t)
		return t
	}},
	{"a host restarts", func(d *deployment, r *rand.Rand) time.Duration {
		go d.restart(r.Uint64())
		return 3 * time.Second
	}},
	{"all hosts lose power", func(d *deployment, _ *rand.Rand) time.Duration {
		go d.powerCycleAll(1200*time.Millisecond, 3*time.Second)
		return 1200*time.Millisecond + rosterDelay
	}},
}

// Guards against a degraded state that outlives its cause. Two faults occur at random times; two
// seconds after the last one has ended, callers must be served as before, and every host must reach
// every server.
func TestServiceRecoversAfterRandomFaults(t *testing.T) {
	for seed := range *seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := rand.New(rand.NewPCG(seed, 5))
				var ended time.Duration
				l := runUnderLoad(t, 30, 30, 22*time.Second, steady(usualRate), func(d *deployment) {
					for range 2 {
						time.Sleep(time.Duration(1000+r.IntN(3000)) * time.Millisecond)
						f := faults[r.IntN(len(faults))]
						t.Logf("%s at %s", f.name, time.Since(d.began))
						ended = max(ended, time.Since(d.began)+f.inject(d, r))
					}
				})
				from := int(ended/time.Second) + 1 + recoverySeconds
				if g := l.goodput(from, 22); g < minimumGoodput {
					t.Errorf("goodput %.3f from %d s", g, from)
				}
				l.deployment.queryAll(t)
			})
		})
	}
}

// queryAll sends a statement from every host to every server.
func (d *deployment) queryAll(t *testing.T) {
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
				t.Errorf("query from %s to %s: code %d, %v", x.host.Name, s.declared.ID, a.Code, err)
			}
			l.Release(err != nil)
		}
	}
}

// Guards against servers that no host can use after a power loss of all hosts: hosts whose rosters
// are still empty know no owner of the connections, so that each opens one of its own and keeps it.
func TestServersServeAgainAfterLossOfPower(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := runUnderLoad(t, 78, 16, 22*time.Second, steady(usualRate), func(d *deployment) {
			time.Sleep(4 * time.Second)
			d.powerCycleAll(1200*time.Millisecond, 3*time.Second)
		})
		// The rosters are complete from 8.2 s.
		if g := l.goodput(9+recoverySeconds, 22); g < minimumGoodput {
			t.Errorf("goodput %.3f after the loss of power", g)
		}
	})
}
