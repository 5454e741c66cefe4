// Package switcher runs a driver or a follower for a database group, switches between them, and passes requests to the one in use.
package switcher

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/cuminwick/cuminwick/internal/clock/scheduler"
	"github.com/cuminwick/cuminwick/internal/group/driver"
	"github.com/cuminwick/cuminwick/internal/group/follower"
	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/group/observer"
	"github.com/cuminwick/cuminwick/internal/group/pacer"
)

const (
	// driverReadyTimeout bounds the wait for a new driver to observe a majority. If there is no
	// majority, requests are to fail with that error rather than wait.
	driverReadyTimeout = 500 * time.Millisecond
	// followerStableTime is how long serving hosts must have answered before this host stops
	// its own driver.
	followerStableTime = 2 * time.Second
	// changeInterval is the time between two evaluations of the plan while a driver is starting,
	// standInInterval while this host stands in for the serving hosts.
	changeInterval  = 10 * time.Millisecond
	standInInterval = 250 * time.Millisecond
)

// delegate is the driver.Driver or follower.Follower that requests are passed to.
type delegate interface {
	AwaitView(ctx context.Context)
	View() *observer.View
	Now() time.Duration
	Stopped() bool
	HandingOver() bool
	PollNow()
	BeginReadIndex(ctx context.Context) driver.PendingIndex
	WaitAcknowledged(ctx context.Context, m marker.Mark) error
	WaitCovered(ctx context.Context, server string, m marker.Mark) error
	WaitPrimary(ctx context.Context) (*observer.View, error)
	HandOver(ctx context.Context, from string) error
}

// activeDelegate wraps the delegate in use, so that it can be replaced atomically.
type activeDelegate struct{ delegate }

// Switcher manages one database group. The exported fields are set before Prepare. All methods
// but Prepare and Run may be called from any goroutine.
type Switcher struct {
	// NewDriver and NewFollower create a driver and a follower of the group. Both use the given
	// stopwatch because their times are compared.
	NewDriver   func(w *scheduler.Stopwatch) *driver.Driver
	NewFollower func(w *scheduler.Stopwatch) *follower.Follower
	// Appointed reports whether this host is to serve the group.
	Appointed func() bool
	// Settings are the settings of the group's drivers.
	Settings driver.Settings
	Clock    *scheduler.Scheduler
	Log      log.Interface

	watch   scheduler.Stopwatch
	active  atomic.Pointer[activeDelegate]
	stopped atomic.Bool
	wakeup  chan struct{}

	mu       sync.Mutex
	driver   *task[*driver.Driver]
	follower *task[*follower.Follower]
	counts   Counts
	// hostsUnreachable says that the follower has reported its serving hosts as unreachable, at
	// lastUnreachable, and has not been stable since. Both are used by Run alone.
	hostsUnreachable bool
	lastUnreachable  time.Duration
}

// task is a driver or follower with the state of its Run.
type task[R interface {
	Run(ctx context.Context) error
}] struct {
	delegate  R
	startedAt time.Duration
	stop      context.CancelFunc
	done      chan struct{}
	log       log.Interface
}

func (r *task[R]) run(ctx context.Context) {
	defer close(r.done)
	if err := r.delegate.Run(ctx); err != nil && ctx.Err() == nil {
		r.log.WithError(err).WithField("step", "look after group").Error("driver or follower of database group failed")
	}
}

// Prepare creates the first driver or follower, which Run starts.
func (s *Switcher) Prepare() {
	s.watch.Elapsed()
	s.wakeup = make(chan struct{}, 1)
	if s.Appointed() {
		s.driver = &task[*driver.Driver]{log: s.Log, delegate: s.NewDriver(&s.watch), done: make(chan struct{})}
		s.active.Store(&activeDelegate{s.driver.delegate})
		return
	}
	s.follower = &task[*follower.Follower]{log: s.Log, delegate: s.NewFollower(&s.watch), done: make(chan struct{})}
	s.active.Store(&activeDelegate{s.follower.delegate})
}

// Run runs the driver or follower and switches between them as needed, until ctx ends.
func (s *Switcher) Run(ctx context.Context) error {
	s.startPrepared(ctx)
	for ctx.Err() == nil {
		s.wait(ctx, s.step(ctx))
	}
	s.stopped.Store(true)
	s.stopTasks(true, true)
	return ctx.Err()
}

// startPrepared starts the driver or follower that Prepare created.
func (s *Switcher) startPrepared(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.driver != nil {
		start(ctx, s.driver, s.now())
	}
	if s.follower != nil {
		start(ctx, s.follower, s.now())
	}
}

func start[R interface {
	Run(ctx context.Context) error
}](ctx context.Context, r *task[R], now time.Duration) {
	x, stop := context.WithCancel(ctx)
	r.stop, r.startedAt = stop, now
	go r.run(x)
}

// Reconsider has Run evaluate again whether this host is to serve or to follow.
func (s *Switcher) Reconsider() {
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
}

// wait returns when the plan has to be evaluated again: after d if that isn't zero, after
// Reconsider, when the serving hosts are unreachable, or when ctx ends.
func (s *Switcher) wait(ctx context.Context, d time.Duration) {
	var t <-chan time.Time
	if d > 0 {
		c, x := s.Clock.Timer(d)
		defer x.Cancel()
		t = c
	}
	var unreachable <-chan struct{}
	if s.follower != nil {
		unreachable = s.follower.delegate.HostsUnreachable()
	}
	select {
	case <-ctx.Done():
	case <-s.wakeup:
	case <-t:
	case <-unreachable:
		s.hostsUnreachable = true
		s.lastUnreachable = s.now()
	}
}

