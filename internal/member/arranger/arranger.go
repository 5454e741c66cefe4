// Package arranger computes which entry hosts exchange heartbeats with each other.
package arranger

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// RelaysPerZone is the number of hosts of a zone that exchange heartbeats with other zones.
const RelaysPerZone = 2

// Ring returns the names sorted by their hash, so all hosts compute the same order. Hosts with
// similar names often share a rack and fail together; neighbours by hash seldom do.
func Ring(names []string) []string {
	r := slices.Clone(names)
	slices.SortFunc(r, byHash)
	return r
}

func byHash(a, b string) int {
	if c := cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)); c != 0 {
		return c
	}
	return cmp.Compare(a, b)
}

// Targets returns the members to which self sends heartbeats: those 1, 2, 4, 8, ... places ahead on
// the ring. Their number grows with the logarithm of the ring's size, and so does the number of hops
// after which an update has reached all members. It returns nil if self isn't on the ring.
func Targets(ring []string, self string) []string {
	return fingers(ring, self, 1)
}

// Sources returns the members that send heartbeats to self and that self therefore observes, nil if
// self isn't on the ring.
func Sources(ring []string, self string) []string {
	return fingers(ring, self, -1)
}

// fingers returns the members at distances of powers of two from self, forwards on the ring with
// direction 1 and backwards with -1.
func fingers(ring []string, self string, direction int) []string {
	at := slices.Index(ring, self)
	n := len(ring)
	if at < 0 {
		return nil
	}
	var l []string
	for d := 1; d < n; d *= 2 {
		l = append(l, ring[(at+direction*d+n)%n])
	}
	return l
}

// Observers returns the members that observe subject.
func Observers(ring []string, subject string) []string {
	return Targets(ring, subject)
}

// Rank returns the zone's hosts in the order in which they become its relays. It uses rendezvous
// hashing, so a host that joins or leaves doesn't change the order of the others.
func Rank(zone string, hosts []string) []string {
	l := make([]weightedHost, 0, len(hosts))
	for _, h := range hosts {
		l = append(l, weightedHost{host: h, weight: xxhash.Sum64String(zone + "\x00" + h)})
	}
	slices.SortFunc(l, compareWeights)
	r := make([]string, 0, len(l))
	for _, x := range l {
		r = append(r, x.host)
	}
	return r
}

type weightedHost struct {
	host   string
	weight uint64
}

func compareWeights(a, b weightedHost) int {
	if c := cmp.Compare(b.weight, a.weight); c != 0 {
		return c
	}
	return cmp.Compare(a.host, b.host)
}
