package summarizer

import (
	"slices"

	"github.com/cuminwick/cuminwick/internal/member/arranger"
)

// maximumSingleRelayHosts is the number of hosts up to which a zone has one relay. There the
// others going to the platform themselves, while that relay doesn't answer, costs
// no more than a second relay would cost all the time.
const maximumSingleRelayHosts = 3

// Relays returns the relays that self asks, in order, out of the live hosts of its
// zone; none if self is to be a relay, or is alone. Hosts differ for a while about
// who is live, so two may both hold themselves to be the only relay; each
// then writes its own object, and operators merge them.
func Relays(zone, self string, live []string) []string {
	n := arranger.Relays
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
		// Half of the hosts ask one relay first, half the other one.
		slices.Reverse(r)
	}
	return r
}
