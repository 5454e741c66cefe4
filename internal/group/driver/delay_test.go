package driver

import (
	"fmt"
	"testing"
	"time"

	"github.com/cuminwick/cuminwick/internal/config/declarer"
	"github.com/cuminwick/cuminwick/internal/group/observer"
)

// serving lists the serving hosts.
type serving []string

func (s serving) PrimaryReports(string) []observer.PrimaryReport { return nil }
func (s serving) Hosts(string) []string                          { return s }

// All serving hosts of a group are lost with its primary, and a hundred others stand
// in for them. Did all of these promote at the same moment, they would raise the same
// term against each other, and writes would stand still for longer.
func TestHostsThatStandInAreSpread(t *testing.T) {
	l := serving{"a", "b", "c"}
	seen := make(map[time.Duration]int)
	for i := range 100 {
		d := &Driver{Group: declarer.DatabaseGroup{Name: "g"}, Host: fmt.Sprint("h", i), Peers: l, Settings: Defaults()}
		n := d.delay(7)
		if n < time.Duration(len(l))*d.Settings.RankStep {
			t.Errorf("%s promotes after %v, with the serving hosts", d.Host, n)
		}
		seen[n]++
	}
	if len(seen) < 8 {
		t.Errorf("a hundred hosts promote at %d moments", len(seen))
	}
}
