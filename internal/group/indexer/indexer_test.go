package indexer

import (
	"testing"

	"github.com/cuminwick/cuminwick/internal/group/marker"
)

// The model test of package promoter checks at every read and every instance that the index covers
// every acknowledged write.
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
		{"all, the lowest entry that a majority covers", 3, []marker.Mark{c, a, b}, b, true},
		{"a term held by one instance only", 3, []marker.Mark{b, b, c}, b, true},
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
