// Package racer runs operators that concurrently apply competing configuration changes to one deployment.
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

// Parameters of the rounds.
const (
	// operatorsPerRound is how many operators apply a change to the same revision.
	operatorsPerRound = 3
	// maximumDelay is the longest delay with which an operator starts in a round.
	maximumDelay = 30 * time.Millisecond
	// maximumLostAnswers is how many of the platform's responses may be lost in a round.
	maximumLostAnswers = 3
	// roundsPerCrash is the number of rounds of which one has an operator that crashes midway.
	roundsPerCrash = 2
	// maximumPuts is the largest number of puts after which such an operator crashes: an undisturbed
	// apply makes three, to stage, to store and to accept.
	maximumPuts = 3
	// roundsPerResize is the number of successive rounds whose files leave the groups unchanged, and
	// then of those whose files change one group. The next unchanged file undoes the change.
	roundsPerResize = 4
	// commandTimeout limits the duration of one operator's command.
	commandTimeout = 30 * time.Second
	// retryPause is the pause before a failed read from the platform is repeated.
	retryPause = 10 * time.Millisecond
)

// Racer has operators change the configuration round by round. In each round several operators edit
// the same revision; at most one of them may succeed. The exported fields are set before Run.
type Racer struct {
	// Platform returns the platform as the n-th operator reaches it.
	Platform func(n int) accessor.Platform
	// LoseAnswers makes the platform apply the next n puts and lose their responses.
	LoseAnswers func(n int)
	// File is the configuration before the race. All changes are based on it.
	File declarer.File
	// Seed determines the operators' random choices. Timing still varies between runs.
	Seed uint64
	// StartTime is the start of the run.
	StartTime time.Time

	random  *rand.Rand
	mutex   sync.Mutex
	applies []checker.Apply
}

// Applies returns the applies recorded so far, with the outcome that each operator received.
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

// elapsed returns the time elapsed the run's start.
func (r *Racer) elapsed() time.Duration {
	return time.Since(r.StartTime)
}

// Run runs rounds until ctx ends. The round in progress at that time is completed. It returns an error
// if the accepted revision can't be read.
func (r *Racer) Run(ctx context.Context) error {
	r.random = rand.New(rand.NewPCG(r.Seed, operatorsPerRound))
	uncancelled := context.WithoutCancel(ctx)
	b, err := r.accepted(uncancelled)
	if err != nil {
		return err
	}
	r.record(checker.Apply{Operator: "deployment", Digest: Digest(r.File), Revision: uint64(b), Outcome: checker.ApplyInForce})
	for n := 0; ctx.Err() == nil; n++ {
		if err := r.round(uncancelled, n); err != nil {
			return err
		}
	}
	return nil
}

// accepted returns the accepted revision, which the next changes are based on.
func (r *Racer) accepted(ctx context.Context) (declarer.Revision, error) {
	ctx, stop := context.WithTimeout(ctx, commandTimeout)
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

// round has all contenders change the revision that is accepted at its start.
func (r *Racer) round(ctx context.Context, n int) error {
	b, err := r.accepted(ctx)
	if err != nil {
		return err
	}
	r.LoseAnswers(r.random.IntN(maximumLostAnswers + 1))
	l := r.newContenders(n, b)
	// Within six rounds with a crash, each number of puts occurs both with a resume and with a
	// withdrawal. The seed determines only which combination comes first.
	k := n/roundsPerCrash + int(r.Seed%(2*maximumPuts))
	crashed := n%roundsPerCrash == roundsPerCrash-1
	if crashed {
		crashAfter(l[0], 1+k%maximumPuts)
	}
	var w sync.WaitGroup
	for _, c := range l {
		w.Go(func() { c.run(ctx) })
	}
	w.Wait()
	if crashed {
		s := &successor{racer: r, name: fmt.Sprintf("successor-%d", n), resume: k%2 == 0}
		s.run(ctx)
	}
	return nil
}

// crashAfter makes c crash after some puts. It starts without a delay, so that its change is mostly
// the first one.
func crashAfter(c *contender, puts int) {
	c.delay = 0
	c.platform = &crashingPlatform{Platform: c.platform, puts: puts}
}

// newContenders returns the contenders of a round, each with a file of its own edited from base.
func (r *Racer) newContenders(round int, base declarer.Revision) []*contender {
	f := r.File
	if k := round/roundsPerResize + int(r.Seed%2); k%2 == 1 && len(f.DatabaseGroups) > 0 {
		f = withFewerConnections(f, k/2)
	}
	l := make([]*contender, operatorsPerRound)
	for i := range l {
		n := fmt.Sprintf("operator-%d-%d", round, i)
		l[i] = &contender{
			racer:    r,
			name:     n,
			platform: r.Platform(i),
			file:     withChange(f, n, round*operatorsPerRound+i),
			base:     base,
			delay:    time.Duration(r.random.Int64N(int64(maximumDelay))),
		}
	}
	return l
}
