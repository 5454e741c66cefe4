// Package keeper runs the member decisions of an entry host over its peer connections.
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

// KindSync asks for the members of zones that differ.
const KindSync encoder.Kind = "member-sync"

// Times of the decisions.
const (
	// tickInterval is the time between steps of the decisions.
	tickInterval = 100 * time.Millisecond
	// HeartbeatInterval is the time between heartbeats to a neighbour.
	HeartbeatInterval = 500 * time.Millisecond
	suspectAfter      = 3 * HeartbeatInterval
	zoneInterval      = 5 * time.Second
	forgetAfter       = 10 * time.Minute
	// callTimeout ends a call to a peer.
	callTimeout = 2 * time.Second
)

// Keeper keeps this host's view of all entry hosts.
type Keeper struct {
	// Self is this host, live.
	Self   declarer.Member
	Dialer *dialer.Dialer
	// Seeds are addresses of peers to ask at the start.
	Seeds []string
	// Publish gets each new view; it may be nil. It must not wait.
	Publish func(v declarer.View)
	// Hosts returns the platform's host list; it may be nil.
	Hosts func(ctx context.Context) ([]accessor.Host, error)
	// Random returns a number in [0, 1), which spreads the reads of the host list.
	Random func() float64
	// ObserveBackend probes a backend server afresh for another host; without
	// it such requests are refused.
	ObserveBackend func(ctx context.Context, name string) error
	// Clock tells when something is due, timers of its own if nil.
	Clock *scheduler.Scheduler
	Log   log.Interface

	mu        sync.Mutex
	gossiper  *gossiper.Gossiper
	watch     scheduler.Stopwatch
	addresses map[string]string
	busy      map[busyKey]int
	published uint64
	viewed    time.Duration
	view      atomic.Pointer[declarer.View]
	changed   chan struct{}
	context   context.Context
	wait      sync.WaitGroup
}

// Prepare makes the keeper answer; it is called before the peer listener runs.
func (k *Keeper) Prepare() {
	k.changed = make(chan struct{})
	k.addresses = map[string]string{}
	k.busy = map[busyKey]int{}
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

// Run exchanges heartbeats until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	k.mu.Lock()
	k.context = ctx
	k.mu.Unlock()
	k.wait.Add(2)
	go k.runSeeds(ctx)
	go k.loopHints(ctx)
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

// step runs one decision and does what it asks for.
func (k *Keeper) step(decide func(now time.Duration) []gossiper.Action) {
	k.mu.Lock()
	defer k.mu.Unlock()
	l := decide(k.now())
	k.publishLocked()
	for _, a := range l {
		k.do(a)
	}
}

func (k *Keeper) now() time.Duration {
	return k.watch.Elapsed()
}

func (k *Keeper) publish() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.publishLocked()
}

// publishLocked hands out the view if the members changed, and without that
// each so often, as the ages of zones change by themselves.
func (k *Keeper) publishLocked() {
	v := k.gossiper.Version()
	if old := k.view.Load(); old != nil && v == k.published && k.now()-k.viewed < viewInterval {
		return
	}
	k.published = v
	k.viewed = k.now()
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

// View returns the present view.
func (k *Keeper) View() declarer.View {
	return *k.view.Load()
}

// Incarnation returns this host's incarnation, which rises when the host has
// to contradict a wrong word about it. It goes on each message.
func (k *Keeper) Incarnation() uint64 {
	return k.view.Load().Self.Incarnation
}

// Locate returns where a host is dialed.
func (k *Keeper) Locate(host string) (string, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if m, ok := k.gossiper.Find(host); ok {
		return m.Address, true
	}
	a, ok := k.addresses[host]
	return a, ok
}

// SetHints takes in the platform's host list, which lags and is only a hint.
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

// Leave tells the others that this host takes nothing new, so that the pools
// it owns move to their next owners.
func (k *Keeper) Leave() {
	k.step(k.leave)
}

func (k *Keeper) leave(now time.Duration) []gossiper.Action {
	return k.gossiper.Leave(now)
}

// Depart says goodbye, shortly before the process ends, and returns once that
// has been sent or ctx has ended.
func (k *Keeper) Depart(ctx context.Context) {
	k.step(k.depart)
	t, x := k.Clock.Ticks(departPoll)
	defer x.Cancel()
	for k.isBusy() {
		select {
		case <-t:
		case <-ctx.Done():
			return
		}
	}
}

// departPoll is the time between looks whether the goodbye has been sent.
const departPoll = 2 * time.Millisecond

func (k *Keeper) isBusy() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.busy) > 0
}

func (k *Keeper) depart(now time.Duration) []gossiper.Action {
	return k.gossiper.Depart(now)
}

// Routes serve the requests of other keepers.
func (k *Keeper) Routes() []listener.Route {
	return []listener.Route{
		listener.Handle(encoder.KindGossip, k.receive),
		listener.Handle(KindSync, k.answerSync),
		listener.Handle(encoder.KindObserve, k.observe),
	}
}

// nothing answers a heartbeat that came in a call.
type nothing struct{}

func (k *Keeper) receive(_ context.Context, s encoder.Sender, m declarer.Message) (nothing, error) {
	k.step(func(now time.Duration) []gossiper.Action {
		return k.gossiper.Receive(now, s.Host, s.Incarnation, m)
	})
	return nothing{}, nil
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

// observe is this host's word as a second observer.
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
