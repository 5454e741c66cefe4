package runner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/proxy/cachesyncer"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

const (
	// hostsPerUpstream is the maximum size of a shard, a part of an availability zone whose hosts
	// read through one of them. Each of the others makes a call per second for each of three
	// kinds of object, so that the upstream host answers 72 calls per second at most.
	hostsPerUpstream = 25
	// upstreamRetryDelay is how long a host that did not answer, or has lost the store, is skipped
	// as an upstream host.
	upstreamRetryDelay = 3 * time.Second
)

// rankUpstreams sorts the hosts of this host's region by their order as upstream hosts: those with
// more bandwidth first, equal ones by a hash. A host reads only from hosts before it in this order,
// whichever of them it has listed or skips. Hosts therefore never read from each other in a cycle,
// in which each would confirm the others' outdated state. The caller holds the mutex.
func (r *roster) rankUpstreams() {
	region := r.regions[r.self.AvailabilityZone]
	r.upstreams = r.upstreams[:0]
	for _, h := range r.hosts {
		if r.regions[h.AvailabilityZone] == region {
			r.upstreams = append(r.upstreams, h)
		}
	}
	slices.SortFunc(r.upstreams, compareUpstreams)
}

func compareUpstreams(a, b declarer.Host) int {
	return cmp.Or(cmp.Compare(b.Bandwidth, a.Bandwidth), cmp.Compare(upstreamHash(a.Name), upstreamHash(b.Name)), cmp.Compare(a.Name, b.Name))
}

func upstreamHash(host string) uint64 { return xxhash.Sum64String("reader-" + host) }

// upstream returns the host from which to read a kind of object, false if this host reads the store
// itself. The first host of a region reads the store, the first host of each shard reads from that
// one, and the other hosts read from the first of their shard.
func (r *roster) upstream(kind string) (declarer.Host, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	shards := r.shards()
	shard := upstreamHash(r.self.Name) % shards
	h, ok := r.firstUpstream(kind, func(h declarer.Host) bool {
		return h.AvailabilityZone == r.self.AvailabilityZone && upstreamHash(h.Name)%shards == shard
	})
	if ok {
		return h, true
	}
	return r.firstUpstream(kind, func(declarer.Host) bool { return true })
}

// shards returns the number of shards of this host's availability zone. The caller holds the mutex.
func (r *roster) shards() uint64 {
	n := 0
	for _, h := range r.upstreams {
		if h.AvailabilityZone == r.self.AvailabilityZone {
			n++
		}
	}
	return uint64(max(1, (n+hostsPerUpstream-1)/hostsPerUpstream))
}

// firstUpstream returns the first host before this one that matches and isn't skipped, false if
// there is none. The caller holds the mutex.
func (r *roster) firstUpstream(kind string, matches func(declarer.Host) bool) (declarer.Host, bool) {
	for _, h := range r.upstreams {
		if compareUpstreams(h, r.self) >= 0 {
			break
		}
		if matches(h) && !r.isSkipped(h.Name, kind) {
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

// skip skips a host for upstreamRetryDelay, for one kind of object or for all if kind is empty. It
// reports whether the previous skip ended longer than upstreamRetryDelay ago or there was none, so
// that a lasting failure is logged once.
func (r *roster) skip(host, kind string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.skippedUntil == nil {
		r.skippedUntil = make(map[skipKey]time.Time)
	}
	maps.DeleteFunc(r.skippedUntil, func(_ skipKey, until time.Time) bool { return time.Since(until) > upstreamRetryDelay })
	k := skipKey{host: host, kind: kind}
	before := r.skippedUntil[k]
	r.skippedUntil[k] = time.Now().Add(upstreamRetryDelay)
	return time.Since(before) > upstreamRetryDelay
}

// UpstreamHost returns the host from which to read a kind of object, false if this host reads the
// platform's store itself.
func (h *Host) UpstreamHost(kind string) (declarer.Host, bool) { return h.roster.upstream(kind) }

// UpstreamFailed skips a host that did not answer, for all kinds of object, or one that has lost
// the store, for the kind it was asked for.
func (h *Host) UpstreamFailed(x declarer.Host, kind string, err error) {
	skipped := kind
	if !errors.Is(err, cachesyncer.ErrStale) {
		skipped = ""
	}
	if h.roster.skip(x.Name, skipped) {
		h.Log.WithError(err).WithFields(log.Fields{"host": x.Name, "kind": kind}).Warn("platform not read through another host")
	}
}
