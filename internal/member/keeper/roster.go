package keeper

import (
	"slices"

	"github.com/cuminwick/cuminwick/internal/member/declarer"
	"github.com/cuminwick/cuminwick/internal/pool/assigner"
)

// sameMembers reports whether two views have the same members in the same
// states, and the same ones out of reach.
func sameMembers(a, b declarer.View) bool {
	return slices.Equal(a.Members, b.Members) && slices.Equal(unheard(a), unheard(b))
}

// unheard returns the members of its own zone that the view's host can't reach.
func unheard(v declarer.View) []string {
	for _, z := range v.Zones {
		if z.Name == v.Self.AvailabilityZone {
			return z.Unreachable
		}
	}
	return nil
}

// Live returns the entry hosts as the ranking of pool owners takes them. Hosts
// that are out of this one's reach own nothing as far as it is concerned, like
// leaving ones: two hosts that differ in that merely share a server's connections.
func (k *Keeper) Live() []assigner.Host {
	v := k.View()
	u := unheard(v)
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

// Changed returns a channel that is closed at the next change of Live.
func (k *Keeper) Changed() <-chan struct{} {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.changed
}
