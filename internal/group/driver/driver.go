// Package driver manages one database group at one entry host: it polls the instances, answers waiting requests and promotes.
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

// Errors returned by waits on a group and by hand-overs.
const (
	// ErrSuperseded says that a later term is confirmed without the commit, or without any entry
	// of the commit's term. The commit did not run and never will.
	ErrSuperseded = errors.ConstError("commit superseded")
	// ErrUndetermined says that the commit may have run or not. Its idempotency key may tell.
	ErrUndetermined = errors.ConstError("commit undetermined")
	// ErrNoMajority says that fewer than a majority of the instances answer this host, so that a
	// write would not be acknowledged. Nothing was sent.
	ErrNoMajority = errors.ConstError("majority of instances not reachable")
	// ErrNoPrimary says that no primary was confirmed in time. Nothing was sent.
	ErrNoPrimary = errors.ConstError("no confirmed primary")
	// ErrUncovered says that the instance's log did not reach the mark in time.
	ErrUncovered = errors.ConstError("instance behind mark")
	// ErrStopped says that the driver has stopped polling, since another driver serves the group
	// or the host shuts down. Another driver may have the answer.
	ErrStopped = errors.ConstError("driver of database group stopped")
	// ErrHandOver says that a planned hand-over did not take place.
	ErrHandOver = errors.ConstError("no hand-over")
)

// Peers provides information from other entry hosts. The methods return stored data without
// waiting.
type Peers interface {
	// PrimaryReports returns the recent reports of other entry hosts on the group's primary.
	PrimaryReports(group string) []observer.PrimaryReport
	// Hosts returns the names of the live entry hosts that promote the group's servers
	// automatically.
	Hosts(group string) []string
}

// Settings are the intervals and limits of a driver.
type Settings struct {
	Observer observer.Settings
	Promoter promoter.Settings
	// StatusInterval is the time between two polls of an instance that no request waits for.
	StatusInterval time.Duration
	// StatusTimeout bounds one poll.
	StatusTimeout time.Duration
	// MinPollInterval is the minimum time between two polls of an instance for the same waiting
	// request, and the time between two polls during a promotion.
	MinPollInterval time.Duration
	// BusyGapInterval replaces GapInterval while requests wait. It is also the time after the first
	// failed poll of an instance.
	BusyGapInterval time.Duration
	// GapInterval is the time between two polls while no primary is confirmed, or the primary may be
	// lost, and no requests wait. It is also the longest time between two polls for one waiting
	// request, and the interval at which the view is recomputed.
	GapInterval time.Duration
	// FailureInterval is the time after the second and each further failed poll in a row of an
	// instance.
	FailureInterval time.Duration
	// StepInterval is how often a promotion in progress checks its timeouts and the view.
	StepInterval time.Duration
	// RankStep is the difference between the promotion delays of hosts of successive ranks.
	RankStep time.Duration
	// RankSpread is the upper bound of the promotion delay if the live hosts aren't known.
	RankSpread time.Duration
	// RepointDelay is how long an instance may not follow the primary before the host of the first
	// rank makes it do so.
	RepointDelay time.Duration
	// HostsInterval is the time between two reads of the platform's host list.
	HostsInterval time.Duration
	// NoMajorityTimeout is how long a majority of the instances may be unreachable before waiting
	// writes are refused.
	NoMajorityTimeout time.Duration
	// HandOverDrain is how long a hand-over by command waits for open transactions.
	HandOverDrain time.Duration
	// LeavingDrain is how long a hand-over from a leaving server waits for open transactions. It
	// may be longer, since all hosts hold new writes back then.
	LeavingDrain time.Duration
	// LeavingHold is how long new writes are held back while the primary's server is leaving.
	LeavingHold time.Duration
	// CallTimeout bounds one call to an instance or the platform for a promotion, a repointing or
	// the host list.
	CallTimeout time.Duration
}

