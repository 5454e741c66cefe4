package runner

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/proxy/cachesyncer"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

const (
	// hostsPerUpstream is the maximum number of hosts of an availability zone for each host of it
	// that they read through. Each of them makes a call per second for each of three kinds of
	// object, so that an upstream host answers 72 calls per second in the mean.
	hostsPerUpstream = 25
	// upstreamRetryDelay is how long a host that did not answer is skipped as an upstream host.
	upstreamRetryDelay = 3 * time.Second
	// detourTime is how long a host reads through another one than the first in its order, after the first ones had lost
	// the store.
	detourTime = 5 * time.Second
	// regionLeaders is how many of a region's first hosts begin to read at once when the store is back.
	regionLeaders = 3
	// staleRetryDelay is the same for a host that has lost the store: when it has regained it, the
	// others learn of that by asking it.
	staleRetryDelay = time.Second
)

// orderUpstreams sorts the hosts of a region by their order as upstream hosts: those with more
// bandwidth first, equal ones by a hash. A host reads only from hosts before it in this order,
// whichever of them it has listed or skips. Hosts therefore never read from each other in a cycle,
// in which each would confirm the others' outdated state.
func orderUpstreams(l []declarer.Host) { slices.SortFunc(l, compareUpstreams) }

func compareUpstreams(a, b declarer.Host) int {
	return cmp.Or(cmp.Compare(b.Bandwidth, a.Bandwidth), cmp.Compare(upstreamHash(a.Name), upstreamHash(b.Name)), cmp.Compare(a.Name, b.Name))
}

func upstreamHash(host string) uint64 { return xxhash.Sum64String("reader-" + host) }

// zoneUpstreams returns the number of hosts of an availability zone of n hosts through which the
// others of it read.
func zoneUpstreams(n int) int { return max(1, (n+hostsPerUpstream-1)/hostsPerUpstream) }

// candidates returns the hosts through which self may read, in the order in which they are tried.
// The first host of the region has none and reads the store. The first n hosts of an availability
// zone read through the first hosts of the region, and the others through one of those n: which one
// they try first depends on a hash of both, so that each serves about as many. ordered holds hosts of
// self's region in their order as upstream hosts.
func candidates(ordered []declarer.Host, self declarer.Host, n int) []declarer.Host {
	var before, zone []declarer.Host
	for _, h := range ordered {
		if compareUpstreams(h, self) >= 0 {
			break
		}
		before = append(before, h)
		if h.AvailabilityZone == self.AvailabilityZone {
			zone = append(zone, h)
		}
	}
	if len(zone) < n {
		return before
	}
	slices.SortFunc(zone[:n], func(a, b declarer.Host) int {
		return cmp.Compare(xxhash.Sum64String(self.Name+"/"+a.Name), xxhash.Sum64String(self.Name+"/"+b.Name))
	})
	return append(zone, before...)
}

// rankUpstreams recomputes the hosts through which this host may read from the listed hosts. The
// caller holds the mutex.
func (r *roster) rankUpstreams() {
	r.region = r.listRegion()
	n := 0
	for _, h := range r.region {
		if h.AvailabilityZone == r.self.AvailabilityZone {
			n++
		}
	}
	r.upstreams = candidates(r.region, r.self, zoneUpstreams(n))
}

// listRegion returns the listed hosts of this host's region in their order as upstream hosts. The
// caller holds the mutex.
func (r *roster) listRegion() []declarer.Host {
	var l []declarer.Host
	for _, h := range r.hosts {
		if r.regions[h.AvailabilityZone] == r.regions[r.self.AvailabilityZone] {
			l = append(l, h)
		}
	}
	orderUpstreams(l)
	return l
}

// detour is a host that is read through in place of the first one in the order, until a time.
type detour struct {
	host  declarer.Host
	until time.Time
}

// takeDetour draws a host through which to read a kind of object for detourTime, false if there is none.
func (r *roster) takeDetour(kind string) (declarer.Host, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := slices.DeleteFunc(slices.Clone(r.upstreams), func(h declarer.Host) bool { return r.isSkipped(h.Name, kind) })
	if len(l) == 0 {
		return declarer.Host{}, false
	}
	d := detour{host: l[rand.IntN(len(l))], until: time.Now().Add(detourTime)}
	if r.detours == nil {
		r.detours = make(map[string]detour)
	}
	r.detours[kind] = d
	return d.host, true
}

