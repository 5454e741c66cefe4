package applier

import (
	"slices"

	"github.com/cuminwick/cuminwick/internal/config/encoder"
)

// hostIncarnation identifies one start of a host. What an earlier incarnation acknowledged doesn't
// count for the host that replaced it.
type hostIncarnation struct {
	host        string
	incarnation string
}

func incarnationOf(h encoder.Holder) hostIncarnation {
	return hostIncarnation{host: h.Host, incarnation: h.Incarnation}
}

func incarnationsOf(l []encoder.Holder) map[hostIncarnation]bool {
	m := map[hostIncarnation]bool{}
	for _, h := range l {
		m[incarnationOf(h)] = true
	}
	return m
}

func (o *Operator) allTimedOut(l []encoder.Holder) bool {
	for _, h := range l {
		if !o.timedOut[incarnationOf(h)] {
			return false
		}
	}
	return true
}

// activeHosts returns the hosts that the listed objects register, each incarnation once.
func (o *Operator) activeHosts() []encoder.Holder {
	var l []encoder.Holder
	for _, h := range o.holders {
		l = append(l, h.Holder)
	}
	return encoder.MergeHolders(l)
}

// missing returns the active hosts for which f is false.
func (o *Operator) missing(f func(encoder.Holder) bool) []encoder.Holder {
	return slices.DeleteFunc(o.activeHosts(), func(h encoder.Holder) bool { return f(h) })
}

func (o *Operator) acknowledged(h encoder.Holder) bool {
	return h.Ready >= o.staged.Revision
}

func (o *Operator) reportedInForce(h encoder.Holder) bool {
	return h.InForce >= o.staged.Revision
}

func (o *Operator) refusal() (encoder.Holder, bool) {
	for _, h := range o.activeHosts() {
		if h.Refused == o.staged.Revision {
			return h, true
		}
	}
	return encoder.Holder{}, false
}
