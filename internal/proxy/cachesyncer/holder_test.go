package cachesyncer

import (
	"testing"
	"time"
)

// A host reads the store itself, as the one that it would read from is cut off. Guards against a change
// that stays unknown for seconds, after a single call of this host was not answered: what the host that is
// cut off says tells nothing about the store.
func TestCutOffHostDoesNotHoldCalls(t *testing.T) {
	var now time.Duration
	h := &Holder{Now: func() time.Duration { return now }}
	now = time.Second
	h.call(true)
	now = 2 * time.Second
	h.recordStale("cut off")
	for now = 3 * time.Second; now < 8*time.Second; now += time.Second {
		h.recordStale("cut off")
		h.call(true)
	}
	h.recordStale("cut off")
	h.call(false)
	if h.holds() {
		t.Error("calls are held back")
	}
}

func TestHolds(t *testing.T) {
	for name, c := range map[string]struct {
		play func(h *Holder, now *time.Duration)
		want bool
	}{
		"both lost the store": {func(h *Holder, now *time.Duration) {
			h.call(true)
			*now += time.Second
			h.recordStale("a")
			h.call(false)
		}, true},
		"never answered": {func(h *Holder, now *time.Duration) {
			h.recordStale("a")
			h.call(false)
		}, true},
		"only this host lost it": {func(h *Holder, now *time.Duration) {
			h.call(true)
			h.call(false)
		}, false},
		"the store has answered since": {func(h *Holder, now *time.Duration) {
			h.recordStale("a")
			h.call(false)
			*now += time.Second
			h.call(true)
		}, false},
		"the other is back": {func(h *Holder, now *time.Duration) {
			h.recordStale("a")
			h.call(false)
			*now += 3 * time.Second
		}, false},
		"lost again after it was back": {func(h *Holder, now *time.Duration) {
			h.recordStale("a")
			*now += time.Second
			h.recordCurrent("a")
			h.call(true)
			*now += time.Second
			h.recordStale("a")
			h.call(false)
		}, true},
		"lost again long after": {func(h *Holder, now *time.Duration) {
			h.recordStale("a")
			*now += time.Second
			h.call(true)
			*now += time.Minute
			h.recordStale("a")
			h.call(false)
		}, true},
		"another call waits for its answer": {func(h *Holder, _ *time.Duration) {
			h.recordStale("a")
			h.begin()
		}, true},
		"another call waits for changes": {func(h *Holder, _ *time.Duration) {
			h.begin()
		}, false},
		"one of two is cut off": {func(h *Holder, now *time.Duration) {
			h.recordStale("cut off")
			*now += time.Second
			h.call(true)
			*now += time.Second
			h.recordStale("cut off")
			h.recordStale("a")
			h.call(false)
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Minute
			h := &Holder{Now: func() time.Duration { return now }}
			c.play(h, &now)
			if got := h.holds(); got != c.want {
				t.Errorf("held back %t, want %t", got, c.want)
			}
		})
	}
}

// call makes one call to the store, whether or not calls are held back.
func (h *Holder) call(answered bool) {
	h.calls++
	h.recordCall(answered)
}
