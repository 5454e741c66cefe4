// Package appointer decides which entry hosts serve a database group: they poll its backend servers and promote, and all others follow them.
package appointer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cuminwick/cuminwick/internal/config/declarer"
	"github.com/cuminwick/cuminwick/internal/pool/assigner"
)

// DefaultHostsPerServer is how many entry hosts serve for each backend server: the
// owner of its pool and the successor, who takes over when the owner is lost.
const DefaultHostsPerServer = 2

// Owners ranks the entry hosts for a backend server, usually a ranker.Ranker.
type Owners interface {
	Owners(s assigner.Server, n int) assigner.Owners
}

// ServingHosts returns the names of the group's serving hosts, none where no host is
// known yet. For each backend server they are the owner of its pool and the next
// ones in the same availability zone, perServer in all. A zone with fewer hosts
// has fewer; where it has none, the owner in another zone serves.
//
// Each owner of a pool is among them, so that whoever lends the connections to a
// server knows its state without asking anybody. And as each zone that has both
// is covered, a zone that is cut off still sees its own servers.
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

// Location is where an entry host stands.
type Location struct {
	Name             string
	AvailabilityZone string
	Region           string
}

// OrderByDistance sorts serving hosts by the order in which a host at the given place turns
// to them: those of its zone, of its region, others. Equals are ordered by a hash
// of both names, so that the hosts of a zone spread over its serving hosts.
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
