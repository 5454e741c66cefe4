package racer

import (
	"context"
	"runtime"
	"slices"
	"time"

	"github.com/cuminwick/cuminwick/internal/bench/checker"
	"github.com/cuminwick/cuminwick/internal/clock/scheduler"
	"github.com/cuminwick/cuminwick/internal/config/applier"
	"github.com/cuminwick/cuminwick/internal/config/declarer"
	"github.com/cuminwick/cuminwick/internal/config/publisher"
	"github.com/cuminwick/cuminwick/internal/platform/accessor"
)

// contender is one operator who applies one file.
type contender struct {
	racer    *Racer
	name     string
	platform accessor.Platform
	file     declarer.File
	base     declarer.Revision
	delay    time.Duration
}

// run applies the file. What the operator was told is recorded also if it ends
// midway, which leaves the outcome unknown.
func (c *contender) run(ctx context.Context) {
	ctx, stop := context.WithTimeout(ctx, patience)
	defer stop()
	_ = scheduler.Pause(ctx, c.delay)
	a := &checker.Apply{
		Operator: c.name,
		Base:     uint64(c.base),
		Digest:   Digest(c.file),
		Outcome:  checker.ApplyUnknown,
		From:     c.racer.since(),
	}
	defer c.racer.conclude(a)
	o := &publisher.Operator{Platform: c.platform, Name: c.name}
	x, err := o.Apply(ctx, c.file, publisher.Options{From: c.base, CheckFrom: true})
	if err == nil {
		tell(a, x)
	}
}

// conclude records what an operator was told by now.
func (r *Racer) conclude(a *checker.Apply) {
	a.To = r.since()
	r.record(*a)
}

// tell puts down how an operator's command ended.
func tell(a *checker.Apply, x applier.Result) {
	a.Revision = uint64(x.Entry.Revision)
	switch x.Outcome {
	case applier.InForce:
		a.Outcome = checker.ApplyInForce
	case applier.Accepted:
		a.Outcome = checker.ApplyAccepted
	case applier.Withdrawn:
		a.Outcome = checker.ApplyRefused
	case applier.Conflict:
		a.Outcome = checker.ApplyRefused
		// The entry is that of the change that came first.
		a.Revision = 0
	}
}

// successor is the operator who finds what an abandoned one has left staged, and
// goes on with it or takes it back.
type successor struct {
	racer  *Racer
	name   string
	resume bool
}

func (s *successor) run(ctx context.Context) {
	ctx, stop := context.WithTimeout(ctx, patience)
	defer stop()
	a := &checker.Apply{Operator: s.name, Outcome: checker.ApplyUnknown, From: s.racer.since()}
	defer s.racer.conclude(a)
	o := &publisher.Operator{Platform: s.racer.Platform(0), Name: s.name}
	command := o.Withdraw
	if s.resume {
		command = o.Resume
	}
	x, err := command(ctx)
	if err == nil {
		tell(a, x)
	}
}

// mortal is the platform of an operator whose process ends after its last put
// has taken effect. An operator that ends so neither learns the answer nor
// cleans up, and others find what it staged.
type mortal struct {
	accessor.Platform
	puts int
}

// Put implements accessor.Platform. Its last call ends the operator's goroutine.
func (m *mortal) Put(ctx context.Context, o accessor.Object) (accessor.Object, error) {
	x, err := m.Platform.Put(ctx, o)
	m.puts--
	if m.puts <= 0 {
		runtime.Goexit()
	}
	return x, err
}

// change returns f with two parts changed, which belong together: hosts that had
// one of them without the other would show a content that nobody applied.
func change(f declarer.File, operator string, number int) declarer.File {
	f.RoutingRules = append(slices.Clone(f.RoutingRules), declarer.RoutingRule{
		Name:       operator,
		Match:      declarer.Match{Tag: operator},
		MaximumAge: time.Second,
	})
	f.Limits.QueueLength = queueLength + number
	return f
}

// resize returns f with fewer connections and slots at each backend server of its
// n-th group, so that every entry host makes that group anew: its pools, queues and
// control connections. The stand-ins allow more, so that the servers can't tell.
func resize(f declarer.File, n int) declarer.File {
	f.DatabaseGroups = slices.Clone(f.DatabaseGroups)
	g := &f.DatabaseGroups[n%len(f.DatabaseGroups)]
	g.BackendServers = slices.Clone(g.BackendServers)
	for i := range g.BackendServers {
		b := &g.BackendServers[i]
		b.Connections -= 1 + n%fewerConnections
		b.Slots = max(1, b.Slots-i%2)
	}
	return f
}

// fewerConnections bounds how many connections a resized group does without.
const fewerConnections = 4

// queueLength is above what the load ever queues.
const queueLength = 1000
