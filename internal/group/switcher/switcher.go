// Package switcher has a host serve a database group or follow those that do, and passes requests to whichever it does.
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
	// warmth is how long a driver that has seen no majority is waited for. Where
	// there is none, requests are better told so.
	warmth = 500 * time.Millisecond
	// steadiness is how long serving hosts must have answered before a driver of
	// this host's own is ended.
	steadiness = 2 * time.Second
	// changePause is the time between two looks while a change is under way, and
	// standPause while this host stands in for the serving hosts.
	changePause = 10 * time.Millisecond
	standPause  = 250 * time.Millisecond
)

// role looks after the group, as a driver.Driver or a follower.Follower.
type role interface {
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

// present is the role that requests go to.
type present struct{ role }

// Switcher looks after one database group. The exported fields are set before
// Prepare; all methods but Run may be called from any goroutine.
type Switcher struct {
	// NewDriver and NewFollower make what looks after the group, both with the
	// given stopwatch: their times are compared.
	NewDriver   func(w *scheduler.Stopwatch) *driver.Driver
	NewFollower func(w *scheduler.Stopwatch) *follower.Follower
	// Appointed reports whether this host is to serve the group.
	Appointed func() bool
	// Settings are those of the drivers.
	Settings driver.Settings
	Clock    *scheduler.Scheduler
	Log      log.Interface

	watch   scheduler.Stopwatch
	present atomic.Pointer[present]
	ended   atomic.Bool
	changed chan struct{}

	mu       sync.Mutex
	driver   *running[*driver.Driver]
	follower *running[*follower.Follower]
	counts   Counts
	// lost and steadySince belong to Run.
	lost        bool
	steadySince time.Duration
}

// running is a driver or follower with its run.
type running[R interface {
	Run(ctx context.Context) error
}] struct {
	role  R
	since time.Duration
	stop  context.CancelFunc
	done  chan struct{}
	log   log.Interface
}

func (r *running[R]) run(ctx context.Context) {
	defer close(r.done)
	if err := r.role.Run(ctx); err != nil && ctx.Err() == nil {
		r.log.WithError(err).WithField("step", "look after group").Error("database group not looked after")
	}
}

// Prepare chooses the first role; it runs with Run.
func (s *Switcher) Prepare() {
	s.watch.Elapsed()
	s.changed = make(chan struct{}, 1)
	if s.Appointed() {
		s.driver = &running[*driver.Driver]{log: s.Log, role: s.NewDriver(&s.watch), done: make(chan struct{})}
		s.present.Store(&present{s.driver.role})
		return
	}
	s.follower = &running[*follower.Follower]{log: s.Log, role: s.NewFollower(&s.watch), done: make(chan struct{})}
	s.present.Store(&present{s.follower.role})
}

// Run looks after the group until ctx ends.
func (s *Switcher) Run(ctx context.Context) error {
	s.resume(ctx)
	for ctx.Err() == nil {
		s.wait(ctx, s.step(ctx))
	}
	s.ended.Store(true)
	s.halt(true, true)
	return ctx.Err()
}

// resume runs what Prepare made.
func (s *Switcher) resume(ctx context.Context) {
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
}](ctx context.Context, r *running[R], now time.Duration) {
	x, stop := context.WithCancel(ctx)
	r.stop, r.since = stop, now
	go r.run(x)
}

// Reconsider has Run look whether this host is still to do what it does.
func (s *Switcher) Reconsider() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// wait returns when there may be something to change.
func (s *Switcher) wait(ctx context.Context, d time.Duration) {
	var t <-chan time.Time
	if d > 0 {
		c, x := s.Clock.Timer(d)
		defer x.Cancel()
		t = c
	}
	var lost <-chan struct{}
	if s.follower != nil {
		lost = s.follower.role.HostsUnreachable()
	}
	select {
	case <-ctx.Done():
	case <-s.changed:
	case <-t:
	case <-lost:
		s.lost = true
		s.steadySince = s.now()
	}
}

// step makes what is due and returns when to look again, zero for when told.
func (s *Switcher) step(ctx context.Context) time.Duration {
	x := s.situation()
	if x.steady {
		s.lost, x.lost = false, false
	}
	p := decide(x)
	s.run(ctx, p)
	if p.driving != x.driving {
		s.pass(p.driving)
	}
	s.halt(!p.drive && !p.driving, !p.follow && p.driving)
	switch {
	case p.drive && !p.driving:
		return changePause
	case p.driving && !x.appointed:
		return standPause
	default:
		return 0
	}
}

func (s *Switcher) situation() situation {
	x := situation{appointed: s.Appointed(), lost: s.lost}
	if d := s.driver; d != nil {
		x.driving = s.present.Load().role == role(d.role)
		x.ready = d.role.View().HasMajority() || s.now()-d.since >= warmth
	}
	if f := s.follower; f != nil {
		x.steady = f.role.Current() && f.role.LastAnswerAt() > f.since && s.now()-max(s.steadySince, f.since) >= steadiness
	}
	return x
}

// run starts what the plan calls for.
func (s *Switcher) run(ctx context.Context, p plan) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.drive && s.driver == nil {
		s.driver = &running[*driver.Driver]{log: s.Log, role: s.NewDriver(&s.watch), done: make(chan struct{})}
		start(ctx, s.driver, s.now())
	}
	if p.follow && s.follower == nil {
		s.follower = &running[*follower.Follower]{log: s.Log, role: s.NewFollower(&s.watch), done: make(chan struct{})}
		start(ctx, s.follower, s.now())
	}
	if s.follower != nil {
		s.follower.role.KeepActive(p.driving)
	}
}

// pass sends requests to the other role. What waits at the former one is asked
// anew when that is stopped.
func (s *Switcher) pass(driving bool) {
	if driving {
		s.present.Store(&present{s.driver.role})
	} else {
		s.present.Store(&present{s.follower.role})
	}
	s.Log.WithField("serving", driving).WithField("appointed", s.Appointed()).Info("part in database group changed")
}

// halt ends what isn't needed any more.
func (s *Switcher) halt(driving, following bool) {
	if d := s.driver; driving && d != nil {
		d.stop()
		<-d.done
		s.mu.Lock()
		s.counts.addDriver(d.role)
		s.driver = nil
		s.mu.Unlock()
	}
	if f := s.follower; following && f != nil {
		f.stop()
		<-f.done
		s.mu.Lock()
		s.counts.addFollower(f.role)
		s.follower = nil
		s.mu.Unlock()
	}
}

func (s *Switcher) now() time.Duration {
	return s.watch.Elapsed()
}

// Driver returns the driver that this host runs, nil if it runs none.
func (s *Switcher) Driver() *driver.Driver {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.driver == nil || s.driver.stop == nil {
		return nil
	}
	return s.driver.role
}

// Part is what a host does for a group.
type Part string

// Parts.
const (
	// PartServing hosts are appointed and run a driver.
	PartServing Part = "serving"
	// PartStandingIn hosts run one since no serving host answers them, or since they
	// were appointed until a moment ago.
	PartStandingIn Part = "standing-in"
	// PartFollowing hosts ask a serving host.
	PartFollowing Part = "following"
	// PartIdle hosts would, if a request came.
	PartIdle Part = "idle"
)

// Part returns what this host does now.
func (s *Switcher) Part() Part {
	f, ok := s.role().(*follower.Follower)
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

// Counts are what a host has done for a group.
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

// Counts returns the counts since the start.
func (s *Switcher) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.counts
	if s.driver != nil {
		c.addDriver(s.driver.role)
	}
	if s.follower != nil {
		c.addFollower(s.follower.role)
	}
	return c
}
