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

// newPlannedHandOver returns a planned hand-over from db-a to db-b that has issued its raises at
// all servers.
func newPlannedHandOver(t *testing.T) *promoter.Attempt {
	t.Helper()
	a := &promoter.Attempt{
		Settings: promoter.Settings{FenceTimeout: time.Second, FenceGrace: time.Millisecond, MaxRetries: 1},
		Servers:  []string{"db-a", "db-b", "db-c"}, Prefer: "db-b", Avoid: "db-a", Planned: true, HighestTerm: 1,
	}
	a.Begin(0, false)
	if n := len(a.Next(0, &observer.View{})); n != len(a.Servers) {
		t.Fatalf("%d raises, want one for each server", n)
	}
	return a
}

// answerRaise gives the attempt the server's answer to the raise, with position p as the end of its
// log, or err.
func answerRaise(a *promoter.Attempt, server string, p marker.Position, err error) {
	a.HandleResult(0, promoter.Result{
		Action: promoter.Action{Kind: promoter.ActionRaiseTerm, Server: server, Term: a.Term},
		Status: controller.Status{Last: marker.Mark{Term: 1, Position: p}},
		Err:    err,
	})
}

// Guards against a planned hand-over that drops a commit. A host that isn't informed of the
// hand-over yet sends the old primary one more write, which commits after the last poll of the
// replicas. If it were dropped, its caller would be told that the outcome is unknown though nothing
// failed.
func TestPlannedHandOverDropsNoCommit(t *testing.T) {
	for name, c := range map[string]struct {
		old, replica marker.Position
		want         string
	}{
		"replica behind": {old: 13, replica: 12, want: "db-a"},
		"replica equal":  {old: 13, replica: 13, want: "db-b"},
		"replica ahead":  {old: 12, replica: 13, want: "db-b"},
	} {
		t.Run(name, func(t *testing.T) {
			a := newPlannedHandOver(t)
			answerRaise(a, "db-b", c.replica, nil)
			answerRaise(a, "db-c", c.replica, nil)
			answerRaise(a, "db-a", c.old, nil)
			a.Next(time.Millisecond, &observer.View{})
			if a.Step != promoter.StepPromote || a.Chosen != c.want {
				t.Errorf("step %s chosen %q, want %q promoted", a.Step, a.Chosen, c.want)
			}
		})
	}
}

// Guards against a planned hand-over that ignores the old primary. If its answer to the raise is
// late or lost, the end of its log is unknown, and a promotion would drop commits that only the old
// primary holds. Waiting and raising again costs less than a write whose outcome is unknown.
func TestPlannedHandOverWaitsForOldPrimary(t *testing.T) {
	a := newPlannedHandOver(t)
	answerRaise(a, "db-b", 12, nil)
	answerRaise(a, "db-c", 12, nil)
	a.Next(10*time.Millisecond, &observer.View{})
	if a.Step != promoter.StepFence {
		t.Fatalf("step %s before the old primary answered", a.Step)
	}
	answerRaise(a, "db-a", 0, errors.New("answer lost"))
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
