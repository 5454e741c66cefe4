package runner

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cuminwick/cuminwick/internal/group/switcher"
	"github.com/cuminwick/cuminwick/internal/member/declarer"
	"github.com/cuminwick/cuminwick/internal/member/keeper"
	"github.com/cuminwick/cuminwick/internal/peer/linker"
	"github.com/cuminwick/cuminwick/internal/platform/accessor"
)

// newKeeper creates the keeper, which discovers the other entry hosts by heartbeats. The keeper is
// prepared to answer requests before it runs; address is where this host listens for peers.
func (h *Host) newKeeper(address string) *keeper.Keeper {
	if a := h.Settings.Peers.AdvertisedAddress; a != "" && a != h.Settings.Peers.Address {
		address = a
	}
	k := &keeper.Keeper{
		Self: declarer.Member{
			Host:             h.Settings.HostName,
			AvailabilityZone: h.Settings.AvailabilityZone,
			Region:           h.Settings.Region,
			Address:          address,
			Incarnation:      initialIncarnation(h.Settings.Incarnation, time.Now()),
		},
		Seeds:  h.Settings.Peers.Seeds,
		Random: rand.Float64,
		Clock:  h.Clock,
		Log:    h.Log,
	}
	if h.Platform != nil {
		k.Hosts = h.platformHosts
	}
	k.Publish = h.signalMembers
	k.Prepare()
	return k
}

// initialIncarnation returns the configured incarnation, or the present time in milliseconds if set
// is zero. If the clock was set back since the previous start, peers report the previous
// incarnation, and the keeper raises its own above that.
func initialIncarnation(set uint64, now time.Time) uint64 {
	if set > 0 {
		return set
	}
	return uint64(now.UnixMilli())
}

// platformHosts returns the host list of the platform and counts the call.
func (h *Host) platformHosts(ctx context.Context) ([]accessor.Host, error) {
	l, err := h.Platform.Hosts(ctx)
	if err == nil {
		h.collector.PlatformCalls.WithLabelValues("hosts", "done").Inc()
	} else {
		h.collector.PlatformCalls.WithLabelValues("hosts", "failed").Inc()
	}
	return l, err
}

// incarnation returns the incarnation that is put on each message: the initial one, unless the
// keeper raised it to refute a wrong report about this host.
func (p *peers) incarnation() uint64 {
	if p.keeper == nil {
		return p.host.Settings.Incarnation
	}
	return p.keeper.Incarnation()
}

// MemberView returns this host's view of all entry hosts. It is empty if Members was set.
func (h *Host) MemberView() declarer.View {
	return h.board.Read().Members.Value
}

// signalMembers wakes loopMembers. It is called while the keeper holds its lock, so it must not
// wait for the board. A wake-up that is already pending covers this view too.
func (h *Host) signalMembers(declarer.View) {
	select {
	case h.membersSignal <- struct{}{}:
	default:
	}
}

// loopMembers writes the keeper's views to the board.
func (p *peers) loopMembers(ctx context.Context) error {
	for {
		select {
		case <-p.host.membersSignal:
			p.host.update(ctx, membersWrite{view: p.keeper.View()}.write)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// peerMetricsInterval is the time between updates of the metrics of members and peers.
const peerMetricsInterval = time.Second

// loopMetrics updates the metrics of members and peers.
func (p *peers) loopMetrics(ctx context.Context) error {
	t, x := p.host.Clock.Ticks(peerMetricsInterval)
	defer x.Cancel()
	var last linker.Traffic
	for {
		last = p.updateMetrics(last)
		select {
		case <-t:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// countGroups updates the metric of the number of groups by this host's part in them.
func (p *peers) countGroups() {
	n := map[switcher.Part]int{switcher.PartServing: 0, switcher.PartStandingIn: 0, switcher.PartFollowing: 0, switcher.PartIdle: 0}
	if r := p.host.director.Runtime(); r != nil {
		for _, g := range r.Groups {
			if s, ok := g.Driver.(*switcher.Switcher); ok {
				n[s.Part()]++
			}
		}
	}
	for t, x := range n {
		p.host.collector.DatabaseGroups.WithLabelValues(string(t)).Set(float64(x))
	}
}

// updateMetrics updates the metrics and returns the total traffic; last is the total of the
// previous update.
func (p *peers) updateMetrics(last linker.Traffic) linker.Traffic {
	c := p.host.collector
	t := p.links.Traffic()
	c.PeerBytes.WithLabelValues("sent").Add(float64(t.Sent - last.Sent))
	c.PeerBytes.WithLabelValues("received").Add(float64(t.Received - last.Received))
	var n [declarer.Dead + 1]int
	for _, m := range p.host.MemberView().Members {
		n[m.State]++
	}
	p.countGroups()
	for s, x := range n {
		c.Members.WithLabelValues(declarer.State(s).String()).Set(float64(x))
	}
	return t
}
