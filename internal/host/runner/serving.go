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

// switcher makes what looks after a group, with the control sides of its servers.
func (r *reconciler) switcher(g file.DatabaseGroup, c map[string]controller.Control) *switcher.Switcher {
	n := &node{host: r.host, group: g, controls: c, peers: r.driverPeers()}
	s := &switcher.Switcher{
		NewDriver:   n.driver,
		NewFollower: n.follower,
		Appointed:   n.appointed,
		Settings:    r.host.DriverSettings,
		Clock:       r.host.Clock,
		Log:         r.host.Log.WithField("database-group", g.Name),
	}
	n.switcher = s
	s.Prepare()
	return s
}

// node is this host's place in one database group.
type node struct {
	host     *Host
	group    file.DatabaseGroup
	controls map[string]controller.Control
	peers    driver.Peers
	switcher *switcher.Switcher
}

func (n *node) driver(w *scheduler.Stopwatch) *driver.Driver {
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

func (n *node) follower(w *scheduler.Stopwatch) *follower.Follower {
	p := n.host.peers
	return &follower.Follower{
		Group:      n.group,
		Hosts:      n.turns,
		Ask:        p.askServing,
		HandOverAt: p.askHandOver,
		Settings:   n.host.DriverSettings,
		Clock:      n.host.Clock,
		Stopwatch:  w,
		Log:        n.host.Log,
	}
}

// appointed reports whether this host serves the group. One that knows of nobody
// does, and one that is leaving goes on with what it does: its callers would
// otherwise have to wait for the change as well.
func (n *node) appointed() bool {
	p := n.host.peers
	if p == nil {
		return true
	}
	self := n.host.Settings.HostName
	if p.leaving(self) {
		return n.switcher.Driver() != nil
	}
	l := p.serving(n.group)
	return len(l) == 0 || slices.Contains(l, self)
}

// turns returns the serving hosts in the order in which this host turns to them.
func (n *node) turns() []string {
	p := n.host.peers
	m := p.places()
	var l []appointer.Location
	for _, h := range p.serving(n.group) {
		o := m[h]
		l = append(l, appointer.Location{Name: h, AvailabilityZone: o.AvailabilityZone, Region: o.Region})
	}
	s := n.host.Settings
	return appointer.OrderByDistance(appointer.Location{Name: s.HostName, AvailabilityZone: s.AvailabilityZone, Region: s.Region}, l)
}

// places returns the live entry hosts by name.
func (p *peers) places() map[string]assigner.Host {
	if m := p.live.Load(); m != nil {
		return *m
	}
	return nil
}

func (p *peers) leaving(host string) bool {
	return p.places()[host].Leaving
}

// serving returns the serving hosts of a group.
func (p *peers) serving(g file.DatabaseGroup) []string {
	m := p.places()
	z := make(map[string]string, len(m))
	for n, h := range m {
		z[n] = h.AvailabilityZone
	}
	return appointer.ServingHosts(p.ranker, z, g, p.host.servingHosts())
}

// servingHosts returns how many hosts serve for each backend server.
func (h *Host) servingHosts() int {
	if n := h.Settings.Peers.ServingHosts; n > 0 {
		return n
	}
	return appointer.DefaultHostsPerServer
}

// servingHosts returns the serving hosts of the named group.
func (p *peers) servingHosts(group string) []string {
	r := p.host.director.Runtime()
	if r == nil || r.Groups[group] == nil {
		return nil
	}
	return p.serving(r.Groups[group].Declared)
}

// reconsider has all groups look whether this host still serves them.
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

// Bounds of a hand-over's wait for a serving host that failed to answer a moment ago.
const (
	// handOverWait is longer than most backoffs after one lost connection.
	handOverWait  = 3 * time.Second
	handOverRetry = 100 * time.Millisecond
)

// askHandOver waits out the backoff of a connection that was lost a moment ago:
// nothing was sent yet, and an operator's command would fail though the host is well.
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

// driverOf returns the driver that this host runs for a group and the digest of the
// group's servers.
func (h *Host) driverOf(group string) (*driver.Driver, uint64) {
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

// Part returns what this host does for a group.
func (h *Host) Part(group string) switcher.Part {
	if r := h.director.Runtime(); r != nil && r.Groups[group] != nil {
		if s, ok := r.Groups[group].Driver.(*switcher.Switcher); ok {
			return s.Part()
		}
	}
	return ""
}
