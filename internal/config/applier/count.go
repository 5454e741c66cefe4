package applier

import (
	"slices"

	"github.com/cuminwick/cuminwick/internal/config/encoder"
)

// start is one start of a host. A host that was replaced isn't counted by what its
// predecessor acknowledged.
type start struct {
	host        string
	incarnation string
}

func startOf(h encoder.Holder) start {
	return start{host: h.Host, incarnation: h.Incarnation}
}

func starts(l []encoder.Holder) map[start]bool {
	m := map[start]bool{}
	for _, h := range l {
		m[startOf(h)] = true
	}
	return m
}

func (o *Operator) allLapsed(l []encoder.Holder) bool {
	for _, h := range l {
		if !o.lapsed[startOf(h)] {
			return false
		}
	}
	return true
}

// active returns the hosts that the objects stand for, each once.
func (o *Operator) active() []encoder.Holder {
	var l []encoder.Holder
	for _, h := range o.holders {
		l = append(l, h.Holder)
	}
	return encoder.MergeHolders(l)
}

// missing returns the active hosts that don't meet f.
func (o *Operator) missing(f func(encoder.Holder) bool) []encoder.Holder {
	return slices.DeleteFunc(o.active(), func(h encoder.Holder) bool { return f(h) })
}

func (o *Operator) acknowledged(h encoder.Holder) bool {
	return h.Ready >= o.staged.Revision
}

func (o *Operator) told(h encoder.Holder) bool {
	return h.InForce >= o.staged.Revision
}

func (o *Operator) refusal() (encoder.Holder, bool) {
	for _, h := range o.active() {
		if h.Refused == o.staged.Revision {
			return h, true
		}
	}
	return encoder.Holder{}, false
}
