// Package tracker holds the marks of one session, one for each database group.
package tracker

import "github.com/cuminwick/cuminwick/internal/group/marker"

// GroupMark is a session's mark in one database group: a log position that a server must have
// reached to serve the session's reads.
type GroupMark struct {
	DatabaseGroup string      `cbor:"1,keyasint" json:"database-group"`
	Mark          marker.Mark `cbor:"2,keyasint" json:"mark"`
}

// MaximumGroups is the highest number of database groups that one session may have marks of. It
// bounds the session's marks and the signed token that carries them.
const MaximumGroups = 32

// Tracker holds the marks of one session. A mark only moves up: with each acknowledged write, so
// that the session reads its own writes, and with each read, so that a later read never shows older
// data. The zero value is ready for use. A Tracker isn't safe for concurrent use.
type Tracker struct {
	// Marks holds one mark for each group, in the order of first use.
	Marks []GroupMark
}

// Get returns the group's mark, or false if the session has none yet.
func (t *Tracker) Get(group string) (marker.Mark, bool) {
	i := t.find(group)
	if i < 0 {
		return marker.Mark{}, false
	}
	return t.Marks[i].Mark, true
}

// Raise moves the group's mark up to m and reports whether it moved. Raise doesn't enforce
// MaximumGroups; CanTrack reports beforehand whether a new group is within it.
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

// CanTrack reports whether the group has a mark already or may get one within MaximumGroups.
func (t *Tracker) CanTrack(group string) bool {
	return len(t.Marks) < MaximumGroups || t.find(group) >= 0
}

// Merge raises the mark of each group in marks, such as those that a session brings along from
// another entry host.
func (t *Tracker) Merge(marks []GroupMark) {
	for _, g := range marks {
		t.Raise(g.DatabaseGroup, g.Mark)
	}
}

// find returns the index of the group's mark, -1 if there is none.
func (t *Tracker) find(group string) int {
	for i := range t.Marks {
		if t.Marks[i].DatabaseGroup == group {
			return i
		}
	}
	return -1
}
