package cachesyncer

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cuminwick/cuminwick/internal/clock/scheduler"
)

const (
	// checksPerSecond is how many calls to the store the hosts of a region make in a second while all of them have lost
	// it. A region whose hosts ask less often than that takes no turns.
	checksPerSecond = 12
	// announceAfter is how long the store must have been lost for this host to tell others that it is back. After a
	// shorter loss they learn of that from the hosts that they read through.
	announceAfter = time.Second
	// resultWait is how long a call waits for the result of one for another kind of object, from the beginning of that
	// one. If the store answers it at all, its answer begins by then.
	resultWait = 700 * time.Millisecond
	// staleMemory is how long the answer of an upstream host that it has lost the store is taken to
	// hold.
	staleMemory = 2 * time.Second
	// staleGap is the time without such an answer after which the next one begins another loss.
	staleGap = 10 * time.Second
)

// Holder holds back a host's calls to the store while that doesn't answer and upstream hosts say that
// they have lost it too. The store counts refused calls as well, and without a limit their number would
// grow with the number of hosts. It is shared by the selectors of all kinds of object. Its exported
// fields are set before use.
//
// The hosts of a region take turns, without an order: any of them may be cut off from a store that is back. The
// first one that the store answers tells the others.
type Holder struct {
	// Now reads the clock of the mirrors.
	Now func() time.Duration
	// RegionSize returns the number of hosts in the region.
	RegionSize func() int
	// CheckInterval returns the shortest time between two calls of a host.
	CheckInterval func() time.Duration
	// Draw, if not nil, replaces rand.N.
	Draw func(n time.Duration) time.Duration
	// OnRegained, if not nil, is called when the store answers this host again, unless another host has just told that
	// it does. Like OnHold and OnRelease it must not call the Holder, whose mutex is held.
	OnRegained func()
	// OnHold, if not nil, is called when calls begin to be held back, and OnRelease when they no longer are.
	OnHold    func(Hold)
	OnRelease func(Release)

	mu sync.Mutex
	// nextCheck is until when calls are held back, answeredAt when the store last answered this host,
	// and lastStale when an upstream host last said that it has lost the store, if it lost it after
	// that. staleAt is when any upstream host last said so.
	nextCheck, answeredAt, lastStale, staleAt time.Duration
	// losses holds the upstream hosts that have lost the store, by name.
	losses map[string]loss
	// check is the call in progress that began after an upstream host had lost the store, nil if there is none,
	// and ended is closed when a call ends, nil while nothing waits for that.
	check *call
	ended chan struct{}
	// last is the last call that began, and pending holds those in progress.
	last    *call
	pending map[*call]struct{}
	// failedAt is when a call last failed.
	failedAt time.Duration
	// held is the hold in progress, nil if there is none.
	held *held
	// lostAt is when a call failed that the store hasn't answered since, zero if there is none, and noticedAt when
	// another host last told that the store answers it, and this host was to ask it because of that.
	lostAt, noticedAt time.Duration
	// heardAt is when any notice was last received.
	heardAt time.Duration
	// aligned is set if other hosts make their next call at the same time as this one.
	aligned bool
}

// loss is the time in which an upstream host has said that it has lost the store.
type loss struct{ since, last time.Duration }

// recordStale records that an upstream host has lost the store. One that lost it before the store last
// answered this host is cut off, which tells nothing about the store.
func (h *Holder) recordStale(host string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.Now()
	if now-h.staleAt > staleMemory {
		h.nextCheck, h.lostAt = 0, 0 // a call that failed in an earlier loss tells nothing about this one
	}
	h.staleAt = now
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
	h.release(false)
}

// begin returns a call to the store, nil if that may not be called now. end must be called with the call
// afterwards. While upstream hosts say that they have lost the store, begin waits for the result of a call that
// began since, for resultWait from its beginning.
func (h *Holder) begin(ctx context.Context, kind string) *call {
	for {
		c, x := h.tryBegin(ctx, kind)
		if x.ended == nil {
			return c
		}
		if scheduler.Await(ctx, x.ended, x.wait) != nil {
			return nil
		}
	}
}

// tryBegin is begin without a wait.
func (h *Holder) tryBegin(ctx context.Context, kind string) (*call, pendingResult) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now, stale := h.Now(), h.isStale()
	if stale && h.check != nil && now-h.check.began < resultWait {
		h.recordHeld(kind)
		if h.ended == nil {
			h.ended = make(chan struct{})
		}
		return nil, pendingResult{ended: h.ended, wait: h.check.began + resultWait - now}
	}
	if h.holds() || stale && h.givesWay(kind, now) {
		h.recordHeld(kind)
		return nil, pendingResult{}
	}
	c := &call{kind: kind, began: now, brief: stale}
	c.ctx, c.cancel = context.WithCancelCause(ctx)
	if h.pending == nil {
		h.pending = make(map[*call]struct{})
	}
	h.last, h.pending[c] = c, struct{}{}
	if stale {
		h.check, h.nextCheck = c, now+h.drawInterval()
	}
	return c, pendingResult{}
}

