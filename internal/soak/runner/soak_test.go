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
	seeds  = flag.Int("soak.seeds", 2, "how many seeds are soaked")
	first  = flag.Uint64("soak.first", 1, "the first of them")
	length = flag.Duration("soak.length", 8*time.Second, "for how long faults come")
	hosts  = flag.Int("soak.hosts", 4, "how many entry hosts there are, 250 at most")
)

const (
	// workers is how many callers work at a time.
	workers = 24
	// visitPause and configurePause are between visits and changes of the configuration.
	visitPause     = 100 * time.Millisecond
	configurePause = 900 * time.Millisecond
	// recovery only ends a soak that would hang.
	recovery = time.Minute
)

// Entry hosts are killed, paused, stopped, cut off; the store is away, slow, forgets; servers
// crash, go mute, fall behind: a few at a time, as a seed has it. Users must find each of
// their saves once, see them, and be told truly what ran.
//
// By hand, with fresh seeds: go test ./internal/soak/runner -run TestSoak -soak.seeds 50
// -soak.first N -parallel 4
func TestSoak(t *testing.T) {
	for i := range *seeds {
		seed := *first + uint64(i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			soak(t, seed)
		})
	}
}

func soak(t *testing.T, seed uint64) {
	// The logs of a soak that failed are kept.
	directory, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", seed))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d, err := deploy(ctx, directory)
	if err != nil {
		t.Fatal(err)
	}
	s := &soaking{deployment: d, random: rand.New(rand.NewPCG(seed, 1)), trouble: &trouble{deployment: d}}
	broken := s.work(seed)
	t.Log(s.summary())
	if len(broken) == 0 {
		os.RemoveAll(directory)
		return
	}
	for _, f := range planner.Plan(seed, *length) {
		t.Log(f)
	}
	const most = 20
	for _, b := range broken[:min(most, len(broken))] {
		t.Error(b)
	}
	t.Logf("%d findings, logs in %s", len(broken), directory)
}

// soaking is one soak.
type soaking struct {
	deployment *deployment
	random     *rand.Rand
	trouble    *trouble

	mu       sync.Mutex
	sessions int
}

// work soaks and returns what was broken.
func (s *soaking) work(seed uint64) []string {
	d := s.deployment
	broken := s.recover()
	over := make(chan struct{})
	var g sync.WaitGroup
	for i := range workers {
		g.Add(1)
		go (&worker{soak: s, random: rand.New(rand.NewPCG(seed, uint64(i+2)))}).run(&g, over)
	}
	for _, h := range d.hosts {
		g.Add(1)
		go (&visitor{soak: s, host: h, random: rand.New(rand.NewPCG(seed, uint64(len(h.Name))))}).run(&g, over)
	}
	g.Add(1)
	go (&operator{soak: s}).run(&g, over)
	s.disturb(seed)
	broken = append(broken, s.recover()...)
	s.stop(seed)
	close(over)
	g.Wait()
	broken = append(broken, s.trouble.wrong...)
	broken = append(broken, d.close()...)
	for i, r := range d.recorders {
		h := r.History()
		h.Staleness, h.Stops = staleness, s.trouble.calm()
		broken = append(broken, checker.Check(h, d.groups[i].Truth())...)
		if len(h.Reads) == 0 || len(h.Writes) == 0 {
			broken = append(broken, "idle: nothing was read or written, so nothing was checked")
		}
	}
	return broken
}

// summary tells what was seen, so that a soak in which nothing happened shows as one.
func (s *soaking) summary() string {
	var outcomes [3]int
	reads, visits, cuts, dropped := 0, 0, 0, 0
	for i, r := range s.deployment.recorders {
		h := r.History()
		for _, w := range h.Writes {
			outcomes[w.Outcome]++
		}
		reads += len(h.Reads)
		visits += len(h.ConfigurationProbes)
		cuts += len(h.Disconnects)
		dropped += len(s.deployment.groups[i].Truth().Dropped)
	}
	calm := 0
	for _, x := range s.trouble.calm() {
		if x.Undisturbed {
			calm++
		}
	}
	return fmt.Sprintf("%d sessions, %d reads, writes: %d ran, %d not run, %d unknown, %d rolled back by promotions; %d visits, %d cuts, %d faults, %d planned stops (%d calm)",
		s.sessions, reads, outcomes[checker.OutcomeRan], outcomes[checker.OutcomeNotRun], outcomes[checker.OutcomeUnknown], dropped, visits, cuts, len(s.trouble.spans), len(s.trouble.stops), calm)
}

