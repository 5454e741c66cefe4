package keeper

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/member/declarer"
	"github.com/cuminwick/cuminwick/internal/member/gossiper"
	"github.com/cuminwick/cuminwick/internal/peer/dialer"
	"github.com/cuminwick/cuminwick/internal/peer/encoder"
)

// viewInterval is the longest time between two views.
const viewInterval = time.Second

// maximumBusy bounds the actions of one kind that are under way to one host. A
// connection on which nothing gets through holds them up, and heartbeats that
// can't be sent now are of no use later.
const maximumBusy = 8

// do starts one action; the keeper is locked.
func (k *Keeper) do(a gossiper.Action) {
	if k.context == nil || k.context.Err() != nil {
		return
	}
	x := busyKey{kind: a.Kind, to: a.To, subject: a.Subject.Host}
	if k.busy[x] >= maximumBusy {
		return
	}
	k.busy[x]++
	k.wait.Add(1)
	go k.runAction(k.context, a, x)
}

// busyKey names an action that is under way.
type busyKey struct {
	kind    gossiper.ActionKind
	to      string
	subject string
}

func (k *Keeper) runAction(ctx context.Context, a gossiper.Action, x busyKey) {
	defer k.wait.Done()
	defer k.finish(x)
	c, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	switch a.Kind {
	case gossiper.Send:
		k.send(c, a)
	case gossiper.Sync:
		k.syncLogged(c, a.To)
	case gossiper.Probe:
		k.conclude(a.Subject, k.Self.Host, k.Dialer.Probe(c, a.To, a.Subject.Address))
	case gossiper.Observe:
		k.ask(c, a)
	}
}

func (k *Keeper) finish(x busyKey) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.busy[x]--
	if k.busy[x] == 0 {
		delete(k.busy, x)
	}
}

// send sends a heartbeat. Its loss is made up for by the decisions.
func (k *Keeper) send(ctx context.Context, a gossiper.Action) {
	err := k.Dialer.Send(ctx, a.To, encoder.KindGossip, a.Message)
	if err != nil {
		k.Log.WithField("peer", a.To).WithField("step", "send heartbeat").WithError(err).Debug("heartbeat not sent")
	}
}

func (k *Keeper) syncLogged(ctx context.Context, host string) {
	if err := k.sync(ctx, host); err != nil {
		k.Log.WithField("peer", host).WithField("step", "sync members").WithError(err).Debug("members not synced")
	}
}

func (k *Keeper) sync(ctx context.Context, host string) error {
	k.mu.Lock()
	q := k.gossiper.SyncRequest()
	k.mu.Unlock()
	a, err := dialer.Call[declarer.SyncRequest, declarer.SyncAnswer](ctx, k.Dialer, host, KindSync, q)
	if err != nil {
		return err
	}
	k.step(func(now time.Duration) []gossiper.Action {
		return k.gossiper.ApplySyncAnswer(now, host, a)
	})
	return nil
}

// ask gets a second observer's word. One that can't be asked has none.
func (k *Keeper) ask(ctx context.Context, a gossiper.Action) {
	q := encoder.Observe{Kind: encoder.SubjectEntryHost, Name: a.Subject.Host, Incarnation: a.Subject.Incarnation}
	r, err := dialer.Call[encoder.Observe, encoder.ObserveAnswer](ctx, k.Dialer, a.To, encoder.KindObserve, q)
	if err != nil {
		return
	}
	var e error
	if !r.Reachable {
		e = errors.New(r.Detail)
	}
	k.conclude(a.Subject, a.To, e)
}

// conclude hands an observer's word to the decisions, and logs when it makes a
// member count as dead.
func (k *Keeper) conclude(m declarer.Member, observer string, err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	k.step(func(now time.Duration) []gossiper.Action {
		l := k.gossiper.RecordObservation(now, m, observer, err == nil)
		if r, ok := k.gossiper.Find(m.Host); ok && err != nil && r.State == declarer.Dead {
			k.Log.WithField("peer", m.Host).WithField("step", "observe").WithField("observer", observer).WithError(err).Warn("entry host counts as dead")
		}
		return l
	})
}

// Times between looks at the seeds.
const (
	// seedInterval passes until each seed has answered once.
	seedInterval = time.Second
	// reseedInterval passes afterwards.
	reseedInterval = 30 * time.Second
)

// runSeeds asks the seeds, so that this host is ready with the platform down.
// It goes on with seeds that aren't known to be live: hosts that start at the
// same time may find each other first and would stay apart from the rest.
func (k *Keeper) runSeeds(ctx context.Context) {
	defer k.wait.Done()
	var d time.Duration
	for k.Clock.Sleep(ctx, d) {
		d = k.lookAtSeeds(ctx)
	}
}

// lookAtSeeds asks the seeds that are missing and returns when to look again.
func (k *Keeper) lookAtSeeds(ctx context.Context) time.Duration {
	d := reseedInterval
	for _, s := range k.Seeds {
		if k.isLiveAt(s) {
			continue
		}
		if !k.seed(ctx, s) {
			d = seedInterval
		}
	}
	return d
}

// isLiveAt reports whether a live member has this address.
func (k *Keeper) isLiveAt(address string) bool {
	for _, m := range k.View().Members {
		if m.Address == address && m.State == declarer.Live {
			return true
		}
	}
	return false
}

// seed reports whether an entry host answered at address.
func (k *Keeper) seed(ctx context.Context, address string) bool {
	c, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	h, err := k.Dialer.DialSeed(c, address)
	if err == nil {
		err = k.sync(c, h)
	}
	if err != nil {
		k.Log.WithField("peer", address).WithField("step", "ask seed").WithError(err).Debug("seed not reached")
	}
	return err == nil
}
