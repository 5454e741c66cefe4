package runner

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/google/go-cmp/cmp"

	"github.com/cuminwick/cuminwick/internal/proxy/blackboard"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

func only(name string) map[string]bool { return map[string]bool{name: true} }

// serversIn returns n servers in the availability zone.
func serversIn(zone string, n int) []declarer.Server {
	var l []declarer.Server
	for i := range n {
		l = append(l, declarer.Server{ID: fmt.Sprintf("i-%s-%d", zone, i), Group: "g", AvailabilityZone: zone})
	}
	return l
}

func ownerNames(r *roster, s declarer.Server) []string {
	var l []string
	for _, o := range r.owners(s) {
		l = append(l, o.Name)
	}
	return l
}

// Guards against a drained host that still owns connections, and against owners that change for servers
// that it didn't own.
func TestDrainedHostOwnsNothing(t *testing.T) {
	hosts := append(zoneHosts("a", 3), zoneHosts("b", 3)...)
	r := newRoster(hosts[1], hosts)
	owned := 0
	for _, s := range serversIn("a", 30) {
		r.setDrained(nil)
		before := ownerNames(r, s)
		r.setDrained(only("a-0"))
		after := ownerNames(r, s)
		if slices.Contains(after, "a-0") {
			t.Errorf("%s: owners %v", s.ID, after)
		}
		if before[0] == "a-0" {
			owned++
		} else if before[0] != after[0] {
			t.Errorf("%s moved from %s to %s", s.ID, before[0], after[0])
		}
	}
	if owned == 0 {
		t.Error("the host owned nothing before")
	}
	r.reset(hosts)
	if l := ownerNames(r, serversIn("a", 1)[0]); slices.Contains(l, "a-0") {
		t.Errorf("owners %v after a new list of hosts", l)
	}
}

// Guards against owners that don't follow the configuration in force.
func TestOwnersFollowConfiguration(t *testing.T) {
	hosts := zoneHosts("a", 3)
	h := &Host{Name: "a-0", Board: &blackboard.Board{}, Log: discardLog}
	h.roster.regions = regionsOf
	h.roster.reset(hosts)
	s := serversIn("a", 1)[0]
	first := ownerNames(&h.roster, s)[0]
	for v, x := range []struct {
		drained map[string]bool
		owned   bool
	}{{only(first), false}, {nil, true}} {
		h.setConfiguration(&declarer.Configuration{Version: uint64(v + 1), Operations: declarer.Operations{DrainedHosts: x.drained}})
		if o := ownerNames(&h.roster, s)[0]; (o == first) != x.owned {
			t.Errorf("version %d: owner %s, first one %s", v+1, o, first)
		}
	}
}

// A host is drained that is the only one of its availability zone. Guards against a zone whose servers
// have no owner, and against a host that opens connections of its own instead of borrowing them.
func TestDrainedHostAloneInItsZone(t *testing.T) {
	hosts := append(zoneHosts("a", 2), zoneHosts("b", 1)...)
	r := newRoster(hosts[2], hosts)
	r.setDrained(only("b-0"))
	b := &blackboard.Board{}
	b.Configure(&declarer.Configuration{Version: 1, Groups: map[string]declarer.Group{"g": {Name: "g", MaximumConnections: 8}}})
	p := &pools{self: "b-0", board: b, roster: r}
	for _, s := range serversIn("b", 10) {
		o, ok := p.owner(s)
		if !ok || o.AvailabilityZone != "a" {
			t.Errorf("%s is owned by %+v, %t", s.ID, o, ok)
		}
		if _, minimum := p.connectionShare(s); minimum != 0 {
			t.Errorf("the host keeps %d connections to %s", minimum, s.ID)
		}
	}
}

// Guards against servers without owners when operators drain all hosts: each host would open connections
// of its own, and together more than a server allows.
func TestOwnersWhenAllHostsAreDrained(t *testing.T) {
	hosts := zoneHosts("a", 3)
	r := newRoster(hosts[0], hosts)
	s := serversIn("a", 1)[0]
	before := ownerNames(r, s)
	r.setDrained(map[string]bool{"a-0": true, "a-1": true, "a-2": true})
	if d := cmp.Diff(before, ownerNames(r, s)); d != "" {
		t.Error(d)
	}
}

