package follower

import (
	"testing"

	"github.com/cuminwick/cuminwick/internal/group/informer"
	"github.com/cuminwick/cuminwick/internal/group/marker"
)

// Guards against a result that is taken for that of another ask: a commit would be acknowledged, or a
// read index be too low. An answer may hold fewer or more results than there are asks.
func TestResultsOfOtherAsks(t *testing.T) {
	done := func(n marker.Position) informer.Result {
		return informer.Result{State: informer.StateDone, Index: marker.Mark{Term: 1, Position: n}}
	}
	ask := func(n marker.Position) informer.Ask {
		return informer.Ask{Kind: informer.AskCommit, Mark: marker.Mark{Term: 1, Position: n}}
	}
	for _, results := range [][]informer.Result{nil, {done(1)}, {done(1), done(2)}, {done(1), done(2), done(3), done(4)}} {
		f := &Follower{}
		f.init()
		x := &batch{follower: f, queue: &f.queues[queueCommit]}
		indexes := map[informer.Ask]int{ask(1): 0, ask(2): 1}
		// Two waiters share the second ask.
		for _, n := range []marker.Position{1, 2, 2} {
			x.waiters = append(x.waiters, &waiter{ask: ask(n), done: make(chan answer, 1)})
		}
		x.complete(results, indexes)
		for i, w := range x.waiters {
			n := indexes[w.ask]
			select {
			case a := <-w.done:
				if n >= len(results) || a.mark.Position != w.ask.Mark.Position || a.err != nil {
					t.Errorf("%d results: waiter %d got %+v", len(results), i, a)
				}
			default:
				if n < len(results) {
					t.Errorf("%d results: waiter %d got none", len(results), i)
				}
			}
		}
	}
}
