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
	// stickyToken is sent by every session in place of a mark. It carries no information.
	stickyToken = "sticky"
	// stickyRule is the routing rule for all reads that no other rule matches.
	stickyRule = "sticky"
	// stickyAge is longer than any run.
	stickyAge = time.Hour
)

// applyPolicy configures the deployment according to the policy.
func (d *DeployedSystem) applyPolicy() {
	d.deployment.PrimaryReads = d.Policy.PrimaryReads
	if d.Policy.SplitPools {
		d.deployment.Members = newSingleHostMembers
	}
	if d.Policy.StickySessions {
		d.useStickySessions()
	}
	if d.Policy.StoreLease {
		d.deployment.Driver = driverWithoutPromotion()
	}
}

// stickyMarks replaces the signing of marks. Each session starts at each entry host with the mark of an
// empty database, so that nothing is fetched or waited for because of what it read at another host.
type stickyMarks struct{}

// Sign implements server.Marks.
func (stickyMarks) Sign([]tracker.GroupMark) (string, error) { return stickyToken, nil }

// Restore implements server.Marks.
func (stickyMarks) Restore(_ string, groups []string, t *tracker.Tracker) error {
	for _, g := range groups {
		t.Raise(g, marker.Mark{})
	}
	return nil
}

// useStickySessions configures the deployment for sticky sessions.
func (d *DeployedSystem) useStickySessions() {
	d.deployment.Marks = stickyMarks{}
	d.deployment.RoutingRules = append(d.deployment.RoutingRules, declarer.RoutingRule{Name: stickyRule, MaximumAge: stickyAge})
}

// unreachableTimeout is longer than any run.
const unreachableTimeout = 24 * time.Hour

// driverWithoutPromotion returns the settings of group drivers that don't promote a server after the loss
// of a primary.
func driverWithoutPromotion() driver.Settings {
	s := driver.Defaults()
	s.Observer.SuspicionTimeout = unreachableTimeout
	s.Observer.IsolationTimeout = unreachableTimeout
	s.Observer.NoPrimaryTimeout = unreachableTimeout
	s.Observer.TermAheadTimeout = unreachableTimeout
	return s
}

// leaserGroup runs the leasers of all groups.
type leaserGroup struct {
	running errgroup.Group
	stop    context.CancelFunc
}

// startLeasers starts a leaser for each group, in the first place of the deployment.
func (d *DeployedSystem) startLeasers(ctx context.Context) {
	ctx, d.leasers.stop = context.WithCancel(ctx)
	p := d.deployment.Places[0]
	for _, g := range d.deployment.File.DatabaseGroups {
		l := &leaser.Leaser{Platform: d.platformAt(p), Group: g.Name, Log: d.Log}
		for _, b := range g.BackendServers {
			c := &commander.Client{Name: b.Name, Address: b.Address, User: leaserUser, Database: g.Name, Dial: d.controlDialer(p)}
			l.Servers = append(l.Servers, leaser.Server{Name: b.Name, Address: b.Address, Control: c})
		}
		d.leasers.running.Go(func() error { return l.Run(ctx) })
	}
}

// leaserUser is the database role of the leasers' control connections.
const leaserUser = "leaser"

// stopAndWait stops the leasers, if there are any, and waits for them.
func (l *leaserGroup) stopAndWait() error {
	if l.stop == nil {
		return nil
	}
	l.stop()
	return l.running.Wait()
}
