// Package indexer decides read indexes: marks that cover every write acknowledged before a read arrived.
package indexer

import (
	"slices"

	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/group/observer"
)

// Index returns the read index that follows from polled, the last entries of those of n instances
// that were polled after the read arrived. ok is false if they are fewer than a majority.
//
// The index covers every acknowledged write: a write at (t,p) is acknowledged only after a majority
// has reported that it holds the write. The polled majority shares an instance with that majority.
// The shared instance still holds the write, because each promotion picks a log that holds it, so
// that no log ever drops it. Its last entry is therefore at or after (t,p), and so is the highest
// last entry of any majority. This requires no primary and holds regardless of promotions meanwhile.
//
// Of all majorities among the polled instances, the one whose highest entry is lowest is used, since
// any majority is sufficient and a lower index is reached sooner.
//
// The index may be an entry that was never acknowledged, written by a failed primary. It is possible
// that no other log ever reaches it under that term. The wait for it then ends when a later term
// begins or at the read's deadline, so the wait must have a deadline. At least one of the polled
// instances covers the index at once.
func Index(n int, polled []marker.Mark) (m marker.Mark, ok bool) {
	k := observer.Majority(n)
	if len(polled) < k {
		return marker.Mark{}, false
	}
	s := slices.Clone(polled)
	slices.SortFunc(s, marker.Mark.Compare)
	return s[k-1], true
}
