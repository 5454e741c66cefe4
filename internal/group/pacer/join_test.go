package pacer_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/cuminwick/cuminwick/internal/group/pacer"
)

// Guards against the loss of a poll when reads that wait for a read index are joined into one
// demand: such a read would wait until its deadline although all servers answer.
func TestJoinedDemandsNeedTheSamePolls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := drawTable(t)
		var all, joined []pacer.Demand
		for range rapid.IntRange(0, 12).Draw(t, "demands") {
			d := pacer.Demand{
				Kind:      pacer.Kind(rapid.IntRange(0, int(pacer.KindPrimary)).Draw(t, "kind")),
				ArrivedAt: spans.Draw(t, "since"),
				AfterPoll: uint64(rapid.IntRange(0, 3).Draw(t, "arrived")),
			}
			all, joined = append(all, d), pacer.AddDemand(joined, d)
		}
		for i := range g.Servers {
			g.Demands = all
			want := pacer.Next(g, i)
			g.Demands = joined
			if got := pacer.Next(g, i); got != want {
				t.Errorf("server %d polled at %v for %s, want %v for %s", i, got.At, got.Cause, want.At, want.Cause)
			}
		}
	})
}
