package runner

import (
	"testing"
	"time"
)

func TestSlotsInTransit(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name            string
		slots           int
		roundTrip, held time.Duration
		want            int
	}{
		{name: "unknown", slots: 2, held: 5 * ms},
		{name: "beside the server", slots: 2, roundTrip: 100 * time.Microsecond, held: 4 * ms},
		{name: "same zone", slots: 2, roundTrip: ms, held: 5 * ms, want: 1},
		{name: "other region", slots: 3, roundTrip: 16 * ms, held: 20 * ms, want: 3},
		{name: "round trip measured longer than the hold", slots: 2, roundTrip: 9 * ms, held: 4 * ms, want: 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := slotsInTransit(tt.slots, tt.roundTrip, tt.held); got != tt.want {
				t.Errorf("%d slots for requests in transit, want %d", got, tt.want)
			}
		})
	}
}
