package runner

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/bench/definer"
	"github.com/cuminwick/cuminwick/internal/bench/reporter"
	"github.com/cuminwick/cuminwick/internal/log/encoder"
)

// ErrUnknownName is the cause of an error about an unknown name.
const ErrUnknownName = errors.ConstError("unknown name")

// Bench is one run as asked for on the command line.
type Bench struct {
	Scenario   string
	Deployment string
	Policy     string
	Seed       uint64
	Duration   time.Duration
	// LoadPercent is the load in percent of the slots' capacity, the scenario's own if zero.
	LoadPercent float64
	// LogEncoder gets the decision lines of all entry hosts, nobody if nil.
	LogEncoder *encoder.Encoder
	Log        log.Interface
	// Progress is told the time that has passed, if set.
	Progress func(passed time.Duration, statements int)
}

// callersUser is the role of the load's callers.
const callersUser = "caller"

// Run runs the experiment.
func (b *Bench) Run(ctx context.Context) (*reporter.Result, error) {
	s, ok := definer.Find(definer.Scenarios(), b.Scenario)
	if !ok {
		return nil, errors.Annotatef(ErrUnknownName, "scenario %q", b.Scenario)
	}
	p, ok := definer.Find(definer.Policies(), b.Policy)
	if !ok {
		return nil, errors.Annotatef(ErrUnknownName, "policy %q", b.Policy)
	}
	if s.Overhead {
		return b.overhead(ctx)
	}
	d, ok := definer.Find(definer.Deployments(), b.Deployment)
	if !ok {
		return nil, errors.Annotatef(ErrUnknownName, "deployment %q", b.Deployment)
	}
	s.DrawFaults(b.Seed)
	if b.LoadPercent > 0 {
		s.SetLoadPercent(b.LoadPercent)
	}
	l := s.Load(&d)
	r := &Run{
		Scenario:   s,
		Deployment: d,
		Load:       l,
		Policy:     p,
		Seed:       b.Seed,
		Duration:   b.Duration,
		System:     &DeployedSystem{Deployment: d, Load: l, Policy: p, FollowConfiguration: s.FollowConfiguration, LogEncoder: b.LogEncoder, Log: b.Log},
		User:       callersUser,
		Progress:   b.Progress,
	}
	return r.Measure(ctx)
}

func (b *Bench) overhead(ctx context.Context) (*reporter.Result, error) {
	d := OverheadDeployment()
	o := &Overhead{
		System:   &DeployedSystem{Deployment: d, LogEncoder: b.LogEncoder, Log: b.Log, WithoutDisturber: true},
		Group:    d.Groups[0],
		User:     callersUser,
		Duration: b.Duration,
	}
	v, err := o.Measure(ctx)
	if err != nil {
		return nil, err
	}
	return &reporter.Result{
		Scenario:        b.Scenario,
		Deployment:      d.Name,
		Policy:          b.Policy,
		Seed:            b.Seed,
		DurationSeconds: b.Duration.Seconds(),
		Overhead:        v,
	}, nil
}
