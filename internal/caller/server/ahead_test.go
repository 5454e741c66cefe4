package server

import (
	"context"
	"testing"

	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/pool/exchanger"
)

// uncovered is a read index that what the read has seen doesn't cover.
type uncovered struct{ index marker.Mark }

// Confirm implements Ahead.
func (u uncovered) Confirm(context.Context, marker.Mark) Confirmation {
	return Confirmation{ReadIndex: u.index, HasReadIndex: true}
}

// The primary is moved by plan while reads run ahead of their read index at the
// server that it moves to. Whether such a read may run again depends on whether it
// can have written: a function or a view may hide that. Told "unknown", a caller that
// only reads would notice the move; run again, one that wrote would have done it twice.
func TestReadThatMetAMoveOfThePrimary(t *testing.T) {
	at := func(t marker.Term, p marker.Position) marker.Mark { return marker.Mark{Term: t, Position: p} }
	tests := []struct {
		name             string
		before, position marker.Mark
		again            bool
	}{
		{name: "still a replica", before: at(1, 8), position: at(1, 9), again: true},
		{name: "moved, nothing written meanwhile", before: at(2, 9), position: at(2, 9), again: true},
		{name: "moved before the read, something written meanwhile", before: at(2, 9), position: at(2, 10)},
		{name: "moved while it ran", before: at(1, 9), position: at(2, 10)},
		{name: "position not known", before: at(2, 9)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := &Session{choice: Choice{SafeTerm: 1}, status: exchanger.Idle}
			s.out.gate = &gate{context: t.Context(), ahead: uncovered{index: at(2, 9)}}
			a := &attempt{session: s, plan: &plan{}}
			r := exchanger.Result{Status: exchanger.Idle, Before: tt.before, Position: tt.position}
			f, again := a.confirm(t.Context(), r)
			if f == nil || again != tt.again {
				t.Errorf("another try %t, %v", again, f)
			}
		})
	}
}
