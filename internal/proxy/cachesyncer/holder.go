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
)

// Holder holds back a host's calls to the store while that doesn't answer and upstream hosts say that
// they have lost it too. The store counts refused calls as well, and without a limit their number would
// grow with the number of hosts. It is shared by the selectors of all kinds of object. Its exported
// field is set before use.
type Holder struct {
	// Now reads the clock of the mirrors.
	Now func() time.Duration

	mu sync.Mutex
	// nextCheck is until when calls are held back, lastStale when an upstream host last said that it
	// has lost the store.
	nextCheck, lastStale time.Duration
}

// recordStale records that an upstream host has lost the store.
func (h *Holder) recordStale() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastStale = h.Now()
}

// recordCall records whether the store has answered a call.
func (h *Holder) recordCall(answered bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.nextCheck = 0
	if !answered {
		h.nextCheck = h.Now() + storeCheckInterval/2 + rand.N(storeCheckInterval)
	}
}

// holds reports whether the store isn't to be called now.
func (h *Holder) holds() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.Now()
	return now < h.nextCheck && h.lastStale > 0 && now-h.lastStale < staleMemory
}
