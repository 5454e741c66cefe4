package runner

import (
	"flag"
	"fmt"
	"os"
	"slices"
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

// regionsOf maps the availability zones a and b to one region, and c to another.
var regionsOf = map[string]string{"a": "x", "b": "x", "c": "y"}

// newRosters returns the roster of each host, by name. Each lists all hosts.
func newRosters(hosts []declarer.Host) map[string]*roster {
	m := make(map[string]*roster)
	for _, h := range hosts {
		m[h.Name] = newRoster(h, hosts)
	}
	return m
}

func newRoster(self declarer.Host, hosts []declarer.Host) *roster {
	r := &roster{self: self, regions: regionsOf, skippedUntil: make(map[skipKey]time.Time)}
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

// One host per region reads the store, one host per shard of an availability zone reads from that
// one, and the others read from the first of their shard. Large zones have several shards.
func TestOneHostPerRegionReadsTheStore(t *testing.T) {
	for n, shards := range map[int]int{1: 1, 3: 1, 25: 1, 26: 2, 100: 4} {
		all := newRosters(append(append(zoneHosts("a", n), zoneHosts("b", n)...), zoneHosts("c", n)...))
		direct := make(map[string]int)
		upstreams := make(map[string]map[string]bool)
		for _, r := range all {
			zone := r.self.AvailabilityZone
			h, ok := r.upstream("k")
			if !ok {
				direct[regionsOf[zone]]++
				continue
			}
			if regionsOf[h.AvailabilityZone] != regionsOf[zone] {
				t.Errorf("%s reads through %s of another region", r.self.Name, h.Name)
			}
			if next, ok := all[h.Name].upstream("k"); ok {
				if _, ok := all[next.Name].upstream("k"); ok {
					t.Errorf("%s is more than two hosts from the store", r.self.Name)
				}
			}
			if upstreams[zone] == nil {
				upstreams[zone] = make(map[string]bool)
			}
			upstreams[zone][h.Name] = true
		}
		if direct["x"] != 1 || direct["y"] != 1 {
			t.Errorf("%d hosts a zone: %v read the store, want one of each region", n, direct)
		}
		for zone, l := range upstreams {
			// One for each shard, and the first host of the region.
			if len(l) > shards+1 {
				t.Errorf("%d hosts a zone: those of %s read through %d hosts", n, zone, len(l))
			}
		}
	}
}

// Serving reads of other hosts takes bandwidth, so hosts with more of it must be the upstream
// hosts.
func TestUpstreamsHaveMoreBandwidth(t *testing.T) {
	l := append(zoneHosts("a", 12), zoneHosts("b", 12)...)
	l[3].Bandwidth, l[17].Bandwidth = 200e6, 200e6
	for _, r := range newRosters(l) {
		if h, ok := r.upstream("k"); ok && h.Bandwidth == 0 {
			t.Errorf("%s reads through %s", r.self.Name, h.Name)
		}
	}
}

// The host that reads the store fails without deregistering. The next host in the order must read
// the store itself, and the others must read through that one.
func TestNextHostReadsTheStore(t *testing.T) {
	all := newRosters(zoneHosts("a", 5))
	failed := ""
	for _, r := range all {
		if h, ok := r.upstream("k"); ok {
			failed = h.Name
			r.skip(failed)
		}
	}
	direct := 0
	for name, r := range all {
		h, ok := r.upstream("k")
		if name != failed && !ok {
			direct++
		}
		if ok && h.Name == failed {
			t.Errorf("%s still reads through the failed host", name)
		}
	}
	if direct != 1 {
		t.Errorf("%d hosts read the store, want 1", direct)
	}
}

// Guards against cycles of upstream hosts. Hosts list and skip different hosts; if two read from
// each other, each would confirm the other's state although neither reads the store.
func TestHostsNeverReadInACircle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var hosts []declarer.Host
		for i := range rapid.IntRange(2, 40).Draw(t, "hosts") {
			zone := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone")
			hosts = append(hosts, declarer.Host{Name: fmt.Sprint("h-", i), AvailabilityZone: zone, Bandwidth: rapid.Int64Range(0, 1).Draw(t, "bandwidth")})
		}
		from := make(map[string]string)
		for _, h := range hosts {
			var listed []declarer.Host
			for _, x := range hosts {
				if rapid.IntRange(0, 4).Draw(t, "knows") > 0 {
					listed = append(listed, x)
				}
			}
			r := newRoster(h, listed)
			for _, x := range listed {
				if rapid.IntRange(0, 4).Draw(t, "passes over") == 0 {
					r.skipFor(x.Name, rapid.SampledFrom([]string{"", "k", "other"}).Draw(t, "kind"), upstreamRetryDelay)
				}
			}
			if x, ok := r.upstream("k"); ok {
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

// Guards against two trees of upstream hosts, one of restarted hosts and one of the others: a host that
// knows only the seeds must read through the same host as one that has the list of all hosts.
func TestSeedsLeadToTheSameUpstream(t *testing.T) {
	for _, n := range []int{1, 3, 26, 100, 300} {
		l := append(append(zoneHosts("a", n), zoneHosts("b", n)...), zoneHosts("c", n)...)
		l[n/2].Bandwidth, l[n+n/3].Bandwidth = 200e6, 200e6
		all := newRosters(l)
		for _, r := range all {
			seeds, ok := all[l[0].Name].seeds()[r.self.AvailabilityZone]
			if regionsOf[r.self.AvailabilityZone] == "y" {
				seeds, ok = all[l[2*n].Name].seeds()[r.self.AvailabilityZone]
			}
			if most := regionSeeds + spareSeeds + (n+hostsPerUpstream-1)/hostsPerUpstream; !ok || len(seeds.Hosts) > most {
				t.Fatalf("%d hosts a zone: %d seeds, want %d at most", n, len(seeds.Hosts), most)
			}
			restarted := newRoster(r.self, nil)
			restarted.seed(seeds)
			want, wantOK := r.upstream("k")
			if h, ok := restarted.upstream("k"); h != want || ok != wantOK {
				t.Errorf("%d hosts a zone: %s reads through %q with the seeds, through %q with all hosts", n, r.self.Name, h.Name, want.Name)
			}
		}
	}
}

// Guards against hundreds of hosts that write the seed lists at once: in a partition many hosts lose the
// hosts that they read through, and each of them then reads the store itself.
func TestFewHostsWriteSeeds(t *testing.T) {
	l := append(zoneHosts("a", 60), zoneHosts("b", 60)...)
	all := newRosters(l)
	writers := func() int {
		n := 0
		for _, r := range all {
			if r.writesSeeds() {
				n++
			}
		}
		return n
	}
	if n := writers(); n != 1 {
		t.Errorf("%d hosts write the seed lists, want 1", n)
	}
	for _, r := range all {
		for _, h := range l {
			r.skip(h.Name)
		}
	}
	if n := writers(); n > regionSeeds {
		t.Errorf("%d hosts write the seed lists after all have lost the others, want %d at most", n, regionSeeds)
	}
}

// Guards against a region whose hosts all ask the store at the moment in which one tells that it is back: those that many
// read through come first.
func TestFewHostsLead(t *testing.T) {
	var hosts []declarer.Host
	for _, z := range []string{"a", "b", "c"} {
		hosts = append(hosts, zoneHosts(z, 50)...)
	}
	ordered := slices.Clone(hosts)
	orderUpstreams(ordered)
	n := 0
	for _, h := range ordered {
		if leads(ordered, h) {
			n++
		}
	}
	if most := regionLeaders + 3*zoneUpstreams(50); n < regionLeaders || n > most {
		t.Errorf("%d hosts lead, want %d to %d", n, regionLeaders, most)
	}
	for i := range regionLeaders {
		if !leads(ordered, ordered[i]) {
			t.Errorf("host %d of the region doesn't lead", i)
		}
	}
}

// Guards against a host that passes over those it read through for seconds after it was told that the store is back, and
// against one that asks hosts without power again at once.
func TestHostsThatLostStoreAreAskedAgain(t *testing.T) {
	hosts := zoneHosts("a", 3)
	orderUpstreams(hosts)
	r := newRoster(hosts[2], hosts)
	r.skipFor(hosts[0].Name, "k", staleRetryDelay)
	r.skip(hosts[1].Name)
	if _, ok := r.upstream("k"); ok {
		t.Error("a skipped host is read through")
	}
	r.forgetStale()
	if h, ok := r.upstream("k"); !ok || h != hosts[0] {
		t.Errorf("reads through %q", h.Name)
	}
	r.skipFor(hosts[0].Name, "k", staleRetryDelay)
	if h, ok := r.upstream("k"); ok {
		t.Errorf("reads through %q, which has no power", h.Name)
	}
}

// Guards against hosts that read the store themselves, call after call, since the first ones in their order are cut off from
// it.
func TestDetourIsKeptUntilItFails(t *testing.T) {
	hosts := zoneHosts("a", 6)
	orderUpstreams(hosts)
	r := newRoster(hosts[5], hosts)
	r.skipFor(hosts[0].Name, "k", staleRetryDelay)
	r.skipFor(hosts[1].Name, "k", staleRetryDelay)
	d, ok := r.takeDetour("k")
	if !ok || d == hosts[0] || d == hosts[1] || d == hosts[5] {
		t.Fatalf("detour through %q", d.Name)
	}
	r.forgetStale()
	if h, _ := r.upstream("k"); h != d {
		t.Errorf("reads through %q after a detour through %q", h.Name, d.Name)
	}
	if h, _ := r.upstream("other"); h != hosts[0] {
		t.Errorf("another kind is read through %q", h.Name)
	}
	r.skipFor(d.Name, "k", staleRetryDelay)
	if h, _ := r.upstream("k"); h != hosts[0] {
		t.Errorf("reads through %q after the detour has failed", h.Name)
	}
	for _, h := range hosts[:5] {
		r.skip(h.Name)
	}
	if h, ok := r.takeDetour("k"); ok {
		t.Errorf("detour through %q, which has no power", h.Name)
	}
}
