package assigner

import (
	"cmp"
	"slices"
)

// Placement holds the owners of a set of servers, where no host owns more slots than its strength
// as long as another one has room. It is immutable and may be used by many goroutines.
type Placement struct {
	assigner *Assigner
	// displaced holds the servers whose owner isn't the first host of their order.
	displaced map[serverName]Displacement
}

// Displacement is a server that is owned by another host than the first of its order.
type Displacement struct {
	Server       Server
	First, Owner string
}

type serverName struct {
	group, name string
}

// Owners returns the owner of s and up to n-1 successors, at most MaximumOwners in total. The
// successors are in the order of Assigner.Owners. A server that wasn't placed has the owners of
// Assigner.Owners.
func (p *Placement) Owners(s Server, n int) Owners {
	o := p.assigner.Owners(s, n)
	if len(p.displaced) == 0 {
		return o
	}
	if d, ok := p.displaced[serverName{group: s.DatabaseGroup, name: s.Name}]; ok {
		o.moveToFront(d.Owner)
	}
	return o
}

// moveToFront makes the host the first owner. If it isn't an owner yet, it takes the place of the
// last one.
func (o *Owners) moveToFront(host string) {
	if o.Count == 0 {
		return
	}
	i := slices.Index(o.Hosts[:o.Count], host)
	if i < 0 {
		i = o.Count - 1
	}
	copy(o.Hosts[1:i+1], o.Hosts[:i])
	o.Hosts[0] = host
}

// Displaced returns the servers whose owner isn't the first host of their order, sorted by group and
// name.
func (p *Placement) Displaced() []Displacement {
	l := make([]Displacement, 0, len(p.displaced))
	for _, d := range p.displaced {
		l = append(l, d)
	}
	slices.SortFunc(l, func(a, b Displacement) int { return compareNames(a.Server, b.Server) })
	return l
}

func compareNames(a, b Server) int {
	return cmp.Or(cmp.Compare(a.DatabaseGroup, b.DatabaseGroup), cmp.Compare(a.Name, b.Name))
}

// Place assigns an owner to each server: the first host in the order of Owners whose owned slots,
// with those of the server, stay within its strength. The servers are placed in an order of hashes,
// so that all entry hosts compute the same owners. They are placed on hosts of their own zones first,
// and those that found no room on hosts of their region after that, as hosts of other regions would be
// too far away. If no host has room, the owner is the host of the server's zone with the fewest owned
// slots, with those of the server, relative to its strength. A host of unknown strength always has
// room, and a server of unknown slots is owned by the first host of its order.
func (a *Assigner) Place(servers []Server) *Placement {
	p := &placer{assigner: a, owned: make([]int, len(a.all)), displaced: make(map[serverName]Displacement), full: make(map[*candidate]int)}
	if slices.ContainsFunc(a.strengths, func(n int) bool { return n > 0 }) {
		l := a.orderServers(servers)
		l = p.placeWithin(l, func(s Server) []candidate { return a.zones[s.AvailabilityZone] })
		l = p.placeWithin(l, func(s Server) []candidate { return a.regions[s.Region] })
		l = p.placeWithin(l, a.remoteHosts)
		p.overload(l)
	}
	return &Placement{assigner: a, displaced: p.displaced}
}

// placedServer is a server with what its owner is chosen by.
type placedServer struct {
	server Server
	key    uint64
	// rank is the server's place in the order in which servers are placed.
	rank uint64
	// first is the index of the first host in the server's order.
	first int
}

// orderServers returns the servers of known slots in the order in which they are placed. There is at
// least one host.
func (a *Assigner) orderServers(servers []Server) []placedServer {
	l := make([]placedServer, 0, len(servers))
	for _, s := range servers {
		if s.Slots > 0 {
			k := s.key()
			l = append(l, placedServer{server: s, key: k, rank: mix(k), first: heaviest(a.nearest(s), k)})
		}
	}
	slices.SortFunc(l, func(x, y placedServer) int {
		return cmp.Or(cmp.Compare(x.rank, y.rank), compareNames(x.server, y.server))
	})
	return l
}

