package runner

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/cuminwick/cuminwick/internal/soak/caller"
	"github.com/cuminwick/cuminwick/internal/soak/checker"
	"github.com/cuminwick/cuminwick/internal/soak/planner"
)

var (
	seeds  = flag.Int("soak.seeds", 2, "number of seeds to run")
	first  = flag.Uint64("soak.first", 1, "first seed")
	length = flag.Duration("soak.length", 8*time.Second, "time during which faults are injected")
	hosts  = flag.Int("soak.hosts", 4, "number of entry hosts, at most 250")
)

const (
	// workers is the number of callers at a time.
	workers = 24
	// probeInterval is the time between configuration probes of a host, configureInterval that between
	// changes of the configuration.
	probeInterval     = 100 * time.Millisecond
	configureInterval = 900 * time.Millisecond
	// recoveryTimeout is the maximum time to recover from all faults. It only ends a soak that would
	// hang otherwise.
	recoveryTimeout = time.Minute
)

// Entry hosts are killed, paused, stopped and isolated; the store is unavailable, slow or drops its
// history; backend servers crash, stop answering or receive no replication. A seed determines which
// faults occur and when. Guards against lost, duplicated and stale data and against false outcomes:
// each acknowledged write must take effect exactly once and be visible to reads, and a write that was
// answered as not run must never take effect.
//
// Run it by hand with fresh seeds: go test ./internal/soak/runner -run TestSoak -soak.seeds 50
// -soak.first N -parallel 4
func TestSoak(t *testing.T) {
	soakSeeds(t, *seeds, soak)
}

// soakSeeds soaks with each of n seeds, in tests of their own.
func soakSeeds(t *testing.T, n int, soak func(t *testing.T, seed uint64)) {
	t.Helper()
	for i := range n {
		seed := *first + uint64(i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			soak(t, seed)
		})
	}
}

// newDirectory returns a new directory for a soak, which is kept with its logs if that fails.
func newDirectory(t *testing.T, kind string, seed uint64) string {
	t.Helper()
	d, err := os.MkdirTemp("", fmt.Sprintf("%s-%d-", kind, seed))
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func soak(t *testing.T, seed uint64) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d := &deployment{directory: newDirectory(t, "soak", seed), hostCount: *hosts, statementTime: shortStatement, ranked: isRanked(seed), operated: isOperated(seed), uneven: isUneven(seed), synchronous: synchronousReplicas(seed), unfenced: isUnfenced(seed)}
	d.customers, d.connections = kindOfSoak(seed)
	s := &soakRun{deployment: d, random: rand.New(rand.NewPCG(seed, 1)), injector: &injector{deployment: d}, plan: planOf(seed)}
	s.test(ctx, t, seed)
}

// test starts the deployment, runs the soak and reports its findings.
func (s *soakRun) test(ctx context.Context, t *testing.T, seed uint64) {
	directory := s.deployment.directory
	if err := s.deployment.start(ctx); err != nil {
		t.Fatal(err)
	}
	findings := s.run(seed)
	t.Log(s.summary())
	if s.staying {
		t.Log(s.stopSummary())
	}
	if s.calm > 0 {
		t.Log(s.answerSummary(findings))
	}
	if len(findings) == 0 {
		os.RemoveAll(directory)
		return
	}
	for _, f := range s.plan {
		t.Log(f)
	}
	const maximumFindings = 40
	for _, f := range sample(findings, maximumFindings) {
		t.Error(f)
	}
	t.Logf("%d findings, logs in %s", len(findings), directory)
}

// synchronousReplicas returns how many replicas must have a write before it is acknowledged: one in every second
// soak, in which callers are not identified.
func synchronousReplicas(seed uint64) int { return int(seed % 2) }

// isUnfenced reports whether the platform of the soak doesn't check fences: in one of four soaks, none of which has
// orders that are carried out late.
func isUnfenced(seed uint64) bool { return seed%4 == 2 }

// planOf returns the faults of the soak with the seed.
func planOf(seed uint64) []planner.Fault {
	if synchronousReplicas(seed) > 0 {
		return planner.Promotions(seed, *length)
	}
	return planner.Plan(seed, *length)
}

// kindOfSoak returns the number of customers and the connections that each server is declared to accept:
// every second soak has identified callers, and in half of these one host owns a server's connections.
func kindOfSoak(seed uint64) (n, connections int) {
	const many, few = 24, 11
	switch seed % 4 {
	case 0:
		return customers, many
	case 2:
		return customers, few
	}
	return 0, many
}

