package runner

import (
	"strconv"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"

	"github.com/cuminwick/cuminwick/internal/pool/assigner"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

const (
	// readerHosts is how many hosts of an availability zone read the store through one
	// of them. Each makes a call a second for each of three kinds of object, so it answers
	// 72 a second at most.
	readerHosts = 25
	// readerSilent is how long a host that didn't answer, or has lost the store, isn't read
	// from.
	readerSilent = 3 * time.Second
)

// reader returns the host of this availability zone from which to read what the platform
// lists, false if this host is to read the store itself. Hosts of a zone that see the same
// hosts come to the same ones.
func (r *roster) reader(zone string) (declarer.Host, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.assigner == nil {
		return declarer.Host{}, false
	}
	slots := r.slots(zone)
	own := int(xxhash.Sum64String(r.self) % uint64(slots))
	var found declarer.Host
	for i := range slots {
		h, ok := r.first(zone, i)
		if !ok || h.Name == r.self {
			return declarer.Host{}, false // others read through this one
		}
		if i == own {
			found = h
		}
	}
	return found, true
}

// slots returns in how many parts the zone's hosts read through one each. The mutex is
// held.
func (r *roster) slots(zone string) int {
	n := 0
	for _, h := range r.hosts {
		if h.AvailabilityZone == zone {
			n++
		}
	}
	return max(1, (n+readerHosts-1)/readerHosts)
}

// first returns the first host in the order of a part of the zone that isn't left out, false
// if there is none. The mutex is held.
func (r *roster) first(zone string, slot int) (declarer.Host, bool) {
	o := r.assigner.Owners(assigner.Server{Name: "reader-" + strconv.Itoa(slot), AvailabilityZone: zone, Region: r.regions[zone]}, assigner.MaximumOwners)
	for _, n := range o.Hosts[:o.Count] {
		h := r.hosts[n]
		if n == r.self || h.AvailabilityZone == zone && time.Now().After(r.silent[n]) {
			return h, h.AvailabilityZone == zone
		}
	}
	return declarer.Host{}, false
}

// passOver leaves a host out for a while, and reports whether it had answered before.
func (r *roster) passOver(host string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.silent == nil {
		r.silent = make(map[string]time.Time)
	}
	before := r.silent[host]
	r.silent[host] = time.Now().Add(readerSilent)
	return time.Since(before) > readerSilent
}

// ReaderHost returns the host from which to read what the platform lists, false for the
// platform's store itself.
func (h *Host) ReaderHost() (declarer.Host, bool) { return h.roster.reader(h.Self.AvailabilityZone) }

// ReaderFailed notes a host that didn't answer, or can't vouch for what it has.
func (h *Host) ReaderFailed(x declarer.Host, kind string, err error) {
	if h.roster.passOver(x.Name) {
		h.Log.WithError(err).WithFields(log.Fields{"host": x.Name, "kind": kind}).Warn("platform not read through another host")
	}
}
