// Package director finds the backend server for each request of this entry host's callers.
package director

import (
	"context"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/caller/server"
	"github.com/cuminwick/cuminwick/internal/config/declarer"
	"github.com/cuminwick/cuminwick/internal/group/driver"
	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/limit/retrier"
	"github.com/cuminwick/cuminwick/internal/route/chooser"
	"github.com/cuminwick/cuminwick/internal/route/matcher"
)

// Errors of a request for which no backend server is found; nothing was sent.
const (
	// ErrUnknownGroup says that the configuration has no such database group.
	ErrUnknownGroup = errors.ConstError("unknown database group")
	// ErrUnconfirmed says that nobody can tell whether a reachable backend
	// server holds what the session must see.
	ErrUnconfirmed = errors.ConstError("no backend server is known to hold what the session must see")
	// ErrNoServer says that the reachable backend servers don't hold what the
	// session must see.
	ErrNoServer = errors.ConstError("no reachable backend server holds what the session must see")
	// ErrRetryBudget says that too much of the traffic is retries already.
	ErrRetryBudget = errors.ConstError("retry budget spent")
)

// Runtime is the configuration in force, with what serves it. It is compiled
// once and isn't changed afterwards.
type Runtime struct {
	Revision uint64
	File     *declarer.File
	Groups   map[string]*Group
	// Names are those of Groups.
	Names []string

	matcher *matcher.Matcher
	// teams are the teams by role.
	teams  map[string]*declarer.Team
	budget *retrier.Budget
}

// Compile prepares the look-ups of the request path. The retry budget of the
// configuration before, which may be nil, goes on if its share is the same:
// with a fresh one each change would allow a burst of retries.
func (r *Runtime) Compile(before *Runtime) {
	r.budget = &retrier.Budget{Share: r.File.Limits.RetryShare, Burst: retryBurst}
	if before != nil && before.budget.Share == r.budget.Share {
		r.budget = before.budget
	}
	r.matcher = matcher.Compile(*r.File)
	r.teams = make(map[string]*declarer.Team)
	for i := range r.File.Teams {
		t := &r.File.Teams[i]
		for _, o := range t.Roles {
			r.teams[o.Name] = t
		}
	}
	var longest time.Duration
	for _, u := range r.File.RoutingRules {
		longest = max(longest, u.MaximumAge)
	}
	for _, g := range r.Groups {
		g.longest.Store(int64(longest))
	}
}

// team returns the name of the role's team, empty if it has none.
func (r *Runtime) team(role string) string {
	if t := r.teams[role]; t != nil {
		return t.Name
	}
	return ""
}

// mayReach reports whether the role may use the group. Where no teams are
// declared, everybody may.
func (r *Runtime) mayReach(group, role string) bool {
	if len(r.File.Teams) == 0 {
		return true
	}
	t := r.teams[role]
	return t != nil && slices.Contains(t.DatabaseGroups, group)
}

// Director implements server.Director.
type Director struct {
	AvailabilityZone string
	Region           string
	// PrimaryReads sends all reads to the primary, as a baseline to measure against.
	PrimaryReads bool
	Decisions    DecisionLog
	// Draw returns random numbers, among others for the draw between equal servers.
	Draw    func() uint64
	Chooser chooser.Chooser
	// Metrics may be nil.
	Metrics *Metrics

	// Configuration returns the compiled configuration in force, nil before the
	// first. It is called for each request and must not wait.
	Configuration func() *Runtime
}

// Runtime returns the configuration in force, nil before the first.
func (d *Director) Runtime() *Runtime {
	return d.Configuration()
}

// Groups implements server.Director.
func (d *Director) Groups() []string {
	if r := d.Configuration(); r != nil {
		return r.Names
	}
	return nil
}

// Exists implements server.Director.
func (d *Director) Exists(group, role string) bool {
	r, _, err := d.group(group)
	return err == nil && r.mayReach(group, role)
}

func (d *Director) group(name string) (*Runtime, *Group, error) {
	r := d.Configuration()
	if r == nil {
		return nil, nil, errors.Annotatef(ErrUnknownGroup, "no configuration in force, group %q", name)
	}
	g := r.Groups[name]
	if g == nil {
		return nil, nil, errors.Annotatef(ErrUnknownGroup, "group %q at revision %d", name, r.Revision)
	}
	return r, g, nil
}

// Choose implements server.Director.
func (d *Director) Choose(ctx context.Context, q server.Query) (server.Choice, error) {
	r, g, err := d.group(q.Group)
	if err != nil {
		return server.Choice{}, err
	}
	if err := d.admitRetry(r.budget, q); err != nil {
		return server.Choice{}, g.refuse(err)
	}
	c, err := d.search(ctx, r, g, q)
	for d.replaced(g, err) {
		if r, g, err = d.group(q.Group); err != nil {
			break
		}
		c, err = d.search(ctx, r, g, q)
	}
	return c, err
}

func (d *Director) search(ctx context.Context, r *Runtime, g *Group, q server.Query) (server.Choice, error) {
	g.Driver.AwaitView(ctx)
	s := &search{director: d, runtime: r, group: g, query: q, team: r.team(q.Role)}
	if q.Write || !q.ReplicaSafe || d.PrimaryReads {
		return s.write(ctx)
	}
	return s.read(ctx)
}

// replaced reports whether err only says that a configuration has come into
// force under which the group's servers differ from those of g, so that what
// failed with it is to be done again with the group as it is now.
func (d *Director) replaced(g *Group, err error) bool {
	if !errors.Is(err, driver.ErrStopped) {
		return false
	}
	_, n, e := d.group(g.Declared.Name)
	return e == nil && n != g
}

// retryBurst is how many retries may be saved up. When a primary fails, the
// requests that were on their way to it come back together, and they are few
// beside what its slots and queue hold.
const retryBurst = 100

// admitRetry counts a first attempt, and refuses further ones beyond the budget.
// An attempt only comes here again if the one before certainly did not run or
// was a read.
func (d *Director) admitRetry(b *retrier.Budget, q server.Query) error {
	if q.Attempt == 0 {
		b.CountRequest()
		return nil
	}
	if !b.Allow(retrier.OutcomeNotRun, true) {
		d.Metrics.retry(false)
		return errors.Annotatef(ErrRetryBudget, "attempt %d in %s", q.Attempt+1, q.Group)
	}
	d.Metrics.retry(true)
	return nil
}

// Acknowledge implements server.Director.
func (d *Director) Acknowledge(ctx context.Context, group string, m marker.Mark) error {
	for {
		_, g, err := d.group(group)
		if err != nil {
			return err
		}
		err = g.Driver.WaitAcknowledged(ctx, m)
		if !d.replaced(g, err) {
			return err
		}
	}
}

// Observe implements server.Director.
func (d *Director) Observe(string, string, marker.Mark) {}