// soakRun is one soak with one seed.
type soakRun struct {
	deployment *deployment
	random     *rand.Rand
	injector   *injector
	plan       []planner.Fault
	// staying is set if callers keep their sessions and some also open them at hosts out of rotation.
	staying bool
	// calm is the minimum time until callers stop, beside the faults of the plan.
	calm time.Duration
	// oddPercent and pipelinePercent are those of the callers' sessions.
	oddPercent, pipelinePercent int

	mu sync.Mutex
	// sessions is the number of sessions made, from which their names are derived.
	sessions int
	// released is when all hosts had followed the release of what operators held back and drained.
	released time.Time
}

// run runs the soak and returns its findings.
func (s *soakRun) run(seed uint64) []string {
	d := s.deployment
	findings := s.recover()
	d.entries.appear()
	over := make(chan struct{})
	var g sync.WaitGroup
	callers := workers
	if s.staying {
		callers = stayingWorkers
	}
	for i := range callers {
		g.Add(1)
		go (&worker{soak: s, random: rand.New(rand.NewPCG(seed, uint64(i+2))), direct: s.staying && i%directShare == 0}).run(&g, over)
	}
	for _, h := range d.hosts {
		g.Add(1)
		go (&configurationProber{soak: s, host: h, random: rand.New(rand.NewPCG(seed, uint64(len(h.Name))))}).run(&g, over)
	}
	g.Add(1)
	go (&operator{soak: s}).run(&g, over)
	s.injectFaults()
	findings = append(findings, s.recover()...)
	findings = append(findings, s.checkRemovedKeys()...)
	findings = append(findings, s.checkOperations(seed)...)
	s.stop(seed)
	if d.entries != nil {
		findings = append(findings, s.recover()...) // the host that was stopped reads all entries anew
	}
	close(over)
	g.Wait()
	findings = append(findings, s.injector.findings...)
	findings = append(findings, d.close()...)
	findings = append(findings, d.checkLimit()...)
	findings = append(findings, d.checkImportance()...)
	findings = append(findings, d.checkStrength()...)
	findings = append(findings, s.checkHeld()...)
	findings = append(findings, d.checkEntries()...)
	for i, r := range d.recorders {
		h := r.History()
		h.Staleness, h.Timeout, h.Stops, h.PlannedOnly = staleness, routeTimeout, s.injector.plannedStops(), s.staying
		findings = append(findings, checker.Check(h, d.groups[i].Truth())...)
		if len(h.Reads) == 0 || len(h.Writes) == 0 {
			findings = append(findings, "idle: nothing was read or written, so nothing was checked")
		}
	}
	return findings
}

// summary describes the soak in numbers, so that one in which nothing happened can be recognized.
func (s *soakRun) summary() string {
	var outcomes [3]int
	reads, probes, disconnects, dropped, held := 0, 0, 0, 0, 0
	for i, r := range s.deployment.recorders {
		h := r.History()
		for _, w := range h.Writes {
			outcomes[w.Outcome]++
		}
		reads += len(h.Reads)
		probes += len(h.ConfigurationProbes)
		disconnects += len(h.Disconnects)
		held += len(h.Held)
		dropped += len(s.deployment.groups[i].Truth().Dropped)
	}
	undisturbed := 0
	for _, x := range s.injector.plannedStops() {
		if x.Undisturbed {
			undisturbed++
		}
	}
	return fmt.Sprintf("%d sessions, %d reads, writes: %d ran, %d not run, %d unknown, %d rolled back by promotions; %d held; %d configuration probes, %d disconnects, %d faults, %d planned stops (%d undisturbed)",
		s.sessions, reads, outcomes[checker.OutcomeRan], outcomes[checker.OutcomeNotRun], outcomes[checker.OutcomeUnknown], dropped, held, probes, disconnects, len(s.injector.injected), len(s.injector.stops), undisturbed)
}

// injectFaults carries out the plan and waits until all faults are over.
func (s *soakRun) injectFaults() {
	began := time.Now()
	var g sync.WaitGroup
	for _, f := range s.plan {
		time.Sleep(time.Until(began.Add(f.At)))
		g.Add(1)
		go (&injection{injector: s.injector, fault: f}).run(&g)
	}
	g.Wait()
	time.Sleep(time.Until(began.Add(s.calm)))
}

// stop stops one host as planned while no other fault is active.
func (s *soakRun) stop(seed uint64) {
	time.Sleep(settleTime)
	var g sync.WaitGroup
	g.Add(1)
	f := planner.Fault{Kind: planner.KindStop, Target: int(seed % uint64(s.deployment.hostCount))}
	go (&injection{injector: s.injector, fault: f}).run(&g)
	g.Wait()
}

