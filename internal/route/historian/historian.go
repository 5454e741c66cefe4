// Package historian records the log positions of a group's primary over time, to bound the age of a
// replica's data.
package historian

import (
	"time"

	"github.com/cuminwick/cuminwick/internal/group/marker"
)

// capacity is the number of observations that are kept.
const capacity = 128

// Observation is a mark that a confirmed primary reported. It covers all writes that were acknowledged
// before PolledAt.
type Observation struct {
	// PolledAt is the time at which the poll was sent, on this host's monotonic clock. The time of
	// the answer would be wrong: a write that was acknowledged between the two may be missing from
	// the mark.
	PolledAt time.Duration
	Mark     marker.Mark
}

// Historian holds the observations of one database group in a ring buffer. Its exported field is set
// before use. A Historian must not be used concurrently; a copy is an independent snapshot.
type Historian struct {
	// MaximumAge is the longest age that is passed to RequiredMark. Observations are thinned out so
	// that the ring buffer spans it.
	MaximumAge time.Duration

	ring [capacity]Observation
	// first is the index of the oldest observation in ring, count the number of observations.
	first int
	count int
	// latest is the latest observation, valid if hasLatest is set. It may be missing in ring.
	latest    Observation
	hasLatest bool
}

// Add records o. Observations must be added in the order of PolledAt; one that is out of order is
// ignored.
func (h *Historian) Add(o Observation) {
	if h.hasLatest && o.PolledAt <= h.latest.PolledAt {
		return
	}
	h.latest = o
	h.hasLatest = true
	if h.count > 0 && o.PolledAt-h.at(h.count-1).PolledAt < h.MaximumAge/(capacity-1) {
		return
	}
	if h.count == capacity {
		h.first = (h.first + 1) % capacity
		h.count--
	}
	h.ring[(h.first+h.count)%capacity] = o
	h.count++
}

// Latest returns the latest observation, false if there is none.
func (h *Historian) Latest() (Observation, bool) {
	return h.latest, h.hasLatest
}

// RequiredMark returns the lowest recorded mark such that data that covers it is at most age old. It
// returns false if no observation is recent enough.
func (h *Historian) RequiredMark(now, age time.Duration) (marker.Mark, bool) {
	o, ok := h.Earliest(now - age)
	return o.Mark, ok
}

// Earliest returns the earliest recorded observation that was polled at oldest or later, false if there
// is none.
func (h *Historian) Earliest(oldest time.Duration) (Observation, bool) {
	if !h.hasLatest || h.latest.PolledAt < oldest {
		return Observation{}, false
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
		return h.latest, true
	}
	return h.at(low), true
}

// at returns the observation i of ring, counted from the oldest.
func (h *Historian) at(i int) Observation {
	return h.ring[(h.first+i)%capacity]
}
