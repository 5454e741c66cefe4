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

// contender is one of the operators that apply competing files in a round.
type contender struct {
	racer    *Racer
	name     string
	platform accessor.Platform
	file     declarer.File
	base     declarer.Revision
	delay    time.Duration
}

// run applies the file. The apply is also recorded if the operator's goroutine ends midway; its outcome
// is then unknown.
func (c *contender) run(ctx context.Context) {
	ctx, stop := context.WithTimeout(ctx, commandTimeout)
	defer stop()
	_ = scheduler.Pause(ctx, c.delay)
	a := &checker.Apply{
		Operator: c.name,
		Base:     uint64(c.base),
		Digest:   Digest(c.file),
		Outcome:  checker.ApplyUnknown,
		From:     c.racer.elapsed(),
	}
	defer c.racer.recordEnd(a)
	o := &publisher.Operator{Platform: c.platform, Name: c.name}
	x, err := o.Apply(ctx, c.file, publisher.Options{From: c.base, CheckFrom: true})
	if err == nil {
		setOutcome(a, x)
	}
}

// recordEnd records an apply that ends now, with the outcome that its operator received so far.
func (r *Racer) recordEnd(a *checker.Apply) {
	a.To = r.elapsed()
	r.record(*a)
}

// setOutcome records in a how an operator's command ended.
func setOutcome(a *checker.Apply, x applier.Result) {
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
		// The entry is that of the competing change that was accepted first.
		a.Revision = 0
	}
}

// successor is the operator that finds the configuration that a crashed operator left staged, and
// resumes or withdraws it.
type successor struct {
	racer  *Racer
	name   string
	resume bool
}

func (s *successor) run(ctx context.Context) {
	ctx, stop := context.WithTimeout(ctx, commandTimeout)
	defer stop()
	a := &checker.Apply{Operator: s.name, Outcome: checker.ApplyUnknown, From: s.racer.elapsed()}
	defer s.racer.recordEnd(a)
	o := &publisher.Operator{Platform: s.racer.Platform(0), Name: s.name}
	command := o.Withdraw
	if s.resume {
		command = o.Resume
	}
	x, err := command(ctx)
	if err == nil {
		setOutcome(a, x)
	}
}

// crashingPlatform is the platform of an operator whose process crashes after its last put has taken
// effect. The operator neither receives the response nor cleans up, and other operators find what it
// staged.
type crashingPlatform struct {
	accessor.Platform
	// puts is the number of puts that are left before the crash.
	puts int
}

// Put implements accessor.Platform. The last of the allowed calls ends the operator's goroutine.
func (m *crashingPlatform) Put(ctx context.Context, o accessor.Object) (accessor.Object, error) {
	x, err := m.Platform.Put(ctx, o)
	m.puts--
	if m.puts <= 0 {
		runtime.Goexit()
	}
	return x, err
}

// withChange returns f with two related parts changed. A host that had only one of them in force
// would report a content that no operator applied.
func withChange(f declarer.File, operator string, number int) declarer.File {
	f.RoutingRules = append(slices.Clone(f.RoutingRules), declarer.RoutingRule{
		Name:       operator,
		Match:      declarer.Match{Tag: operator},
		MaximumAge: time.Second,
	})
	f.Limits.QueueLength = queueLength + number
	return f
}

// withFewerConnections returns f with fewer connections and slots at each backend server of its n-th
// group, so that every entry host rebuilds that group: its pools, queues and control connections. The
// stand-in servers allow more than that, so the lower limits don't affect them.
func withFewerConnections(f declarer.File, n int) declarer.File {
	f.DatabaseGroups = slices.Clone(f.DatabaseGroups)
	g := &f.DatabaseGroups[n%len(f.DatabaseGroups)]
	g.BackendServers = slices.Clone(g.BackendServers)
	for i := range g.BackendServers {
		b := &g.BackendServers[i]
		b.Connections -= 1 + n%connectionReductions
		b.Slots = max(1, b.Slots-i%2)
	}
	return f
}

// connectionReductions is the largest number of connections by which a server's limit is lowered.
const connectionReductions = 4

// queueLength exceeds the number of requests that the load ever queues.
const queueLength = 1000
