package encoder

import (
	"slices"
	"time"

	"github.com/cuminwick/cuminwick/internal/config/declarer"
)

// HostReport is the state that a host of the zone reported through a relay, as the relay's
// object holds it. Its fields have the same meaning as those of Holder.
type HostReport struct {
	Host        string            `json:"host"`
	Incarnation string            `json:"incarnation"`
	Ready       declarer.Revision `json:"ready,omitempty"`
	Refused     declarer.Revision `json:"refused,omitempty"`
	Reason      string            `json:"reason,omitempty"`
	InForce     declarer.Revision `json:"in-force"`
	// ReportedAt is when the relay last received a report of the host; for display only.
	ReportedAt time.Time `json:"reported-at"`
}

// SameIncarnation reports whether m and o are of the same incarnation of the same host.
func (m HostReport) SameIncarnation(o HostReport) bool {
	return m.Host == o.Host && m.Incarnation == o.Incarnation
}

// SameContent reports whether m and o are equal except for ReportedAt.
func (m HostReport) SameContent(o HostReport) bool {
	m.ReportedAt = o.ReportedAt
	return m == o
}

// Merge combines m and o, which are of the same incarnation of a host. Revisions only
// increase and each number stands for one file, so the higher revision is the later
// report, in whatever order the two were written.
func (m HostReport) Merge(o HostReport) HostReport {
	m.Ready = max(m.Ready, o.Ready)
	m.InForce = max(m.InForce, o.InForce)
	if o.Refused > m.Refused {
		m.Refused = o.Refused
		m.Reason = o.Reason
	}
	if o.ReportedAt.After(m.ReportedAt) {
		m.ReportedAt = o.ReportedAt
	}
	return m
}

// OwnReport returns the report of h's own host, without its members.
func (h Holder) OwnReport() HostReport {
	return HostReport{
		Host: h.Host, Incarnation: h.Incarnation, Ready: h.Ready, Refused: h.Refused,
		Reason: h.Reason, InForce: h.InForce, ReportedAt: h.ReportedAt,
	}
}

// Reports returns the reports of the hosts that one object holds, each incarnation of a
// host once. A host may have taken over an object that has it as a member; the two
// reports are then merged.
func (h Holder) Reports() []HostReport {
	if h.Retired {
		return nil
	}
	own := h.OwnReport()
	if h.Left {
		return slices.Clone(h.Members)
	}
	l := []HostReport{own}
	for _, m := range h.Members {
		if m.SameIncarnation(own) {
			l[0] = own.Merge(m)
			continue
		}
		l = append(l, m)
	}
	return l
}

// MergeHolders returns the hosts that the objects l hold, each incarnation of a host once. A
// host that changed its relay may be in several objects.
func MergeHolders(l []Holder) []Holder {
	var n []Holder
	for _, h := range l {
		for _, m := range h.Reports() {
			n = mergeReport(n, h, m)
		}
	}
	return n
}

// mergeReport merges m, which the object h holds, into n and returns the result.
func mergeReport(n []Holder, h Holder, m HostReport) []Holder {
	i := slices.IndexFunc(n, func(x Holder) bool { return x.OwnReport().SameIncarnation(m) })
	if i < 0 {
		return append(n, newHolder(h, m))
	}
	x := newHolder(h, n[i].OwnReport().Merge(m))
	if m.ReportedAt.Before(n[i].ReportedAt) {
		x.Relay = n[i].Relay
	}
	n[i] = x
	return n
}

// newHolder returns m as a Holder of its own; h is the object that holds m.
func newHolder(h Holder, m HostReport) Holder {
	x := Holder{
		Host: m.Host, Incarnation: m.Incarnation, AvailabilityZone: h.AvailabilityZone, Ready: m.Ready,
		Refused: m.Refused, Reason: m.Reason, InForce: m.InForce, ReportedAt: m.ReportedAt,
	}
	if h.Host != m.Host || h.Incarnation != m.Incarnation {
		x.Relay = h.Host
	}
	return x
}
