package runner

import (
	"context"

	"golang.org/x/sync/errgroup"

	"github.com/cuminwick/cuminwick/internal/bench/checker"
	"github.com/cuminwick/cuminwick/internal/outcome/recorder"
)

// maximumOutcomeQueries is the number of outcome queries that run concurrently.
const maximumOutcomeQueries = 16

// queryOutcomes queries the outcome of each idempotency key whose request wasn't reported to have run.
// A caller whose connection was lost does the same. The checker compares these outcomes with the data
// as it does with the responses to requests.
func (r *Run) queryOutcomes(l []checker.Request) {
	var g errgroup.Group
	g.SetLimit(maximumOutcomeQueries)
	for i := range l {
		q := &l[i]
		if !q.Keyed || q.Outcome == checker.Ran {
			continue
		}
		g.Go(func() error { r.queryOutcome(q); return nil })
	}
	// The functions return no errors: a failed query leaves the outcome unknown.
	_ = g.Wait()
}

func (r *Run) queryOutcome(q *checker.Request) {
	o, err := r.System.Outcome(context.Background(), q.Group, q.Name)
	if err == nil {
		q.KeyOutcome = o
	}
}

// Outcome implements System. It queries a host chosen by the length of the key, mostly another one than
// the host that received the request.
func (d *DeployedSystem) Outcome(ctx context.Context, group, key string) (checker.Outcome, error) {
	d.mutex.Lock()
	h := d.deployment.Hosts[len(key)%len(d.deployment.Hosts)]
	d.mutex.Unlock()
	o, err := h.Outcome(ctx, group, key, true)
	if err != nil {
		return "", err
	}
	switch o {
	case recorder.Ran:
		return checker.Ran, nil
	case recorder.NotRun:
		return checker.NotRun, nil
	default:
		return "", nil
	}
}
