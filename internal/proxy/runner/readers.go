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
	// readerHosts is how many hosts of an availability zone read through one of them. Each
	// makes a call a second for each of three kinds of object, so it answers 72 a second at
	// most.
	readerHosts = 25
	// readerSilent is how long a host that didn't answer, or has lost the store, isn't read
	// from.
	readerSilent = 3 * time.Second
)

// rankReaders puts the hosts of this host's region in the order in which they are read from:
// those with more bandwidth first, equal ones by a hash. A host reads only from hosts before
// it in this order, whichever of them it knows or passes over, so that no two hosts vouch
// for each other's state in a circle. The mutex is held.
func (r *roster) rankReaders() {
	region := r.regions[r.own.AvailabilityZone]
	r.readers = r.readers[:0]
	for _, h := range r.hosts {
		if r.regions[h.AvailabilityZone] == region {
			r.readers = append(r.readers, h)
		}
	}
	slices.SortFunc(r.readers, compareReaders)
}

func compareReaders(a, b declarer.Host) int {
	return cmp.Or(cmp.Compare(b.Bandwidth, a.Bandwidth), cmp.Compare(readerHash(a.Name), readerHash(b.Name)), cmp.Compare(a.Name, b.Name))
}

func readerHash(host string) uint64 { return xxhash.Sum64String("reader-" + host) }

// reader returns the host from which to read a kind of object, false if this host is
// to read the store itself. The first host of a region reads the store, the first one of
// each part of an availability zone from that, and the others from the first of their part.
func (r *roster) reader(kind string) (declarer.Host, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	parts := r.parts()
	own := readerHash(r.own.Name) % parts
	h, ok := r.firstReader(kind, func(h declarer.Host) bool {
		return h.AvailabilityZone == r.own.AvailabilityZone && readerHash(h.Name)%parts == own
	})
	if ok {
		return h, true
	}
	return r.firstReader(kind, func(declarer.Host) bool { return true })
}

// parts returns in how many parts this host's zone reads through a host each. The mutex is
// held.
func (r *roster) parts() uint64 {
	n := 0
	for _, h := range r.readers {
		if h.AvailabilityZone == r.own.AvailabilityZone {
			n++
		}
	}
	return uint64(max(1, (n+readerHosts-1)/readerHosts))
}

// firstReader returns the first host before this one that fits and isn't passed over, false
// if there is none. The mutex is held.
func (r *roster) firstReader(kind string, fits func(declarer.Host) bool) (declarer.Host, bool) {
	for _, h := range r.readers {
		if compareReaders(h, r.own) >= 0 {
			break
		}
		if fits(h) && !r.passedOver(h.Name, kind) {
			return h, true
		}
	}
	return declarer.Host{}, false
}

// silence is what a host isn't read for: a kind of object, all if it is empty.
type silence struct {
	host, kind string
}

// passedOver reports whether the host isn't read from now. The mutex is held.
func (r *roster) passedOver(host, kind string) bool {
	now := time.Now()
	return now.Before(r.silent[silence{host: host}]) || now.Before(r.silent[silence{host: host, kind: kind}])
}

// passOver leaves a host out for a while, for one kind of object or for all if that is empty,
// and reports whether it had answered before.
func (r *roster) passOver(host, kind string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.silent == nil {
		r.silent = make(map[silence]time.Time)
	}
	maps.DeleteFunc(r.silent, func(_ silence, until time.Time) bool { return time.Since(until) > readerSilent })
	k := silence{host: host, kind: kind}
	before := r.silent[k]
	r.silent[k] = time.Now().Add(readerSilent)
	return time.Since(before) > readerSilent
}

// UpstreamHost returns the host from which to read a kind of object, false for the platform's
// store itself.
func (h *Host) UpstreamHost(kind string) (declarer.Host, bool) { return h.roster.reader(kind) }

// UpstreamFailed notes a host that didn't answer, or can't vouch for what it has of a kind.
func (h *Host) UpstreamFailed(x declarer.Host, kind string, err error) {
	over := kind
	if !errors.Is(err, cachesyncer.ErrStale) {
		over = ""
	}
	if h.roster.passOver(x.Name, over) {
		h.Log.WithError(err).WithFields(log.Fields{"host": x.Name, "kind": kind}).Warn("platform not read through another host")
	}
}
