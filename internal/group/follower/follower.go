// Package follower knows a database group from the entry hosts that serve it, in place of polling its backend servers.
package follower

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/cuminwick/cuminwick/internal/clock/scheduler"
	"github.com/cuminwick/cuminwick/internal/config/declarer"
	"github.com/cuminwick/cuminwick/internal/group/acknowledger"
	"github.com/cuminwick/cuminwick/internal/group/driver"
	"github.com/cuminwick/cuminwick/internal/group/informer"
	"github.com/cuminwick/cuminwick/internal/group/observer"
)

const (
	// watchHold is how long a serving host may keep the view back while nothing
	// but positions changes.
	watchHold = time.Second
	// heldHold is the same while no majority answers it, so that refusals of
	// waiting writes come in time.
	heldHold = 100 * time.Millisecond
	// askHold is how long it may wait for what was asked. Then it is asked again,
	// by which a host that has died in the meantime is noticed.
	askHold = 100 * time.Millisecond
	// silence is how long an answer may take beyond the time it may be held.
	silence = 150 * time.Millisecond
	// avoidance is how long a host that didn't answer isn't asked, if others are.
	avoidance = time.Second
	// mistrust is the same for one that reaches no majority while another one does,
	// glance while none does.
	mistrust = 5 * time.Second
	glance   = 300 * time.Millisecond
	// desertion is how long nobody has answered until the follower is deserted.
	desertion = 500 * time.Millisecond
	// currency is how old the last answer may be for the view to be of use.
	currency = watchHold + silence + desertion
	// attendance bounds the wait for the first view.
	attendance = time.Second
	// linger is how long the view is kept up after the last request.
	linger = 2 * time.Second
	// pause is the time before everybody is asked again after all have failed.
	pause = 20 * time.Millisecond
)

// Follower knows a database group from its serving hosts. It asks nobody as long
// as no request comes. The exported fields are set before Run; all methods may be
// called from any goroutine.
type Follower struct {
	Group declarer.DatabaseGroup
	// Hosts returns the serving hosts, in the order in which they are turned to.
	Hosts func() []string
	// Ask puts a question to a host, HandOverAt a hand-over.
	Ask        func(ctx context.Context, host string, q informer.Question) (informer.Answer, error)
	HandOverAt func(ctx context.Context, host string, q informer.HandOver) (informer.HandedOver, error)
	// Settings are those of the group's drivers.
	Settings driver.Settings
	Clock    *scheduler.Scheduler
	// Stopwatch is read for all times of the view. Without it the follower has its own.
	Stopwatch *scheduler.Stopwatch
	Log       log.Interface

	// QuestionsSent counts the questions put to serving hosts, QuestionsFailed those without answer.
	QuestionsSent, QuestionsFailed atomic.Uint64

	once     sync.Once
	names    []string
	digest   uint64
	view     atomic.Pointer[observer.View]
	demanded atomic.Int64
	heard    atomic.Int64
	handing  atomic.Bool
	wanted   atomic.Bool
	stopped  atomic.Bool
	woken    chan struct{}
	deserted chan struct{}
	work     sync.WaitGroup

	mu sync.Mutex
	// fresh is closed at the next answer.
	fresh  chan struct{}
	ledger acknowledger.ReplicationTracker
	lanes  [laneCount]lane
	avoid  map[string]time.Duration
	// source is the host whose version the view is of.
	source  string
	version uint64
	// failing says that nobody has answered since failingSince.
	failing      bool
	failingSince time.Duration
	// context is Run's.
	context context.Context
}

func (f *Follower) init() {
	f.once.Do(f.prepare)
}

func (f *Follower) prepare() {
	if f.Stopwatch == nil {
		f.Stopwatch = new(scheduler.Stopwatch)
	}
	f.Stopwatch.Elapsed()
	f.digest = informer.DigestServers(f.Group)
	f.ledger.Instances = len(f.Group.BackendServers)
	f.woken = make(chan struct{}, 1)
	f.deserted = make(chan struct{}, 1)
	f.fresh = make(chan struct{})
	f.avoid = make(map[string]time.Duration)
	f.heard.Store(int64(-2 * currency))
	f.demanded.Store(int64(-2 * linger))
	v := &observer.View{At: f.now(), NoMajoritySince: f.now(), Obstacle: observer.ObstacleNoMajority}
	for _, b := range f.Group.BackendServers {
		f.names = append(f.names, b.Name)
		v.Servers = append(v.Servers, observer.Server{Name: b.Name})
	}
	f.view.Store(v)
}