// step evaluates and carries out the plan. It returns the time until the next evaluation, zero
// if that waits for an event.
func (s *Switcher) step(ctx context.Context) time.Duration {
	x := s.state()
	if x.followerStable {
		s.hostsUnreachable, x.hostsUnreachable = false, false
	}
	p := decide(x)
	s.startNeeded(ctx, p)
	if p.useDriver != x.useDriver {
		s.switchDelegate(p.useDriver)
	}
	s.stopTasks(!p.runDriver && !p.useDriver, !p.runFollower && p.useDriver)
	switch {
	case p.runDriver && !p.useDriver:
		return changeInterval
	case p.useDriver && !x.appointed:
		return standInInterval
	default:
		return 0
	}
}

func (s *Switcher) state() state {
	x := state{appointed: s.Appointed(), hostsUnreachable: s.hostsUnreachable}
	if d := s.driver; d != nil {
		x.useDriver = s.active.Load().delegate == delegate(d.delegate)
		x.driverReady = d.delegate.View().HasMajority() || s.now()-d.startedAt >= driverReadyTimeout
	}
	if f := s.follower; f != nil {
		x.followerStable = f.delegate.Current() && f.delegate.LastAnswerAt() > f.startedAt && s.now()-max(s.lastUnreachable, f.startedAt) >= followerStableTime
	}
	return x
}

// startNeeded starts the driver and follower that the plan requires.
func (s *Switcher) startNeeded(ctx context.Context, p plan) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.runDriver && s.driver == nil {
		s.driver = &task[*driver.Driver]{log: s.Log, delegate: s.NewDriver(&s.watch), done: make(chan struct{})}
		start(ctx, s.driver, s.now())
	}
	if p.runFollower && s.follower == nil {
		s.follower = &task[*follower.Follower]{log: s.Log, delegate: s.NewFollower(&s.watch), done: make(chan struct{})}
		start(ctx, s.follower, s.now())
	}
	if s.follower != nil {
		s.follower.delegate.KeepActive(p.useDriver)
	}
}

// switchDelegate passes new requests to the driver or the follower. Requests that wait at the
// other one are repeated when it is stopped.
func (s *Switcher) switchDelegate(useDriver bool) {
	if useDriver {
		s.active.Store(&activeDelegate{s.driver.delegate})
	} else {
		s.active.Store(&activeDelegate{s.follower.delegate})
	}
	s.Log.WithField("serving", useDriver).WithField("appointed", s.Appointed()).Info("part in database group changed")
}

// stopTasks stops the driver, the follower or both, and adds their counts to those of the host.
func (s *Switcher) stopTasks(stopDriver, stopFollower bool) {
	if d := s.driver; stopDriver && d != nil {
		d.stop()
		<-d.done
		s.mu.Lock()
		s.counts.addDriver(d.delegate)
		s.driver = nil
		s.mu.Unlock()
	}
	if f := s.follower; stopFollower && f != nil {
		f.stop()
		<-f.done
		s.mu.Lock()
		s.counts.addFollower(f.delegate)
		s.follower = nil
		s.mu.Unlock()
	}
}

func (s *Switcher) now() time.Duration {
	return s.watch.Elapsed()
}

// Driver returns the driver that runs at this host, nil if there is none.
func (s *Switcher) Driver() *driver.Driver {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.driver == nil || s.driver.stop == nil {
		return nil
	}
	return s.driver.delegate
}

// Part is the role of a host in a database group.
type Part string

// Parts of a host.
const (
	// PartServing: the host is appointed and runs a driver.
	PartServing Part = "serving"
	// PartStandingIn: the host isn't appointed, but runs a driver because no serving host
	// answers it, or because it was appointed until recently.
	PartStandingIn Part = "standing-in"
	// PartFollowing: the host queries a serving host.
	PartFollowing Part = "following"
	// PartIdle: the host would query a serving host, but has no requests for the group.
	PartIdle Part = "idle"
)

// Part returns the present part of this host.
func (s *Switcher) Part() Part {
	f, ok := s.delegate().(*follower.Follower)
	switch {
	case ok && f.Idle():
		return PartIdle
	case ok:
		return PartFollowing
	case s.Appointed():
		return PartServing
	default:
		return PartStandingIn
	}
}

// Counts holds how often a host has polled the group's backend servers, by cause, and how many
// questions it has sent to serving hosts, see follower.Follower.
type Counts struct {
	Polls                          [pacer.CauseCount]uint64
	QuestionsSent, QuestionsFailed uint64
}

func (c *Counts) addDriver(d *driver.Driver) {
	for i := range c.Polls {
		c.Polls[i] += d.Polls[i].Load()
	}
}

func (c *Counts) addFollower(f *follower.Follower) {
	c.QuestionsSent += f.QuestionsSent.Load()
	c.QuestionsFailed += f.QuestionsFailed.Load()
}

// Counts returns the counts since the start of this host.
func (s *Switcher) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.counts
	if s.driver != nil {
		c.addDriver(s.driver.delegate)
	}
	if s.follower != nil {
		c.addFollower(s.follower.delegate)
	}
	return c
}
