package chooser

import (
	"github.com/cuminwick/cuminwick/internal/backend/controller"
	"github.com/cuminwick/cuminwick/internal/group/marker"
)

// ExpectedReadIndex returns the read index that the last statuses of the candidates let
// expect. It isn't one: a write may have been acknowledged since they were asked.
func ExpectedReadIndex(l []Candidate) marker.Mark {
	var m marker.Mark
	for i := range l {
		m = marker.Max(m, l[i].Last)
	}
	return m
}

// CanSpeculate reports whether a read may run while its read index is still being
// taken. d was chosen with the index that Expected gives.
//
// A read whose index turns out higher than what its server held is run again. So
// it only goes ahead at a replica that had caught up when it was last asked, and
// where a slot is free: a second run for which others queue would cost them more
// than the read saves. The first run must also be certain not to have written,
// see MustHold.
func CanSpeculate(d *Decision, l []Candidate) bool {
	if d.Refused || d.WaitForMark || d.AgeUnknown || d.Index == d.Primary {
		return false
	}
	c := &l[d.Index]
	if c.Queued > 0 || c.Busy >= c.Slots {
		return false
	}
	return c.Role == controller.RoleReplica && !MustAwaitMajority(c.Last, c, len(l))
}

// SpeculationValid reports whether an answer that was taken ahead of its read index may be
// shown. mark is the session's, index the read index that began after the read
// arrived. known is the server's last entry as it was known when the read was
// sent, before its answer to the question sent ahead of the read over the same
// connection, zero if there is none.
//
// The position asked after the read won't do in their place: a write that the
// replica applied between the two would count as seen although the answer
// lacks it, and a caller would miss its own write.
func SpeculationValid(mark, index, known, before marker.Mark) bool {
	return marker.Max(known, before).Covers(marker.Max(mark, index))
}
