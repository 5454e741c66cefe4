package runner

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/clock/scheduler"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

// entryStore is a Registrar that records the strengths of the entries that it is given.
type entryStore struct {
	mu          sync.Mutex
	unavailable bool
	// delay is how long a write takes.
	delay     time.Duration
	strengths []int
	// attempts counts all writes, removed is set while there is no entry.
	attempts int
	removed  bool
}

var errNoStore = errors.ConstError("store unavailable")

func (s *entryStore) Register(ctx context.Context, h declarer.Host) error {
	s.mu.Lock()
	s.attempts++
	d := s.delay
	s.mu.Unlock()
	if err := scheduler.Pause(ctx, d); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
		return errNoStore
	}
	s.strengths, s.removed = append(s.strengths, h.Strength), false
	return nil
}

func (s *entryStore) Deregister(context.Context, string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removed = true
	return nil
}

func (s *entryStore) setUnavailable(x bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable = x
}

func (s *entryStore) setDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

func (s *entryStore) seen() (strengths []int, attempts int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.strengths), s.attempts
}

// slowHost is a host whose timers are late by a delay that a test sets.
type slowHost struct {
	Host
	store entryStore
	mu    sync.Mutex
	late  time.Duration
}

// newSlowHost returns a host that is registered in an entryStore with its full strength.
func newSlowHost(t *testing.T, strength int) *slowHost {
	x := &slowHost{}
	x.Name, x.Log, x.Registrar, x.FirstStart = "h", discardLog, &x.store, true
	x.Self = declarer.Host{Name: "h", AvailabilityZone: "z", Strength: strength}
	x.registered = make(chan struct{})
	x.prepareStrength()
	x.strength.pause = func(ctx context.Context, d time.Duration) error {
		x.mu.Lock()
		d += x.late
		x.mu.Unlock()
		return scheduler.Pause(ctx, d)
	}
	x.startRegistration(t.Context())
	return x
}

func (x *slowHost) run(late, d time.Duration) {
	x.mu.Lock()
	x.late = late
	x.mu.Unlock()
	time.Sleep(d)
}

// Guards against a host that keeps work that it is too slow for, and against one that doesn't take work
// back when it is fast again.
func TestSlowHostLowersItsStrength(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newSlowHost(t, 40)
		x.run(0, time.Minute)
		x.run(60*time.Millisecond, 4*time.Second)
		if d := x.TimerDelay(); x.Strength() != 20 || d < 40*time.Millisecond || d > 60*time.Millisecond {
			t.Errorf("strength %d and delay %v after 4 s of 60 ms", x.Strength(), d)
		}
		x.run(0, time.Minute)
		if s, n := x.store.seen(); !slices.Equal(s, []int{40, 20, 30, 40}) || n != 4 || x.Strength() != 40 {
			t.Errorf("entries of strength %v in %d writes, want 40, 20, 30, 40; strength %d", s, n, x.Strength())
		}
		x.deregister()
	})
}

// Guards against calls to a store that is known not to answer, and against a strength that changes
// without an entry that says so. A write that has failed is made again at most once in 5 s.
func TestSlowHostWithoutStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newSlowHost(t, 40)
		x.run(0, time.Second)
		x.gate.recordFailure()
		x.run(60*time.Millisecond, 20*time.Second)
		if _, n := x.store.seen(); n != 1 || x.Strength() != 40 {
			t.Errorf("%d writes and strength %d while the store doesn't answer, want 1 and 40", n, x.Strength())
		}
		x.store.setUnavailable(true)
		x.gate.recordAnswer()
		x.run(60*time.Millisecond, 20*time.Second)
		if _, n := x.store.seen(); n < 3 || n > 6 || x.Strength() != 40 {
			t.Errorf("%d writes and strength %d while writes fail, want 3 to 6 and 40", n, x.Strength())
		}
		x.store.setUnavailable(false)
		x.run(60*time.Millisecond, 6*time.Second)
		if s, _ := x.store.seen(); !slices.Equal(s[:2], []int{40, 20}) {
			t.Errorf("entries of strength %v, want 40 and 20 at first", s)
		}
		x.deregister()
	})
}

// A host is stopped while it changes its strength. Guards against an entry that is written after it was
// removed: others would ask a host that has ended.
func TestStoppedHostWritesNoStrength(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newSlowHost(t, 40)
		x.run(0, time.Second)
		x.store.setDelay(500 * time.Millisecond)
		for n := 1; n < 2; _, n = x.store.seen() {
			x.run(60*time.Millisecond, 10*time.Millisecond)
		}
		x.deregister()
		time.Sleep(time.Minute)
		if s, _ := x.store.seen(); !x.store.removed {
			t.Errorf("entry is back, strengths %v", s)
		}
	})
}

// Guards against timers, and writes beyond the first one, of a host whose strength is unknown.
func TestHostOfUnknownStrengthDeclaresNone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newSlowHost(t, 0)
		x.run(60*time.Millisecond, time.Minute)
		if s, n := x.store.seen(); n != 1 || s[0] != 0 || x.TimerDelay() != 0 {
			t.Errorf("entries of strength %v in %d writes, delay %v", s, n, x.TimerDelay())
		}
		x.deregister()
	})
}
