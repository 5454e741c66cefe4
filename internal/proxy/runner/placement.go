package runner

import (
	"maps"
	"slices"

	"github.com/apex/log"

	"github.com/cuminwick/cuminwick/internal/pool/assigner"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

// setServers replaces the servers whose owners are placed by the hosts' strengths.
func (r *roster) setServers(l []declarer.Server) {
	r.changing.Lock()
	defer r.changing.Unlock()
	r.servers = make([]assigner.Server, 0, len(l))
	for _, s := range l {
		r.servers = append(r.servers, r.assignedServer(s))
	}
	r.place()
}

func (r *roster) assignedServer(s declarer.Server) assigner.Server {
	return assigner.Server{DatabaseGroup: s.Group, Name: s.ID, AvailabilityZone: s.AvailabilityZone, Region: r.regions[s.AvailabilityZone], Slots: s.Slots}
}

// assignedHost returns a listed host as the assigner takes it.
func (r *roster) assignedHost(h declarer.Host) assigner.Host {
	return assigner.Host{Name: h.Name, AvailabilityZone: h.AvailabilityZone, Region: r.regions[h.AvailabilityZone], Strength: h.Strength}
}

// place recomputes the owners of the servers' connections. It takes milliseconds in a large deployment,
// during which the owners of before are in force. The caller holds changing.
func (r *roster) place() {
	r.mu.Lock()
	l := make([]assigner.Host, 0, len(r.hosts))
	for _, h := range r.hosts {
		l = append(l, r.assignedHost(h))
	}
	r.leaveDrained(l)
	r.mu.Unlock()
	p := assigner.Compile(l).Place(r.ownedServers(len(l)))
	r.mu.Lock()
	r.placement = p
	r.mu.Unlock()
	r.reportDisplaced(p)
}

// updatePlacement recomputes the owners after a change of the groups' limits.
func (r *roster) updatePlacement() {
	r.changing.Lock()
	defer r.changing.Unlock()
	r.place()
}

// ownedServers returns the servers whose connections one of n hosts owns. Where each host opens its own,
// the slots of a server take no room. The caller holds changing.
func (r *roster) ownedServers(n int) []assigner.Server {
	if r.connectionLimit == nil {
		return r.servers
	}
	l := make([]assigner.Server, 0, len(r.servers))
	for _, s := range r.servers {
		if hasOwner(r.connectionLimit(s.DatabaseGroup), n) {
			l = append(l, s)
		}
	}
	return l
}

// hasOwner reports whether one of n hosts owns the connections to a server with the limit.
func hasOwner(limit, n int) bool { return limit < ownershipThreshold*n }

// reportDisplaced calls onDisplaced for servers that this host has come to own instead of their first
// hosts. The caller holds changing.
func (r *roster) reportDisplaced(p *assigner.Placement) {
	if r.onDisplaced == nil {
		return
	}
	own := make(map[assigner.Displacement]bool)
	for _, d := range p.Displaced() {
		if d.Owner != r.self.Name {
			continue
		}
		own[d] = true
		if !r.displaced[d] {
			r.onDisplaced(d)
		}
	}
	r.displaced = own
}

// owners returns the possible owners of the server's connections, in the order in which they are to
// be tried.
func (r *roster) owners(s declarer.Server) []declarer.Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.placement == nil {
		return nil
	}
	o := r.placement.Owners(r.assignedServer(s), assigner.MaximumOwners)
	l := make([]declarer.Host, 0, o.Count)
	for _, n := range o.Hosts[:o.Count] {
		if h, ok := r.hosts[n]; ok {
			l = append(l, h)
		}
	}
	return l
}

// owns reports whether this host is the owner of the server's connections.
func (r *roster) owns(s declarer.Server) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.placement == nil {
		return false
	}
	return r.placement.Owners(r.assignedServer(s), 1).Hosts[0] == r.self.Name
}

// ownedSlots returns the number of slots of the servers whose connections this host owns.
func (p *pools) ownedSlots() int {
	p.mu.Lock()
	l := slices.Collect(maps.Values(p.servers))
	p.mu.Unlock()
	n := 0
	for _, s := range l {
		if p.hasOwner(s.Group) && p.roster.owns(s) {
			n += s.Slots
		}
	}
	return n
}

// OwnedSlots returns the number of slots of the servers whose connections this host owns.
func (h *Host) OwnedSlots() int { return h.pools.ownedSlots() }

// logDisplaced logs that this host owns a server instead of its first host.
func (h *Host) logDisplaced(d assigner.Displacement) {
	h.Log.WithFields(log.Fields{"database-group": d.Server.DatabaseGroup, "server": d.Server.Name, "slots": d.Server.Slots, "first": d.First, "owner": d.Owner}).
		Info("server owned by another host than its first")
}
