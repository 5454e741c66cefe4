package driver

import (
	"fmt"
	"testing"
	"time"

	"github.com/cuminwick/cuminwick/internal/config/declarer"
	"github.com/cuminwick/cuminwick/internal/group/observer"
)

// serving is a fake of Peers with the names of the hosts that serve the group.
type serving []string

func (s serving) PrimaryReports(string) []observer.PrimaryReport { return nil }
func (s serving) Hosts(string) []string                          { return s }

// Guards against competing promotions by fallback hosts. All serving hosts of a group are lost with
// its primary, and a hundred other hosts may promote instead. If they all promoted at the same
// moment, they would raise the same term and prolong the outage of writes.
func TestFallbackHostsAreSpread(t *testing.T) {
	l := serving{"a", "b", "c"}
	seen := make(map[time.Duration]int)
	for i := range 100 {
		d := &Driver{Group: declarer.DatabaseGroup{Name: "g"}, Host: fmt.Sprint("h", i), Peers: l, Settings: Defaults()}
		n := d.promotionDelay(7)
		if n < time.Duration(len(l))*d.Settings.RankStep {
			t.Errorf("%s promotes after %v, before the last serving host", d.Host, n)
		}
		seen[n]++
	}
	if len(seen) < 8 {
		t.Errorf("a hundred hosts have only %d different delays", len(seen))
	}
}
