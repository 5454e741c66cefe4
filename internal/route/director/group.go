package director

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cuminwick/cuminwick/internal/config/declarer"
	"github.com/cuminwick/cuminwick/internal/group/driver"
	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/group/observer"
	"github.com/cuminwick/cuminwick/internal/limit/gate"
	"github.com/cuminwick/cuminwick/internal/limit/retrier"
	"github.com/cuminwick/cuminwick/internal/pool/lessor"
	"github.com/cuminwick/cuminwick/internal/route/chooser"
	"github.com/cuminwick/cuminwick/internal/route/estimator"
	"github.com/cuminwick/cuminwick/internal/route/historian"
)

// LoadReporter tells what waits and runs at a backend server. A lessor that has one is
// asked for it with each choice.
type LoadReporter interface {
	Load() gate.Load
}

// Driver is what the director needs of whoever looks after a database group: a
// driver.Driver at a host that serves the group, else what follows one.
type Driver interface {
	// AwaitView returns once the view is of use for a request, or gives up.
	AwaitView(ctx context.Context)
	// View returns what is known of the group. It must not be changed.
	View() *observer.View
	// Now returns the time that the view's times are read from.
	Now() time.Duration
	// Stopped reports whether the group isn't looked after any more.
	Stopped() bool
	// HandingOver reports whether new writes had better wait.
	HandingOver() bool
	// PollNow has all backend servers looked at at once.
	PollNow()
	// BeginReadIndex, WaitAcknowledged, WaitCovered, WaitPrimary and HandOver are
	// as with driver.Driver.
	BeginReadIndex(ctx context.Context) driver.PendingIndex
	WaitAcknowledged(ctx context.Context, m marker.Mark) error
	WaitCovered(ctx context.Context, server string, m marker.Mark) error
	WaitPrimary(ctx context.Context) (*observer.View, error)
	HandOver(ctx context.Context, from string) error
	// Thresholds are the settings of the group's drivers.
	Thresholds() driver.Settings
}

// Group is what the director needs of one database group. The exported fields
// are set before Prepare.
type Group struct {
	Declared declarer.DatabaseGroup
	Driver   Driver
	// Lessors lend connections, by the name of the backend server.
	Lessors map[string]lessor.Lessor

	servers []serverOf
	// longest is the longest age that a rule allows.
	longest   atomic.Int64
	knowledge atomic.Pointer[knowledge]

	mu         sync.Mutex
	historian  historian.Historian
	estimators []estimator.Estimator
	leaving    []time.Duration
}

// serverOf is what doesn't change about one backend server.
type serverOf struct {
	declared declarer.BackendServer
	writer   lessor.Lessor
	reader   lessor.Lessor
	gauge    LoadReporter
	// repeats bounds the reads that are run again, see search.ahead.
	repeats *retrier.Budget
}

// repeatShare and repeatBurst bound the reads at one backend server that run
// ahead of their read index in vain. Each takes a slot a second time, so a server
// that is often behind by the time of the index is soon read after it again.
const (
	repeatShare = 0.02
	repeatBurst = 4
)

// knowledge is what the decisions need of the past. It isn't changed once it is
// published, so that requests read it without a lock.
type knowledge struct {
	historian historian.Historian
	servers   []estimate
}

// estimate is what is expected of one backend server.
type estimate struct {
	rate         float64
	lag          time.Duration
	leavingSince time.Duration
}

// readLessor lends connections for reads, which don't count as writes at the
// primary either.
type readLessor struct {
	lessor.Lessor
}

// Lease implements lessor.Lessor.
func (r readLessor) Lease(ctx context.Context, d lessor.Demand) (lessor.Lease, error) {
	d.Write = false
	return r.Lessor.Lease(ctx, d)
}

// Prepare makes the group ready for requests.
func (g *Group) Prepare() {
	for _, b := range g.Declared.BackendServers {
		l := g.Lessors[b.Name]
		o, _ := l.(LoadReporter)
		g.servers = append(g.servers, serverOf{declared: b, writer: l, reader: readLessor{l}, gauge: o, repeats: &retrier.Budget{Share: repeatShare, Burst: repeatBurst}})
	}
	g.estimators = make([]estimator.Estimator, len(g.servers))
	g.leaving = make([]time.Duration, len(g.servers))
	g.publish(g.Driver.Now())
}

