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

// maximumViewInterval is the maximum time between two published views.
const maximumViewInterval = time.Second

// maximumInFlight bounds the concurrent actions with the same actionKey; further ones are dropped.
// Actions pile up on a stalled connection, and heartbeats that can't be sent immediately are useless
// later.
const maximumInFlight = 8

// startLocked starts an action in a goroutine. It does nothing before Run and after its end.
func (k *Keeper) startLocked(a gossiper.Action) {
	if k.context == nil || k.context.Err() != nil {
		return
	}
	x := actionKey{kind: a.Kind, to: a.To, subject: a.Subject.Host}
	if k.inFlight[x] >= maximumInFlight {
		return
	}
	k.inFlight[x]++
	k.wait.Add(1)
	go k.runAction(k.context, a, x)
}

// actionKey identifies actions that count together against maximumInFlight.
type actionKey struct {
	kind    gossiper.ActionKind
	to      string
	subject string
}

func (k *Keeper) runAction(ctx context.Context, a gossiper.Action, x actionKey) {
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
		k.recordObservation(a.Subject, k.Self.Host, k.Dialer.Probe(c, a.To, a.Subject.Address))
	case gossiper.Observe:
		k.requestObservation(c, a)
	}
}

func (k *Keeper) finish(x actionKey) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.inFlight[x]--
	if k.inFlight[x] == 0 {
		delete(k.inFlight, x)
	}
}

// send sends a heartbeat. A lost one isn't sent again, because the Gossiper repeats updates.
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

// requestObservation asks a second observer to probe the subject. If the observer can't be asked, no
// observation is recorded.
func (k *Keeper) requestObservation(ctx context.Context, a gossiper.Action) {
	q := encoder.Observe{Kind: encoder.SubjectEntryHost, Name: a.Subject.Host, Incarnation: a.Subject.Incarnation}
	r, err := dialer.Call[encoder.Observe, encoder.ObserveAnswer](ctx, k.Dialer, a.To, encoder.KindObserve, q)
	if err != nil {
		return
	}
	var e error
	if !r.Reachable {
		e = errors.New(r.Detail)
	}
	k.recordObservation(a.Subject, a.To, e)
}

// recordObservation passes the result of a probe to the Gossiper. It logs a warning if the probe
// failed and the member is dead afterwards.
func (k *Keeper) recordObservation(m declarer.Member, observer string, err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	k.step(func(now time.Duration) []gossiper.Action {
		l := k.gossiper.RecordObservation(now, m, observer, err == nil)
		if r, ok := k.gossiper.Find(m.Host); ok && err != nil && r.State == declarer.Dead {
			k.Log.WithField("peer", m.Host).WithField("step", "observe").WithField("observer", observer).WithError(err).Warn("entry host declared dead")
		}
		return l
	})
}

// Times between attempts to contact the seeds.
const (
	// seedInterval applies if a seed wasn't reached in the last attempt.
	seedInterval = time.Second
	// reseedInterval applies otherwise.
	reseedInterval = 30 * time.Second
)

// runSeeds contacts the seeds until ctx ends, so that this host finds others even if the platform is
// down. It keeps contacting seeds that aren't live members: hosts that start at the same time may
// find only each other and would otherwise stay separated from the rest.
func (k *Keeper) runSeeds(ctx context.Context) {
	defer k.wait.Done()
	var d time.Duration
	for k.Clock.Sleep(ctx, d) {
		d = k.contactSeeds(ctx)
	}
}

// contactSeeds contacts the seeds that aren't live members and returns the time until the next call.
func (k *Keeper) contactSeeds(ctx context.Context) time.Duration {
	d := reseedInterval
	for _, s := range k.Seeds {
		if k.isLiveAt(s) {
			continue
		}
		if !k.contactSeed(ctx, s) {
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

// contactSeed syncs with the entry host at address and reports whether that succeeded.
func (k *Keeper) contactSeed(ctx context.Context, address string) bool {
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
