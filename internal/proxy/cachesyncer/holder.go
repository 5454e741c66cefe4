package cachesyncer

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// storeCheckInterval is the mean time between two calls to the store of a host whose upstream
	// hosts have lost it too. The hosts that others read through find out when it is back.
	storeCheckInterval = 10 * time.Second
	// staleMemory is how long the answer of an upstream host that it has lost the store is taken to
	// hold.
	staleMemory = 2 * time.Second
	// staleGap is the time without such an answer after which the next one begins another loss.
	staleGap = 10 * time.Second
)

// Holder holds back a host's calls to the store while that doesn't answer and upstream hosts say that
// they have lost it too. The store counts refused calls as well, and without a limit their number would
// grow with the number of hosts. It is shared by the selectors of all kinds of object. Its exported
// field is set before use.
type Holder struct {
	// Now reads the clock of the mirrors.
	Now func() time.Duration

	mu sync.Mutex
	// nextCheck is until when calls are held back, answeredAt when the store last answered this host,
	// and lastStale when an upstream host last said that it has lost the store, if it lost it after
	// that.
	nextCheck, answeredAt, lastStale time.Duration
	// losses holds the upstream hosts that have lost the store, by name.
	losses map[string]loss
	// calls is the number of calls to the store that are in progress.
	calls int
}

// loss is the time in which an upstream host has said that it has lost the store.
type loss struct{ since, last time.Duration }

// recordStale records that an upstream host has lost the store. One that lost it before the store last
// answered this host is cut off, which tells nothing about the store.
func (h *Holder) recordStale(host string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.Now()
	l, ok := h.losses[host]
	if !ok || now-l.last > staleGap {
		l.since = now
	}
	l.last = now
	if h.losses == nil {
		h.losses = make(map[string]loss)
	}
	h.losses[host] = l
	if l.since >= h.answeredAt {
		h.lastStale = now
	}
}

// recordCurrent records that an upstream host has answered with current data.
func (h *Holder) recordCurrent(host string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.losses, host)
}

// begin reports whether the store may be called now. If so, recordCall must be called afterwards.
func (h *Holder) begin() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.holds() {
		return false
	}
	h.calls++
	return true
}

// recordCall records whether the store has answered a call.
func (h *Holder) recordCall(answered bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calls--
	now := h.Now()
	if answered {
		h.nextCheck, h.answeredAt = 0, now
		return
	}
	h.nextCheck = now + storeCheckInterval/2 + rand.N(storeCheckInterval)
}

// holds reports whether the store isn't to be called now, since a call wasn't answered or still waits
// for its answer. The mutex is held.
func (h *Holder) holds() bool {
	now := h.Now()
	stale := h.lastStale > 0 && now-h.lastStale < staleMemory
	return stale && (now < h.nextCheck || h.calls > 0)
}
