package keeper

import (
	"context"
	"slices"
	"time"

	"github.com/cuminwick/cuminwick/internal/member/declarer"
)

// Times between reads of the platform's host list. Only a host that knows no
// other one and the relays of each zone read it, so that the calls grow with
// the zones and not with the hosts.
const (
	hintsAlone = 3 * time.Second
	hintsRelay = 30 * time.Second
	hintsOther = 10 * time.Second
)

// loopHints reads the host list at times, spread at random.
func (k *Keeper) loopHints(ctx context.Context) {
	defer k.wait.Done()
	if k.Hosts == nil {
		return
	}
	var d time.Duration
	for k.Clock.Sleep(ctx, d) {
		d = spread(k.hint(ctx), k.Random())
	}
}

// spread returns d give or take a quarter, by a random number in [0, 1). Hosts
// that start together would otherwise call the platform together from then on.
func spread(d time.Duration, random float64) time.Duration {
	return d*3/4 + time.Duration(random*float64(d/2))
}

// hint reads the host list if it is this host's turn and returns when to look again.
func (k *Keeper) hint(ctx context.Context) time.Duration {
	alone, relay := place(k.View())
	if !alone && !relay {
		return hintsOther
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
		return hintsAlone
	}
	return hintsRelay
}

// place tells whether the view's host knows no other one, and whether it is a relay.
func place(v declarer.View) (alone, relay bool) {
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
