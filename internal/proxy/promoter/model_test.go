package promoter

import (
	"context"
	"fmt"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"pgregory.net/rapid"

	"github.com/cuminwick/cuminwick/internal/proxy/connpooler"
)

// Kinds of events of the model.
const (
	eventCrashPrimary = iota
	eventCrashReplica
	eventCrashTwo
	eventRefuse
	eventSilence
	eventAlone
	eventKillHost
	eventStoreDown
	eventLateOrders
	eventCount
)

// event is a fault that begins at a time and lasts for a while.
type event struct {
	kind   int
	at     time.Duration
	length time.Duration
	// target selects a host or server.
	target int
}

func (e event) String() string {
	return fmt.Sprintf("%s+%s kind %d target %d", e.at, e.length, e.kind, e.target)
}

// drawEvents draws up to eight faults, which may overlap.
func drawEvents(t *rapid.T) []event {
	milliseconds := func(low, high int) *rapid.Generator[time.Duration] {
		return rapid.Map(rapid.IntRange(low, high), func(n int) time.Duration { return time.Duration(n) * time.Millisecond })
	}
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) event {
		return event{
			kind: rapid.IntRange(0, eventCount-1).Draw(t, "kind"), at: milliseconds(4000, 12000).Draw(t, "at"),
			length: milliseconds(200, 7000).Draw(t, "length"), target: rapid.IntRange(0, worldHosts-1).Draw(t, "target"),
		}
	}), 1, 8).Draw(t, "events")
}

// apply begins the event and schedules its end.
func (w *world) apply(ctx context.Context, e event) {
	h := w.hosts[e.target]
	w.mu.Lock()
	p := w.leader()
	w.mu.Unlock()
	if p == nil {
		p = w.servers[0]
	}
	var begin, end func()
	switch e.kind {
	case eventCrashPrimary:
		w.crash(p, e.length)
		return
	case eventCrashReplica, eventCrashTwo:
		for i := range worldServers {
			if s := w.servers[(i+e.target)%worldServers]; s != p {
				w.crash(s, e.length)
				break
			}
		}
		if e.kind == eventCrashTwo {
			w.crash(p, e.length)
		}
		return
	case eventRefuse:
		begin, end = func() { h.cuts[p.id] = errors.WithType(syscall.ECONNREFUSED, connpooler.ErrNoRoute) }, func() { delete(h.cuts, p.id) }
	case eventSilence:
		begin, end = func() { h.cuts[p.id] = connpooler.ErrNoRoute }, func() { delete(h.cuts, p.id) }
	case eventAlone:
		begin, end = func() { h.alone = true }, func() { h.alone = false }
	case eventKillHost:
		h.kill()
		time.AfterFunc(e.length, func() { h.kill(); h.start(ctx) })
		return
	case eventStoreDown:
		begin, end = func() { w.storeDown = true }, func() { w.storeDown = false }
	case eventLateOrders:
		begin, end = func() { w.lateOrders = true }, func() { w.lateOrders = false }
	}
	locked := func(f func()) {
		w.mu.Lock()
		defer w.mu.Unlock()
		f()
	}
	locked(begin)
	time.AfterFunc(e.length, func() { locked(end) })
}

// play runs a world through the events, and returns what was violated.
func play(t *testing.T, seed uint64, l []event) (violations []string) {
	const faults, settle, recovery = 20 * time.Second, 14 * time.Second, 3 * time.Second
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(seed)
		ctx, cancel := context.WithCancel(t.Context())
		for _, h := range w.hosts {
			h.start(ctx)
		}
		go w.run(ctx)
		for _, e := range l {
			time.AfterFunc(e.at, func() { w.apply(ctx, e) })
		}
		time.Sleep(faults + settle)
		w.mu.Lock()
		violations = w.violations
		if d := time.Since(w.ackedAt); d > recovery {
			violations = append(violations, fmt.Sprintf("nothing acknowledged in the last %s", d))
		}
		w.mu.Unlock()
		cancel()
		time.Sleep(settle) // until calls that were under way have ended
	})
	return violations
}

// Guards against the loss of acknowledged commits in a group with one synchronous replica, and against a group
// that takes no commits once all faults are over: servers crash alone or two at a time, hosts lose their
// connections to a primary or to each other or are killed, the store is away, and orders are carried
// out late, in any order and overlapping.
func TestPromotionsKeepAcknowledgedCommits(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		seed, l := rapid.Uint64().Draw(r, "seed"), drawEvents(r)
		for _, v := range play(t, seed, l) {
			r.Errorf("seed %d, events %v: %s", seed, l, v)
		}
	})
}
