package quotakeeper

import (
	"context"
	"time"

	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

const (
	// contactLimit is how long after it last heard from another host a host counts on for its zone.
	// Hosts that don't reach it ask the next one by then.
	contactLimit = time.Second
	// contactGap is the time without a sign of another host after which others have taken over: they
	// wait takeTimeout for an answer, and ask the next host then.
	contactGap = 400 * time.Millisecond
	// contactPause is the time from a failed attempt to reach another host to the next one.
	contactPause = 200 * time.Millisecond
	// zoneContacts and otherContacts are how many hosts of the zone, and of other zones, are tried.
	zoneContacts, otherContacts = 2, 3
)

// Heard records that another host has asked or answered.
func (k *Keeper) Heard() {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.Now()
	if now-k.contactAt > contactGap {
		k.limiter.TakeOverAll(now)
	}
	k.contactAt = now
}

// inTouch reports whether this host may count for its zone: it has heard from another host lately, or
// reaches one now, or no other host could count in its place.
func (k *Keeper) inTouch(ctx context.Context, customer string) bool {
	zone := k.others(k.Zone, customer, zoneContacts)
	if len(zone) == 0 {
		return true
	}
	k.mu.Lock()
	now := k.Now()
	heard := k.contactAt != 0 && now-k.contactAt < contactLimit
	paused := k.lostAt != 0 && now-k.lostAt < contactPause
	k.mu.Unlock()
	if heard || paused {
		return heard
	}
	if k.reachesAny(ctx, customer, zone) || k.reachesAny(ctx, customer, k.outside(customer)) {
		k.Heard()
		return true
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lostAt = k.Now()
	return false
}

// others returns up to n hosts of a zone without this one.
func (k *Keeper) others(zone, customer string, n int) []declarer.Host {
	var l []declarer.Host
	for _, h := range k.Counters(zone, customer) {
		if h.Name != k.Self && len(l) < n {
			l = append(l, h)
		}
	}
	return l
}

// outside returns hosts of other zones, one a zone.
func (k *Keeper) outside(customer string) []declarer.Host {
	var l []declarer.Host
	for _, z := range k.Zones {
		if z != k.Zone && len(l) < otherContacts {
			l = append(l, k.others(z, customer, 1)...)
		}
	}
	return l
}

// reachesAny reports whether one of the hosts answers. It asks all of them at the same time.
func (k *Keeper) reachesAny(ctx context.Context, customer string, l []declarer.Host) bool {
	c, cancel := context.WithTimeout(ctx, drawTimeout)
	defer cancel()
	results := make(chan bool, len(l))
	for _, h := range l {
		go (&contact{keeper: k, host: h, customer: customer, results: results}).run(c)
	}
	for range l {
		if <-results {
			return true
		}
	}
	return false
}

// contact asks one host for no tokens, to see whether it answers.
type contact struct {
	keeper   *Keeper
	host     declarer.Host
	customer string
	results  chan<- bool
}

func (c *contact) run(ctx context.Context) {
	l, err := c.keeper.peers.get(ctx, c.host)
	if err == nil {
		_, err = l.peer.Draw(ctx, c.customer, 0)
	}
	c.results <- err == nil
}
