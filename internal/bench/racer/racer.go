// Package racer is operators who apply competing changes to one deployment at the same time.
package racer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/bench/checker"
	"github.com/cuminwick/cuminwick/internal/clock/scheduler"
	"github.com/cuminwick/cuminwick/internal/config/declarer"
	"github.com/cuminwick/cuminwick/internal/config/publisher"
	"github.com/cuminwick/cuminwick/internal/platform/accessor"
)

// Bounds of what the operators do.
const (
	// contenders is how many operators apply a change of the same revision.
	contenders = 3
	// maximumDelay is how much later than the first one an operator may begin.
	maximumDelay = 30 * time.Millisecond
	// maximumLost is how many answers of the platform a round may lose.
	maximumLost = 3
	// abandonEvery is one round in how many has an operator that ends midway.
	abandonEvery = 2
	// maximumPuts is after how many puts such an operator ends at the latest: an
	// undisturbed apply stages, stores and accepts.
	maximumPuts = 3
	// resizeRounds is for how many rounds on end the files leave the groups as they
	// were, and then change one. A round of that kind undoes the change, too.
	resizeRounds = 4
	// patience bounds one operator's command.
	patience = 30 * time.Second
	// retryPause is the time before the platform is asked again after a failure.
	retryPause = 10 * time.Millisecond
)

// Racer has operators change the configuration round by round. In each round
// several edit the same revision; at most one of them may succeed. The exported
// fields are set before Run.
type Racer struct {
	// Platform makes the platform as the n-th operator sees it.
	Platform func(n int) accessor.Platform
	// LoseAnswers lets the next n puts at the platform take effect unanswered.
	LoseAnswers func(n int)
	// File is the configuration before the race, which all changes are made to.
	File declarer.File
	// Seed fixes what operators do; the moments stay those of the run.
	Seed uint64
	// StartTime is the run's start.
	StartTime time.Time

	random  *rand.Rand
	mutex   sync.Mutex
	applies []checker.Apply
}

// Applies returns what operators were told so far.
func (r *Racer) Applies() []checker.Apply {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return slices.Clone(r.applies)
}

func (r *Racer) record(a checker.Apply) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.applies = append(r.applies, a)
}

// since returns the time since the run's start.
func (r *Racer) since() time.Duration {
	return time.Since(r.StartTime)
}

// Run lets one round follow the other until ctx ends. The round in progress then
// is finished.
func (r *Racer) Run(ctx context.Context) error {
	r.random = rand.New(rand.NewPCG(r.Seed, contenders))
	whole := context.WithoutCancel(ctx)
	b, err := r.accepted(whole)
	if err != nil {
		return err
	}
	r.record(checker.Apply{Operator: "deployment", Digest: Digest(r.File), Revision: uint64(b), Outcome: checker.ApplyInForce})
	for n := 0; ctx.Err() == nil; n++ {
		if err := r.round(whole, n); err != nil {
			return err
		}
	}
	return nil
}

// accepted returns the revision that changes are made to next.
func (r *Racer) accepted(ctx context.Context) (declarer.Revision, error) {
	ctx, stop := context.WithTimeout(ctx, patience)
	defer stop()
	o := &publisher.Operator{Platform: r.Platform(0)}
	for {
		h, err := o.Head(ctx)
		if err == nil {
			return h.Accepted, nil
		}
		if scheduler.Pause(ctx, retryPause) != nil {
			return 0, errors.Annotate(err, "read accepted revision")
		}
	}
}

// round has all contenders change the revision accepted at its start.
func (r *Racer) round(ctx context.Context, n int) error {
	b, err := r.accepted(ctx)
	if err != nil {
		return err
	}
	r.LoseAnswers(r.random.IntN(maximumLost + 1))
	l := r.contenders(n, b)
	// Each number of puts comes up with each way to go on after six such rounds;
	// the seed only says which one comes first.
	k := n/abandonEvery + int(r.Seed%(2*maximumPuts))
	abandoned := n%abandonEvery == abandonEvery-1
	if abandoned {
		abandon(l[0], 1+k%maximumPuts)
	}
	var w sync.WaitGroup
	for _, c := range l {
		w.Go(func() { c.run(ctx) })
	}
	w.Wait()
	if abandoned {
		s := &successor{racer: r, name: fmt.Sprintf("successor-%d", n), resume: k%2 == 0}
		s.run(ctx)
	}
	return nil
}

// abandon has c begin first, so that it mostly comes first, and end after some puts.
func abandon(c *contender, puts int) {
	c.delay = 0
	c.platform = &mortal{Platform: c.platform, puts: puts}
}

func (r *Racer) contenders(round int, base declarer.Revision) []*contender {
	f := r.File
	if k := round/resizeRounds + int(r.Seed%2); k%2 == 1 && len(f.DatabaseGroups) > 0 {
		f = resize(f, k/2)
	}
	l := make([]*contender, contenders)
	for i := range l {
		n := fmt.Sprintf("operator-%d-%d", round, i)
		l[i] = &contender{
			racer:    r,
			name:     n,
			platform: r.Platform(i),
			file:     change(f, n, round*contenders+i),
			base:     base,
			delay:    time.Duration(r.random.Int64N(int64(maximumDelay))),
		}
	}
	return l
}
