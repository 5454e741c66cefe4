package acknowledger

import (
	"testing"

	"github.com/cuminwick/cuminwick/internal/backend/controller"
	"github.com/cuminwick/cuminwick/internal/group/marker"
)

// status is the status of a server whose log ends at m.
func status(name string, m marker.Mark, start marker.Position, previous marker.Term) controller.Status {
	return controller.Status{BackendServer: name, Last: m, TermStart: start, PreviousTerm: previous}
}

func TestDecide(t *testing.T) {
	commit := marker.Mark{Term: 1, Position: 12}
	alone := status("db-1", marker.Mark{Term: 1, Position: 12}, 1, 0)
	after := func(start marker.Position, previous marker.Term) []controller.Status {
		m := marker.Mark{Term: 3, Position: start}
		return []controller.Status{alone, status("db-2", m, start, previous), status("db-3", m, start, previous)}
	}
	tests := []struct {
		name        string
		observed    []controller.Status
		upTo, exact CommitState
	}{
		{"held by the primary only", []controller.Status{alone}, Waiting, Waiting},
		{"held by a majority", []controller.Status{alone, status("db-2", marker.Mark{Term: 1, Position: 13}, 1, 0)}, Acknowledged, Acknowledged},
		{"reported by a server that drops it later", []controller.Status{alone, status("db-2", marker.Mark{Term: 1, Position: 12}, 1, 0), status("db-2", marker.Mark{Term: 2, Position: 10}, 10, 1)}, Acknowledged, Acknowledged},
		{"later term held by one server only", []controller.Status{alone, status("db-2", marker.Mark{Term: 3, Position: 11}, 11, 1)}, Waiting, Waiting},
		{"later term begins after it", after(13, 1), Acknowledged, Acknowledged},
		// The record at 12 may be another commit of the old term and the caller's own commit may
		// be at 10, which the later term has, so "not run" would be wrong.
		{"later term begins before it", after(11, 1), Undetermined, Superseded},
		{"later term whose previous term is not known", after(13, 0), Undetermined, Undetermined},
		{"two later terms", after(13, 2), Undetermined, Undetermined},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := ReplicationTracker{Instances: 3}
			for _, s := range tt.observed {
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

func TestDecideWhenLaterTermSkipsTheCommitsTerm(t *testing.T) {
	l := ReplicationTracker{Instances: 3}
	l.Observe(status("db-2", marker.Mark{Term: 4, Position: 20}, 20, 2))
	l.Observe(status("db-3", marker.Mark{Term: 4, Position: 20}, 20, 2))
	if got := l.Decide(marker.Mark{Term: 3, Position: 12}); got != Superseded {
		t.Errorf("Decide = %s, want %s", got, Superseded)
	}
}
