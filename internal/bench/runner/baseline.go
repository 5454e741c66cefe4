package runner

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/cuminwick/cuminwick/internal/backend/commander"
	"github.com/cuminwick/cuminwick/internal/bench/leaser"
	"github.com/cuminwick/cuminwick/internal/config/declarer"
	"github.com/cuminwick/cuminwick/internal/group/driver"
	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/session/tracker"
)

// Names of the sticky-sessions baseline.
const (
	// stickyToken is all that a session brings along: it tells nothing.
	stickyToken = "sticky"
	// stickyRule is the routing rule for all reads that no other rule matches.
	stickyRule = "sticky"
	// stickyAge is longer than any run.
	stickyAge = time.Hour
)

// followPolicy sets the deployment up as the policy says.
func (d *DeployedSystem) followPolicy() {
	d.deployment.PrimaryReads = d.Policy.PrimaryReads
	if d.Policy.SplitPools {
		d.deployment.Members = alone
	}
	if d.Policy.StickySessions {
		d.stick()
	}
	if d.Policy.StoreLease {
		d.deployment.Driver = patientDriver()
	}
}

// sticky stands in place of marks. Each session begins at each entry host with
// the mark of an empty database, so that nothing is fetched or waited for on
// behalf of what it saw elsewhere.
type sticky struct{}

// Sign implements server.Marks.
func (sticky) Sign([]tracker.GroupMark) (string, error) { return stickyToken, nil }

// Restore implements server.Marks.
func (sticky) Restore(_ string, groups []string, t *tracker.Tracker) error {
	for _, g := range groups {
		t.Raise(g, marker.Mark{})
	}
	return nil
}

// stick sets the deployment up for sticky sessions.
func (d *DeployedSystem) stick() {
	d.deployment.Marks = sticky{}
	d.deployment.RoutingRules = append(d.deployment.RoutingRules, declarer.RoutingRule{Name: stickyRule, MaximumAge: stickyAge})
}

// never is longer than any run.
const never = 24 * time.Hour

// patientDriver returns the settings of drivers that promote nothing of
// themselves where a primary is lost.
func patientDriver() driver.Settings {
	s := driver.Defaults()
	s.Observer.SuspicionTimeout = never
	s.Observer.IsolationTimeout = never
	s.Observer.NoPrimaryTimeout = never
	s.Observer.TermAheadTimeout = never
	return s
}

// leases are the leasers of all groups.
type leases struct {
	work errgroup.Group
	stop context.CancelFunc
}

// lease starts a leaser for each group, beside the platform's store.
func (d *DeployedSystem) lease(ctx context.Context) {
	ctx, d.leases.stop = context.WithCancel(ctx)
	p := d.deployment.Places[0]
	for _, g := range d.deployment.File.DatabaseGroups {
		l := &leaser.Leaser{Platform: d.platformAt(p), Group: g.Name, Log: d.Log}
		for _, b := range g.BackendServers {
			c := &commander.Client{Name: b.Name, Address: b.Address, User: leaserUser, Database: g.Name, Dial: d.controlDialer(p)}
			l.Servers = append(l.Servers, leaser.Server{Name: b.Name, Address: b.Address, Control: c})
		}
		d.leases.work.Go(func() error { return l.Run(ctx) })
	}
}

// leaserUser is the role of control connections that aren't an entry host's.
const leaserUser = "leaser"

// end stops the leasers, if there are any.
func (l *leases) end() error {
	if l.stop == nil {
		return nil
	}
	l.stop()
	return l.work.Wait()
}
