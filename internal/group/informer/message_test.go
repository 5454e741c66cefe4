package informer

import (
	"testing"
	"time"

	"github.com/cuminwick/cuminwick/internal/backend/controller"
	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/group/observer"
)

// Positions arrive without the rest of the view, and possibly out of order. A position of a later
// term that was applied to a status of an earlier one would count as a commit that the server
// holds, and a lost write would be acknowledged. An older position would hide a commit.
func TestPositionsOfAnotherTermOrOlder(t *testing.T) {
	o := &observer.View{Servers: []observer.Server{{Name: "a", Observation: observer.Observation{
		Answered: true, PolledAt: time.Second, Status: controller.Status{Last: marker.Mark{Term: 1, Position: 10}},
	}}}}
	tests := []struct {
		name string
		p    Position
		want marker.Mark
	}{
		{name: "newer", p: Position{Term: 1, Last: 12, At: time.Second}, want: marker.Mark{Term: 1, Position: 12}},
		{name: "older", p: Position{Term: 1, Last: 9, At: -2 * time.Second}, want: marker.Mark{Term: 1, Position: 10}},
		{name: "of a later term", p: Position{Term: 2, Last: 12, At: time.Second}, want: marker.Mark{Term: 1, Position: 10}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			v := UnpackPositions([]Position{tt.p}, o, time.Second, 2*time.Second)
			if got := v.Servers[0].Status.Last; got != tt.want {
				t.Errorf("last %v, want %v", got, tt.want)
			}
			if o.Servers[0].Status.Last.Position != 10 {
				t.Error("the original view was changed")
			}
		})
	}
}
