package assembler

import (
	"slices"

	"github.com/cuminwick/cuminwick/internal/member/declarer"
)

// zone returns the live hosts of this host's zone that it can reach, itself included.
func (a *Assembler) zone() []string {
	var out []string
	v := a.Host.MemberView()
	for _, z := range v.Zones {
		if z.Name == a.Settings.AvailabilityZone {
			out = z.Unreachable
		}
	}
	l := []string{a.Settings.HostName}
	for _, m := range v.Members {
		near := m.AvailabilityZone == a.Settings.AvailabilityZone && m.Host != a.Settings.HostName
		if near && m.State == declarer.Live && !slices.Contains(out, m.Host) {
			l = append(l, m.Host)
		}
	}
	return l
}
