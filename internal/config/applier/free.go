package applier

import (
	"slices"
	"time"

	"github.com/cuminwick/cuminwick/internal/config/encoder"
)

// unacknowledgedEntry identifies an entry without an acknowledgement: one incarnation of a host in
// one object.
type unacknowledgedEntry struct {
	object string
	owner  hostIncarnation
}

// trackUnacknowledged records for each entry since when it has been listed without an
// acknowledgement; sent is when the objects were requested.
func (o *Operator) trackUnacknowledged(l []HolderObject, sent time.Duration) {
	if !o.holdersListed {
		o.holdersFirstListedAt = sent
		o.holdersListed = true
	}
	m := map[unacknowledgedEntry]time.Duration{}
	for _, h := range l {
		for _, e := range h.Holder.Reports() {
			k := unacknowledgedEntry{object: h.Name, owner: hostIncarnation{host: e.Host, incarnation: e.Incarnation}}
			at, ok := o.unacknowledgedSince[k]
			if !ok {
				at = sent
			}
			if e.Ready < o.staged.Revision {
				m[k] = at
			}
		}
	}
	o.unacknowledgedSince = m
}

// removeGoneHosts returns the next step that removes a host that is gone from an object, false if
// there is none. It reads the host list first. A host may be removed only if it left a staged
// revision unacknowledged for the whole timeout, because such a host registers again before it
// reports its revision as confirmed. A host that acknowledged, and only hasn't reported the
// revision in force, would continue as if registered, and the next revision would be accepted
// without it.
//
// The same applies to every other host in the object. So the whole object is retired only if no
// host has acknowledged in it.
func (o *Operator) removeGoneHosts(missing []encoder.Holder, now time.Duration) (Step, bool) {
	if o.listedHosts == nil {
		return Step{Action: ReadHolders, Hosts: true}, true
	}
	for _, h := range missing {
		if !o.isGone(h) {
			continue
		}
		for _, x := range o.holders {
			if s, ok := o.removeFrom(x, h, now); ok {
				return s, true
			}
		}
	}
	return Step{}, false
}

// removeFrom returns the step that removes h from the object x, false if h isn't in it or may not
// be removed.
func (o *Operator) removeFrom(x HolderObject, h encoder.Holder, now time.Duration) (Step, bool) {
	own := h.OwnReport()
	l := x.Holder.Reports()
	i := slices.IndexFunc(l, own.SameIncarnation)
	switch {
	case i < 0 || !o.timedOutIn(x, l[i], now):
		return Step{}, false
	case !slices.ContainsFunc(l, func(m encoder.HostReport) bool { return !o.timedOutIn(x, m, now) }):
		return Step{Action: RetireHolder, Holder: x}, true
	case x.Holder.OwnReport().SameIncarnation(own) && !x.Holder.Left:
		x.Holder.Left = true
	default:
		x.Holder.Members = slices.DeleteFunc(slices.Clone(x.Holder.Members), own.SameIncarnation)
	}
	return Step{Action: PutHolder, Holder: x}, true
}

// timedOutIn reports whether the entry m has been in x for the whole timeout without an
// acknowledgement. A host added more recently may not have received the staged revision.
func (o *Operator) timedOutIn(x HolderObject, m encoder.HostReport, now time.Duration) bool {
	at, ok := o.unacknowledgedSince[unacknowledgedEntry{object: x.Name, owner: hostIncarnation{host: m.Host, incarnation: m.Incarnation}}]
	return ok && now-at >= o.acknowledgementTimeout()
}

// isGone reports whether h, which hasn't acknowledged within the timeout, can't return as the same
// incarnation: another incarnation is registered, or the host list lacks the host. A host list
// that names none of the active hosts is ignored.
func (o *Operator) isGone(h encoder.Holder) bool {
	listed := false
	for _, a := range o.activeHosts() {
		if a.Host == h.Host && a.Incarnation != h.Incarnation {
			// The host was restarted and has registered again.
			return true
		}
		listed = listed || o.listedHosts[a.Host]
	}
	return listed && !o.listedHosts[h.Host]
}
