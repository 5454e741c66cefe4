package runner

import (
	"context"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/backend/controller"
	"github.com/cuminwick/cuminwick/internal/clock/scheduler"
	file "github.com/cuminwick/cuminwick/internal/config/declarer"
	"github.com/cuminwick/cuminwick/internal/group/appointer"
	"github.com/cuminwick/cuminwick/internal/group/driver"
	"github.com/cuminwick/cuminwick/internal/group/follower"
	"github.com/cuminwick/cuminwick/internal/group/informer"
	"github.com/cuminwick/cuminwick/internal/group/switcher"
	"github.com/cuminwick/cuminwick/internal/peer/dialer"
	"github.com/cuminwick/cuminwick/internal/pool/assigner"
)

// newSwitcher creates the switcher of a group; c holds the control clients by backend server.
func (r *reconciler) newSwitcher(g file.DatabaseGroup, c map[string]controller.Control) *switcher.Switcher {
	n := &groupCallbacks{host: r.host, group: g, controls: c, peers: r.driverPeers()}
	s := &switcher.Switcher{
		NewDriver:   n.newDriver,
		NewFollower: n.newFollower,
		Appointed:   n.appointed,
		Settings:    r.host.DriverSettings,
		Clock:       r.host.Clock,
		Log:         r.host.Log.WithField("database-group", g.Name),
	}
	n.switcher = s
	s.Prepare()
	return s
}

// groupCallbacks holds the functions that the switcher of one database group calls.
type groupCallbacks struct {
	host     *Host
	group    file.DatabaseGroup
	controls map[string]controller.Control
	peers    driver.Peers
	switcher *switcher.Switcher
}

func (n *groupCallbacks) newDriver(w *scheduler.Stopwatch) *driver.Driver {
	return &driver.Driver{
		Group:     n.group,
		Host:      n.host.Settings.HostName,
		Controls:  n.controls,
		Platform:  n.host.Platform,
		Peers:     n.peers,
		Settings:  n.host.DriverSettings,
		Clock:     n.host.Clock,
		Stopwatch: w,
		Log:       n.host.Log,
	}
}

func (n *groupCallbacks) newFollower(w *scheduler.Stopwatch) *follower.Follower {
	p := n.host.peers
	return &follower.Follower{
		Group:      n.group,
		Hosts:      n.servingHostsByDistance,
		Ask:        p.askServing,
		HandOverAt: p.askHandOver,
		Settings:   n.host.DriverSettings,
		Clock:      n.host.Clock,
		Stopwatch:  w,
		Log:        n.host.Log,
	}
}

// appointed reports whether this host is to serve the group. It is if no serving host is known. A
// host that is leaving keeps its part, since its callers would otherwise have to wait for the
// switch.
func (n *groupCallbacks) appointed() bool {
	p := n.host.peers
	if p == nil {
		return true
	}
	self := n.host.Settings.HostName
	if p.isLeaving(self) {
		return n.switcher.Driver() != nil
	}
	l := p.servingHostsOf(n.group)
	return len(l) == 0 || slices.Contains(l, self)
}

// servingHostsByDistance returns the serving hosts in the order in which this host contacts them.
func (n *groupCallbacks) servingHostsByDistance() []string {
	p := n.host.peers
	m := p.liveHosts()
	var l []appointer.Location
	for _, h := range p.servingHostsOf(n.group) {
		o := m[h]
		l = append(l, appointer.Location{Name: h, AvailabilityZone: o.AvailabilityZone, Region: o.Region})
	}
	s := n.host.Settings
	return appointer.OrderByDistance(appointer.Location{Name: s.HostName, AvailabilityZone: s.AvailabilityZone, Region: s.Region}, l)
}

// liveHosts returns the live entry hosts by name. The result must not be changed.
func (p *peers) liveHosts() map[string]assigner.Host {
	if m := p.live.Load(); m != nil {
		return *m
	}
	return nil
}

func (p *peers) isLeaving(host string) bool {
	return p.liveHosts()[host].Leaving
}

// servingHostsOf returns the serving hosts of a declared group.
func (p *peers) servingHostsOf(g file.DatabaseGroup) []string {
	m := p.liveHosts()
	z := make(map[string]string, len(m))
	for n, h := range m {
		z[n] = h.AvailabilityZone
	}
	return appointer.ServingHosts(p.ranker, z, g, p.host.servingHostsPerServer())
}

// servingHostsPerServer returns the number of serving hosts for each backend server.
func (h *Host) servingHostsPerServer() int {
	if n := h.Settings.Peers.ServingHosts; n > 0 {
		return n
	}
	return appointer.DefaultHostsPerServer
}

// servingHosts returns the serving hosts of the named group, none for an unknown group.
func (p *peers) servingHosts(group string) []string {
	r := p.host.director.Runtime()
	if r == nil || r.Groups[group] == nil {
		return nil
	}
	return p.servingHostsOf(r.Groups[group].Declared)
}

// reconsider has all groups check again whether this host is to serve them.
func (p *peers) reconsider() {
	r := p.host.director.Runtime()
	if r == nil {
		return
	}
	for _, g := range r.Groups {
		if s, ok := g.Driver.(*switcher.Switcher); ok {
			s.Reconsider()
		}
	}
}

func (p *peers) askServing(ctx context.Context, host string, q informer.Question) (informer.Answer, error) {
	return dialer.Call[informer.Question, informer.Answer](ctx, p.dialer, host, informer.KindQuestion, q)
}

// How a hand-over retries while the dialer backs off from the serving host.
const (
	// handOverWait is how long retries are started. It is longer than most backoffs after one lost
	// connection.
	handOverWait = 3 * time.Second
	// handOverRetry is the pause before a retry.
	handOverRetry = 100 * time.Millisecond
)

// askHandOver requests a hand-over at a serving host. While the dialer backs off after a lost
// connection, it retries: nothing was sent yet, and the operator's command would otherwise fail
// although the host may be healthy again.
func (p *peers) askHandOver(ctx context.Context, host string, q informer.HandOver) (informer.HandedOver, error) {
	end := time.Now().Add(handOverWait)
	for {
		a, err := p.handOverOnce(ctx, host, q)
		if !errors.Is(err, dialer.ErrBackoff) || time.Now().After(end) {
			return a, err
		}
		if scheduler.Pause(ctx, handOverRetry) != nil {
			return a, err
		}
	}
}

func (p *peers) handOverOnce(ctx context.Context, host string, q informer.HandOver) (informer.HandedOver, error) {
	return dialer.Call[informer.HandOver, informer.HandedOver](ctx, p.dialer, host, informer.KindHandOver, q)
}

// findDriver returns the driver that this host runs for a group, nil if it runs none, and the
// digest of the group's servers.
func (h *Host) findDriver(group string) (*driver.Driver, uint64) {
	r := h.director.Runtime()
	if r == nil || r.Groups[group] == nil {
		return nil, 0
	}
	g := r.Groups[group]
	s, ok := g.Driver.(*switcher.Switcher)
	if !ok {
		return nil, 0
	}
	return s.Driver(), informer.DigestServers(g.Declared)
}

// Part returns the part of this host in a group, empty for an unknown group.
func (h *Host) Part(group string) switcher.Part {
	if r := h.director.Runtime(); r != nil && r.Groups[group] != nil {
		if s, ok := r.Groups[group].Driver.(*switcher.Switcher); ok {
			return s.Part()
		}
	}
	return ""
}
