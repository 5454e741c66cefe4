package applier

import (
	"slices"
	"time"

	"github.com/cuminwick/cuminwick/internal/config/encoder"
)

// silence is an entry that doesn't acknowledge: one start of a host in one object.
type silence struct {
	object string
	start  start
}

// listen notes since when each entry is known to stand without an acknowledgement;
// sent is when the objects were asked for.
func (o *Operator) listen(l []HolderObject, sent time.Duration) {
	if !o.hasListed {
		o.listedAt = sent
		o.hasListed = true
	}
	m := map[silence]time.Duration{}
	for _, h := range l {
		for _, e := range h.Holder.Reports() {
			k := silence{object: h.Name, start: start{host: e.Host, incarnation: e.Incarnation}}
			at, ok := o.silent[k]
			if !ok {
				at = sent
			}
			if e.Ready < o.staged.Revision {
				m[k] = at
			}
		}
	}
	o.silent = m
}

// free returns the step that takes hosts that are gone out of an object. Only
// one that left a staged revision unacknowledged for a lapse may be taken out: it
// knows that it has to register again. One that acknowledged and merely hasn't
// told what it decides by would go on as if it still counted, and the next
// revision would be accepted without it.
//
// The same holds for each other host in the object. So the whole object is freed
// only where none of them has acknowledged in it.
func (o *Operator) free(missing []encoder.Holder, now time.Duration) (Step, bool) {
	if o.hosts == nil {
		return Step{Action: ReadHolders, Hosts: true}, true
	}
	for _, h := range missing {
		if !o.gone(h) {
			continue
		}
		for _, x := range o.holders {
			if s, ok := o.without(x, h, now); ok {
				return s, true
			}
		}
	}
	return Step{}, false
}

// without returns the step that takes h out of the object x, false if h isn't in
// it or may not be taken out.
func (o *Operator) without(x HolderObject, h encoder.Holder, now time.Duration) (Step, bool) {
	own := h.OwnReport()
	l := x.Holder.Reports()
	i := slices.IndexFunc(l, own.SameIncarnation)
	switch {
	case i < 0 || !o.lapsedIn(x, l[i], now):
		return Step{}, false
	case !slices.ContainsFunc(l, func(m encoder.HostReport) bool { return !o.lapsedIn(x, m, now) }):
		return Step{Action: RetireHolder, Holder: x}, true
	case x.Holder.OwnReport().SameIncarnation(own) && !x.Holder.Left:
		x.Holder.Left = true
	default:
		x.Holder.Members = slices.DeleteFunc(slices.Clone(x.Holder.Members), own.SameIncarnation)
	}
	return Step{Action: PutHolder, Holder: x}, true
}

// lapsedIn reports whether the entry m has stood in x for a whole lapse without
// acknowledging. One that was added meanwhile may not have seen what is staged.
func (o *Operator) lapsedIn(x HolderObject, m encoder.HostReport, now time.Duration) bool {
	at, ok := o.silent[silence{object: x.Name, start: start{host: m.Host, incarnation: m.Incarnation}}]
	return ok && now-at >= o.lapse()
}

// gone reports whether h, which hasn't answered for a lapse, isn't coming back as
// the same start of its host. A host list that names none of the hosts says nothing.
func (o *Operator) gone(h encoder.Holder) bool {
	listed := false
	for _, a := range o.active() {
		if a.Host == h.Host && a.Incarnation != h.Incarnation {
			// The host was restarted and has registered again.
			return true
		}
		listed = listed || o.hosts[a.Host]
	}
	return listed && !o.hosts[h.Host]
}
