// Package blackboard holds an entry host's view of the deployment, shared by the host's parts.
package blackboard

import (
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/clock/steady"
	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
	"github.com/cuminwick/cuminwick/internal/proxy/grouptracker"
	"github.com/cuminwick/cuminwick/internal/route/chooser"
)

// Section is a part of the board that is read from the platform.
type Section uint8

// Sections of the board.
const (
	SectionConfiguration Section = iota
	SectionServers
	SectionHosts
	sections
)

// Board is an entry host's view of the deployment. Its exported fields are set before use.
type Board struct {
	// Zone and Region are those of this host. Regions maps each zone to its region.
	Zone    string
	Region  string
	Regions map[string]string
	// Now reads the clock of all times on the board. It is steady.Now if unset.
	Now func() time.Duration

	configuration atomic.Pointer[declarer.Configuration]

	mu      sync.Mutex
	groups  map[string]*grouptracker.Group
	changed chan struct{}
	// configured is closed at the next configuration, nil while nobody waits for one.
	configured chan struct{}
	// confirmed is when each section was last confirmed, zero if never.
	confirmed [sections]time.Duration
}

// Time returns the time on the board's clock.
func (b *Board) Time() time.Duration {
	if b.Now == nil {
		return steady.Now()
	}
	return b.Now()
}

// Configuration returns the configuration in force, nil before the first.
func (b *Board) Configuration() *declarer.Configuration { return b.configuration.Load() }

// Ranked reports whether the configuration in force ranks requests by their importance.
func (b *Board) Ranked() bool {
	c := b.Configuration()
	return c != nil && c.Ranked
}

// Configure puts c into force unless the current version is the same or newer, and reports
// whether it did.
func (b *Board) Configure(c *declarer.Configuration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if o := b.configuration.Load(); o != nil && o.Version >= c.Version {
		return false
	}
	b.configuration.Store(c)
	for _, g := range b.groups {
		g.Drained = c.Operations.DrainedServers
	}
	if b.configured != nil {
		close(b.configured)
		b.configured = nil
	}
	return true
}

// defaultIdleTransactionTimeout applies if the configuration sets no limit.
const defaultIdleTransactionTimeout = 10 * time.Second

// IdleTransactionTimeout returns how long an open transaction may wait for its caller.
func (b *Board) IdleTransactionTimeout() time.Duration {
	if c := b.Configuration(); c != nil && c.IdleTransactionTimeout > 0 {
		return c.IdleTransactionTimeout
	}
	return defaultIdleTransactionTimeout
}

// Configured returns a channel that is closed when the next configuration comes into force.
func (b *Board) Configured() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.configured == nil {
		b.configured = make(chan struct{})
	}
	return b.configured
}

// ReplaceServers replaces the servers of all groups.
func (b *Board) ReplaceServers(l []declarer.Server) {
	now := b.Time()
	serversByGroup := make(map[string][]declarer.Server)
	for _, s := range l {
		serversByGroup[s.Group] = append(serversByGroup[s.Group], s)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for name := range serversByGroup {
		b.group(name)
	}
	for name, g := range b.groups {
		g.SetServers(serversByGroup[name], now)
	}
	b.notifyChanged()
}

// group returns the group and creates it if it does not exist. The mutex is held.
func (b *Board) group(name string) *grouptracker.Group {
	if b.groups == nil {
		b.groups = make(map[string]*grouptracker.Group)
	}
	g := b.groups[name]
	if g == nil {
		g = &grouptracker.Group{Name: name, Zone: b.Zone, Region: b.Region, Regions: b.Regions, Chooser: chooser.Chooser{}}
		if c := b.configuration.Load(); c != nil {
			g.Drained = c.Operations.DrainedServers
		}
		b.groups[name] = g
	}
	return g
}

// Do calls f with the group while the board is locked. f must not block.
func (b *Board) Do(group string, f func(*grouptracker.Group)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f(b.group(group))
}

// Groups returns the names of all groups.
func (b *Board) Groups() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := make([]string, 0, len(b.groups))
	for n := range b.groups {
		l = append(l, n)
	}
	return l
}

// Confirm records that the platform has just confirmed a section, directly or through another
// host.
func (b *Board) Confirm(s Section) {
	now := b.Time()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.confirmed[s] = now
}

// Age returns how long ago a section was last confirmed.
func (b *Board) Age(s Section) time.Duration {
	now := b.Time()
	b.mu.Lock()
	defer b.mu.Unlock()
	return now - b.confirmed[s]
}

// GroupsWithoutPrimary returns the number of groups without a known primary.
func (b *Board) GroupsWithoutPrimary() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, g := range b.groups {
		if g.Primary() == nil {
			n++
		}
	}
	return n
}

// PositionAge returns the age of the oldest of the primaries' latest confirmed positions, zero if
// there are none. Reads with bounded staleness need a position that is younger than their bound.
func (b *Board) PositionAge() time.Duration {
	now := b.Time()
	b.mu.Lock()
	defer b.mu.Unlock()
	var d time.Duration
	for _, g := range b.groups {
		if l, ok := g.LatestConfirmation(); ok {
			d = max(d, now-l.PolledAt)
		}
	}
	return d
}

// RecordLeadership records a proof that the server was its group's primary at some time after
// asked, when its log ended at m.
func (b *Board) RecordLeadership(group, server string, asked time.Duration, m marker.Mark) {
	b.mu.Lock()
	defer b.mu.Unlock()
	g := b.group(group)
	before := g.Primary()
	g.ConfirmLeadership(server, asked, m)
	if g.Primary() != before {
		b.notifyChanged()
	}
}

// Changed returns a channel that is closed at the next change of a primary or of the list of
// servers.
func (b *Board) Changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.changed == nil {
		b.changed = make(chan struct{})
	}
	return b.changed
}

// notifyChanged closes the channel returned by Changed. The mutex is held.
func (b *Board) notifyChanged() {
	if b.changed != nil {
		close(b.changed)
		b.changed = nil
	}
}

// RecordConnectionFailure records that a connection attempt to the server, begun at since, has
// failed with err.
func (b *Board) RecordConnectionFailure(group, server string, since time.Duration, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if errors.Is(err, syscall.ECONNREFUSED) {
		b.group(group).RecordConnectionRefused(server, since, b.Time())
		return
	}
	b.group(group).RecordFailure(server, since, b.Time())
}
