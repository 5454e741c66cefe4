package appointer

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/cuminwick/cuminwick/internal/config/declarer"
	"github.com/cuminwick/cuminwick/internal/pool/assigner"
)

func TestMain(m *testing.M) {
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.nofailfile", "true")
	flag.Set("rapid.checks", "300")
	os.Exit(m.Run())
}

func fleet(zones, each int) []assigner.Host {
	var l []assigner.Host
	for z := range zones {
		for i := range each {
			l = append(l, assigner.Host{Name: fmt.Sprintf("host-%d-%d", z, i), AvailabilityZone: fmt.Sprint("zone-", z), Region: fmt.Sprint("region-", z/2)})
		}
	}
	return l
}

func zonesOf(l []assigner.Host) map[string]string {
	m := make(map[string]string)
	for _, h := range l {
		m[h.Name] = h.AvailabilityZone
	}
	return m
}

func groupIn(name string, zones ...int) declarer.DatabaseGroup {
	g := declarer.DatabaseGroup{Name: name}
	for _, z := range zones {
		g.BackendServers = append(g.BackendServers, declarer.BackendServer{Name: fmt.Sprint(name, "-", z), AvailabilityZone: fmt.Sprint("zone-", z), Region: fmt.Sprint("region-", z/2)})
	}
	return g
}

func serving(l []assigner.Host, g declarer.DatabaseGroup) []string {
	return ServingHosts(assigner.Compile(l), zonesOf(l), g, DefaultHostsPerServer)
}

// An entry host is lost or joins. If serving hosts that aren't concerned changed
// too, callers of many groups would wait for new ones to learn their groups; if a
// zone were left without, it could see nothing while it is cut off.
func TestOnlyTheGroupsOfAHostMove(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := fleet(3, rapid.IntRange(2, 8).Draw(t, "each"))
		i := rapid.IntRange(0, len(l)-1).Draw(t, "gone")
		less := slices.Delete(slices.Clone(l), i, i+1)
		for n := range 30 {
			g := groupIn(fmt.Sprint("g-", n), 0, 1, 2)
			all, rest := serving(l, g), serving(less, g)
			if len(all) != 6 {
				t.Fatalf("%d serving hosts of %s, want 6: %v", len(all), g.Name, all)
			}
			kept := slices.DeleteFunc(slices.Clone(all), func(h string) bool { return h == l[i].Name })
			for _, h := range kept {
				if !slices.Contains(rest, h) {
					t.Fatalf("%s no longer serves %s without %s", h, g.Name, l[i].Name)
				}
			}
			if len(rest) > len(kept)+1 {
				t.Fatalf("more than one host takes over from %s: %v, before %v", l[i].Name, rest, all)
			}
			z := zonesOf(less)
			for _, b := range g.BackendServers {
				if !slices.ContainsFunc(rest, func(h string) bool { return z[h] == b.AvailabilityZone }) {
					t.Fatalf("no serving host in %s: %v", b.AvailabilityZone, rest)
				}
				if o := assigner.Compile(less).Owner(assigner.Server{DatabaseGroup: g.Name, Name: b.Name, AvailabilityZone: b.AvailabilityZone, Region: b.Region}); !slices.Contains(rest, o) {
					t.Fatalf("%s owns the pool of %s and doesn't serve", o, b.Name)
				}
			}
		}
	})
}

func TestServingWhereHostsAreFew(t *testing.T) {
	tests := []struct {
		name  string
		hosts []assigner.Host
		group declarer.DatabaseGroup
		want  int
	}{
		{name: "no host known", group: groupIn("g", 0, 1, 2), want: 0},
		{name: "one a zone", hosts: fleet(3, 1), group: groupIn("g", 0, 1, 2), want: 3},
		{name: "two a zone", hosts: fleet(3, 2), group: groupIn("g", 0, 1, 2), want: 6},
		{name: "many", hosts: fleet(3, 100), group: groupIn("g", 0, 1, 2), want: 6},
		{name: "zone without hosts", hosts: fleet(1, 3), group: groupIn("g", 1), want: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if l := serving(tt.hosts, tt.group); len(l) != tt.want {
				t.Errorf("serving hosts %v, want %d", l, tt.want)
			}
		})
	}
}

func TestOrder(t *testing.T) {
	at := Location{Name: "a1", AvailabilityZone: "a", Region: "one"}
	l := []Location{{"c1", "c", "two"}, {"b1", "b", "one"}, {"a1", "a", "one"}, {"a2", "a", "one"}}
	if got := OrderByDistance(at, l); !slices.Equal(got, []string{"a2", "b1", "c1"}) {
		t.Errorf("order %v", got)
	}
}
