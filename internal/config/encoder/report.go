package encoder

import (
	"slices"
	"time"

	"github.com/cuminwick/cuminwick/internal/config/declarer"
)

// HostReport is what a relay's object says of another host of its zone, with the
// meanings that the fields have in Holder.
type HostReport struct {
	Host        string            `json:"host"`
	Incarnation string            `json:"incarnation"`
	Ready       declarer.Revision `json:"ready,omitempty"`
	Refused     declarer.Revision `json:"refused,omitempty"`
	Reason      string            `json:"reason,omitempty"`
	InForce     declarer.Revision `json:"in-force"`
	// ReportedAt is the relay's clock when it heard of the host last, for people to read.
	ReportedAt time.Time `json:"reported-at"`
}

// SameIncarnation reports whether m and o are the same start of the same host.
func (m HostReport) SameIncarnation(o HostReport) bool {
	return m.Host == o.Host && m.Incarnation == o.Incarnation
}

// SameContent reports whether m and o say the same, if not at the same time.
func (m HostReport) SameContent(o HostReport) bool {
	m.ReportedAt = o.ReportedAt
	return m == o
}

// Merge returns what m and o, which are of the same start of a host, show
// together. Revisions only move up and a number means one file, so the higher
// one is the later word, in whatever order the two were written.
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

// OwnReport returns what h says of its host.
func (h Holder) OwnReport() HostReport {
	return HostReport{
		Host: h.Host, Incarnation: h.Incarnation, Ready: h.Ready, Refused: h.Refused,
		Reason: h.Reason, InForce: h.InForce, ReportedAt: h.ReportedAt,
	}
}

// Reports returns what one object says of each host that it stands for, each
// start of a host once. A host may take over an object that has it as a member.
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

// MergeHolders returns the hosts that the objects l stand for, each start of a host
// once. A host that changed its relay may stand in several objects.
func MergeHolders(l []Holder) []Holder {
	var n []Holder
	for _, h := range l {
		for _, m := range h.Reports() {
			n = add(n, h, m)
		}
	}
	return n
}

// add merges m, which the object h holds, into n.
func add(n []Holder, h Holder, m HostReport) []Holder {
	i := slices.IndexFunc(n, func(x Holder) bool { return x.OwnReport().SameIncarnation(m) })
	if i < 0 {
		return append(n, holder(h, m))
	}
	x := holder(h, n[i].OwnReport().Merge(m))
	if m.ReportedAt.Before(n[i].ReportedAt) {
		x.Relay = n[i].Relay
	}
	n[i] = x
	return n
}

func holder(h Holder, m HostReport) Holder {
	x := Holder{
		Host: m.Host, Incarnation: m.Incarnation, AvailabilityZone: h.AvailabilityZone, Ready: m.Ready,
		Refused: m.Refused, Reason: m.Reason, InForce: m.InForce, ReportedAt: m.ReportedAt,
	}
	if h.Host != m.Host || h.Incarnation != m.Incarnation {
		x.Relay = h.Host
	}
	return x
}
