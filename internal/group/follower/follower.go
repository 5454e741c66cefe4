// Package follower keeps a view of a database group by querying the entry hosts that serve it instead of its backend servers.
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
	// watchHold is how long a serving host may delay its answer while nothing but log
	// positions changes.
	watchHold = time.Second
	// noMajorityHold replaces watchHold while no majority of the backend servers answers the
	// serving host, so that waiting writes are refused in time.
	noMajorityHold = 100 * time.Millisecond
	// askHold is how long a serving host may wait for the conditions of a question with asks.
	// The question is then repeated, which detects a host that has failed in the meantime.
	askHold = 100 * time.Millisecond
	// answerTimeout is how long an answer may take in addition to its hold time.
	answerTimeout = 150 * time.Millisecond
	// failureAvoidance is how long a host that did not answer is skipped if there are others.
	failureAvoidance = time.Second
	// noMajorityAvoidance is how long a host that reaches no majority of the backend servers is
	// skipped while another host does reach one, noMajorityRetry while none does.
	noMajorityAvoidance = 5 * time.Second
	noMajorityRetry     = 300 * time.Millisecond
	// unreachableTimeout is how long no host must have answered for HostsUnreachable to signal it.
	unreachableTimeout = 500 * time.Millisecond
	// maximumAnswerAge is how old the last answer may be for the view to count as current.
	maximumAnswerAge = watchHold + answerTimeout + unreachableTimeout
	// firstViewTimeout bounds the wait of AwaitView for a current view.
	firstViewTimeout = time.Second
	// idleTimeout is how long the view is kept up to date after the last request.
	idleTimeout = 2 * time.Second
	// retryDelay is the pause before the next question after all hosts have failed.
	retryDelay = 20 * time.Millisecond
)

// Follower keeps a view of a database group by querying its serving hosts. It sends no
// questions while there are no requests. The exported fields are set before Run; all methods
// may be called from any goroutine.
type Follower struct {
	Group declarer.DatabaseGroup
	// Hosts returns the names of the serving hosts, the preferred one first.
	Hosts func() []string
	// Ask sends a question to a serving host, HandOverAt a request for a hand-over.
	Ask        func(ctx context.Context, host string, q informer.Question) (informer.Answer, error)
	HandOverAt func(ctx context.Context, host string, q informer.HandOver) (informer.HandedOver, error)
	// Settings are the settings of the group's drivers.
	Settings driver.Settings
	Clock    *scheduler.Scheduler
	// Stopwatch is the clock of all times of the view. If nil, the follower creates its own.
	Stopwatch *scheduler.Stopwatch
	Log       log.Interface

	// QuestionsSent counts the questions sent to serving hosts. QuestionsFailed counts those
	// without an answer, those whose host did not serve the group, and the attempts to send one
	// when there was no serving host.
	QuestionsSent, QuestionsFailed atomic.Uint64

	once   sync.Once
	names  []string
	digest uint64
	view   atomic.Pointer[observer.View]
	// lastRequest and lastAnswer are times of Stopwatch in nanoseconds.
	lastRequest atomic.Int64
	lastAnswer  atomic.Int64
	handingOver atomic.Bool
	keepActive  atomic.Bool
	stopped     atomic.Bool
	wakeup      chan struct{}
	unreachable chan struct{}
	work        sync.WaitGroup

	mu sync.Mutex
	// nextView is closed when the next view is published or Run ends.
	nextView   chan struct{}
	tracker    acknowledger.ReplicationTracker
	queues     [queueCount]waitQueue
	avoidUntil map[string]time.Duration
	// source is the host that sent the view and its version. It is empty before the first answer
	// and after invalidate.
	source  string
	version uint64
	// failing says that no host has answered since failingSince.
	failing      bool
	failingSince time.Duration
	// context is the context of Run, nil before it.
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
	f.tracker.Instances = len(f.Group.BackendServers)
	f.wakeup = make(chan struct{}, 1)
	f.unreachable = make(chan struct{}, 1)
	f.nextView = make(chan struct{})
	f.avoidUntil = make(map[string]time.Duration)
	f.lastAnswer.Store(int64(-2 * maximumAnswerAge))
	f.lastRequest.Store(int64(-2 * idleTimeout))
	v := &observer.View{At: f.now(), NoMajoritySince: f.now(), Obstacle: observer.ObstacleNoMajority}
	for _, b := range f.Group.BackendServers {
		f.names = append(f.names, b.Name)
		v.Servers = append(v.Servers, observer.Server{Name: b.Name})
	}
	f.view.Store(v)
}

