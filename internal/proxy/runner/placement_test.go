package runner

import (
	"fmt"
	"slices"
	"testing"

	"github.com/cuminwick/cuminwick/internal/pool/assigner"
	"github.com/cuminwick/cuminwick/internal/proxy/blackboard"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

// strongHosts returns hosts of one zone with the given strengths.
func strongHosts(strengths ...int) []declarer.Host {
	var l []declarer.Host
	for i, n := range strengths {
		l = append(l, declarer.Host{Name: fmt.Sprint("h-", i), Address: fmt.Sprint("a:", i), AvailabilityZone: "z", Strength: n})
	}
	return l
}

func groupServers(n, slots int) []declarer.Server {
	var l []declarer.Server
	for i := range n {
		l = append(l, declarer.Server{ID: fmt.Sprint("i-", i), Group: fmt.Sprint("g-", i/3), AvailabilityZone: "z", Slots: slots})
	}
	return l
}

// newPools returns the pools of a host that lists the hosts.
func newPools(self string, l []declarer.Host) *pools {
	r := &roster{self: declarer.Host{Name: self, AvailabilityZone: "z"}, regions: map[string]string{"z": "r"}}
	r.reset(l)
	return &pools{self: self, board: &blackboard.Board{}, roster: r}
}

// ownedBy returns the slots that each host owns.
func ownedBy(p *pools, l []declarer.Server) map[string]int {
	m := map[string]int{}
	for _, s := range l {
		m[p.roster.owners(s)[0].Name] += s.Slots
	}
	return m
}

// Guards against a host that owns more than its strength although the list of hosts says so, whether
// the hosts or the servers are listed first.
func TestOwnersFollowStrength(t *testing.T) {
	hosts, servers := strongHosts(40, 9, 9, 9), groupServers(11, 4)
	p := newPools("h-0", hosts)
	p.setServers(servers)
	q := newPools("h-1", nil)
	q.setServers(servers)
	q.roster.apply([]Change[declarer.Host]{{Name: "h-0", Value: hosts[0]}, {Name: "h-1", Value: hosts[1]}})
	q.roster.apply([]Change[declarer.Host]{{Name: "h-2", Value: hosts[2]}, {Name: "h-3", Value: hosts[3]}})
	for _, h := range hosts {
		if n := ownedBy(p, servers)[h.Name]; n > h.Strength {
			t.Errorf("%s owns %d slots of %d", h.Name, n, h.Strength)
		}
	}
	for _, s := range servers {
		if a, b := p.roster.owners(s), q.roster.owners(s); !slices.Equal(a, b) {
			t.Errorf("owners of %s are %v or %v", s.ID, a, b)
		}
	}
	q.roster.apply([]Change[declarer.Host]{{Name: "h-0", Value: strongHosts(20)[0]}})
	if n := ownedBy(q, servers)["h-0"]; n > 20 {
		t.Errorf("h-0 owns %d slots after it has declared 20", n)
	}
}

// Hosts of an older version declare no strength, during a release. Guards against a limit on them, and
// against owners that a host of the older version doesn't ask: it takes the first host of the order for
// the owner, which comes second for the others.
func TestOwnersBesideOlderVersion(t *testing.T) {
	servers := groupServers(12, 4)
	older, mixed := newPools("h-0", strongHosts(0, 0, 0, 0)), newPools("h-1", strongHosts(0, 9, 9, 9))
	older.setServers(servers)
	mixed.setServers(servers)
	moved := 0
	for _, s := range servers {
		a, b := older.roster.owners(s), mixed.roster.owners(s)
		if a[0].Name == b[0].Name {
			continue
		}
		moved++
		if a[0].Name != b[1].Name || a[0].Name == "h-0" {
			t.Errorf("%s is owned by %s for the older version, by %s and %s else", s.ID, a[0].Name, b[0].Name, b[1].Name)
		}
	}
	if moved == 0 {
		t.Error("no server is owned by another host than its first")
	}
}

// Each report of a server replaces the list of servers, many times a second. Guards against owners that
// are recomputed with each, and against owners that stay after a change that concerns them.
func TestReportsDoNotRecomputeOwners(t *testing.T) {
	p := newPools("h-0", strongHosts(40, 9, 9, 9))
	servers := groupServers(12, 4)
	p.setServers(servers)
	computed := func(change func(s *declarer.Server)) bool {
		before := p.roster.placement
		change(&servers[5])
		p.setServers(slices.Clone(servers))
		return p.roster.placement != before
	}
	if computed(func(s *declarer.Server) { s.Sequence, s.Revision, s.Primary, s.Draining = 7, 9, true, true }) {
		t.Error("owners recomputed with a report")
	}
	for name, f := range map[string]func(s *declarer.Server){
		"slots": func(s *declarer.Server) { s.Slots = 2 },
		"zone":  func(s *declarer.Server) { s.AvailabilityZone = "y" },
		"group": func(s *declarer.Server) { s.Group = "g" },
		"id":    func(s *declarer.Server) { s.ID = "another" },
	} {
		if !computed(f) {
			t.Errorf("owners not recomputed with another %s", name)
		}
	}
	if _, ok := p.find("i-5"); ok {
		t.Error("a server that is not listed any more is found")
	}
	servers = servers[1:]
	if !computed(func(*declarer.Server) {}) {
		t.Error("owners not recomputed without one of the servers")
	}
}

// Guards against a host that is left without a line on why it owns a server of another, and against a
// line for each time that owners are recomputed.
func TestDisplacedServersAreReportedOnce(t *testing.T) {
	servers := groupServers(12, 4)
	var got []string
	p := newPools("h-0", strongHosts(16, 16, 9, 9))
	p.roster.onDisplaced = func(d assigner.Displacement) { got = append(got, d.Server.Name) }
	p.setServers(servers)
	var want []string
	for _, d := range p.roster.placement.Displaced() {
		if d.Owner == "h-0" {
			want = append(want, d.Server.Name)
		}
	}
	p.roster.reset(strongHosts(16, 16, 9, 9))
	if !slices.Equal(got, want) || len(want) == 0 || len(want) == len(p.roster.placement.Displaced()) {
		t.Errorf("reported %v, this host owns %v of the displaced %v", got, want, p.roster.placement.Displaced())
	}
}

// Guards against servers of which each host opens its own connections: nobody owns their slots, so that they
// take no room from others, and no line says that one is owned by another host than its first. Guards also
// against owners that stay as they are when a configuration changes which servers have one.
func TestServersWithoutOwnerTakeNoRoom(t *testing.T) {
	servers := groupServers(6, 4)
	h := &Host{Name: "h-0", Board: &blackboard.Board{}, Log: discardLog}
	h.preparePools()
	h.roster.self, h.roster.regions = declarer.Host{Name: "h-0", AvailabilityZone: "z"}, map[string]string{"z": "r"}
	var reported []string
	h.roster.onDisplaced = func(d assigner.Displacement) { reported = append(reported, d.Server.DatabaseGroup) }
	h.roster.reset(strongHosts(4, 4, 4, 4))
	displaced := func(version uint64, connections int, l []declarer.Server) (first, second int) {
		h.setConfiguration(&declarer.Configuration{Version: version, Groups: map[string]declarer.Group{
			"g-0": {Name: "g-0", MaximumConnections: connections}, "g-1": {Name: "g-1", MaximumConnections: 10},
		}})
		h.pools.setServers(l)
		for _, d := range h.roster.placement.Displaced() {
			if d.Server.DatabaseGroup == "g-0" {
				first++
			} else {
				second++
			}
		}
		return first, second
	}
	_, alone := displaced(1, 10, servers[3:])
	if n, m := displaced(2, 4*ownershipThreshold, servers); n != 0 || m != alone {
		t.Errorf("%d servers without owner displaced, and %d others, %d without them", n, m, alone)
	}
	if slices.Contains(reported, "g-0") {
		t.Error("a server without owner is reported as owned")
	}
	if n, m := displaced(3, 4*ownershipThreshold-1, servers); n+m <= alone {
		t.Errorf("%d servers displaced once all have owners, %d before", n+m, alone)
	}
	if n, m := displaced(4, 4*ownershipThreshold, servers); n != 0 || m != alone {
		t.Errorf("%d servers displaced that have no owner any more, and %d others, want %d", n, m, alone)
	}
}

// Guards against a metric that counts servers of which each host opens its own connections, or those of
// other owners.
func TestOwnedSlots(t *testing.T) {
	servers := groupServers(12, 4)
	total := 0
	for i := range 4 {
		p := newPools(fmt.Sprint("h-", i), strongHosts(16, 16, 9, 9))
		p.setServers(servers)
		p.board.Configure(&declarer.Configuration{Version: 1, Groups: map[string]declarer.Group{
			"g-0": {MaximumConnections: 4 * ownershipThreshold}, "g-1": {MaximumConnections: 10}, "g-2": {MaximumConnections: 10}, "g-3": {MaximumConnections: 10},
		}})
		want := 0
		for _, s := range servers[3:] {
			if p.roster.owners(s)[0].Name == p.self {
				want += 4
			}
		}
		n := p.ownedSlots()
		if n != want {
			t.Errorf("%s: %d slots, want %d", p.self, n, want)
		}
		total += n
	}
	if total != 9*4 {
		t.Errorf("hosts own %d slots, want those of 9 servers with 4", total)
	}
}

// Guards against seed lists that are written with each change of a strength, and against a host that
// ceases to keep them because it has reduced its own.
func TestSeedsDoNotDependOnStrength(t *testing.T) {
	hosts := strongHosts(40, 9, 9, 9)
	r := newPools("h-0", hosts).roster
	for _, h := range hosts {
		r.self = h
		r.reset(hosts)
		if _, ok := r.upstream(""); !ok {
			break
		}
	}
	before, writes := r.seeds(), r.writesSeeds()
	reduced := slices.Clone(hosts)
	for i := range reduced {
		reduced[i].Strength /= 2
	}
	r.reset(reduced)
	if after := r.seeds(); !slices.Equal(before["z"].Hosts, after["z"].Hosts) {
		t.Errorf("seeds %v, %v before", after["z"], before["z"])
	}
	if !writes || !r.writesSeeds() {
		t.Errorf("host keeps the seed lists: %t, %t after its strength was reduced", writes, r.writesSeeds())
	}
}

// largeRoster returns the pools of a host among 2,600 of 26 zones, and 8,400 servers.
func largeRoster(strength int) (*pools, []declarer.Host, []declarer.Server) {
	regions := map[string]string{}
	for z := range 26 {
		regions[fmt.Sprint("z-", z)] = fmt.Sprint("r-", z%7)
	}
	var hosts []declarer.Host
	for i := range 2600 {
		hosts = append(hosts, declarer.Host{Name: fmt.Sprint("h-", i), AvailabilityZone: fmt.Sprint("z-", i%26), Strength: strength})
	}
	var servers []declarer.Server
	for i := range 8400 {
		servers = append(servers, declarer.Server{ID: fmt.Sprint("i-", i), Group: fmt.Sprint("g-", i/3), AvailabilityZone: fmt.Sprint("z-", i%26), Slots: 2})
	}
	r := &roster{self: hosts[0], regions: regions}
	r.reset(hosts)
	p := &pools{self: "h-0", board: &blackboard.Board{}, roster: r}
	p.setServers(servers)
	return p, hosts, servers
}

func BenchmarkLargeRoster(b *testing.B) {
	for _, n := range []int{0, 9} {
		p, hosts, servers := largeRoster(n)
		b.Run(fmt.Sprintf("strength-%d/host", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				p.roster.apply([]Change[declarer.Host]{{Name: "h-7", Value: hosts[7]}})
			}
		})
		b.Run(fmt.Sprintf("strength-%d/report", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				p.setServers(servers)
			}
		})
		b.Run(fmt.Sprintf("strength-%d/owners", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				p.roster.owners(servers[3])
			}
		})
		b.Run(fmt.Sprintf("strength-%d/owned-slots", n), func(b *testing.B) {
			for b.Loop() {
				p.ownedSlots()
			}
		})
	}
}
