// Package driver runs the decisions on one database group at one entry host: it polls the instances, answers the request path and promotes.
package driver

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/backend/controller"
	"github.com/cuminwick/cuminwick/internal/clock/scheduler"
	"github.com/cuminwick/cuminwick/internal/config/declarer"
	"github.com/cuminwick/cuminwick/internal/group/acknowledger"
	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/group/observer"
	"github.com/cuminwick/cuminwick/internal/group/pacer"
	"github.com/cuminwick/cuminwick/internal/group/promoter"
	"github.com/cuminwick/cuminwick/internal/platform/accessor"
)

// Errors of the waits on a group.
const (
	// ErrSuperseded: a later term is confirmed without the commit, or without any
	// of its term. It did not run and never will.
	ErrSuperseded = errors.ConstError("commit superseded")
	// ErrUndetermined: the commit may have run or not; its idempotency key tells.
	ErrUndetermined = errors.ConstError("commit undetermined")
	// ErrNoMajority: fewer than a majority of the instances answer this host, so
	// that a write would not be acknowledged. Nothing was sent.
	ErrNoMajority = errors.ConstError("majority of instances not reachable")
	// ErrNoPrimary: no primary was confirmed in time. Nothing was sent.
	ErrNoPrimary = errors.ConstError("no confirmed primary")
	// ErrUncovered: the instance did not reach the mark in time.
	ErrUncovered = errors.ConstError("instance behind mark")
	// ErrStopped: nothing polls for the request any more, since the group is served
	// by another driver or the host ends. Another driver may have the answer.
	ErrStopped = errors.ConstError("driver of database group stopped")
	// ErrHandOver: a planned hand-over did not take place.
	ErrHandOver = errors.ConstError("no hand-over")
)

// Peers gives other entry hosts' knowledge, from memory and without waiting.
type Peers interface {
	// PrimaryReports returns the recent words of other entry hosts on the group's primary.
	PrimaryReports(group string) []observer.PrimaryReport
	// Hosts returns the names of the live entry hosts that promote the group's
	// servers unasked.
	Hosts(group string) []string
}

// Settings are the intervals and limits of a driver.
type Settings struct {
	Observer observer.Settings
	Promoter promoter.Settings
	// StatusInterval is the time between two polls of an instance at rest.
	StatusInterval time.Duration
	// StatusTimeout ends a poll without an answer.
	StatusTimeout time.Duration
	// MinPollInterval is the least time between two polls for the same commit or read.
	MinPollInterval time.Duration
	// BusyGapInterval is the time between two polls while no primary is confirmed and
	// requests come, and the time after the first failure of an instance.
	BusyGapInterval time.Duration
	// GapInterval is the time between two polls while no primary is confirmed.
	GapInterval time.Duration
	// FailureInterval is the time before an instance is polled again after further failures.
	FailureInterval time.Duration
	// StepInterval is how often a promotion in progress looks at the clock.
	StepInterval time.Duration
	// RankStep is how much later each further host promotes.
	RankStep time.Duration
	// RankSpread is the largest delay if the live hosts aren't known.
	RankSpread time.Duration
	// RepointDelay is how long an instance may be astray before it is pointed
	// at the primary by the first host.
	RepointDelay time.Duration
	// HostsInterval is the time between two looks at the host list.
	HostsInterval time.Duration
	// NoMajorityTimeout is how long a majority may be out of reach before waiting writes
	// are refused instead of kept waiting.
	NoMajorityTimeout time.Duration
	// HandOverDrain is how long a hand-over by command waits for open transactions.
	HandOverDrain time.Duration
	// LeavingDrain is the same where the primary's server is leaving; then all
	// hosts hold new writes back.
	LeavingDrain time.Duration
	// LeavingHold is how long new writes are held back for a leaving primary.
	LeavingHold time.Duration
	// CallTimeout bounds one call to an instance during a promotion.
	CallTimeout time.Duration
}

