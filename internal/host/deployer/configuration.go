package deployer

import (
	"context"
	"math/rand/v2"
	"strconv"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/clock/scheduler"
	"github.com/cuminwick/cuminwick/internal/config/applier"
	file "github.com/cuminwick/cuminwick/internal/config/declarer"
	"github.com/cuminwick/cuminwick/internal/config/follower"
	"github.com/cuminwick/cuminwick/internal/config/publisher"
	"github.com/cuminwick/cuminwick/internal/host/runner"
	"github.com/cuminwick/cuminwick/internal/platform/accessor"
)

// ErrNotInForce is returned by Apply if a configuration file was not put in force.
const ErrNotInForce = errors.ConstError("configuration not in force")

// operatorName is the name under which a deployment applies configuration files.
const operatorName = "deployer"

// Apply publishes f through the platform, as an operator does, and returns once it is in force on
// all entry hosts. It returns ErrNotInForce, annotated with outcome and reason, if it is not.
func (d *Deployment) Apply(ctx context.Context, f file.File) (applier.Result, error) {
	o := &publisher.Operator{Platform: d.Platform, Name: operatorName}
	r, err := o.Apply(ctx, f, publisher.Options{})
	if err != nil {
		return r, errors.Annotate(err, "apply configuration")
	}
	if r.Outcome != applier.InForce {
		return r, errors.Annotatef(ErrNotInForce, "%s, %s", r.Outcome, r.Reason)
	}
	return r, nil
}

// source returns the configuration source of a host: what Deployment.Source makes if it is set,
// and a follower of the platform otherwise.
func (d *Deployment) source(name string, p Place, c *scheduler.Scheduler) runner.Source {
	if d.Source != nil {
		return d.Source(name, d.File)
	}
	return &follower.Host{
		Name:               name,
		Incarnation:        strconv.FormatInt(d.incarnations.Add(1), 10),
		AvailabilityZone:   p.AvailabilityZone,
		Platform:           d.platform(p),
		Random:             rand.Float64,
		Clock:              c,
		DeferredActivation: true,
		Log:                d.Log,
	}
}

// platform returns the platform that entry hosts in a place use.
func (d *Deployment) platform(at Place) accessor.Platform {
	if d.PlatformAt != nil {
		return d.PlatformAt(at)
	}
	return d.Platform
}
