package tracker

import (
	"fmt"
	"testing"

	"github.com/cuminwick/cuminwick/internal/group/marker"
)

// A mark that moves down lets a read run on a replica that is behind the session's earlier write or
// read, so the session gets older data than before.
func TestMarksOnlyMoveUp(t *testing.T) {
	tests := []struct {
		name string
		m    marker.Mark
		want marker.Mark
	}{
		{name: "first", m: marker.Mark{Term: 2, Position: 5}, want: marker.Mark{Term: 2, Position: 5}},
		{name: "lower position", m: marker.Mark{Term: 2, Position: 4}, want: marker.Mark{Term: 2, Position: 5}},
		{name: "lower term", m: marker.Mark{Term: 1, Position: 9}, want: marker.Mark{Term: 2, Position: 5}},
		{name: "higher position", m: marker.Mark{Term: 2, Position: 6}, want: marker.Mark{Term: 2, Position: 6}},
		{name: "higher term", m: marker.Mark{Term: 3, Position: 1}, want: marker.Mark{Term: 3, Position: 1}},
	}
	var r Tracker
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			before, _ := r.Get("g")
			moved := r.Raise("g", tt.m)
			got, ok := r.Get("g")
			if got != tt.want || !ok || moved != (got != before) {
				t.Errorf("mark %v, moved %t, want %v", got, moved, tt.want)
			}
		})
	}
}

// A session that uses ever more database groups makes its marks, and the token that carries them,
// grow without bound.
func TestGroupsAreBounded(t *testing.T) {
	var r Tracker
	for i := range MaximumGroups {
		r.Raise(fmt.Sprint(i), marker.Mark{Term: 1})
	}
	if r.CanTrack("other") || !r.CanTrack("0") {
		t.Errorf("CanTrack of another group %t, of a known group %t; want false, true", r.CanTrack("other"), r.CanTrack("0"))
	}
}
