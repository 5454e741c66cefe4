package promoter_test

import (
	"errors"
	"testing"
	"time"

	"github.com/cuminwick/cuminwick/internal/backend/controller"
	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/group/observer"
	"github.com/cuminwick/cuminwick/internal/group/promoter"
)

// planned is a hand-over from db-a to db-b that has raised its term everywhere.
func planned(t *testing.T) *promoter.Attempt {
	t.Helper()
	a := &promoter.Attempt{
		Settings: promoter.Settings{FenceTimeout: time.Second, FenceGrace: time.Millisecond, MaxRetries: 1},
		Servers:  []string{"db-a", "db-b", "db-c"}, Prefer: "db-b", Avoid: "db-a", Planned: true, HighestTerm: 1,
	}
	a.Begin(0, false)
	if n := len(a.Next(0, &observer.View{})); n != len(a.Servers) {
		t.Fatalf("%d raises, want one a server", n)
	}
	return a
}

func raised(a *promoter.Attempt, server string, p marker.Position, err error) {
	a.HandleResult(0, promoter.Result{
		Action: promoter.Action{Kind: promoter.ActionRaiseTerm, Server: server, Term: a.Term},
		Status: controller.Status{Last: marker.Mark{Term: 1, Position: p}},
		Err:    err,
	})
}

// A host that hasn't heard of a planned move sends the old primary one more write,
// which commits after the replicas were last asked. The move mustn't drop it: its
// caller would be told that the outcome isn't known, though nothing failed.
func TestPlannedMoveDropsNoCommit(t *testing.T) {
	for name, c := range map[string]struct {
		old, heir marker.Position
		want      string
	}{
		"heir behind":   {old: 13, heir: 12, want: "db-a"},
		"heir level":    {old: 13, heir: 13, want: "db-b"},
		"heir diverged": {old: 12, heir: 13, want: "db-b"},
	} {
		t.Run(name, func(t *testing.T) {
			a := planned(t)
			raised(a, "db-b", c.heir, nil)
			raised(a, "db-c", c.heir, nil)
			raised(a, "db-a", c.old, nil)
			a.Next(time.Millisecond, &observer.View{})
			if a.Step != promoter.StepPromote || a.Chosen != c.want {
				t.Errorf("step %s chosen %q, want %q promoted", a.Step, a.Chosen, c.want)
			}
		})
	}
}

// The old primary's answer to the raise is late or lost in a planned move. Without
// it nobody knows how far its log goes, so that the move would drop what only it
// holds. Waiting and asking again costs less than a write whose outcome is unknown.
func TestPlannedMoveWaitsForOldPrimary(t *testing.T) {
	a := planned(t)
	raised(a, "db-b", 12, nil)
	raised(a, "db-c", 12, nil)
	a.Next(10*time.Millisecond, &observer.View{})
	if a.Step != promoter.StepFence {
		t.Fatalf("step %s before the old primary answered", a.Step)
	}
	raised(a, "db-a", 0, errors.New("answer lost"))
	a.Next(20*time.Millisecond, &observer.View{})
	if a.Step != promoter.StepRetry {
		t.Fatalf("step %s after a lost answer, want another round", a.Step)
	}
	before := a.Term
	a.Next(time.Minute, &observer.View{})
	if a.Step != promoter.StepFence || a.Term <= before {
		t.Errorf("step %s term %d, want a raise above %d", a.Step, a.Term, before)
	}
}