// end records whether the store has answered a call. asked is when the store was asked something that it would
// have answered at once, or when the call began: it has been silent at least since then.
func (h *Holder) end(c *call, answered bool, asked time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	superseded := c.isSuperseded()
	c.cancel(context.Canceled)
	delete(h.pending, c)
	if h.check == c {
		h.check = nil
	}
	if h.ended != nil {
		close(h.ended)
		h.ended = nil
	}
	now := h.Now()
	if answered {
		h.recordAnswer(c, now)
		return
	}
	if superseded {
		return
	}
	h.failedAt = now
	// What was asked before a notice tells nothing about the store after it.
	if h.nextCheck <= now && asked >= h.heardAt {
		h.nextCheck = asked + h.drawInterval()
	}
	if h.lostAt == 0 {
		h.lostAt = now
	}
}

// recordAnswer records that the store has answered a call. The mutex is held.
func (h *Holder) recordAnswer(c *call, now time.Duration) {
	news := h.isNews(c, now)
	h.nextCheck, h.answeredAt, h.lastStale, h.lostAt = 0, now, 0, 0
	h.release(true)
	h.supersede(c)
	if news && h.OnRegained != nil {
		h.OnRegained()
	}
}

// isNews reports whether other hosts are to be told that the store answers a call: it was lost until now, and nobody else
// has told so. The answer to a call that began before the loss, as a long poll does, doesn't tell that the store takes
// further ones. The mutex is held.
func (h *Holder) isNews(c *call, now time.Duration) bool {
	lost := h.lostAt > 0 && c.began >= h.lostAt+announceAfter
	lately := h.held != nil || now-h.failedAt < staleMemory
	return lost && lately && !h.isNoticed(now)
}

// isNoticed reports whether another host has told that the store answers it less than the shortest time between two calls
// ago. The mutex is held.
func (h *Holder) isNoticed(now time.Duration) bool {
	return h.noticedAt > 0 && now-h.noticedAt < h.CheckInterval()
}

// supersede gives up the calls from before the last failure, which c, now answered, came after: the store may have lost
// them, and a long poll would be waited for until its end. The mutex is held.
func (h *Holder) supersede(c *call) {
	if c.began < h.failedAt {
		return
	}
	for x := range h.pending {
		if x.began < h.failedAt && !x.receiving.Load() {
			x.cancel(errSuperseded)
		}
	}
}

// RecordNotice records that the store answers another host, and reports whether this host, which has lost it, asks it
// now. A host that the store turns away nevertheless, or another one's answers that come and go, cost one call in the
// shortest time between two.
func (h *Holder) RecordNotice() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.Now()
	h.heardAt = now
	if h.lostAt == 0 && h.held == nil || h.isNoticed(now) {
		return false
	}
	h.noticedAt, h.nextCheck, h.aligned = now, 0, true
	return true
}

// drawInterval returns the time from one call to the next. The hosts of a region lose the store at about the same time,
// and are told that it answers at the same time. So their turns are spread after the calls that follow from that. The
// mutex is held.
func (h *Holder) drawInterval() time.Duration {
	draw := h.Draw
	if draw == nil {
		draw = rand.N[time.Duration]
	}
	shortest := h.CheckInterval()
	turn := max(shortest, time.Duration(h.RegionSize())*time.Second/checksPerSecond)
	if h.lostAt == 0 || h.aligned {
		h.aligned = false
		return shortest + draw(turn-shortest+1)
	}
	return turn - draw(turn/10+1)
}

// holds reports whether calls are held back, since one wasn't answered. The mutex is held.
func (h *Holder) holds() bool { return h.isStale() && h.Now() < h.nextCheck }

// givesWay reports whether calls for the other kinds of object go first, as the last one was for this kind: the store may
// answer those only. The mutex is held.
func (h *Holder) givesWay(kind string, now time.Duration) bool {
	return h.lostAt > 0 && h.last != nil && h.last.kind == kind && now < h.nextCheck+h.CheckInterval()/2
}

// isStale reports whether an upstream host has said lately that it has lost the store. Until the next call fails, the
// store's own answer counts for more: a host that is cut off may be asked for the first time after it. The mutex is held.
func (h *Holder) isStale() bool {
	now := h.Now()
	answered := h.lostAt == 0 && h.answeredAt > 0 && now-h.answeredAt < h.CheckInterval()
	return !answered && h.lastStale > 0 && now-h.lastStale < staleMemory
}
