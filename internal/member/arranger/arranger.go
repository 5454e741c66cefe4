// Package arranger decides which entry hosts talk to each other regularly.
package arranger

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// RelaysPerZone is how many hosts of a zone speak to other zones.
const RelaysPerZone = 2

// Ring orders names by their hash, equally on all hosts. Neighbours by name
// often share a rack and fail together; neighbours by hash seldom do.
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

// Targets returns whom self sends heartbeats to: those 1, 2, 4, 8, ... places
// ahead on the ring. So the number grows with the logarithm of the zone, and
// news crosses the zone in as many hops.
func Targets(ring []string, self string) []string {
	return fingers(ring, self, 1)
}

// Sources returns those whose heartbeats self gets, and whom it observes.
func Sources(ring []string, self string) []string {
	return fingers(ring, self, -1)
}

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

// Observers returns the hosts that observe subject.
func Observers(ring []string, subject string) []string {
	return Targets(ring, subject)
}

// Rank returns the zone's hosts in the order in which they are its relays, by
// rendezvous hashing: a host that comes or goes moves no other one.
func Rank(zone string, hosts []string) []string {
	l := make([]ranked, 0, len(hosts))
	for _, h := range hosts {
		l = append(l, ranked{host: h, weight: xxhash.Sum64String(zone + "\x00" + h)})
	}
	slices.SortFunc(l, compare)
	r := make([]string, 0, len(l))
	for _, x := range l {
		r = append(r, x.host)
	}
	return r
}

type ranked struct {
	host   string
	weight uint64
}

func compare(a, b ranked) int {
	if c := cmp.Compare(b.weight, a.weight); c != 0 {
		return c
	}
	return cmp.Compare(a.host, b.host)
}