// Defaults returns the settings that suit both deployments that definer.Deployments of
// internal/bench describes.
func Defaults() Settings {
	return Settings{
		Observer: observer.Settings{
			SuspicionTimeout: 400 * time.Millisecond,
			RefusalTimeout:   200 * time.Millisecond,
			IsolationTimeout: 600 * time.Millisecond,
			NoPrimaryTimeout: 200 * time.Millisecond,
			MaximumStatusAge: 500 * time.Millisecond,
			TermAheadTimeout: time.Second,
			// MaximumViewInterval applies to the view, which is recomputed every 20 ms (GapInterval);
			// MaximumAnswerInterval to answers at rest, which are 100 ms (StatusInterval) and a round
			// trip apart.
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
	// Controls holds the control interface of each backend server of Group by name. After a failed
	// call the next one must use a fresh connection.
	Controls map[string]controller.Control
	// Platform may be nil. Then promotions make no claims.
	Platform accessor.Platform
	// Peers may be nil. Then the live hosts are those of the platform's host list.
	Peers    Peers
	Settings Settings
	// Clock provides timers and tickers. If nil, the runtime's own are used.
	Clock *scheduler.Scheduler
	// Stopwatch is the monotonic clock of all times in the view. If nil, the driver creates one.
	Stopwatch *scheduler.Stopwatch
	Log       log.Interface

	// Promotions counts the promotions that this host completed.
	Promotions atomic.Uint64
	// Polls counts the polls that this host started, by cause.
	Polls [pacer.CauseCount]atomic.Uint64

	once        sync.Once
	instances   []*instance
	view        atomic.Pointer[observer.View]
	attempts    chan struct{}
	handingOver atomic.Bool
	version     atomic.Uint64
	listedHosts atomic.Pointer[[]string]
	// notBefore is the earliest time of the next attempt. Only loopPromote uses it.
	notBefore    time.Duration
	claimTracker promoter.ClaimTracker
	calls        sync.WaitGroup

	mu     sync.Mutex
	ledger acknowledger.ReplicationTracker
	// identities detects servers of other groups at the instances' addresses.
	identities identities
	waiters    map[*waiter]struct{}
	// stopped says that Run's context has ended.
	stopped atomic.Bool
	// sequence is the number of the last call that began at any instance.
	sequence uint64
	// promoting counts the attempts in progress, at most one.
	promoting int
	// lastDemand is when a request was last waiting.
	lastDemand time.Duration
	// repointSince is since when each server that doesn't follow the primary hasn't, by server name.
	repointSince map[string]time.Duration
	// changed is closed at the next change of version.
	changed chan struct{}
	// table and polledMarks are kept to reuse the memory of their slices.
	table       pacer.State
	polledMarks []marker.Mark
}

// instance is the driver's state of one backend server. The fields above observation are constant,
// the others are guarded by the driver's mutex.
type instance struct {
	name    string
	address string
	control controller.Control
	wakeup  chan struct{}

	observation observer.Observation
	// answered is the sequence number of the latest call that was answered. Numbers are assigned
	// when a call begins.
	answered uint64
	// polling says that a poll is in progress. lastBegun and beganAt are the number and start time
	// of the last poll that began, endedAt is the end of the last poll that ended.
	polling          bool
	lastBegun        uint64
	beganAt, endedAt time.Duration
	// pollRequested says that PollNow was called since the last poll began.
	pollRequested bool
	delays        pacer.Delays
	turn          pacer.ScheduledPoll
}

func (d *Driver) init() {
	d.once.Do(d.prepare)
}

func (d *Driver) prepare() {
	if d.Stopwatch == nil {
		d.Stopwatch = new(scheduler.Stopwatch)
	}
	// Starts the stopwatch before other goroutines can read it.
	d.Stopwatch.Elapsed()
	d.version.Store(rand.Uint64())
	d.changed = make(chan struct{})
	d.waiters = make(map[*waiter]struct{})
	d.repointSince = make(map[string]time.Duration)
	d.attempts = make(chan struct{}, 1)
	d.ledger.Instances = len(d.Group.BackendServers)
	d.identities.servers = len(d.Group.BackendServers)
	for _, b := range d.Group.BackendServers {
		d.instances = append(d.instances, &instance{
			name:    b.Name,
			address: b.Address,
			control: d.Controls[b.Name],
			wakeup:  make(chan struct{}, 1),
		})
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.observe()
}

// Run polls and promotes until ctx ends, and returns its error. It returns an error at once if a
// backend server has no entry in Controls.
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
	d.stopWaiters()
	d.calls.Wait()
	return errors.Annotatef(ctx.Err(), "drive database group %s", d.Group.Name)
}

// View returns the current view of the group. It must not be changed.
func (d *Driver) View() *observer.View {
	d.init()
	return d.view.Load()
}

// Now returns the time on the monotonic clock of the view's times.
func (d *Driver) Now() time.Duration {
	d.init()
	return d.now()
}

// PollNow makes polls of all instances due immediately. It is called when a request has failed at an
// instance.
func (d *Driver) PollNow() {
	d.init()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, i := range d.instances {
		i.pollRequested = true
	}
	d.schedule()
}

func (d *Driver) now() time.Duration {
	return d.Stopwatch.Elapsed()
}

// observe computes a new view from the observations, answers the waiters that it can answer and
// schedules the next polls. The mutex is held.
func (d *Driver) observe() {
	s := make([]observer.Server, len(d.instances))
	for n, i := range d.instances {
		s[n] = observer.Server{Name: i.name, Observation: i.observation}
	}
	var p observer.View
	if o := d.view.Load(); o != nil {
		p = *o
	}
	v := observer.Observe(d.now(), d.Settings.Observer, s, d.primaryReports(), p)
	d.logChange(&p, &v)
	d.view.Store(&v)
	if differsForPeers(&p, &v) {
		d.notifyChange()
	}
	d.serveWaiters(&v)
	d.schedule()
}

func (d *Driver) primaryReports() []observer.PrimaryReport {
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

// lastMark returns the last observed log entry of the named server, zero if there is none.
func lastMark(v *observer.View, server string) marker.Mark {
	s, _ := v.Server(server)
	return s.Status.Last
}