// Run keeps the view up while requests come, until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	f.init()
	f.begin(ctx)
	for ctx.Err() == nil {
		if f.Idle() {
			select {
			case <-ctx.Done():
			case <-f.woken:
			}
			continue
		}
		f.look(ctx)
	}
	f.endWaits()
	f.work.Wait()
	return ctx.Err()
}

// Idle reports whether nobody needs the view.
func (f *Follower) Idle() bool {
	f.init()
	return !f.wanted.Load() && f.now()-time.Duration(f.demanded.Load()) > linger
}

// KeepActive has the view kept up though no request comes, or ends that.
func (f *Follower) KeepActive(on bool) {
	f.init()
	f.wanted.Store(on)
	f.wake()
}

// demand notes that a request needs the view.
func (f *Follower) demand() {
	was := f.Idle()
	f.demanded.Store(int64(f.now()))
	if was {
		f.wake()
	}
}

func (f *Follower) wake() {
	select {
	case f.woken <- struct{}{}:
	default:
	}
}

// look asks a serving host for its next view.
func (f *Follower) look(ctx context.Context) {
	h := f.pick()
	q := informer.Question{Hold: watchHold}
	if !f.View().HasMajority() {
		q.Hold = heldHold
	}
	f.question(ctx, h, q)
}

// seen returns the version of the view if it is a current one of that host.
func (f *Follower) seen(host string) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.source != host || !f.Current() {
		return 0
	}
	return f.version
}

// question puts q to the host and takes its view. ok is false if it has none.
func (f *Follower) question(ctx context.Context, host string, q informer.Question) (a informer.Answer, ok bool) {
	q.DatabaseGroup = f.Group.Name
	q.ServersDigest = f.digest
	q.SeenVersion = f.seen(host)
	if host == "" {
		f.failed(ctx, host)
		return a, false
	}
	c, cancel := context.WithTimeout(ctx, q.Hold+silence)
	defer cancel()
	f.QuestionsSent.Add(1)
	sent := f.now()
	a, err := f.Ask(c, host, q)
	if err != nil || !a.Serving {
		f.failed(ctx, host)
		return a, false
	}
	f.take(host, sent, &a)
	return a, true
}

// pick returns the nearest host that has answered last time, or else the one whose
// failure is the longest ago; it is empty if there is none.
func (f *Follower) pick() string {
	l := f.Hosts()
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	best := ""
	for _, h := range l {
		if f.avoid[h] <= now {
			return h
		}
		if best == "" || f.avoid[h] < f.avoid[best] {
			best = h
		}
	}
	return best
}

// failed notes that the host didn't answer. It waits a moment if all have failed.
func (f *Follower) failed(ctx context.Context, host string) {
	if ctx.Err() != nil {
		return
	}
	f.QuestionsFailed.Add(1)
	f.mu.Lock()
	now := f.now()
	f.avoid[host] = now + avoidance
	if !f.failing {
		f.failing, f.failingSince = true, now
	}
	lost := now-f.failingSince >= desertion
	f.mu.Unlock()
	if lost {
		f.desert(now)
	}
	if p := f.pick(); p == "" || f.avoided(p) {
		_ = scheduler.Pause(ctx, pause)
	}
}

func (f *Follower) avoided(host string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.avoid[host] > f.now()
}

func (f *Follower) now() time.Duration {
	return f.Stopwatch.Elapsed()
}

// Current reports whether a serving host has answered lately.
func (f *Follower) Current() bool {
	f.init()
	return f.now()-time.Duration(f.heard.Load()) <= currency
}

// LastAnswerAt returns when a serving host last answered, on the clock of Now.
func (f *Follower) LastAnswerAt() time.Duration {
	f.init()
	return time.Duration(f.heard.Load())
}

// HostsUnreachable returns a channel that receives when no serving host answers though
// requests need one.
func (f *Follower) HostsUnreachable() <-chan struct{} {
	f.init()
	return f.deserted
}
