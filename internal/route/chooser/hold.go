package chooser

import (
	"github.com/cuminwick/cuminwick/internal/backend/controller"
	"github.com/cuminwick/cuminwick/internal/group/marker"
)

// maximumSafeGroup is the number of servers in the largest group in which a replica returns only
// records that a majority holds: the replica itself and the primary that sent the record.
const maximumSafeGroup = 3

// MustAwaitMajority reports whether the answer to a read must be held back until a majority of the
// group is known to hold answered, which is the end of the server's log when it answered. known is the
// server as last observed, size the number of servers of the group.
//
// The answer may contain a write that no other server holds yet. If the server then fails, the write is
// lost, and the session would see its data go back in time. The observed role alone isn't sufficient,
// because a replica may have been promoted since. But a server that was observed as a replica with a
// record of a term is never the primary of that term, and each term has only one primary.
func MustAwaitMajority(answered marker.Mark, known *Candidate, size int) bool {
	if answered.IsZero() {
		return false
	}
	safe := known.Role == controller.RoleReplica && known.Last.Term == answered.Term
	return !safe || size > maximumSafeGroup
}
