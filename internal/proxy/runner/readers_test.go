package runner

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

func TestMain(m *testing.M) {
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// regionsOf are the zones "a" and "b" of one region, and "c" of another.
var regionsOf = map[string]string{"a": "x", "b": "x", "c": "y"}

// rosters returns the hosts' views of the same hosts.
func rosters(hosts []declarer.Host) map[string]*roster {
	m := make(map[string]*roster)
	for _, h := range hosts {
		m[h.Name] = view(h, hosts)
	}
	return m
}

func view(own declarer.Host, hosts []declarer.Host) *roster {
	r := &roster{own: own, regions: regionsOf, silent: make(map[silence]time.Time)}
	r.reset(hosts)
	return r
}

func zoneHosts(zone string, n int) []declarer.Host {
	var l []declarer.Host
	for i := range n {
		l = append(l, declarer.Host{Name: fmt.Sprint(zone, "-", i), AvailabilityZone: zone})
	}
	return l
}

// One host of a region reads the store, one of each zone from that, and the others of a zone
// from that one. In a large zone there are several of them.
func TestOneHostOfARegionReadsTheStore(t *testing.T) {
	for n, parts := range map[int]int{1: 1, 3: 1, 25: 1, 26: 2, 100: 4} {
		all := rosters(append(append(zoneHosts("a", n), zoneHosts("b", n)...), zoneHosts("c", n)...))
		direct := make(map[string]int)
		readers := make(map[string]map[string]bool)
		for _, r := range all {
			zone := r.own.AvailabilityZone
			h, ok := r.reader("k")
			if !ok {
				direct[regionsOf[zone]]++
				continue
			}
			if regionsOf[h.AvailabilityZone] != regionsOf[zone] {
				t.Errorf("%s reads through %s of another region", r.own.Name, h.Name)
			}
			if next, ok := all[h.Name].reader("k"); ok {
				if _, ok := all[next.Name].reader("k"); ok {
					t.Errorf("%s is more than two hosts from the store", r.own.Name)
				}
			}
			if readers[zone] == nil {
				readers[zone] = make(map[string]bool)
			}
			readers[zone][h.Name] = true
		}
		if direct["x"] != 1 || direct["y"] != 1 {
			t.Errorf("%d hosts a zone: %v read the store, want one of each region", n, direct)
		}
		for zone, l := range readers {
			// One for each part, and the first of the region.
			if len(l) > parts+1 {
				t.Errorf("%d hosts a zone: those of %s read through %d hosts", n, zone, len(l))
			}
		}
	}
}

// Reading for others loads a host's link. Those that have more of it do so.
func TestHostsWithMoreBandwidthAreReadFrom(t *testing.T) {
	l := append(zoneHosts("a", 12), zoneHosts("b", 12)...)
	l[3].Bandwidth, l[17].Bandwidth = 200e6, 200e6
	for _, r := range rosters(l) {
		if h, ok := r.reader("k"); ok && h.Bandwidth == 0 {
			t.Errorf("%s reads through %s", r.own.Name, h.Name)
		}
	}
}

// The host that reads the store is lost without a word. The next in order finds that it is
// to read the store itself, the others read through it.
func TestNextHostReadsTheStore(t *testing.T) {
	all := rosters(zoneHosts("a", 5))
	lost := ""
	for _, r := range all {
		if h, ok := r.reader("k"); ok {
			lost = h.Name
			r.passOver(lost, "")
		}
	}
	direct := 0
	for name, r := range all {
		h, ok := r.reader("k")
		if name != lost && !ok {
			direct++
		}
		if ok && h.Name == lost {
			t.Errorf("%s still reads through the lost host", name)
		}
	}
	if direct != 1 {
		t.Errorf("%d hosts read the store, want 1", direct)
	}
}

// Hosts know different hosts and pass over different ones. If two came to read from each
// other, they would vouch for what neither has from the store.
func TestHostsNeverReadInACircle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var hosts []declarer.Host
		for i := range rapid.IntRange(2, 40).Draw(t, "hosts") {
			zone := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone")
			hosts = append(hosts, declarer.Host{Name: fmt.Sprint("h-", i), AvailabilityZone: zone, Bandwidth: rapid.Int64Range(0, 1).Draw(t, "bandwidth")})
		}
		from := make(map[string]string)
		for _, h := range hosts {
			var known []declarer.Host
			for _, x := range hosts {
				if rapid.IntRange(0, 4).Draw(t, "knows") > 0 {
					known = append(known, x)
				}
			}
			r := view(h, known)
			for _, x := range known {
				if rapid.IntRange(0, 4).Draw(t, "passes over") == 0 {
					r.passOver(x.Name, rapid.SampledFrom([]string{"", "k", "other"}).Draw(t, "kind"))
				}
			}
			if x, ok := r.reader("k"); ok {
				from[h.Name] = x.Name
			}
		}
		for _, h := range hosts {
			seen := map[string]bool{}
			for n, ok := h.Name, true; ok; n, ok = from[n] {
				if seen[n] {
					t.Fatalf("%s reads from itself by way of others: %v", n, from)
				}
				seen[n] = true
			}
		}
	})
}
