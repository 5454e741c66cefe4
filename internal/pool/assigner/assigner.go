// Package assigner decides which entry host owns the connections to a backend server.
package assigner

import "github.com/cespare/xxhash/v2"

// Host is one entry host as far as it matters here.
type Host struct {
	Name             string
	AvailabilityZone string
	Region           string
	// Leaving hosts own nothing.
	Leaving bool
}

// Server is one backend server.
type Server struct {
	DatabaseGroup    string
	Name             string
	AvailabilityZone string
	Region           string
}

// MaximumOwners is how many hosts in order Owners can return.
const MaximumOwners = 4

// Owners are the owner and its successors in order.
type Owners struct {
	Hosts [MaximumOwners]string
	Count int
}

// Assigner ranks the entry hosts for each backend server by rendezvous hashing:
// when a host comes or goes, only the servers that it gets or had move. It isn't
// changed after Compile and may be used by many goroutines.
type Assigner struct {
	zones   map[string][]ranked
	regions map[string][]ranked
	all     []ranked
}

type ranked struct {
	name string
	zone string
	hash uint64
	// region is kept to pass over hosts of the server's region in the last step.
	region string
}

// Compile sorts the live hosts by place.
func Compile(hosts []Host) *Assigner {
	a := &Assigner{zones: map[string][]ranked{}, regions: map[string][]ranked{}}
	for _, h := range hosts {
		if h.Leaving {
			continue
		}
		r := ranked{name: h.Name, zone: h.AvailabilityZone, region: h.Region, hash: xxhash.Sum64String(h.Name)}
		a.zones[r.zone] = append(a.zones[r.zone], r)
		a.regions[r.region] = append(a.regions[r.region], r)
		a.all = append(a.all, r)
	}
	return a
}

// Owners returns the owner of s and up to n-1 successors. Hosts of the server's
// availability zone go first, then those of its region, then all others, so a
// zone that lost its entry hosts is still served.
func (a *Assigner) Owners(s Server, n int) Owners {
	n = min(n, MaximumOwners)
	k := xxhash.Sum64String(s.DatabaseGroup) ^ mix(xxhash.Sum64String(s.Name))
	var o Owners
	o.rank(a.zones[s.AvailabilityZone], k, n, func(ranked) bool { return true })
	o.rank(a.regions[s.Region], k, n, func(r ranked) bool { return r.zone != s.AvailabilityZone })
	o.rank(a.all, k, n, func(r ranked) bool { return r.zone != s.AvailabilityZone && r.region != s.Region })
	return o
}

// Owner returns the owner of s, empty if there is no live host at all.
func (a *Assigner) Owner(s Server) string {
	return a.Owners(s, 1).Hosts[0]
}

// rank adds the best of l behind those found before, until there are n.
func (o *Owners) rank(l []ranked, key uint64, n int, fits func(ranked) bool) {
	first := o.Count
	if first >= n {
		return
	}
	var weights [MaximumOwners]uint64
	for _, h := range l {
		if !fits(h) {
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

// better orders by weight and, should two be equal, by name, so that all hosts
// come to the same order.
func better(w uint64, name string, v uint64, other string) bool {
	if w == v {
		return name < other
	}
	return w > v
}

// mix spreads the bits of x (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
