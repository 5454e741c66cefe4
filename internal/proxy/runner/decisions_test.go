package runner

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/cuminwick/cuminwick/internal/proxy/blackboard"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// Guards against owners and shares of connections that change in a deployment whose operators request
// nothing.
func TestGoldenOwners(t *testing.T) {
	hosts := append(append(zoneHosts("a", 3), zoneHosts("b", 3)...), zoneHosts("c", 1)...)
	var b strings.Builder
	for _, limit := range []int{3, 8, 16, 46, 70} {
		for _, customers := range []map[string]declarer.Customer{nil, {}} {
			board := &blackboard.Board{}
			board.Configure(&declarer.Configuration{Version: 1, Customers: customers, Groups: map[string]declarer.Group{"g": {Name: "g", MaximumConnections: limit}}})
			self := hosts[len(hosts)-1]
			p := &pools{self: self.Name, board: board, roster: newRoster(self, hosts)}
			for i := range 9 {
				s := declarer.Server{ID: fmt.Sprintf("i-%d", i), Group: "g", AvailabilityZone: []string{"a", "b", "c"}[i%3]}
				n, minimum := p.connectionShare(s)
				fmt.Fprintf(&b, "limit %d customers %t server %s: owners", limit, customers != nil, s.ID)
				for _, o := range p.roster.owners(s) {
					b.WriteString(" " + o.Name)
				}
				fmt.Fprintf(&b, ", connections %d to %d\n", minimum, n)
			}
		}
	}
	golden := filepath.Join("testdata", "owners.golden")
	if *update {
		if err := os.WriteFile(golden, []byte(b.String()), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(golden)
	if err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(string(want), b.String()); d != "" {
		t.Error(d)
	}
}