// recover waits until each host serves a write and a read of each database, and returns findings for
// those that do not within recoveryTimeout.
func (s *soakRun) recover() []string {
	var findings []string
	end := time.Now().Add(recoveryTimeout)
	for _, h := range s.deployment.hosts {
		for _, x := range s.deployment.databases {
			for !s.serves(h, x) {
				if time.Now().After(end) {
					findings = append(findings, fmt.Sprintf("not recovered: %s doesn't serve %s", h.Name, x.name))
					break
				}
				time.Sleep(20 * time.Millisecond)
			}
		}
	}
	return findings
}

// serves reports whether the host answers a write and a read of the database.
func (s *soakRun) serves(h *host, x database) bool {
	c := s.session(h, x, s.random)
	defer c.Close()
	return c.Probe()
}

// session returns a new session with a unique name, which is not open yet.
func (s *soakRun) session(h *host, x database, r *rand.Rand) *caller.Session {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sessions++
	n := fmt.Sprintf("c%d", s.sessions)
	return &caller.Session{
		Name: n, Key: s.deployment.key(n), Host: h.Host, Database: x.name, Freshness: freshness[x.kind],
		Recorder: s.deployment.recorders[x.group], Random: rand.New(rand.NewPCG(r.Uint64(), 0)),
		OddPercent: s.oddPercent, PipelinePercent: s.pipelinePercent,
	}
}

// endedAfter waits for the pause or the end of the soak, and reports whether the soak is over.
func endedAfter(over <-chan struct{}, pause time.Duration) bool {
	select {
	case <-over:
		return true
	case <-time.After(pause):
		return false
	}
}

const (
	// stayingWorkers is the number of callers that keep their sessions. One in directShare of them opens sessions
	// at a host that is stopping, while there is one.
	stayingWorkers = 48
	directShare    = 2
	// longSession is the maximum number of operations of a session that is kept, and thinkTime the maximum
	// pause between two of them.
	longSession = 40
	thinkTime   = 60 * time.Millisecond
)

// worker runs one session after the other, each at a random host and database.
type worker struct {
	soak   *soakRun
	random *rand.Rand
	// direct is set if the worker prefers a host that is stopping.
	direct bool
}

func (w *worker) run(g *sync.WaitGroup, over <-chan struct{}) {
	defer g.Done()
	d := w.soak.deployment
	for !endedAfter(over, time.Duration(w.random.IntN(20))*time.Millisecond) {
		h := d.hosts[w.random.IntN(len(d.hosts))]
		if w.direct {
			h = d.stoppingHost(h)
		} else if !d.takesCallers(h) {
			continue
		}
		x := d.databases[w.random.IntN(len(d.databases))]
		if d.customers > 0 && w.random.IntN(wildKeyShare) == 0 {
			w.soak.tryWildKey(h, x)
			continue
		}
		c, operations := w.soak.session(h, x, w.random), 8
		if w.soak.staying && !w.direct {
			c.MaximumPause, operations = thinkTime, longSession
		}
		c.Run(1 + w.random.IntN(operations))
	}
}

// operator declares a new version of the configuration at intervals.
type operator struct {
	soak *soakRun
}

func (o *operator) run(g *sync.WaitGroup, over <-chan struct{}) {
	defer g.Done()
	for !endedAfter(over, configureInterval) {
		if err := o.soak.deployment.configure(); err != nil {
			o.soak.injector.fail("configure: " + err.Error())
		}
	}
}

// configurationProber probes whether one host serves the databases that the configuration added.
type configurationProber struct {
	soak   *soakRun
	host   *host
	random *rand.Rand
}

func (v *configurationProber) run(g *sync.WaitGroup, over <-chan struct{}) {
	defer g.Done()
	for !endedAfter(over, probeInterval) {
		v.probe()
	}
}

// probe opens a database that a random version added and records the result, unless the connection
// fails or the host's process changes meanwhile.
func (v *configurationProber) probe() {
	n := 1 + v.random.Int64N(v.soak.deployment.version.Load())
	c := &caller.Session{Name: "v", Key: v.soak.deployment.key("v1"), Host: v.host.Host, Database: extra(n), Random: v.random}
	defer c.Close()
	x := checker.ConfigurationProbe{Host: v.host.Name, Incarnation: v.host.currentIncarnation(), Version: int(n), Sent: time.Now()}
	found, err := c.Open()
	x.Found, x.Answered = found, time.Now()
	if err != nil || v.host.currentIncarnation() != x.Incarnation {
		return
	}
	v.soak.deployment.recorders[0].Update(func(h *checker.History) { h.ConfigurationProbes = append(h.ConfigurationProbes, x) })
}
