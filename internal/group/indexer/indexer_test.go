package indexer

import (
	"testing"

	"github.com/cuminwick/cuminwick/internal/group/marker"
)

// That the index covers every acknowledged write is checked in the promoter's
// model, at every read and every instance.
func TestIndex(t *testing.T) {
	a, b, c := marker.Mark{Term: 1, Position: 9}, marker.Mark{Term: 1, Position: 12}, marker.Mark{Term: 2, Position: 10}
	tests := []struct {
		name   string
		n      int
		polled []marker.Mark
		want   marker.Mark
		ok     bool
	}{
		{"too few", 3, []marker.Mark{b}, marker.Mark{}, false},
		{"a majority", 3, []marker.Mark{b, a}, b, true},
		{"all, the lowest that a majority reaches", 3, []marker.Mark{c, a, b}, b, true},
		{"a term that only one instance holds", 3, []marker.Mark{b, b, c}, b, true},
		{"two of four", 4, []marker.Mark{a, b}, marker.Mark{}, false},
		{"three of four", 4, []marker.Mark{c, a, b}, c, true},
		{"alone", 1, []marker.Mark{a}, a, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got, ok := Index(tt.n, tt.polled); got != tt.want || ok != tt.ok {
				t.Errorf("Index = %s, %t; want %s, %t", got, ok, tt.want, tt.ok)
			}
		})
	}
}
