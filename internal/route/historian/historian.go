// Package historian remembers where a group's primary was, to show how old a replica's data is.
package historian

import (
	"time"

	"github.com/cuminwick/cuminwick/internal/group/marker"
)

// size is the number of remembered observations.
const size = 128

// Observation is the mark that a confirmed primary gave. It covers all writes
// that were acknowledged before Asked.
type Observation struct {
	// PolledAt is when the question was sent, on this host's monotonic clock. The
	// time of the answer would be wrong: a write acknowledged between the two
	// may be missing from the mark.
	PolledAt time.Duration
	Mark     marker.Mark
}

// Historian remembers the observations of one database group. Its fields are
// set before use; it belongs to one goroutine and can be copied as a snapshot.
type Historian struct {
	// MaximumAge is the longest age that is asked for. Observations are kept so
	// far apart that they reach back so far.
	MaximumAge time.Duration

	ring   [size]Observation
	first  int
	count  int
	latest Observation
	known  bool
}

// Add remembers o. Observations come in the order in which they were asked;
// one that is late adds nothing and is left out.
func (h *Historian) Add(o Observation) {
	if h.known && o.PolledAt <= h.latest.PolledAt {
		return
	}
	h.latest = o
	h.known = true
	if h.count > 0 && o.PolledAt-h.at(h.count-1).PolledAt < h.MaximumAge/(size-1) {
		return
	}
	if h.count == size {
		h.first = (h.first + 1) % size
		h.count--
	}
	h.ring[(h.first+h.count)%size] = o
	h.count++
}

// Latest returns the newest observation, false if there is none.
func (h *Historian) Latest() (Observation, bool) {
	return h.latest, h.known
}

// RequiredMark returns the lowest remembered mark that shows data to be at most age
// old, and false if no observation is recent enough to show it.
func (h *Historian) RequiredMark(now, age time.Duration) (marker.Mark, bool) {
	oldest := now - age
	if !h.known || h.latest.PolledAt < oldest {
		return marker.Mark{}, false
	}
	low, high := 0, h.count
	for low < high {
		m := (low + high) / 2
		if h.at(m).PolledAt >= oldest {
			high = m
		} else {
			low = m + 1
		}
	}
	if low == h.count {
		return h.latest.Mark, true
	}
	return h.at(low).Mark, true
}

func (h *Historian) at(i int) Observation {
	return h.ring[(h.first+i)%size]
}
