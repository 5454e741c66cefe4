package acknowledger

import (
	"testing"

	"github.com/cuminwick/cuminwick/internal/backend/controller"
	"github.com/cuminwick/cuminwick/internal/group/marker"
)

// log is the status of a server whose log ends at m.
func log(name string, m marker.Mark, start marker.Position, previous marker.Term) controller.Status {
	return controller.Status{BackendServer: name, Last: m, TermStart: start, PreviousTerm: previous}
}

func TestDecide(t *testing.T) {
	commit := marker.Mark{Term: 1, Position: 12}
	alone := log("db-1", marker.Mark{Term: 1, Position: 12}, 1, 0)
	after := func(start marker.Position, previous marker.Term) []controller.Status {
		m := marker.Mark{Term: 3, Position: start}
		return []controller.Status{alone, log("db-2", m, start, previous), log("db-3", m, start, previous)}
	}
	tests := []struct {
		name        string
		seen        []controller.Status
		upTo, exact CommitState
	}{
		{"at the primary alone", []controller.Status{alone}, Waiting, Waiting},
		{"at a majority", []controller.Status{alone, log("db-2", marker.Mark{Term: 1, Position: 13}, 1, 0)}, Acknowledged, Acknowledged},
		{"first at one server, then dropped there", []controller.Status{alone, log("db-2", marker.Mark{Term: 1, Position: 12}, 1, 0), log("db-2", marker.Mark{Term: 2, Position: 10}, 10, 1)}, Acknowledged, Acknowledged},
		{"later term at one server only", []controller.Status{alone, log("db-2", marker.Mark{Term: 3, Position: 11}, 11, 1)}, Waiting, Waiting},
		{"later term begins after it", after(13, 1), Acknowledged, Acknowledged},
		// Another commit of the old term may be the one at 12, and the
		// caller's own at 10, which lasts: "not run" would be false.
		{"later term begins before it", after(11, 1), Undetermined, Superseded},
		{"later term without any of its term", after(13, 0), Undetermined, Undetermined},
		{"two later terms", after(13, 2), Undetermined, Undetermined},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := ReplicationTracker{Instances: 3}
			for _, s := range tt.seen {
				l.Observe(s)
			}
			if got := l.Decide(commit); got != tt.upTo {
				t.Errorf("Decide = %s, want %s", got, tt.upTo)
			}
			if got := l.DecideExact(commit); got != tt.exact {
				t.Errorf("DecideExact = %s, want %s", got, tt.exact)
			}
		})
	}
}

func TestDecideTermThatLeftNothing(t *testing.T) {
	l := ReplicationTracker{Instances: 3}
	l.Observe(log("db-2", marker.Mark{Term: 4, Position: 20}, 20, 2))
	l.Observe(log("db-3", marker.Mark{Term: 4, Position: 20}, 20, 2))
	if got := l.Decide(marker.Mark{Term: 3, Position: 12}); got != Superseded {
		t.Errorf("Decide = %s, want %s", got, Superseded)
	}
}