// Sample takes in what the driver's view shows. It is called a few times within
// the shortest age that rules allow.
func (g *Group) Sample() {
	g.mu.Lock()
	defer g.mu.Unlock()
	v := g.Driver.View()
	g.historian.MaximumAge = time.Duration(g.longest.Load())
	if o, ok := observation(v); ok {
		g.historian.Add(o)
	}
	p, _ := v.Server(v.Primary)
	for i := range v.Servers {
		g.learn(i, &v.Servers[i], p.Status.Last, v.At)
	}
	g.publish(g.Driver.Now())
}

func (g *Group) learn(i int, s *observer.Server, primary marker.Mark, now time.Duration) {
	if s.Answered && !primary.IsZero() {
		g.estimators[i].Observe(s.PolledAt, s.Status.Last, primary)
	}
	switch {
	case !s.Status.Leaving:
		g.leaving[i] = 0
	case g.leaving[i] == 0:
		g.leaving[i] = now
	}
}

// publish makes a snapshot for the request path.
func (g *Group) publish(now time.Duration) {
	k := &knowledge{historian: g.historian, servers: make([]estimate, len(g.servers))}
	for i := range g.servers {
		e := &g.estimators[i]
		k.servers[i] = estimate{rate: e.Rate(now), lag: e.Lag(), leavingSince: g.leaving[i]}
	}
	g.knowledge.Store(k)
}

// waited notes how long a read waited for server i to cover its mark.
func (g *Group) waited(i int, t time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.estimators[i].ObserveWait(t)
}

// observation returns the latest mark that covers all writes acknowledged
// before its time. As for a read index, any majority of servers asked since
// then gives one; the primary alone doesn't, as it may be superseded already.
func observation(v *observer.View) (historian.Observation, bool) {
	var b [chooser.MaximumCandidates]observer.Observation
	l := b[:0]
	for i := range v.Servers {
		if v.Servers[i].Answered && len(l) < len(b) {
			l = append(l, v.Servers[i].Observation)
		}
	}
	n := observer.Majority(len(v.Servers))
	if len(l) < n {
		return historian.Observation{}, false
	}
	slices.SortFunc(l, func(a, b observer.Observation) int { return cmp.Compare(b.PolledAt, a.PolledAt) })
	o := historian.Observation{PolledAt: l[n-1].PolledAt}
	for i := range n {
		o.Mark = marker.Max(o.Mark, l[i].Status.Last)
	}
	return o, true
}

// candidates fills l with what is known of the servers now.
func (g *Group) candidates(d *Director, k *knowledge, l []chooser.Candidate) []chooser.Candidate {
	v := g.Driver.View()
	for i := range g.servers[:min(len(g.servers), len(v.Servers), cap(l))] {
		s := &v.Servers[i]
		b := &g.servers[i]
		c := chooser.Candidate{
			Name:         s.Name,
			Role:         s.Status.Role,
			Confirmed:    v.Confirmed && v.Primary == s.Name,
			Unreachable:  !s.Fresh || s.Failures >= unreachableFailures,
			Leaving:      s.Status.Leaving,
			LeavingSince: k.servers[i].leavingSince,
			Last:         s.Status.Last,
			Observed:     s.PolledAt,
			CatchUpRate:  k.servers[i].rate,
			Lag:          k.servers[i].lag,
			Slots:        b.declared.Slots,
			RoundTrip:    s.RoundTrip,
			OtherRegion:  b.declared.Region != d.Region,
		}
		if c.Leaving && c.LeavingSince == 0 {
			c.LeavingSince = v.At
		}
		if b.gauge != nil {
			o := b.gauge.Load()
			c.Busy, c.Queued, c.Slots, c.ServiceTime = o.Running, o.Waiting, o.Slots, o.ServiceTime
		}
		l = append(l, c)
	}
	return l
}

// unreachableFailures is how many calls in a row must fail: the first one may be
// due to an old connection gone silent, the next one is made on a new one.
const unreachableFailures = 2
