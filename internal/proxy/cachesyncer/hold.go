package cachesyncer

import (
	"maps"
	"slices"
	"time"
)

// held is a hold in progress.
type held struct {
	since time.Duration
	calls int
}

// Hold says why calls to the store begin to be held back.
type Hold struct {
	// Kind is the kind of object whose call is held back.
	Kind string
	// Hosts are the upstream hosts that have lately said that they have lost the store.
	Hosts []string
	// LastKind is the kind of object that was asked for last, and LastAgo how long ago that call began.
	LastKind string
	LastAgo  time.Duration
	// Awaited is set if that call has no result yet.
	Awaited bool
	// For is how long calls are held back, zero until the result of that call.
	For time.Duration
}

// Release says how long calls to the store were held back, and why they no longer are.
type Release struct {
	// Answered is set if the store answers, otherwise another host is read from.
	Answered bool
	After    time.Duration
	// Calls counts the calls that were held back.
	Calls int
}

// recordHeld records that a call is held back. The mutex is held.
func (h *Holder) recordHeld(kind string) {
	now := h.Now()
	if h.held == nil {
		h.held = &held{since: now}
		h.reportHold(kind, now)
	}
	h.held.calls++
}

// reportHold reports that a hold begins. The mutex is held.
func (h *Holder) reportHold(kind string, now time.Duration) {
	if h.OnHold == nil {
		return
	}
	x := Hold{Kind: kind, Awaited: h.check != nil, For: max(0, h.nextCheck-now)}
	for _, n := range slices.Sorted(maps.Keys(h.losses)) {
		if now-h.losses[n].last < staleMemory {
			x.Hosts = append(x.Hosts, n)
		}
	}
	if h.last != nil {
		x.LastKind, x.LastAgo = h.last.kind, now-h.last.began
	}
	h.OnHold(x)
}

// release ends the hold in progress, if there is one. The mutex is held.
func (h *Holder) release(answered bool) {
	if h.held == nil {
		return
	}
	if h.OnRelease != nil {
		h.OnRelease(Release{Answered: answered, After: h.Now() - h.held.since, Calls: h.held.calls})
	}
	h.held = nil
}
