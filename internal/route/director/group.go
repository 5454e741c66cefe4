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

// LoadReporter reports the load of a backend server. If a lessor implements it, Load is called for
// each choice of a server.
type LoadReporter interface {
	Load() gate.Load
}

// Driver is the source of a database group's state for the director: a driver.Driver at a host that
// serves the group, else a client of such a host.
type Driver interface {
	// AwaitView returns once the view can be used for a request, or when ctx or a timeout ends.
	AwaitView(ctx context.Context)
	// View returns the present view of the group. It must not be changed.
	View() *observer.View
	// Now returns the present time on the clock of the view's times.
	Now() time.Duration
	// Stopped reports whether the driver has stopped.
	Stopped() bool
	// HandingOver reports whether new writes should wait because of a hand-over.
	HandingOver() bool
	// PollNow has all backend servers polled at once.
	PollNow()
	// BeginReadIndex, WaitAcknowledged, WaitCovered, WaitPrimary and HandOver are the same as the
	// methods of driver.Driver.
	BeginReadIndex(ctx context.Context) driver.PendingIndex
	WaitAcknowledged(ctx context.Context, m marker.Mark) error
	WaitCovered(ctx context.Context, server string, m marker.Mark) error
	WaitPrimary(ctx context.Context) (*observer.View, error)
	HandOver(ctx context.Context, from string) error
	// Thresholds returns the settings of the group's drivers.
	Thresholds() driver.Settings
}

// Group is the director's state of one database group. The exported fields are set before Prepare.
type Group struct {
	Declared declarer.DatabaseGroup
	Driver   Driver
	// Lessors lend connections, by the name of the backend server.
	Lessors map[string]lessor.Lessor

	servers []groupServer
	// maximumAge is the longest age that a routing rule allows, a time.Duration.
	maximumAge atomic.Int64
	statistics atomic.Pointer[statistics]

	mu         sync.Mutex
	historian  historian.Historian
	estimators []estimator.Estimator
	// leavingSince is when each server was first observed to be leaving, zero if it is not.
	leavingSince []time.Duration
}

// groupServer is the constant state of one backend server.
type groupServer struct {
	declared declarer.BackendServer
	writer   lessor.Lessor
	reader   lessor.Lessor
	// loads is nil if the lessor does not report its load.
	loads LoadReporter
	// repeatBudget bounds the reads that are run again, see search.runAhead.
	repeatBudget *retrier.Budget
}

// repeatShare and repeatBurst bound the reads at one backend server that run ahead of their read
// index and must be run again. Each takes a slot a second time, so reads at a server that often lags
// behind the read index soon wait for the index first.
const (
	repeatShare = 0.02
	repeatBurst = 4
)

// statistics is the history that routing decisions use. It does not change after publication, so
// requests read it without a lock.
type statistics struct {
	historian historian.Historian
	servers   []estimate
}

// estimate is the expected behaviour of one backend server.
type estimate struct {
	// rate is how many records per second the server applies when it lags.
	rate float64
	// lag is the usual wait for the server to cover a read index.
	lag time.Duration
	// leavingSince is when the server was first observed to be leaving, zero if it is not.
	leavingSince time.Duration
}

// readLessor lends connections for reads. A read does not count as a write at the primary either.
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
		g.servers = append(g.servers, groupServer{declared: b, writer: l, reader: readLessor{l}, loads: o, repeatBudget: &retrier.Budget{Share: repeatShare, Burst: repeatBurst}})
	}
	g.estimators = make([]estimator.Estimator, len(g.servers))
	g.leavingSince = make([]time.Duration, len(g.servers))
	g.publish(g.Driver.Now())
}

// Sample adds the driver's present view to the statistics. It is to be called several times within
// the shortest age that routing rules allow.
func (g *Group) Sample() {
	g.mu.Lock()
	defer g.mu.Unlock()
	v := g.Driver.View()
	g.historian.MaximumAge = time.Duration(g.maximumAge.Load())
	if o, ok := majorityObservation(v); ok {
		g.historian.Add(o)
	}
	p, _ := v.Server(v.Primary)
	for i := range v.Servers {
		g.sampleServer(i, &v.Servers[i], p.Status.Last, v.At)
	}
	g.publish(g.Driver.Now())
}

func (g *Group) sampleServer(i int, s *observer.Server, primary marker.Mark, now time.Duration) {
	if s.Answered && !primary.IsZero() {
		g.estimators[i].Observe(s.PolledAt, s.Status.Last, primary)
	}
	switch {
	case !s.Status.Leaving:
		g.leavingSince[i] = 0
	case g.leavingSince[i] == 0:
		g.leavingSince[i] = now
	}
}

// publish makes the present statistics available to requests.
func (g *Group) publish(now time.Duration) {
	k := &statistics{historian: g.historian, servers: make([]estimate, len(g.servers))}
	for i := range g.servers {
		e := &g.estimators[i]
		k.servers[i] = estimate{rate: e.Rate(now), lag: e.Lag(), leavingSince: g.leavingSince[i]}
	}
	g.statistics.Store(k)
}

// recordWait records how long a read waited for server i to cover its mark.
func (g *Group) recordWait(i int, t time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.estimators[i].ObserveWait(t)
}

// majorityObservation returns the latest mark that covers all writes acknowledged before the time of
// the observation, false if fewer than a majority of the servers have answered. As for a read index,
// the answers of any majority of servers to polls since that time give such a mark. The primary's
// answer alone does not, since the primary may already be superseded.
func majorityObservation(v *observer.View) (historian.Observation, bool) {
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

// candidates appends the present state of the servers to l, up to its capacity.
func (g *Group) candidates(d *Director, k *statistics, l []chooser.Candidate) []chooser.Candidate {
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
		if b.loads != nil {
			o := b.loads.Load()
			c.Busy, c.Queued, c.Slots, c.ServiceTime = o.Running, o.Waiting, o.Slots, o.ServiceTime
		}
		l = append(l, c)
	}
	return l
}

// unreachableFailures is how many consecutive calls to a server must fail before it counts as
// unreachable. The first call may have used a stale connection, the second one used a fresh one.
const unreachableFailures = 2