// Guards against a balancer that goes on sending callers to a drained host, against a host that turns away
// those that come nevertheless, and against one that stays unready after its release.
func TestDrainedHostIsNotReady(t *testing.T) {
	h := &Host{Name: "h", Board: &blackboard.Board{}, Log: discardLog}
	h.servers.listed.Store(true)
	h.hosts.listed.Store(true)
	for v, x := range []struct {
		drained map[string]bool
		want    int
	}{
		{only("k"), http.StatusOK},
		{only("h"), http.StatusServiceUnavailable},
		{nil, http.StatusOK},
	} {
		h.setConfiguration(&declarer.Configuration{Version: uint64(v + 1), Operations: declarer.Operations{DrainedHosts: x.drained}})
		w := httptest.NewRecorder()
		h.handleReadiness(w, nil)
		if w.Code != x.want || !h.ready() {
			t.Errorf("version %d: status %d, want %d; callers served %t", v+1, w.Code, x.want, h.ready())
		}
	}
}

// Guards against idle connections that a host keeps to a drained server, and against connections that are
// opened again for each statement of a server that its group needs.
func TestConnectionsToDrainedServers(t *testing.T) {
	servers := []declarer.Server{{ID: "p", Group: "g", Primary: true, Revision: 1}, {ID: "r", Group: "g"}}
	for name, x := range map[string]struct {
		drained map[string]bool
		want    map[string]int
	}{
		"none":        {nil, map[string]int{"p": 7, "r": 7}},
		"a replica":   {only("r"), map[string]int{"p": 7, "r": 0}},
		"the primary": {only("p"), map[string]int{"p": 7, "r": 7}},
		"all":         {map[string]bool{"p": true, "r": true}, map[string]int{"p": 7, "r": 7}},
	} {
		t.Run(name, func(t *testing.T) {
			b := &blackboard.Board{}
			b.ReplaceServers(servers)
			b.Configure(&declarer.Configuration{
				Version: 1, Customers: map[string]declarer.Customer{}, Groups: map[string]declarer.Group{"g": {Name: "g", MaximumConnections: 16}},
				Operations: declarer.Operations{DrainedServers: x.drained},
			})
			h := declarer.Host{Name: "h"}
			hosts := []declarer.Host{h}
			for i := range 9 {
				hosts = append(hosts, declarer.Host{Name: fmt.Sprintf("other-%d", i)})
			}
			r := newRoster(h, hosts)
			all := make(map[string]bool)
			for _, o := range hosts[1:] {
				all[o.Name] = true
			}
			r.setDrained(all) // so that h owns the connections
			p := &pools{self: "h", board: b, roster: r}
			for _, s := range servers {
				if _, minimum := p.connectionShare(s); minimum != x.want[s.ID] {
					t.Errorf("%s: %d idle connections kept, want %d", s.ID, minimum, x.want[s.ID])
				}
			}
		})
	}
}

// Guards against holds and drains that come into force or end without a line, and against lines for
// those that stay.
func TestChangesOfOperationsAreLogged(t *testing.T) {
	m := memory.New()
	h := &Host{Name: "h", Board: &blackboard.Board{}, Log: &log.Logger{Handler: m}}
	request := func(v uint64, o declarer.Operations) []string {
		m.Entries = nil
		h.setConfiguration(&declarer.Configuration{Version: v, Operations: o})
		var l []string
		for _, e := range m.Entries {
			if e.Message == "operators' request in force" {
				l = append(l, fmt.Sprint(e.Fields["kind"], " ", e.Fields["name"], " ", e.Fields["change"], " ", e.Fields["version"]))
			}
		}
		return l
	}
	first := declarer.Operations{HeldCustomers: only("a"), HeldRoutes: only("r"), DrainedServers: only("i"), DrainedHosts: only("k")}
	for i, x := range []struct {
		operations declarer.Operations
		want       []string
	}{
		{first, []string{"customer a held 1", "route r held 1", "server i drained 1", "host k drained 1"}},
		{first, nil},
		{declarer.Operations{HeldCustomers: only("b"), DrainedHosts: only("k")}, []string{"customer a released 3", "customer b held 3", "route r released 3", "server i released 3"}},
	} {
		if d := cmp.Diff(x.want, request(uint64(i+1), x.operations)); d != "" {
			t.Errorf("version %d: %s", i+1, d)
		}
	}
	if l := request(2, declarer.Operations{}); l != nil {
		t.Errorf("lines %v for a configuration that isn't in force", l)
	}
}

// A configuration drains all servers of a group, under load. Guards against reads and writes that nobody
// serves any more.
func TestGroupWithAllServersDrainedIsServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := runUnderLoad(t, 6, 46, 6*time.Second, steady(usualRate), func(d *deployment) {
			time.Sleep(3 * time.Second)
			all := make(map[string]bool)
			for _, s := range d.servers {
				all[s.declared.ID] = true
			}
			for _, n := range d.nodes {
				c := *n.host.Board.Configuration()
				c.Version++
				c.Operations.DrainedServers = all
				n.host.setConfiguration(&c)
			}
		})
		if g := l.goodput(4, 6); g < minimumGoodput {
			t.Errorf("goodput %.3f with all servers drained", g)
		}
	})
}
