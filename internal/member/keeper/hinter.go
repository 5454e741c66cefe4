package keeper

import (
	"context"
	"slices"
	"time"

	"github.com/cuminwick/cuminwick/internal/member/declarer"
)

// Times between reads of the platform's host list. Only the relays of each zone and hosts that know
// no other live host read it, so that the number of calls grows with the zones and not with the
// hosts.
const (
	hostListIntervalAlone = 3 * time.Second
	hostListIntervalRelay = 30 * time.Second
	// hostListIntervalOther is the time after which a host that doesn't read the list checks again
	// whether it has to.
	hostListIntervalOther = 10 * time.Second
)

// loopHostList reads the host list at randomized intervals until ctx ends.
func (k *Keeper) loopHostList(ctx context.Context) {
	defer k.wait.Done()
	if k.Hosts == nil {
		return
	}
	var d time.Duration
	for k.Clock.Sleep(ctx, d) {
		d = jitter(k.readHostList(ctx), k.Random())
	}
}

// jitter returns d changed by up to a quarter in either direction, depending on a random number in
// [0, 1). Without it, hosts that start together would call the platform at the same times.
func jitter(d time.Duration, random float64) time.Duration {
	return d*3/4 + time.Duration(random*float64(d/2))
}

// readHostList reads the host list if this host has to, and returns the time until the next call.
func (k *Keeper) readHostList(ctx context.Context) time.Duration {
	alone, relay := classify(k.View())
	if !alone && !relay {
		return hostListIntervalOther
	}
	c, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	l, err := k.Hosts(c)
	if err != nil {
		k.Log.WithField("step", "read host list").WithField("peer", "platform").WithError(err).Debug("host list not read")
	} else {
		k.SetHints(l)
	}
	if alone {
		return hostListIntervalAlone
	}
	return hostListIntervalRelay
}

// classify reports whether the view's host knows no other live host, and whether it is a relay.
func classify(v declarer.View) (alone, relay bool) {
	live := 0
	for _, m := range v.Members {
		if m.State != declarer.Dead {
			live++
		}
	}
	for _, z := range v.Zones {
		relay = relay || slices.Contains(z.Relays, v.Self.Host)
	}
	return live <= 1, relay
}
