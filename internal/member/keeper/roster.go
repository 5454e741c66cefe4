package keeper

import (
	"slices"

	"github.com/cuminwick/cuminwick/internal/member/declarer"
	"github.com/cuminwick/cuminwick/internal/pool/assigner"
)

// sameMembers reports whether two views have the same members in the same states and the same
// unreachable hosts.
func sameMembers(a, b declarer.View) bool {
	return slices.Equal(a.Members, b.Members) && slices.Equal(unreachable(a), unreachable(b))
}

// unreachable returns the members of its own zone that the view's host can't reach.
func unreachable(v declarer.View) []string {
	for _, z := range v.Zones {
		if z.Name == v.Self.AvailabilityZone {
			return z.Unreachable
		}
	}
	return nil
}

// Live returns the members that aren't dead, as input of the ranking of pool owners. Hosts that
// this host can't reach are marked as leaving, so that they own no pools from its point of view. If
// two hosts disagree about that, they only share a server's connections.
func (k *Keeper) Live() []assigner.Host {
	v := k.View()
	u := unreachable(v)
	var l []assigner.Host
	for _, m := range v.Members {
		if m.State == declarer.Dead {
			continue
		}
		l = append(l, assigner.Host{
			Name:             m.Host,
			AvailabilityZone: m.AvailabilityZone,
			Region:           m.Region,
			Leaving:          m.State == declarer.Leaving || slices.Contains(u, m.Host),
		})
	}
	return l
}

// Changed returns a channel that is closed when the result of Live changes.
func (k *Keeper) Changed() <-chan struct{} {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.changed
}