// heaviest returns the index of the host with the highest weight for the key.
func heaviest(l []candidate, key uint64) int {
	b, weight := &l[0], mix(l[0].hash^key)
	for k := range l[1:] {
		h := &l[k+1]
		if w := mix(h.hash ^ key); w >= weight && better(w, h.name, weight, b.name) {
			b, weight = h, w
		}
	}
	return b.index
}

// best returns the index of the eligible host with the highest weight for the key, negative if no host
// is eligible.
func best(l []candidate, key uint64, eligible func(i int) bool) int {
	var b *candidate
	var weight uint64
	for k := range l {
		h := &l[k]
		if w := mix(h.hash ^ key); (b == nil || better(w, h.name, weight, b.name)) && eligible(h.index) {
			b, weight = h, w
		}
	}
	if b == nil {
		return -1
	}
	return b.index
}

// remoteHosts returns all hosts for a server in a region without hosts, and none for others.
func (a *Assigner) remoteHosts(s Server) []candidate {
	if len(a.regions[s.Region]) > 0 {
		return nil
	}
	return a.all
}

// nearest returns the hosts of the server's zone, or those of its region or all hosts if there are
// none.
func (a *Assigner) nearest(s Server) []candidate {
	switch {
	case len(a.zones[s.AvailabilityZone]) > 0:
		return a.zones[s.AvailabilityZone]
	case len(a.regions[s.Region]) > 0:
		return a.regions[s.Region]
	}
	return a.all
}

// placer assigns owners to servers and counts the slots that each host owns.
type placer struct {
	assigner *Assigner
	// owned holds the owned slots of each host of Assigner.all.
	owned     []int
	displaced map[serverName]Displacement
	// full holds, by the first host of a list, the lowest number of slots for which no host of the
	// list has room.
	full map[*candidate]int
}

// placeWithin places the servers for which one of the hosts has room, and returns the others.
func (p *placer) placeWithin(l []placedServer, hosts func(Server) []candidate) []placedServer {
	var rest []placedServer
	for _, x := range l {
		if i := p.choose(hosts(x.server), x); i >= 0 {
			p.assign(x, i)
		} else {
			rest = append(rest, x)
		}
	}
	return rest
}

// choose returns the index of the first host in the server's order that has room for it, negative if
// none has.
func (p *placer) choose(l []candidate, x placedServer) int {
	if len(l) == 0 {
		return -1
	}
	if p.hasRoom(x.first, x.server.Slots) {
		return x.first
	}
	if n, ok := p.full[&l[0]]; ok && x.server.Slots >= n {
		return -1
	}
	i := best(l, x.key, func(i int) bool { return p.hasRoom(i, x.server.Slots) })
	if i < 0 {
		p.full[&l[0]] = x.server.Slots
	}
	return i
}

func (p *placer) hasRoom(i, slots int) bool {
	n := p.assigner.strengths[i]
	return n <= 0 || p.owned[i]+slots <= n
}

// assign makes the host with the index the owner of the server.
func (p *placer) assign(x placedServer, i int) {
	p.owned[i] += x.server.Slots
	if i != x.first {
		l := p.assigner.all
		p.displaced[serverName{group: x.server.DatabaseGroup, name: x.server.Name}] = Displacement{Server: x.server, First: l[x.first].name, Owner: l[i].name}
	}
}

// overload places servers for which no host has room. Hosts that are equally loaded relative to their
// strengths are chosen in the server's order.
func (p *placer) overload(l []placedServer) {
	for _, x := range l {
		hosts, slots := p.assigner.nearest(x.server), x.server.Slots
		least := hosts[0].index
		for _, h := range hosts[1:] {
			if p.lessLoaded(h.index, least, slots) {
				least = h.index
			}
		}
		p.assign(x, best(hosts, x.key, func(i int) bool { return !p.lessLoaded(least, i, slots) }))
	}
}

// lessLoaded reports whether host i would own fewer slots relative to its strength than host j after
// it has got the given slots. Both strengths are known.
func (p *placer) lessLoaded(i, j, slots int) bool {
	return (p.owned[i]+slots)*p.assigner.strengths[j] < (p.owned[j]+slots)*p.assigner.strengths[i]
}
