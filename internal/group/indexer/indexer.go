// Package indexer decides read indexes: marks that cover every write acknowledged before a read arrived.
package indexer

import (
	"slices"

	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/group/observer"
)

// Index returns the read index that follows from polled, the last entries of
// those of n instances that were polled after the read arrived; ok is false
// while they are fewer than a majority.
//
// Why it covers every acknowledged write: a write at (t,p) is acknowledged only
// after a majority reported that it held it. The polled majority shares an
// instance with that one. This instance still holds the write, because each
// promotion picks a log that holds it and so no log ever drops it; its last entry
// therefore is at or past (t,p). The highest last entry of any majority is at
// least that. This needs no primary, and it holds whoever is promoted meanwhile.
//
// Of all majorities among the polled the one with the lowest highest entry is
// taken, since any will do and a lower index is reached sooner.
//
// The index may be an entry that was never acknowledged, written by a primary
// that is gone. No other log may ever reach it under that term: then the wait for
// it ends when a later term begins, or else at the read's deadline. The wait must
// have a deadline for this reason. At least one of the polled instances covers
// the index at once.
func Index(n int, polled []marker.Mark) (m marker.Mark, ok bool) {
	k := observer.Majority(n)
	if len(polled) < k {
		return marker.Mark{}, false
	}
	s := slices.Clone(polled)
	slices.SortFunc(s, marker.Mark.Compare)
	return s[k-1], true
}
