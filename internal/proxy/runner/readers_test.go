package runner

import (
	"fmt"
	"testing"

	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

// rosters returns the hosts' views of the same hosts.
func rosters(hosts []declarer.Host) map[string]*roster {
	m := make(map[string]*roster)
	for _, h := range hosts {
		r := &roster{self: h.Name, regions: map[string]string{"a": "x", "b": "x"}}
		r.reset(hosts)
		m[h.Name] = r
	}
	return m
}

// Every host of a zone reads through one of them, and that one reads the store. In a
// large zone there are several.
func TestOneHostOfAZoneReadsTheStore(t *testing.T) {
	for n, want := range map[int]int{1: 1, 3: 1, 25: 1, 26: 2, 100: 4} {
		var l []declarer.Host
		for i := range n {
			l = append(l, declarer.Host{Name: fmt.Sprint("a-", i), AvailabilityZone: "a"})
		}
		l = append(l, declarer.Host{Name: "b-1", AvailabilityZone: "b"})
		direct := 0
		all := rosters(l)
		for name, r := range all {
			h, ok := r.reader(r.hosts[name].AvailabilityZone)
			if !ok {
				direct++
				continue
			}
			if h.AvailabilityZone != "a" {
				t.Errorf("%s reads through %s of another zone", name, h.Name)
			}
		}
		// The one of zone b reads for itself. Two parts of a zone may come to the same host.
		if direct--; direct > want || direct < 1 {
			t.Errorf("%d of %d hosts read the store, want %d", direct, n, want)
		}
	}
}

// The host that reads the store is lost without a word. The next in order finds that it is
// to read the store itself, the others read through it.
func TestNextHostReadsTheStore(t *testing.T) {
	var l []declarer.Host
	for i := range 5 {
		l = append(l, declarer.Host{Name: fmt.Sprint("a-", i), AvailabilityZone: "a"})
	}
	all := rosters(l)
	lost := ""
	for _, r := range all {
		if h, ok := r.reader("a"); ok {
			lost = h.Name
			r.passOver(lost)
		}
	}
	direct := 0
	for name, r := range all {
		h, ok := r.reader("a")
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
