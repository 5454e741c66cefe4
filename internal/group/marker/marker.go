// Package marker defines the numbers that order writes within a database group.
package marker

import (
	"cmp"
	"fmt"
)

// Term numbers the primaries of one database group, starting with 1.
type Term uint64

// Position is a log position within a database group, in log records.
type Position uint64

// Mark identifies a write of one database group. Marks are ordered by term, then by position.
//
// The mark of a log entry has the term under which the entry was written.
type Mark struct {
	Term     Term     `cbor:"1,keyasint" json:"term" yaml:"term"`
	Position Position `cbor:"2,keyasint" json:"position" yaml:"position"`
}

// Compare returns -1, 0 or 1 if m is before, equal to or after o.
func (m Mark) Compare(o Mark) int {
	if c := cmp.Compare(m.Term, o.Term); c != 0 {
		return c
	}
	return cmp.Compare(m.Position, o.Position)
}

// Covers reports whether a log that ends at m holds every acknowledged write up to o.
//
// A log of a later term holds all acknowledged writes of earlier terms, because a promotion picks
// the log whose last entry is highest among a majority.
func (m Mark) Covers(o Mark) bool {
	return m.Compare(o) >= 0
}

// Holds reports whether a log that ends at m certainly holds the record written at o.
//
// Only an equal term counts: a log of a later term may have dropped an unacknowledged record of an
// earlier term, so its position alone proves nothing.
func (m Mark) Holds(o Mark) bool {
	return m.Term == o.Term && m.Position >= o.Position
}

// Max returns the later of a and b.
func Max(a, b Mark) Mark {
	if a.Covers(b) {
		return a
	}
	return b
}

// IsZero reports whether m is zero, which precedes every write.
func (m Mark) IsZero() bool {
	return m == Mark{}
}

// String returns the mark as term/position.
func (m Mark) String() string {
	return fmt.Sprintf("%d/%d", m.Term, m.Position)
}
