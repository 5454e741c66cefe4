// Package keeper runs the gossip membership of an entry host over its peer connections.
package keeper

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/clock/scheduler"
	"github.com/cuminwick/cuminwick/internal/member/declarer"
	"github.com/cuminwick/cuminwick/internal/member/gossiper"
	"github.com/cuminwick/cuminwick/internal/peer/dialer"
	"github.com/cuminwick/cuminwick/internal/peer/encoder"
	"github.com/cuminwick/cuminwick/internal/peer/listener"
	"github.com/cuminwick/cuminwick/internal/platform/accessor"
)

// KindSync requests the members of zones whose digests differ.
const KindSync encoder.Kind = "member-sync"

// Intervals and timeouts of the membership protocol.
const (
	// tickInterval is the time between calls of Gossiper.Tick.
	tickInterval = 100 * time.Millisecond
	// HeartbeatInterval is the time between heartbeats to a neighbour.
	HeartbeatInterval = 500 * time.Millisecond
	// suspectAfter, zoneInterval and forgetAfter are the values of the Gossiper's fields.
	suspectAfter = 3 * HeartbeatInterval
	zoneInterval = 5 * time.Second
	forgetAfter  = 10 * time.Minute
	// callTimeout bounds each call to a peer or to the platform.
	callTimeout = 2 * time.Second
)

// Keeper maintains this host's view of all entry hosts. The exported fields are set before Prepare,
// except for Dialer, which is set before Run.
type Keeper struct {
	// Self is this host's record in state Live.
	Self declarer.Member
	// Dialer sends messages to peers.
	Dialer *dialer.Dialer
	// Seeds are the addresses of peers to contact until they are live members.
	Seeds []string
	// Publish is called with each new view; it may be nil. It must not block, because the Keeper is
	// locked during the call.
	Publish func(v declarer.View)
	// Hosts returns the platform's host list; it may be nil.
	Hosts func(ctx context.Context) ([]accessor.Host, error)
	// Random returns a number in [0, 1) that randomizes the intervals between reads of the host
	// list. It is required if Hosts is set.
	Random func() float64
	// ObserveBackend probes a backend server over a new connection on behalf of another host. If it
	// is nil, such requests are refused.
	ObserveBackend func(ctx context.Context, name string) error
	// Clock provides the timers; if nil, timers of the standard library are used.
	Clock *scheduler.Scheduler
	Log   log.Interface

	// mu guards all fields below except view and wait.
	mu        sync.Mutex
	gossiper  *gossiper.Gossiper
	stopwatch scheduler.Stopwatch
	// addresses holds the addresses of the host list, by host.
	addresses map[string]string
	// inFlight counts the actions that are being carried out.
	inFlight map[actionKey]int
	// publishedVersion and publishedAt are the Gossiper's version and the time of the last view.
	publishedVersion uint64
	publishedAt      time.Duration
	view             atomic.Pointer[declarer.View]
	// changed is closed and replaced when the result of Live changes.
	changed chan struct{}
	// context is the one of Run, nil before.
	context context.Context
	// wait counts the goroutines that Run waits for.
	wait sync.WaitGroup
}

// Prepare initializes the Keeper, which then can serve requests. It is called before the peer
// listener runs.
func (k *Keeper) Prepare() {
	k.changed = make(chan struct{})
	k.addresses = map[string]string{}
	k.inFlight = map[actionKey]int{}
	k.gossiper = &gossiper.Gossiper{
		Self:         k.Self,
		Interval:     HeartbeatInterval,
		SuspectAfter: suspectAfter,
		ZoneInterval: zoneInterval,
		ForgetAfter:  forgetAfter,
	}
	k.gossiper.Start(0)
	k.publish()
}

// Run exchanges heartbeats and reads the seeds and the host list until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	k.mu.Lock()
	k.context = ctx
	k.mu.Unlock()
	k.wait.Add(2)
	go k.runSeeds(ctx)
	go k.loopHostList(ctx)
	k.loop(ctx)
	k.wait.Wait()
	return nil
}

func (k *Keeper) loop(ctx context.Context) {
	t, x := k.Clock.Ticks(tickInterval)
	defer x.Cancel()
	for {
		select {
		case <-t:
			k.step(k.tick)
		case <-ctx.Done():
			return
		}
	}
}

func (k *Keeper) tick(now time.Duration) []gossiper.Action {
	return k.gossiper.Tick(now)
}

// step calls a method of the Gossiper, publishes the view and starts the returned actions.
func (k *Keeper) step(decide func(now time.Duration) []gossiper.Action) {
	k.mu.Lock()
	defer k.mu.Unlock()
	l := decide(k.now())
	k.publishLocked()
	for _, a := range l {
		k.startLocked(a)
	}
}

func (k *Keeper) now() time.Duration {
	return k.stopwatch.Elapsed()
}

func (k *Keeper) publish() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.publishLocked()
}

