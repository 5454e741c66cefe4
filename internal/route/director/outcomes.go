package director

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/outcome/inquirer"
	"github.com/cuminwick/cuminwick/internal/outcome/recorder"
	"github.com/cuminwick/cuminwick/internal/pool/lessor"
)

// inquirerGroup implements inquirer.Group.
//
// Each call looks up the group by name, since an inquirer may outlive a change of the group's
// servers, after which the previous Group does not answer.
type inquirerGroup struct {
	director *Director
	group    string
}

// Primary implements inquirer.Group.
func (a inquirerGroup) Primary(ctx context.Context) (lessor.Lessor, error) {
	_, g, err := a.director.group(a.group)
	if err != nil {
		return nil, err
	}
	v, err := g.Driver.WaitPrimary(ctx)
	if a.director.replaced(g, err) {
		return a.Primary(ctx)
	}
	if err != nil {
		return nil, errors.Annotatef(err, "find primary of %s", a.group)
	}
	return g.Lessors[v.Primary], nil
}

// WaitAcknowledged implements inquirer.Group.
func (a inquirerGroup) WaitAcknowledged(ctx context.Context, m marker.Mark) error {
	return a.director.WaitAcknowledged(ctx, a.group, m)
}

func (d *Director) inquirer(group string) (*inquirer.Inquirer, error) {
	if _, _, err := d.group(group); err != nil {
		return nil, err
	}
	return &inquirer.Inquirer{Group: inquirerGroup{director: d, group: group}}, nil
}

// LookUp implements server.Director.
func (d *Director) LookUp(ctx context.Context, group string, a recorder.Attempt) (inquirer.Answer, error) {
	i, err := d.inquirer(group)
	if err != nil {
		return inquirer.Answer{}, err
	}
	return i.LookUp(ctx, a)
}

// Settle implements server.Director.
func (d *Director) Settle(ctx context.Context, group string, a recorder.Attempt) (recorder.Outcome, error) {
	i, err := d.inquirer(group)
	if err != nil {
		return recorder.Unknown, err
	}
	return i.Settle(ctx, a)
}

// CreateTable implements server.Director.
func (d *Director) CreateTable(ctx context.Context, group string) error {
	i, err := d.inquirer(group)
	if err != nil {
		return err
	}
	return i.CreateTable(ctx)
}

// Expire deletes the group's idempotency keys that are older than retention.
func (d *Director) Expire(ctx context.Context, group string, now time.Time, retention time.Duration) error {
	i, err := d.inquirer(group)
	if err != nil {
		return err
	}
	return i.Expire(ctx, now, retention)
}
