package assigner

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// fleet returns hosts spread over zones of two regions, and servers with the given slots.
func fleet(hosts, servers, zones, slots int) ([]Host, []Server) {
	var h []Host
	var s []Server
	zone := func(i int) (string, string) { return fmt.Sprint("zone-", i%zones), fmt.Sprint("region-", i%zones%2) }
	for i := range hosts {
		z, r := zone(i)
		h = append(h, Host{Name: fmt.Sprint("host-", i), AvailabilityZone: z, Region: r})
	}
	for i := range servers {
		z, r := zone(i)
		s = append(s, Server{DatabaseGroup: fmt.Sprint("group-", i/3), Name: fmt.Sprint("server-", i), AvailabilityZone: z, Region: r, Slots: slots})
	}
	return h, s
}

// formatOwners lists the owner and the successors of each server.
func formatOwners(l []Server, owners func(Server, int) Owners) string {
	var b strings.Builder
	for _, s := range l {
		o := owners(s, MaximumOwners)
		fmt.Fprintf(&b, "%s/%s: %s\n", s.DatabaseGroup, s.Name, strings.Join(o.Hosts[:o.Count], " "))
	}
	return b.String()
}

// mixedStrengths gives every sixth host the strength of a large host, and the others that of a small
// one.
func mixedStrengths(l []Host) []Host {
	l = slices.Clone(l)
	for i := range l {
		l[i].Strength = 9
		if i%6 == 0 {
			l[i].Strength = 40
		}
	}
	return l
}

// Guards against servers that move without need with a release that knows strengths: the golden files
// were recorded from the assigner without them. Owners must be the same where strengths or slots are
// unknown and where no host exceeds its strength.
func TestOwnersWithinStrengthAreUnchanged(t *testing.T) {
	for _, f := range []struct{ hosts, servers, zones int }{{9, 12, 3}, {75, 24, 6}, {300, 48, 12}} {
		h, s := fleet(f.hosts, f.servers, f.zones, 2)
		_, unknown := fleet(f.hosts, f.servers, f.zones, 0)
		tight := slices.Clone(h)
		for i := range tight {
			tight[i].Strength = 1
		}
		golden := filepath.Join("testdata", fmt.Sprintf("owners-%d.golden", f.hosts))
		if *update {
			if err := os.WriteFile(golden, []byte(formatOwners(s, Compile(h).Owners)), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		want, err := os.ReadFile(golden)
		if err != nil {
			t.Fatal(err)
		}
		for name, got := range map[string]string{
			"not placed":        formatOwners(s, Compile(h).Owners),
			"strengths unknown": formatOwners(s, Compile(h).Place(s).Owners),
			"slots unknown":     formatOwners(unknown, Compile(tight).Place(unknown).Owners),
			"strengths known":   formatOwners(s, Compile(mixedStrengths(h)).Place(s).Owners),
		} {
			if d := cmp.Diff(string(want), got); d != "" {
				t.Errorf("%d hosts, %s: %s", f.hosts, name, d)
			}
		}
	}
}
