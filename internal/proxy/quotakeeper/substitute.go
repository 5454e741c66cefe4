package quotakeeper

import (
	"context"
	"time"

	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

// silentPause is how long a host that hasn't answered whether it lists this one isn't asked again. It may
// have failed, and each question delays operations by up to passTimeout.
const silentPause = 15 * time.Second

// substitute returns the host that counts the customer's operations in place of this one, false if this
// one counts. A host that others don't list yet may be the first of its own list, while the next one counts
// for the zone: so this host counts once the next one lists it, or doesn't answer.
func (k *Keeper) substitute(ctx context.Context, customer string) (declarer.Host, bool) {
	h, ok := k.next(customer)
	if !ok {
		return h, false
	}
	listed, err := k.listedBy(ctx, h)
	if err != nil {
		k.mu.Lock()
		defer k.mu.Unlock()
		k.silent[h.Name] = k.Now() + silentPause
		return h, false
	}
	return h, !listed
}

// confirmed reports whether this host counts the customer's operations, without a question to another one.
func (k *Keeper) confirmed(customer string) bool {
	h, ok := k.next(customer)
	if !ok {
		return true
	}
	l := k.peers.present(h)
	return l != nil && l.listed.Load()
}

// next returns the next host of this zone that may be asked whether it lists this one, false if those that
// would count in place of this one haven't answered lately.
func (k *Keeper) next(customer string) (declarer.Host, bool) {
	for _, h := range k.others(k.Zone, customer, zoneContacts) {
		if !k.peers.skipped(h.Name) && !k.isSilent(h.Name) {
			return h, true
		}
	}
	return declarer.Host{}, false
}

func (k *Keeper) isSilent(host string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.Now() < k.silent[host]
}

// listedBy reports whether another host lists this one. The answer holds for the connection, unless this
// host is leaving.
func (k *Keeper) listedBy(ctx context.Context, h declarer.Host) (bool, error) {
	c, cancel := context.WithTimeout(ctx, passTimeout)
	defer cancel()
	l, err := k.peers.get(c, h)
	if err != nil {
		return false, err
	}
	if l.listed.Load() {
		return true, nil
	}
	listed, err := l.peer.Lists(c, k.Self)
	if err != nil {
		k.peers.fail(h.Name, l, err)
		return false, err
	}
	l.listed.Store(listed && !k.leaving.Load())
	return listed, nil
}

// Leave is called when this host's entry is removed: it goes on to count only as long as the next host
// lists it.
func (k *Keeper) Leave() {
	k.leaving.Store(true)
	k.peers.forgetListed()
}

// Lists reports whether this host lists a host of its zone.
func (k *Keeper) Lists(host string) bool {
	for _, h := range k.Counters(k.Zone, "") {
		if h.Name == host {
			return true
		}
	}
	return false
}
