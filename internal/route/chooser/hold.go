package chooser

import (
	"github.com/cuminwick/cuminwick/internal/backend/controller"
	"github.com/cuminwick/cuminwick/internal/group/marker"
)

// maximumSafeGroup is the largest group in which a replica shows only what a
// majority holds: the replica itself and the primary that the record came from.
const maximumSafeGroup = 3

// MustAwaitMajority reports whether the answer to a read must be kept back until a
// majority of the group is known to hold answered, the end of the server's log
// when it answered. known is the server as last observed, size the group's.
//
// The server may show a write that nobody else holds yet. If it then fails, the
// write is gone, and the session would see its data go back in time. The role
// alone doesn't tell: a replica may have been promoted since it was observed.
// But a server that was seen as a replica with a record of a term is never that
// term's primary, and each term has only one.
func MustAwaitMajority(answered marker.Mark, known *Candidate, size int) bool {
	if answered.IsZero() {
		return false
	}
	safe := known.Role == controller.RoleReplica && known.Last.Term == answered.Term
	return !safe || size > maximumSafeGroup
}
