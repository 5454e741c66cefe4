package chooser

import (
	"github.com/cuminwick/cuminwick/internal/backend/controller"
	"github.com/cuminwick/cuminwick/internal/group/marker"
)

// ExpectedReadIndex returns the read index to expect from the last known statuses of the candidates. It
// must not be used as a read index: a write may have been acknowledged since the servers were polled.
func ExpectedReadIndex(l []Candidate) marker.Mark {
	var m marker.Mark
	for i := range l {
		m = marker.Max(m, l[i].Last)
	}
	return m
}

// CanSpeculate reports whether a read may run speculatively, before its read index is known. d must
// have been chosen with ExpectedReadIndex as the read index.
//
// A speculative read is run again if its read index is above what its server held. It is therefore only
// run at a replica that had caught up when it was last polled and that has a free slot: if requests
// were queued, a second run would delay them by more than the read gains. The first run must also
// certainly not have written anything, which holds at a server that can't be the primary, see
// MustAwaitMajority.
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

// SpeculationValid reports whether the answer to a speculative read may be returned. mark is the
// session's mark, and index the read index, whose request began after the read arrived. known is the
// end of the server's log as observed when the read was sent. before is the end of the log that the
// server reported on the same connection just before the read, zero if it wasn't polled.
//
// A position polled after the read must not be used instead: a write that the replica applied between
// the read and the poll would count as covered although the answer lacks it, and the session would
// miss its own write.
func SpeculationValid(mark, index, known, before marker.Mark) bool {
	return marker.Max(known, before).Covers(marker.Max(mark, index))
}
