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

// ErrUnknownName is the cause of errors about an unknown scenario, deployment or policy.
const ErrUnknownName = errors.ConstError("unknown name")

// Bench holds the options of one run, as given on the command line.
type Bench struct {
	Scenario   string
	Deployment string
	Policy     string
	Seed       uint64
	Duration   time.Duration
	// LoadPercent is the load as a percentage of the slots' capacity, or zero for the scenario's own
	// load.
	LoadPercent float64
	// LogEncoder receives the decision log of all entry hosts. It may be nil.
	LogEncoder *encoder.Encoder
	Log        log.Interface
	// Progress, if set, is called periodically with the elapsed time and the number of statements.
	Progress func(elapsed time.Duration, statements int)
}

// callersUser is the database role of the load's callers.
const callersUser = "caller"

// Run runs the scenario. It returns an error with the cause ErrUnknownName if a name is unknown.
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
