package assembler

import (
	"slices"

	"github.com/cuminwick/cuminwick/internal/member/declarer"
)

// reachableZoneHosts returns the live hosts of this host's availability zone that this host can
// reach, including itself.
func (a *Assembler) reachableZoneHosts() []string {
	var unreachable []string
	v := a.Host.MemberView()
	for _, z := range v.Zones {
		if z.Name == a.Settings.AvailabilityZone {
			unreachable = z.Unreachable
		}
	}
	l := []string{a.Settings.HostName}
	for _, m := range v.Members {
		sameZone := m.AvailabilityZone == a.Settings.AvailabilityZone && m.Host != a.Settings.HostName
		if sameZone && m.State == declarer.Live && !slices.Contains(unreachable, m.Host) {
			l = append(l, m.Host)
		}
	}
	return l
}
