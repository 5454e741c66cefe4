package runner

import (
	"fmt"
	"testing"

	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

// Guards against hosts of a zone that ask different ones, and against one host that counts for all
// customers while others with the same link count for none.
func TestCountersAgreeAndShare(t *testing.T) {
	var l []declarer.Host
	for i := range 12 {
		h := declarer.Host{Name: fmt.Sprint("h", i), AvailabilityZone: fmt.Sprint("z", i%2), Bandwidth: 10e6}
		if i < 6 {
			h.Bandwidth = 200e6
		}
		l = append(l, h)
	}
	a, b := &roster{}, &roster{}
	a.reset(l)
	b.reset(l)
	first := make(map[string]int)
	for i := range 100 {
		c := fmt.Sprint("c", i)
		x, y := a.counters("z0", c), b.counters("z0", c)
		if len(x) != 6 || fmt.Sprint(x) != fmt.Sprint(y) {
			t.Fatalf("%s: %v, %v", c, x, y)
		}
		first[x[0].Name]++
	}
	for _, n := range []string{"h0", "h2", "h4"} {
		if first[n] < 15 {
			t.Errorf("%s counts for %d of 100 customers: %v", n, first[n], first)
		}
	}
	if len(first) != 3 {
		t.Errorf("hosts with slow links count: %v", first)
	}
	a.apply([]Change[declarer.Host]{{Name: a.counters("z0", "c0")[0].Name, Removed: true}})
	if n := len(a.counters("z0", "c0")); n != 5 {
		t.Errorf("%d counters after one has left", n)
	}
}
