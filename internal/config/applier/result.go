package applier

import (
	"cmp"
	"slices"

	"github.com/cuminwick/cuminwick/internal/config/encoder"
)

// Outcome is how an operator's run ended.
type Outcome string

// Outcomes of a run.
const (
	// InForce means that every host decides by the revision.
	InForce Outcome = "in-force"
	// Accepted means that the revision stays, and that hosts which are cut off
	// and say so don't decide by it yet.
	Accepted Outcome = "accepted"
	// Withdrawn means that the revision was never in force and never will be.
	Withdrawn Outcome = "withdrawn"
	// Conflict means that nothing was done because another change came first.
	Conflict Outcome = "conflict"
	// LeftStaged means that a resumed revision is still staged, as it was found.
	LeftStaged Outcome = "left-staged"
	// NothingStaged means that there was nothing to resume or withdraw.
	NothingStaged Outcome = "nothing-staged"
)

// Result is how an operator's run ended, and why.
type Result struct {
	Outcome Outcome `json:"outcome"`
	Reason  string  `json:"reason,omitempty"`
	// Entry is the revision that this is about: the run's own, or on a conflict
	// the competing one.
	Entry encoder.Entry `json:"entry"`
	// Missing are the hosts that don't decide by the revision.
	Missing []encoder.Holder `json:"missing,omitempty"`
	Zones   []Zone           `json:"zones,omitempty"`
}

// Zone sums up the hosts of one availability zone.
type Zone struct {
	AvailabilityZone string `json:"availability-zone"`
	Hosts            int    `json:"hosts"`
	// Ready is how many hosts can put the revision in force or have done so.
	Ready int `json:"ready"`
	// InForce is how many hosts decide by the revision.
	InForce int `json:"in-force"`
	// Missing names the hosts that haven't got as far as the others must.
	Missing []string `json:"missing,omitempty"`
}

// Zones sums up the hosts by availability zone as last seen.
func (o *Operator) Zones() []Zone {
	var l []Zone
	for _, h := range o.active() {
		i := slices.IndexFunc(l, func(z Zone) bool { return z.AvailabilityZone == h.AvailabilityZone })
		if i < 0 {
			i = len(l)
			l = append(l, Zone{AvailabilityZone: h.AvailabilityZone})
		}
		o.count(&l[i], h)
	}
	slices.SortFunc(l, func(a, b Zone) int { return cmp.Compare(a.AvailabilityZone, b.AvailabilityZone) })
	return l
}

func (o *Operator) count(z *Zone, h encoder.Holder) {
	z.Hosts++
	if o.staged.Revision == 0 {
		return
	}
	told := o.told(h)
	ready := told || o.acknowledged(h)
	if told {
		z.InForce++
	}
	if ready {
		z.Ready++
	}
	if !told && (o.acceptedSeen || !ready) {
		z.Missing = append(z.Missing, h.Host)
	}
}
