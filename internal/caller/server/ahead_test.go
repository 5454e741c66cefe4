package server

import (
	"context"
	"testing"

	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/pool/exchanger"
)

// uncovered is a Speculation whose read index isn't covered by the answer.
type uncovered struct{ index marker.Mark }

// Confirm implements Speculation.
func (u uncovered) Confirm(context.Context, marker.Mark) Confirmation {
	return Confirmation{ReadIndex: u.index, HasReadIndex: true}
}

// The primary is handed over as planned while speculative reads run at the server that becomes the
// primary. Such a read may run again only if it cannot have written, which a function or a view can
// hide. With the outcome "unknown", callers that only read would notice the hand-over; a second run
// of a read that wrote would write twice.
func TestReadThatMetAMoveOfThePrimary(t *testing.T) {
	at := func(t marker.Term, p marker.Position) marker.Mark { return marker.Mark{Term: t, Position: p} }
	tests := []struct {
		name             string
		before, position marker.Mark
		retry            bool
	}{
		{name: "remained a replica", before: at(1, 8), position: at(1, 9), retry: true},
		{name: "promoted before the read, log unchanged", before: at(2, 9), position: at(2, 9), retry: true},
		{name: "promoted before the read, log grew", before: at(2, 9), position: at(2, 10)},
		{name: "promoted during the read", before: at(1, 9), position: at(2, 10)},
		{name: "position unknown", before: at(2, 9)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := &Session{choice: Choice{SafeTerm: 1}, status: exchanger.Idle}
			s.out.gate = &gate{context: t.Context(), speculation: uncovered{index: at(2, 9)}}
			a := &attempt{session: s, plan: &plan{}}
			r := exchanger.Result{Status: exchanger.Idle, Before: tt.before, Position: tt.position}
			f, retry := a.confirm(t.Context(), r)
			if f == nil || retry != tt.retry {
				t.Errorf("retry %t, failure %v", retry, f)
			}
		})
	}
}
