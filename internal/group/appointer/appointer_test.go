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

// hosts returns the given number of entry hosts in each of the availability zones.
func hosts(zones, each int) []assigner.Host {
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

// Guards against unrelated changes of serving hosts when an entry host fails or joins: callers of
// many groups would wait until new serving hosts have polled their groups. Also guards against an
// availability zone without a serving host, which could observe nothing while it is cut off.
func TestHostChangeMovesOnlyItsGroups(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := hosts(3, rapid.IntRange(2, 8).Draw(t, "each"))
		i := rapid.IntRange(0, len(l)-1).Draw(t, "gone")
		remaining := slices.Delete(slices.Clone(l), i, i+1)
		for n := range 30 {
			g := groupIn(fmt.Sprint("g-", n), 0, 1, 2)
			all, rest := serving(l, g), serving(remaining, g)
			if len(all) != 6 {
				t.Fatalf("%d serving hosts of %s, want 6: %v", len(all), g.Name, all)
			}
			kept := slices.DeleteFunc(slices.Clone(all), func(h string) bool { return h == l[i].Name })
			for _, h := range kept {
				if !slices.Contains(rest, h) {
					t.Fatalf("%s stopped serving %s without %s", h, g.Name, l[i].Name)
				}
			}
			if len(rest) > len(kept)+1 {
				t.Fatalf("more than one host takes over from %s: %v, before %v", l[i].Name, rest, all)
			}
			z := zonesOf(remaining)
			for _, b := range g.BackendServers {
				if !slices.ContainsFunc(rest, func(h string) bool { return z[h] == b.AvailabilityZone }) {
					t.Fatalf("no serving host in %s: %v", b.AvailabilityZone, rest)
				}
				if o := assigner.Compile(remaining).Owner(assigner.Server{DatabaseGroup: g.Name, Name: b.Name, AvailabilityZone: b.AvailabilityZone, Region: b.Region}); !slices.Contains(rest, o) {
					t.Fatalf("%s owns the pool of %s and does not serve", o, b.Name)
				}
			}
		}
	})
}

func TestServingHostsWithFewHosts(t *testing.T) {
	tests := []struct {
		name  string
		hosts []assigner.Host
		group declarer.DatabaseGroup
		want  int
	}{
		{name: "no host known", group: groupIn("g", 0, 1, 2), want: 0},
		{name: "one in each zone", hosts: hosts(3, 1), group: groupIn("g", 0, 1, 2), want: 3},
		{name: "two in each zone", hosts: hosts(3, 2), group: groupIn("g", 0, 1, 2), want: 6},
		{name: "many", hosts: hosts(3, 100), group: groupIn("g", 0, 1, 2), want: 6},
		{name: "zone without hosts", hosts: hosts(1, 3), group: groupIn("g", 1), want: 1},
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