// disturb carries the plan out and waits until all faults are over.
func (s *soaking) disturb(seed uint64) {
	began := time.Now()
	var g sync.WaitGroup
	for _, f := range planner.Plan(seed, *length) {
		time.Sleep(time.Until(began.Add(f.At)))
		g.Add(1)
		go (&injection{trouble: s.trouble, fault: f}).run(&g)
	}
	g.Wait()
}

// stop stops one host as planned while nothing else is wrong.
func (s *soaking) stop(seed uint64) {
	time.Sleep(contact)
	var g sync.WaitGroup
	g.Add(1)
	f := planner.Fault{Kind: planner.KindStop, Target: int(seed % uint64(*hosts))}
	go (&injection{trouble: s.trouble, fault: f}).run(&g)
	g.Wait()
}

// recover waits until each host serves a write and a read of each database.
func (s *soaking) recover() []string {
	var broken []string
	end := time.Now().Add(recovery)
	for _, h := range s.deployment.hosts {
		for _, x := range s.deployment.databases {
			for !s.serves(h, x) {
				if time.Now().After(end) {
					broken = append(broken, fmt.Sprintf("not recovered: %s doesn't serve %s", h.Name, x.name))
					break
				}
				time.Sleep(20 * time.Millisecond)
			}
		}
	}
	return broken
}

// serves reports whether the host answers a write and a read.
func (s *soaking) serves(h *host, x database) bool {
	c := s.session(h, x, s.random)
	defer c.Close()
	return c.Probe()
}

// session makes a session of a name that no other has.
func (s *soaking) session(h *host, x database, r *rand.Rand) *caller.Session {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sessions++
	return &caller.Session{
		Name: fmt.Sprintf("c%d", s.sessions), Host: h.Host, Database: x.name, Freshness: freshness[x.kind],
		Recorder: s.deployment.recorders[x.group], Random: rand.New(rand.NewPCG(r.Uint64(), 0)),
	}
}

// ended reports whether the soak is over after the pause.
func ended(over <-chan struct{}, pause time.Duration) bool {
	select {
	case <-over:
		return true
	case <-time.After(pause):
		return false
	}
}

// worker works as one caller after the other.
type worker struct {
	soak   *soaking
	random *rand.Rand
}

func (w *worker) run(g *sync.WaitGroup, over <-chan struct{}) {
	defer g.Done()
	d := w.soak.deployment
	for !ended(over, time.Duration(w.random.IntN(20))*time.Millisecond) {
		h := d.hosts[w.random.IntN(len(d.hosts))]
		if !h.listed() {
			continue
		}
		x := d.databases[w.random.IntN(len(d.databases))]
		w.soak.session(h, x, w.random).Run(1 + w.random.IntN(8))
	}
}

// operator changes the configuration.
type operator struct {
	soak *soaking
}

func (o *operator) run(g *sync.WaitGroup, over <-chan struct{}) {
	defer g.Done()
	for !ended(over, configurePause) {
		if err := o.soak.deployment.configure(); err != nil {
			o.soak.trouble.fail("configure: " + err.Error())
		}
	}
}

// visitor looks at one host whether it serves what the configuration has added.
type visitor struct {
	soak   *soaking
	host   *host
	random *rand.Rand
}

func (v *visitor) run(g *sync.WaitGroup, over <-chan struct{}) {
	defer g.Done()
	for !ended(over, visitPause) {
		v.visit()
	}
}

func (v *visitor) visit() {
	n := 1 + v.random.Int64N(v.soak.deployment.version.Load())
	c := &caller.Session{Name: "v", Host: v.host.Host, Database: extra(n), Random: v.random}
	defer c.Close()
	x := checker.ConfigurationProbe{Host: v.host.Name, Incarnation: v.host.lives(), Version: int(n), Sent: time.Now()}
	found, err := c.Open()
	x.Found, x.Answered = found, time.Now()
	if err != nil || v.host.lives() != x.Incarnation {
		return
	}
	v.soak.deployment.recorders[0].Update(func(h *checker.History) { h.ConfigurationProbes = append(h.ConfigurationProbes, x) })
}
