// Package tracker keeps the marks of one session by database group.
package tracker

import "github.com/cuminwick/cuminwick/internal/group/marker"

// GroupMark is the mark of one database group.
type GroupMark struct {
	DatabaseGroup string      `cbor:"1,keyasint" json:"database-group"`
	Mark          marker.Mark `cbor:"2,keyasint" json:"mark"`
}

// MaximumGroups is how many groups one session's marks may name.
const MaximumGroups = 32

// Tracker holds the marks of one session. A mark only moves up: with each
// acknowledged write, so that the session reads its own writes, and with each
// read, so that a later read never shows older data. The zero value is ready;
// it belongs to one goroutine.
type Tracker struct {
	// Marks are in the order of first use and name each group once.
	Marks []GroupMark
}

// Get returns the group's mark, and false if the session has none yet.
func (t *Tracker) Get(group string) (marker.Mark, bool) {
	i := t.find(group)
	if i < 0 {
		return marker.Mark{}, false
	}
	return t.Marks[i].Mark, true
}

// Raise moves the group's mark up to m and reports whether it moved. It drops
// nothing: above MaximumGroups a new group is refused by CanTouch beforehand.
func (t *Tracker) Raise(group string, m marker.Mark) bool {
	i := t.find(group)
	if i < 0 {
		t.Marks = append(t.Marks, GroupMark{DatabaseGroup: group, Mark: m})
		return true
	}
	if t.Marks[i].Mark.Covers(m) {
		return false
	}
	t.Marks[i].Mark = m
	return true
}

// CanTrack reports whether the session may use the group, so that its marks
// stay bounded.
func (t *Tracker) CanTrack(group string) bool {
	return len(t.Marks) < MaximumGroups || t.find(group) >= 0
}

// Merge raises all of marks, as when a roaming session brings them along.
func (t *Tracker) Merge(marks []GroupMark) {
	for _, g := range marks {
		t.Raise(g.DatabaseGroup, g.Mark)
	}
}

func (t *Tracker) find(group string) int {
	for i := range t.Marks {
		if t.Marks[i].DatabaseGroup == group {
			return i
		}
	}
	return -1
}
