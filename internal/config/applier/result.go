package applier

import (
	"cmp"
	"slices"

	"github.com/cuminwick/cuminwick/internal/config/encoder"
)

// Outcome says how an operator's run ended.
type Outcome string

// Outcomes of a run.
const (
	// InForce means that every host reports the revision in force.
	InForce Outcome = "in-force"
	// Accepted means that the revision is accepted, but not yet in force on some hosts. These are
	// cut off and report their own revision as unconfirmed, or the run was aborted before they
	// reported.
	Accepted Outcome = "accepted"
	// Withdrawn means that the revision was never in force and never will be.
	Withdrawn Outcome = "withdrawn"
	// Conflict means that nothing was changed because another operator's change came first.
	Conflict Outcome = "conflict"
	// LeftStaged means that an interrupted Resume left the revision staged.
	LeftStaged Outcome = "left-staged"
	// NothingStaged means that there was nothing to resume or withdraw.
	NothingStaged Outcome = "nothing-staged"
)

// Result says how and why an operator's run ended.
type Result struct {
	Outcome Outcome `json:"outcome"`
	Reason  string  `json:"reason,omitempty"`
	// Entry describes the run's own revision or, if Outcome is Conflict, the competing one.
	Entry encoder.Entry `json:"entry"`
	// Missing holds the hosts that haven't reported the revision in force.
	Missing []encoder.Holder `json:"missing,omitempty"`
	Zones   []Zone           `json:"zones,omitempty"`
}

// Zone summarizes the progress of the hosts of one availability zone.
type Zone struct {
	AvailabilityZone string `json:"availability-zone"`
	Hosts            int    `json:"hosts"`
	// Ready is how many hosts can put the revision in force or have done so.
	Ready int `json:"ready"`
	// InForce is how many hosts have the revision in force.
	InForce int `json:"in-force"`
	// Missing names the hosts that the run waits for: those that aren't ready or, once the revision
	// is accepted, don't have it in force.
	Missing []string `json:"missing,omitempty"`
}

// Zones summarizes the hosts by availability zone, as last listed.
func (o *Operator) Zones() []Zone {
	var l []Zone
	for _, h := range o.activeHosts() {
		i := slices.IndexFunc(l, func(z Zone) bool { return z.AvailabilityZone == h.AvailabilityZone })
		if i < 0 {
			i = len(l)
			l = append(l, Zone{AvailabilityZone: h.AvailabilityZone})
		}
		o.addToZone(&l[i], h)
	}
	slices.SortFunc(l, func(a, b Zone) int { return cmp.Compare(a.AvailabilityZone, b.AvailabilityZone) })
	return l
}

func (o *Operator) addToZone(z *Zone, h encoder.Holder) {
	z.Hosts++
	if o.staged.Revision == 0 {
		return
	}
	inForce := o.reportedInForce(h)
	ready := inForce || o.acknowledged(h)
	if inForce {
		z.InForce++
	}
	if ready {
		z.Ready++
	}
	if !inForce && (o.acceptedSeen || !ready) {
		z.Missing = append(z.Missing, h.Host)
	}
}
