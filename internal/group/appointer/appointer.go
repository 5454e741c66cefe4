// Package appointer decides which entry hosts serve a database group, that is, poll its backend servers and promote; all other hosts get its state from them.
package appointer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cuminwick/cuminwick/internal/config/declarer"
	"github.com/cuminwick/cuminwick/internal/pool/assigner"
)

// DefaultHostsPerServer is the number of serving hosts for each backend server: the owner of its pool
// and the successor, which takes over when the owner fails.
const DefaultHostsPerServer = 2

// Owners ranks the entry hosts for a backend server, usually a ranker.Ranker.
type Owners interface {
	Owners(s assigner.Server, n int) assigner.Owners
}

// ServingHosts returns the names of the group's serving hosts, none if no host is known. For each
// backend server they are the owner of its pool and the next hosts in the same availability zone,
// perServer in total. An availability zone with fewer hosts has fewer serving hosts; if it has none,
// the owner in another availability zone serves.
//
// Each owner of a pool is a serving host, so that the host that lends connections to a server has
// the server's state without a request to another host. Each availability zone that has both hosts
// and servers of the group has a serving host, so that it still observes its own servers while it
// is cut off.
func ServingHosts(o Owners, zones map[string]string, g declarer.DatabaseGroup, perServer int) []string {
	var l []string
	for _, b := range g.BackendServers {
		s := assigner.Server{DatabaseGroup: g.Name, Name: b.Name, AvailabilityZone: b.AvailabilityZone, Region: b.Region}
		r := o.Owners(s, perServer)
		for i, h := range r.Hosts[:r.Count] {
			if i > 0 && zones[h] != b.AvailabilityZone || slices.Contains(l, h) {
				continue
			}
			l = append(l, h)
		}
	}
	return l
}

// Location is the location of the named entry host.
type Location struct {
	Name             string
	AvailabilityZone string
	Region           string
}

// OrderByDistance returns the names of the serving hosts other than the host at the given location,
// in the order in which that host contacts them: those in its availability zone, those in its
// region, others. Hosts at the same distance are ordered by a hash of both names, so that the hosts
// of an availability zone spread over its serving hosts.
func OrderByDistance(at Location, serving []Location) []string {
	l := slices.Clone(serving)
	slices.SortFunc(l, func(a, b Location) int {
		return cmp.Or(cmp.Compare(distance(at, a), distance(at, b)), cmp.Compare(weight(at, a), weight(at, b)), cmp.Compare(a.Name, b.Name))
	})
	var n []string
	for _, p := range l {
		if p.Name != at.Name {
			n = append(n, p.Name)
		}
	}
	return n
}

func distance(a, b Location) int {
	switch {
	case a.AvailabilityZone == b.AvailabilityZone:
		return 0
	case a.Region == b.Region:
		return 1
	default:
		return 2
	}
}

func weight(a, b Location) uint64 {
	return xxhash.Sum64String(a.Name + "\x00" + b.Name)
}