// publishLocked publishes the view if the members changed. Without a change it does so every
// maximumViewInterval, because the times in the descriptions of zones change continuously.
func (k *Keeper) publishLocked() {
	v := k.gossiper.Version()
	if old := k.view.Load(); old != nil && v == k.publishedVersion && k.now()-k.publishedAt < maximumViewInterval {
		return
	}
	k.publishedVersion = v
	k.publishedAt = k.now()
	x := k.gossiper.View(k.now())
	old := k.view.Swap(&x)
	if old == nil || !sameMembers(*old, x) {
		close(k.changed)
		k.changed = make(chan struct{})
	}
	if k.Publish != nil {
		k.Publish(x)
	}
}

// View returns the view that was published last.
func (k *Keeper) View() declarer.View {
	return *k.view.Load()
}

// Incarnation returns this host's incarnation, which each message contains. It increases when the
// host refutes an outdated record of itself.
func (k *Keeper) Incarnation() uint64 {
	return k.view.Load().Self.Incarnation
}

// Locate returns the address at which a host is dialed, from the members or else from the host list.
func (k *Keeper) Locate(host string) (string, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if m, ok := k.gossiper.Find(host); ok {
		return m.Address, true
	}
	a, ok := k.addresses[host]
	return a, ok
}

// SetHints stores the entry hosts of the platform's host list. The list may be out of date, so it
// only causes attempts to contact the hosts.
func (k *Keeper) SetHints(l []accessor.Host) {
	k.mu.Lock()
	defer k.mu.Unlock()
	clear(k.addresses)
	var n []string
	for _, h := range l {
		if h.Kind == accessor.EntryHost && h.Name != k.Self.Host && h.Address != "" {
			k.addresses[h.Name] = h.Address
			n = append(n, h.Name)
		}
	}
	k.gossiper.SetHints(n)
}

// Leave announces that this host accepts no new work, so that the pools it owns move to their next
// owners.
func (k *Keeper) Leave() {
	k.step(k.leave)
}

func (k *Keeper) leave(now time.Duration) []gossiper.Action {
	return k.gossiper.Leave(now)
}

// Depart announces that this host ends. It is called shortly before the process ends, and returns
// once the announcement has been sent or ctx has ended.
func (k *Keeper) Depart(ctx context.Context) {
	k.step(k.depart)
	t, x := k.Clock.Ticks(departPollInterval)
	defer x.Cancel()
	for k.hasActionInFlight() {
		select {
		case <-t:
		case <-ctx.Done():
			return
		}
	}
}

// departPollInterval is the time between checks whether Depart's messages have been sent.
const departPollInterval = 2 * time.Millisecond

func (k *Keeper) hasActionInFlight() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.inFlight) > 0
}

func (k *Keeper) depart(now time.Duration) []gossiper.Action {
	return k.gossiper.Depart(now)
}

// Routes returns the handlers of the requests that other hosts' Keepers send.
func (k *Keeper) Routes() []listener.Route {
	return []listener.Route{
		listener.Handle(encoder.KindGossip, k.receive),
		listener.Handle(KindSync, k.answerSync),
		listener.Handle(encoder.KindObserve, k.observe),
	}
}

// emptyAnswer is the answer to a heartbeat that was sent as a call instead of a datagram.
type emptyAnswer struct{}

func (k *Keeper) receive(_ context.Context, s encoder.Sender, m declarer.Message) (emptyAnswer, error) {
	k.step(func(now time.Duration) []gossiper.Action {
		return k.gossiper.Receive(now, s.Host, s.Incarnation, m)
	})
	return emptyAnswer{}, nil
}

func (k *Keeper) answerSync(_ context.Context, s encoder.Sender, q declarer.SyncRequest) (declarer.SyncAnswer, error) {
	var a declarer.SyncAnswer
	if q.Self.Host != s.Host {
		return a, &encoder.Refusal{Reason: encoder.ReasonMalformed, Detail: "sync in another host's name"}
	}
	k.step(func(now time.Duration) []gossiper.Action {
		x, l := k.gossiper.AnswerSync(now, q)
		a = x
		return l
	})
	return a, nil
}

// observe serves a probe on behalf of another host, as its second observer.
func (k *Keeper) observe(ctx context.Context, _ encoder.Sender, q encoder.Observe) (encoder.ObserveAnswer, error) {
	var err error
	switch {
	case q.Kind == encoder.SubjectEntryHost:
		err = k.probe(ctx, q.Name)
	case k.ObserveBackend != nil:
		err = k.ObserveBackend(ctx, q.Name)
	default:
		return encoder.ObserveAnswer{}, &encoder.Refusal{Reason: encoder.ReasonUnknownKind, Detail: string(q.Kind)}
	}
	if err != nil {
		return encoder.ObserveAnswer{Detail: err.Error()}, nil
	}
	return encoder.ObserveAnswer{Reachable: true}, nil
}

func (k *Keeper) probe(ctx context.Context, host string) error {
	a, ok := k.Locate(host)
	if !ok {
		return errors.Annotate(dialer.ErrUnknownHost, host)
	}
	return k.Dialer.Probe(ctx, host, a)
}
