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

// ErrNotInForce says that a file was not put in force.
const ErrNotInForce = errors.ConstError("configuration not in force")

// operator is the name under which a deployment applies files.
const operator = "deployer"

// Apply puts f in force on all entry hosts, as an operator does.
func (d *Deployment) Apply(ctx context.Context, f file.File) (applier.Result, error) {
	o := &publisher.Operator{Platform: d.Platform, Name: operator}
	r, err := o.Apply(ctx, f, publisher.Options{})
	if err != nil {
		return r, errors.Annotate(err, "apply configuration")
	}
	if r.Outcome != applier.InForce {
		return r, errors.Annotatef(ErrNotInForce, "%s, %s", r.Outcome, r.Reason)
	}
	return r, nil
}

// source returns where a host gets the configuration from: the platform,
// unless the deployment was given another way.
func (d *Deployment) source(name string, p Place, c *scheduler.Scheduler) runner.Source {
	if d.Source != nil {
		return d.Source(name, d.File)
	}
	return &follower.Host{
		Name:             name,
		Incarnation:      strconv.FormatInt(d.starts.Add(1), 10),
		AvailabilityZone: p.AvailabilityZone,
		Platform:         d.platform(p),
		Random:           rand.Float64,
		Clock:            c,
		Deferred:         true,
		Log:              d.Log,
	}
}

// platform returns the platform as seen from a place.
func (d *Deployment) platform(at Place) accessor.Platform {
	if d.PlatformAt != nil {
		return d.PlatformAt(at)
	}
	return d.Platform
}
