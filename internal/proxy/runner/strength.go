package runner

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/cuminwick/cuminwick/internal/clock/scheduler"
	"github.com/cuminwick/cuminwick/internal/pool/appraiser"
)

// delayInterval is the duration of the timers whose delay is measured.
const delayInterval = 50 * time.Millisecond

// strengthKeeper measures how late this host's timers fire, and changes the strength in the host's entry.
type strengthKeeper struct {
	host *Host
	// pause waits for the duration of a timer, or returns the error of ctx if that ends first.
	pause func(ctx context.Context, d time.Duration) error

	mu       sync.Mutex
	observer appraiser.Observer
}

func (h *Host) prepareStrength() {
	h.strength.host = h
	h.strength.pause = scheduler.Pause
	h.strength.observer.Full = h.Self.Strength
	h.roster.onDisplaced = h.logDisplaced
}

// run measures until ctx ends. A host of unknown strength has nothing to change.
func (k *strengthKeeper) run(ctx context.Context) {
	if k.host.Self.Strength == 0 {
		return
	}
	for {
		due := time.Now().Add(delayInterval)
		if k.pause(ctx, delayInterval) != nil {
			return
		}
		now := time.Now()
		if c, ok := k.observe(now, now.Sub(due)); ok {
			k.declare(ctx, c)
		}
	}
}

func (k *strengthKeeper) observe(now time.Time, delay time.Duration) (appraiser.Change, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.observer.Observe(now, delay)
}

// declare writes the host's entry with a changed strength. It makes no call while the store is known
// not to answer.
func (k *strengthKeeper) declare(ctx context.Context, x appraiser.Change) {
	h := k.host
	if !h.gate.open() {
		return
	}
	c, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	e := h.Self
	e.Strength = x.Strength
	err := h.Registrar.Register(c, e)
	k.mu.Lock()
	before, delay := k.observer.Strength(), k.observer.Delay()
	k.observer.Record(time.Now(), x, err == nil)
	k.mu.Unlock()
	l := h.Log.WithFields(log.Fields{"before": before, "strength": x.Strength, "full": h.Self.Strength, "cause": string(x.Cause), "delay-ms": delay.Milliseconds()})
	if err != nil {
		l.WithError(err).Warn("strength not changed")
		return
	}
	l.Info("strength changed")
}

// Strength returns the number of slots that this host declares it can own, zero if unknown.
func (h *Host) Strength() int {
	h.strength.mu.Lock()
	defer h.strength.mu.Unlock()
	return h.strength.observer.Strength()
}

// TimerDelay returns how late this host's timers fire at present, zero if its strength is unknown.
func (h *Host) TimerDelay() time.Duration {
	h.strength.mu.Lock()
	defer h.strength.mu.Unlock()
	return h.strength.observer.Delay()
}
