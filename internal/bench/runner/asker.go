package runner

import (
	"context"

	"golang.org/x/sync/errgroup"

	"github.com/cuminwick/cuminwick/internal/bench/checker"
	"github.com/cuminwick/cuminwick/internal/outcome/recorder"
)

// askers is how many outcomes are asked for at a time.
const askers = 16

// ask puts down what the outcomes of the keys are said to be, for all keyed requests
// whose callers weren't told that they ran. An officer whose connection broke does the
// same, and what the outcome says must agree with the data as an answer must.
func (r *Run) ask(l []checker.Request) {
	var g errgroup.Group
	g.SetLimit(askers)
	for i := range l {
		q := &l[i]
		if !q.Keyed || q.Outcome == checker.Ran {
			continue
		}
		g.Go(func() error { r.askOne(q); return nil })
	}
	// No question fails: one without an answer leaves the outcome open.
	_ = g.Wait()
}

func (r *Run) askOne(q *checker.Request) {
	o, err := r.System.Outcome(context.Background(), q.Group, q.Name)
	if err == nil {
		q.KeyOutcome = o
	}
}

// Outcome implements System. Another host than the request's own is asked.
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