// Defaults returns the settings that suit the two deployments.
func Defaults() Settings {
	return Settings{
		Observer: observer.Settings{
			SuspicionTimeout: 400 * time.Millisecond,
			RefusalTimeout:   200 * time.Millisecond,
			IsolationTimeout: 600 * time.Millisecond,
			NoPrimaryTimeout: 200 * time.Millisecond,
			MaximumStatusAge: 500 * time.Millisecond,
			TermAheadTimeout: time.Second,
			// Looks are 20 ms apart, answers at rest 100 ms and a round trip.
			MaximumViewInterval:   50 * time.Millisecond,
			MaximumAnswerInterval: 200 * time.Millisecond,
			MaximumEvidenceAge:    400 * time.Millisecond,
		},
		Promoter: promoter.Settings{
			ClaimTimeout:   150 * time.Millisecond,
			ClaimTTL:       600 * time.Millisecond,
			FenceTimeout:   300 * time.Millisecond,
			FenceGrace:     20 * time.Millisecond,
			MaxRetries:     3,
			RetryDelay:     40 * time.Millisecond,
			RetrySpread:    80 * time.Millisecond,
			PromoteTimeout: 500 * time.Millisecond,
		},
		StatusInterval:    100 * time.Millisecond,
		StatusTimeout:     150 * time.Millisecond,
		MinPollInterval:   250 * time.Microsecond,
		BusyGapInterval:   5 * time.Millisecond,
		GapInterval:       20 * time.Millisecond,
		FailureInterval:   50 * time.Millisecond,
		StepInterval:      2 * time.Millisecond,
		RankStep:          100 * time.Millisecond,
		RankSpread:        150 * time.Millisecond,
		RepointDelay:      200 * time.Millisecond,
		HostsInterval:     30 * time.Second,
		NoMajorityTimeout: time.Second,
		HandOverDrain:     50 * time.Millisecond,
		LeavingDrain:      time.Second,
		LeavingHold:       1500 * time.Millisecond,
		CallTimeout:       300 * time.Millisecond,
	}
}

// Driver runs one database group at one entry host. The exported fields are set
// before Run; all methods may be called from any goroutine.
type Driver struct {
	Group declarer.DatabaseGroup
	// Host is this entry host's name.
	Host string
	// Controls holds the control side of each backend server of Group by name.
	// After a call that failed the next one must use a fresh connection.
	Controls map[string]controller.Control
	// Platform may be nil.
	Platform accessor.Platform
	// Peers may be nil. Then the live hosts are those of the platform's host list.
	Peers    Peers
	Settings Settings
	// Clock tells when something is due, timers of its own if nil.
	Clock *scheduler.Scheduler
	// Stopwatch is read for all times of the view. Without it the driver has its own.
	Stopwatch *scheduler.Stopwatch
	Log       log.Interface

	// Promotions counts the promotions that this host completed.
	Promotions atomic.Uint64
	// Polls counts the polls that this host began, by cause.
	Polls [pacer.CauseCount]atomic.Uint64

	once      sync.Once
	instances []*instance
	view      atomic.Pointer[observer.View]
	attempts  chan struct{}
	handing   atomic.Bool
	version   atomic.Uint64
	listed    atomic.Pointer[[]string]
	// notBefore belongs to loopPromote.
	notBefore time.Duration
	memory    promoter.ClaimTracker
	calls     sync.WaitGroup

	mu     sync.Mutex
	ledger acknowledger.ReplicationTracker
	// identities tells strangers at the instances' addresses.
	identities identities
	waiters    map[*waiter]struct{}
	// stopped says that Run's context has ended.
	stopped  atomic.Bool
	sequence uint64
	// promoting counts the attempts in progress, which is one at most.
	promoting int
	// demanded is when a request last waited.
	demanded time.Duration
	astray   map[string]time.Duration
	// changed is closed at the next change of version.
	changed chan struct{}
	// table and polled are kept for their slices.
	table  pacer.State
	polled []marker.Mark
}

// instance is the driver's account of one backend server. Its fields are
// guarded by the driver's mutex but for the constant ones at the top.
type instance struct {
	name    string
	address string
	control controller.Control
	kick    chan struct{}

	observation observer.Observation
	// polled is the sequence number of the last poll that was answered, taken
	// when the poll began.
	polled uint64
	// polling says that a poll is under way; begun and began are the number and
	// time of the last one that began, ended is when the last one ended.
	polling      bool
	begun        uint64
	began, ended time.Duration
	// hurried says that a caller has seen a server fail and the next poll is due.
	hurried bool
	delays  pacer.Delays
	turn    pacer.ScheduledPoll
}

