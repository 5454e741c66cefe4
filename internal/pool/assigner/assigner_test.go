package assigner

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.nofailfile", "true")
	flag.Set("rapid.checks", "300")
	os.Exit(m.Run())
}

func drawHosts(t *rapid.T) []Host {
	var l []Host
	for i := range rapid.IntRange(2, 12).Draw(t, "hosts") {
		z := rapid.IntRange(0, 3).Draw(t, "zone")
		l = append(l, Host{Name: fmt.Sprint("host-", i), AvailabilityZone: fmt.Sprint("zone-", z), Region: fmt.Sprint("region-", z/2)})
	}
	return l
}

// Guards against many cold pools that connect all at once: when an entry host is removed, the
// owners of other backend servers must not change.
func TestRemovedHostMovesOnlyItsServers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := drawHosts(t)
		i := rapid.IntRange(0, len(l)-1).Draw(t, "gone")
		remaining := slices.Delete(slices.Clone(l), i, i+1)
		before, after := Compile(l), Compile(remaining)
		for n := range 60 {
			s := Server{DatabaseGroup: "g", Name: fmt.Sprint(n), AvailabilityZone: fmt.Sprint("zone-", n%4), Region: fmt.Sprint("region-", n%4/2)}
			o := before.Owners(s, MaximumOwners)
			want := slices.Clone(o.Hosts[:o.Count])
			want = slices.DeleteFunc(want, func(h string) bool { return h == l[i].Name })
			got := after.Owners(s, len(want))
			if !slices.Equal(got.Hosts[:got.Count], want) {
				t.Fatalf("server %d: owners %v after the removal of %s, %v before", n, got.Hosts, l[i].Name, o.Hosts)
			}
		}
	})
}

func TestOwnersPreferZoneThenRegion(t *testing.T) {
	l := []Host{
		{Name: "a", AvailabilityZone: "ost-wien", Region: "ost", Leaving: true},
		{Name: "b", AvailabilityZone: "ost-wien", Region: "ost"},
		{Name: "c", AvailabilityZone: "ost-graz", Region: "ost"},
		{Name: "d", AvailabilityZone: "west-ibk", Region: "west"},
	}
	s := Server{DatabaseGroup: "kalkul-1", Name: "kalkul-1a", AvailabilityZone: "ost-wien", Region: "ost"}
	tests := []struct {
		name  string
		hosts []Host
		want  []string
	}{
		{name: "own zone, region, others", hosts: l, want: []string{"b", "c", "d"}},
		{name: "zone without hosts", hosts: l[2:], want: []string{"c", "d"}},
		{name: "region without hosts", hosts: l[3:], want: []string{"d"}},
		{name: "no host", hosts: l[:1]},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			o := Compile(tt.hosts).Owners(s, MaximumOwners)
			if !slices.Equal(o.Hosts[:o.Count], tt.want) {
				t.Errorf("owners %v, want %v", o.Hosts[:o.Count], tt.want)
			}
		})
	}
}

func TestOwnersAreSpread(t *testing.T) {
	var l []Host
	for i := range 100 {
		l = append(l, Host{Name: fmt.Sprint("host-", i), AvailabilityZone: "z", Region: "r"})
	}
	a := Compile(l)
	n := map[string]int{}
	for g := range 2800 {
		for s := range 3 {
			n[a.Owner(Server{DatabaseGroup: fmt.Sprint("g-", g), Name: fmt.Sprint(s), AvailabilityZone: "z", Region: "r"})]++
		}
	}
	for h, c := range n {
		if c < 42 || c > 130 {
			t.Errorf("%s owns %d of 8400 servers among 100 hosts, mean 84", h, c)
		}
	}
}

func BenchmarkOwner(b *testing.B) {
	var l []Host
	for i := range 100 {
		l = append(l, Host{Name: fmt.Sprint("host-", i), AvailabilityZone: "z", Region: "r"})
	}
	a := Compile(l)
	s := Server{DatabaseGroup: "g", Name: "s", AvailabilityZone: "z", Region: "r"}
	b.ReportAllocs()
	for b.Loop() {
		a.Owner(s)
	}
}
