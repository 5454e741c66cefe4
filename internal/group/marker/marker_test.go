package marker

import "testing"

func TestCoversAndHolds(t *testing.T) {
	tests := []struct {
		name          string
		log, write    Mark
		covers, holds bool
	}{
		{name: "same mark", log: Mark{1, 5}, write: Mark{1, 5}, covers: true, holds: true},
		{name: "behind in term", log: Mark{1, 4}, write: Mark{1, 5}},
		{name: "ahead in term", log: Mark{1, 6}, write: Mark{1, 5}, covers: true, holds: true},
		{name: "later term covers acknowledged writes only", log: Mark{2, 3}, write: Mark{1, 5}, covers: true},
		{name: "earlier term", log: Mark{1, 9}, write: Mark{2, 3}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := tt.log.Covers(tt.write); got != tt.covers {
				t.Errorf("Covers = %v, want %v", got, tt.covers)
			}
			if got := tt.log.Holds(tt.write); got != tt.holds {
				t.Errorf("Holds = %v, want %v", got, tt.holds)
			}
		})
	}
}
