// Package director selects the backend server for each request of this entry host's callers.
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

// Errors of a request for which no backend server is found. Nothing was sent.
const (
	// ErrUnknownGroup: the configuration in force has no such database group.
	ErrUnknownGroup = errors.ConstError("unknown database group")
	// ErrUnconfirmed: it cannot be determined whether a reachable backend server holds the
	// writes that the session must see.
	ErrUnconfirmed = errors.ConstError("no backend server is known to hold what the session must see")
	// ErrNoServer: no reachable backend server holds the writes that the session must see.
	ErrNoServer = errors.ConstError("no reachable backend server holds what the session must see")
	// ErrRetryBudget: retries already make up too large a share of the requests.
	ErrRetryBudget = errors.ConstError("retry budget spent")
)

// Runtime is a configuration with the groups that serve it. It is compiled once and does not change
// afterwards. The exported fields are set before Compile.
type Runtime struct {
	Revision uint64
	File     *declarer.File
	Groups   map[string]*Group
	// Names are the keys of Groups.
	Names []string

	matcher *matcher.Matcher
	// teams holds the teams by role name.
	teams  map[string]*declarer.Team
	budget *retrier.Budget
}

// Compile prepares the data that requests look up. The retry budget of previous, which may be nil, is
// kept if its share is the same, since a new budget would allow a burst of retries with each change
// of the configuration.
func (r *Runtime) Compile(previous *Runtime) {
	r.budget = &retrier.Budget{Share: r.File.Limits.RetryShare, Burst: retryBurst}
	if previous != nil && previous.budget.Share == r.budget.Share {
		r.budget = previous.budget
	}
	r.matcher = matcher.Compile(*r.File)
	r.teams = make(map[string]*declarer.Team)
	for i := range r.File.Teams {
		t := &r.File.Teams[i]
		for _, o := range t.Roles {
			r.teams[o.Name] = t
		}
	}
	var maximumAge time.Duration
	for _, u := range r.File.RoutingRules {
		maximumAge = max(maximumAge, u.MaximumAge)
	}
	for _, g := range r.Groups {
		g.maximumAge.Store(int64(maximumAge))
	}
}

// team returns the name of the role's team, empty if the role has none.
func (r *Runtime) team(role string) string {
	if t := r.teams[role]; t != nil {
		return t.Name
	}
	return ""
}

// mayUse reports whether the role may use the group. If no teams are declared, each role may use each
// group.
func (r *Runtime) mayUse(group, role string) bool {
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
	// PrimaryReads sends all reads to the primary, as a baseline for measurements.
	PrimaryReads bool
	// Decisions may be nil.
	Decisions DecisionLog
	// Draw returns random numbers, with which the chooser draws between equal servers.
	Draw    func() uint64
	Chooser chooser.Chooser
	// Metrics may be nil.
	Metrics *Metrics

	// Configuration returns the compiled configuration in force, nil before the first one. It is
	// called for each request and must not block.
	Configuration func() *Runtime
}

// Runtime returns the configuration in force, nil before the first one.
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
	return err == nil && r.mayUse(group, role)
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
		return s.chooseForWrite(ctx)
	}
	return s.chooseForRead(ctx)
}

// replaced reports whether err is due to a new configuration under which the servers of the group
// differ from those of g. The failed operation is then to be repeated with the group as it is now.
func (d *Director) replaced(g *Group, err error) bool {
	if !errors.Is(err, driver.ErrStopped) {
		return false
	}
	_, n, e := d.group(g.Declared.Name)
	return e == nil && n != g
}

// retryBurst is the number of unused retries that may accumulate. When a primary fails, the requests
// in flight to it are retried together; they are few compared with the capacity of its slots and
// queue.
const retryBurst = 100

// admitRetry counts a first attempt and refuses further attempts beyond the budget. A further attempt
// is made only if the previous one certainly did not run or was a read.
func (d *Director) admitRetry(b *retrier.Budget, q server.Query) error {
	if q.Attempt == 0 {
		b.CountRequest()
		return nil
	}
	if !b.Allow(retrier.OutcomeNotRun, true) {
		d.Metrics.countRetry(false)
		return errors.Annotatef(ErrRetryBudget, "attempt %d in %s", q.Attempt+1, q.Group)
	}
	d.Metrics.countRetry(true)
	return nil
}

// WaitAcknowledged implements server.Director.
func (d *Director) WaitAcknowledged(ctx context.Context, group string, m marker.Mark) error {
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

// Observe implements server.Director. It does nothing: positions are observed by polling.
func (d *Director) Observe(string, string, marker.Mark) {}
