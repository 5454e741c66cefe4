// Package assigner decides which entry host owns the connections to a backend server.
package assigner

import "github.com/cespare/xxhash/v2"

// Host is an entry host with the properties that its rank depends on.
type Host struct {
	Name             string
	AvailabilityZone string
	Region           string
	// Leaving reports that the host is shutting down; it owns no connections then.
	Leaving bool
	// Strength is the number of slots that the host can own, zero if unknown. Only Place reads it.
	Strength int
}

// Server is a backend server with the properties that its owners depend on.
type Server struct {
	DatabaseGroup    string
	Name             string
	AvailabilityZone string
	Region           string
	// Slots is how many requests the server runs at a time, zero if unknown. Only Place reads it.
	Slots int
}

// MaximumOwners is the maximum number of hosts that Owners can hold.
const MaximumOwners = 4

// Owners holds the owner of a backend server's connections and its successors, in order. Only the
// first Count elements of Hosts are set.
type Owners struct {
	Hosts [MaximumOwners]string
	Count int
}

// Assigner ranks the entry hosts for each backend server by rendezvous hashing: when a host joins
// or leaves, only the servers that it gains or loses change their owner. An Assigner is immutable
// and may be used by many goroutines.
type Assigner struct {
	zones   map[string][]candidate
	regions map[string][]candidate
	all     []candidate
	// strengths holds the strengths of the hosts of all.
	strengths []int
}

type candidate struct {
	name string
	zone string
	hash uint64
	// region is used to skip hosts of the server's region in the last step of Owners.
	region string
	// index is the host's place in Assigner.all.
	index int
}

// Compile returns an Assigner for the live hosts. Leaving hosts are left out.
func Compile(hosts []Host) *Assigner {
	a := &Assigner{zones: map[string][]candidate{}, regions: map[string][]candidate{}}
	for _, h := range hosts {
		if h.Leaving {
			continue
		}
		r := candidate{name: h.Name, zone: h.AvailabilityZone, region: h.Region, hash: xxhash.Sum64String(h.Name), index: len(a.all)}
		a.zones[r.zone] = append(a.zones[r.zone], r)
		a.regions[r.region] = append(a.regions[r.region], r)
		a.all = append(a.all, r)
		a.strengths = append(a.strengths, h.Strength)
	}
	return a
}

// Owners returns the owner of s and up to n-1 successors, at most MaximumOwners in total. Hosts of
// the server's availability zone come first, then those of its region, then all others, so that a
// zone without live entry hosts is still served.
func (a *Assigner) Owners(s Server, n int) Owners {
	n = min(n, MaximumOwners)
	k := s.key()
	var o Owners
	o.addBest(a.zones[s.AvailabilityZone], k, n, func(candidate) bool { return true })
	o.addBest(a.regions[s.Region], k, n, func(r candidate) bool { return r.zone != s.AvailabilityZone })
	o.addBest(a.all, k, n, func(r candidate) bool { return r.zone != s.AvailabilityZone && r.region != s.Region })
	return o
}

// key returns the hash by which the hosts' weights for s are computed.
func (s Server) key() uint64 {
	return xxhash.Sum64String(s.DatabaseGroup) ^ mix(xxhash.Sum64String(s.Name))
}

// Owner returns the owner of s, empty if there is no live host.
func (a *Assigner) Owner(s Server) string {
	return a.Owners(s, 1).Hosts[0]
}

// addBest appends the hosts of l that are eligible and have the highest weights for key, until
// there are n owners.
func (o *Owners) addBest(l []candidate, key uint64, n int, eligible func(candidate) bool) {
	first := o.Count
	if first >= n {
		return
	}
	var weights [MaximumOwners]uint64
	for _, h := range l {
		if !eligible(h) {
			continue
		}
		w := mix(h.hash ^ key)
		i := o.Count
		for i > first && better(w, h.name, weights[i-1], o.Hosts[i-1]) {
			i--
		}
		if i >= n {
			continue
		}
		o.Count = min(o.Count+1, n)
		copy(weights[i+1:o.Count], weights[i:o.Count-1])
		copy(o.Hosts[i+1:o.Count], o.Hosts[i:o.Count-1])
		weights[i] = w
		o.Hosts[i] = h.name
	}
}

// better orders by descending weight, and by name if two weights are equal, so that all entry hosts
// compute the same order.
func better(w uint64, name string, v uint64, other string) bool {
	if w == v {
		return name < other
	}
	return w > v
}

// mix is the finalizer of SplitMix64, which spreads the bits of x.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