// upstream returns the host from which to read a kind of object, false if this host reads the store
// itself.
func (r *roster) upstream(kind string) (declarer.Host, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if d := r.detours[kind]; time.Now().Before(d.until) && !r.isSkipped(d.host.Name, kind) && slices.Contains(r.upstreams, d.host) {
		return d.host, true
	}
	for _, h := range r.upstreams {
		if !r.isSkipped(h.Name, kind) {
			return h, true
		}
	}
	return declarer.Host{}, false
}

// skipKey identifies a host that is skipped for one kind of object, or for all if kind is empty.
type skipKey struct {
	host, kind string
}

// isSkipped reports whether the host is currently skipped for the kind. The caller holds the mutex.
func (r *roster) isSkipped(host, kind string) bool {
	now := time.Now()
	return now.Before(r.skippedUntil[skipKey{host: host}]) || now.Before(r.skippedUntil[skipKey{host: host, kind: kind}])
}

// skip skips a host for upstreamRetryDelay, for all kinds of object. See skipFor.
func (r *roster) skip(host string) bool { return r.skipFor(host, "", upstreamRetryDelay) }

// skipFor skips a host for d, for one kind of object or for all if kind is empty. It reports whether the
// previous skip ended longer than upstreamRetryDelay ago or there was none, so that a lasting failure is
// logged once.
func (r *roster) skipFor(host, kind string, d time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.skippedUntil == nil {
		r.skippedUntil = make(map[skipKey]time.Time)
	}
	maps.DeleteFunc(r.skippedUntil, func(_ skipKey, until time.Time) bool { return time.Since(until) > upstreamRetryDelay })
	k := skipKey{host: host, kind: kind}
	before := r.skippedUntil[k]
	r.skippedUntil[k] = time.Now().Add(d)
	return time.Since(before) > upstreamRetryDelay
}

// forgetStale ends the time for which hosts that have lost the store are skipped.
func (r *roster) forgetStale() {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.skippedUntil, func(k skipKey, _ time.Time) bool { return k.kind != "" })
}

// leads reports whether this host is one of the region's first or of those through which its availability zone reads.
func (r *roster) leads() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return leads(r.region, r.self)
}

// leads reports whether other hosts read through self first. ordered holds the hosts of self's region in their order as
// upstream hosts.
func leads(ordered []declarer.Host, self declarer.Host) bool {
	ahead, zoneAhead, zone := 0, 0, 0
	for _, h := range ordered {
		before := compareUpstreams(h, self) < 0
		if before {
			ahead++
		}
		if h.AvailabilityZone != self.AvailabilityZone {
			continue
		}
		zone++
		if before {
			zoneAhead++
		}
	}
	return ahead < regionLeaders || zoneAhead < zoneUpstreams(zone)
}

// UpstreamDetour returns any host from which a kind of object may be read. UpstreamHost returns it for a while.
func (h *Host) UpstreamDetour(kind string) (declarer.Host, bool) { return h.roster.takeDetour(kind) }

// UpstreamHost returns the host from which to read a kind of object, false if this host reads the
// platform's store itself.
func (h *Host) UpstreamHost(kind string) (declarer.Host, bool) { return h.roster.upstream(kind) }

// RegionSize returns the number of listed hosts in this host's region.
func (h *Host) RegionSize() int {
	r := &h.roster
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.region)
}

// RegionHosts returns the other listed hosts of this host's region, in their order as upstream hosts.
func (h *Host) RegionHosts() []declarer.Host {
	r := &h.roster
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(r.region), func(o declarer.Host) bool { return o.Name == r.self.Name })
}

// RetryPlatform reads the platform's objects anew, as another host can. Upstream hosts that had lost the store are asked
// again. Those that many others read through begin at once and the others within the usual pause, so that most of
// them find an upstream host that has it.
func (h *Host) RetryPlatform() {
	h.roster.forgetStale()
	if h.roster.leads() {
		h.gate.hasten()
	}
}

// UpstreamFailed skips a host that did not answer, for all kinds of object, or one that has lost
// the store, for the kind it was asked for.
func (h *Host) UpstreamFailed(x declarer.Host, kind string, err error) {
	skipped, d := "", upstreamRetryDelay
	if errors.Is(err, cachesyncer.ErrStale) || errors.Is(err, cachesyncer.ErrUnconfirmed) {
		skipped, d = kind, staleRetryDelay
	}
	if h.roster.skipFor(x.Name, skipped, d) {
		h.Log.WithError(err).WithFields(log.Fields{"host": x.Name, "kind": kind}).Warn("platform not read through another host")
	}
}