// Run keeps the view up to date while there are requests, until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	f.init()
	f.start(ctx)
	for ctx.Err() == nil {
		if f.Idle() {
			select {
			case <-ctx.Done():
			case <-f.wakeup:
			}
			continue
		}
		f.fetchView(ctx)
	}
	f.stopWaiters()
	f.work.Wait()
	return ctx.Err()
}

// Idle reports whether the view is not kept up to date because no request needs it.
func (f *Follower) Idle() bool {
	f.init()
	return !f.keepActive.Load() && f.now()-time.Duration(f.lastRequest.Load()) > idleTimeout
}

// KeepActive sets whether the view is kept up to date without requests.
func (f *Follower) KeepActive(on bool) {
	f.init()
	f.keepActive.Store(on)
	f.wake()
}

// noteRequest records that a request needs the view and wakes Run if it was idle.
func (f *Follower) noteRequest() {
	wasIdle := f.Idle()
	f.lastRequest.Store(int64(f.now()))
	if wasIdle {
		f.wake()
	}
}

func (f *Follower) wake() {
	select {
	case f.wakeup <- struct{}{}:
	default:
	}
}

// fetchView requests the next view from a serving host.
func (f *Follower) fetchView(ctx context.Context) {
	h := f.pickHost()
	q := informer.Question{Hold: watchHold}
	if !f.View().HasMajority() {
		q.Hold = noMajorityHold
	}
	f.askHost(ctx, h, q)
}

// seenVersion returns the version of the view if it is current and came from host, else zero.
func (f *Follower) seenVersion(host string) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.source != host || !f.Current() {
		return 0
	}
	return f.version
}

// askHost sends q to host and accepts the view in its answer. ok is false if host did not
// answer or does not serve the group.
func (f *Follower) askHost(ctx context.Context, host string, q informer.Question) (a informer.Answer, ok bool) {
	q.DatabaseGroup = f.Group.Name
	q.ServersDigest = f.digest
	q.SeenVersion = f.seenVersion(host)
	if host == "" {
		f.handleFailure(ctx, host)
		return a, false
	}
	c, cancel := context.WithTimeout(ctx, q.Hold+answerTimeout)
	defer cancel()
	f.QuestionsSent.Add(1)
	sent := f.now()
	a, err := f.Ask(c, host, q)
	if err != nil || !a.Serving {
		f.handleFailure(ctx, host)
		return a, false
	}
	f.acceptAnswer(host, sent, &a)
	return a, true
}

// pickHost returns the first host that isn't to be avoided. If all are, it returns the one
// to avoid for the shortest time, and an empty name if there is no host.
func (f *Follower) pickHost() string {
	l := f.Hosts()
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	best := ""
	for _, h := range l {
		if f.avoidUntil[h] <= now {
			return h
		}
		if best == "" || f.avoidUntil[h] < f.avoidUntil[best] {
			best = h
		}
	}
	return best
}

// handleFailure records that host did not answer. If all hosts have failed, it waits for
// retryDelay.
func (f *Follower) handleFailure(ctx context.Context, host string) {
	if ctx.Err() != nil {
		return
	}
	f.QuestionsFailed.Add(1)
	f.mu.Lock()
	now := f.now()
	f.avoidUntil[host] = now + failureAvoidance
	if !f.failing {
		f.failing, f.failingSince = true, now
	}
	allFailed := now-f.failingSince >= unreachableTimeout
	f.mu.Unlock()
	if allFailed {
		f.invalidate(now)
	}
	if p := f.pickHost(); p == "" || f.isAvoided(p) {
		_ = scheduler.Pause(ctx, retryDelay)
	}
}

func (f *Follower) isAvoided(host string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.avoidUntil[host] > f.now()
}

func (f *Follower) now() time.Duration {
	return f.Stopwatch.Elapsed()
}

// Current reports whether a serving host has answered within maximumAnswerAge.
func (f *Follower) Current() bool {
	f.init()
	return f.now()-time.Duration(f.lastAnswer.Load()) <= maximumAnswerAge
}

// LastAnswerAt returns when the last view of a serving host was accepted, on the clock of Now.
func (f *Follower) LastAnswerAt() time.Duration {
	f.init()
	return time.Duration(f.lastAnswer.Load())
}

// HostsUnreachable returns a channel that receives a value when no serving host has answered
// for unreachableTimeout although requests need the view.
func (f *Follower) HostsUnreachable() <-chan struct{} {
	f.init()
	return f.unreachable
}