func (d *Driver) init() {
	d.once.Do(d.prepare)
}

func (d *Driver) prepare() {
	if d.Stopwatch == nil {
		d.Stopwatch = new(scheduler.Stopwatch)
	}
	// The first reading, before others may read at the same time.
	d.Stopwatch.Elapsed()
	d.version.Store(rand.Uint64())
	d.changed = make(chan struct{})
	d.waiters = make(map[*waiter]struct{})
	d.astray = make(map[string]time.Duration)
	d.attempts = make(chan struct{}, 1)
	d.ledger.Instances = len(d.Group.BackendServers)
	d.identities.servers = len(d.Group.BackendServers)
	for _, b := range d.Group.BackendServers {
		d.instances = append(d.instances, &instance{
			name:    b.Name,
			address: b.Address,
			control: d.Controls[b.Name],
			kick:    make(chan struct{}, 1),
		})
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.observe()
}

// Run polls and promotes until ctx ends.
func (d *Driver) Run(ctx context.Context) error {
	d.init()
	for _, i := range d.instances {
		if i.control == nil {
			return errors.NotFoundf("control of backend server %s", i.name)
		}
	}
	d.calls.Add(len(d.instances) + 3)
	for _, i := range d.instances {
		go d.loopStatus(ctx, i)
	}
	go d.loopPromote(ctx)
	go d.loopRepoint(ctx)
	go d.loopHosts(ctx)
	<-ctx.Done()
	d.endWaits()
	d.calls.Wait()
	return errors.Annotatef(ctx.Err(), "drive database group %s", d.Group.Name)
}

// View returns the present view of the group. It must not be changed.
func (d *Driver) View() *observer.View {
	d.init()
	return d.view.Load()
}

// Now returns the time on the monotonic clock that the view's times are read from.
func (d *Driver) Now() time.Duration {
	d.init()
	return d.now()
}

// PollNow polls all instances at once, for a caller that has seen one fail.
func (d *Driver) PollNow() {
	d.init()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, i := range d.instances {
		i.hurried = true
	}
	d.schedule()
}

func (d *Driver) now() time.Duration {
	return d.Stopwatch.Elapsed()
}

// observe makes a new view of what is known, serves the waiters and sets when the
// instances are polled next. The mutex is held.
func (d *Driver) observe() {
	s := make([]observer.Server, len(d.instances))
	for n, i := range d.instances {
		s[n] = observer.Server{Name: i.name, Observation: i.observation}
	}
	var p observer.View
	if o := d.view.Load(); o != nil {
		p = *o
	}
	v := observer.Observe(d.now(), d.Settings.Observer, s, d.words(), p)
	d.logChange(&p, &v)
	d.view.Store(&v)
	if differs(&p, &v) {
		d.change()
	}
	d.serveWaiters(&v)
	d.schedule()
}

func (d *Driver) words() []observer.PrimaryReport {
	if d.Peers == nil {
		return nil
	}
	return d.Peers.PrimaryReports(d.Group.Name)
}

func (d *Driver) logChange(p, v *observer.View) {
	if p.Primary == v.Primary && p.Term == v.Term && p.Obstacle == v.Obstacle && p.Reason == v.Reason {
		return
	}
	d.logger().WithFields(log.Fields{
		"primary":   v.Primary,
		"term":      v.Term,
		"confirmed": v.Confirmed,
		"obstacle":  v.Obstacle,
		"suspicion": v.Reason,
		"reachable": v.Reachable,
	}).Info("view of database group changed")
}

func (d *Driver) logger() log.Interface {
	l := d.Log
	if l == nil {
		l = log.Log
	}
	return l.WithField("database-group", d.Group.Name)
}

// mark returns the highest last entry known of the named server.
func mark(v *observer.View, server string) marker.Mark {
	s, _ := v.Server(server)
	return s.Status.Last
}
