package summarizer

import (
	"slices"

	"github.com/cuminwick/cuminwick/internal/member/arranger"
)

// maximumSingleRelayHosts is the number of hosts up to which a zone has one relay. In such a zone the
// other hosts' own calls to the platform, while the relay doesn't answer, cost no more than a second
// relay would cost all the time.
const maximumSingleRelayHosts = 3

// Relays returns the relays that self asks, in order of preference, out of the live hosts of its zone.
// It returns none if self is a relay itself, which includes a host that is alone. Hosts may
// temporarily disagree about which hosts are live, so two may each consider themselves the only
// relay; each then writes its own object, and operators merge the objects.
func Relays(zone, self string, live []string) []string {
	n := arranger.RelaysPerZone
	if len(live) <= maximumSingleRelayHosts {
		n = 1
	}
	l := arranger.Rank(zone, live)
	i := slices.Index(l, self)
	r := slices.Clone(l[:min(n, len(l))])
	if i < 0 || i < len(r) {
		return nil
	}
	if i%2 == 1 {
		// Half of the hosts prefer one relay, half the other one.
		slices.Reverse(r)
	}
	return r
}
