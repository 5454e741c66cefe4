package runner

import (
	"testing"

	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

// Another writer has changed a seed list. Guards against a process that ends at each start.
func TestOddSeedListIsUsed(t *testing.T) {
	for _, n := range []int{-1 << 63, -1, 0, 1, 2, 3, 1<<63 - 1} {
		r := newRoster(declarer.Host{Name: "h", AvailabilityZone: "a"}, nil)
		r.seed(declarer.Seeds{ZoneUpstreams: n, Hosts: []declarer.Host{
			{Name: "a", AvailabilityZone: "a", Bandwidth: 1e9}, {Name: "b", AvailabilityZone: "a", Bandwidth: 1e9}, {Name: "b", AvailabilityZone: "a", Bandwidth: 1e9},
		}})
		if _, ok := r.upstream("k"); !ok {
			t.Errorf("%d upstream hosts: no host to read through", n)
		}
	}
}
