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

// newKeeper makes what finds the other entry hosts by heartbeats. It answers
// from now on; address is where this host listens for peers.
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
			Incarnation:      incarnation(h.Settings.Incarnation, time.Now()),
		},
		Seeds:  h.Settings.Peers.Seeds,
		Random: rand.Float64,
		Clock:  h.Clock,
		Log:    h.Log,
	}
	if h.Platform != nil {
		k.Hosts = h.hosts
	}
	k.Publish = h.sighting
	k.Prepare()
	return k
}

// incarnation returns what is set, or the time of the start. Where a clock was
// set back meanwhile, the host learns of its last incarnation and goes above it.
func incarnation(set uint64, now time.Time) uint64 {
	if set > 0 {
		return set
	}
	return uint64(now.UnixMilli())
}

func (h *Host) hosts(ctx context.Context) ([]accessor.Host, error) {
	l, err := h.Platform.Hosts(ctx)
	if err == nil {
		h.collector.PlatformCalls.WithLabelValues("hosts", "done").Inc()
	} else {
		h.collector.PlatformCalls.WithLabelValues("hosts", "failed").Inc()
	}
	return l, err
}

// incarnation returns the number that goes on each message: the one from the
// settings unless the host had to contradict a wrong word about it.
func (p *peers) incarnation() uint64 {
	if p.keeper == nil {
		return p.host.Settings.Incarnation
	}
	return p.keeper.Incarnation()
}

// MemberView returns what this host knows of all entry hosts, empty where the
// members are told.
func (h *Host) MemberView() declarer.View {
	return h.board.Read().Members.Value
}

// sighting wakes loopSight. The keeper holds its lock and can't wait for the
// board; a wake that is pending already covers this view.
func (h *Host) sighting(declarer.View) {
	select {
	case h.sighted <- struct{}{}:
	default:
	}
}

// loopSight brings the keeper's views to the board.
func (p *peers) loopSight(ctx context.Context) error {
	for {
		select {
		case <-p.host.sighted:
			p.host.update(ctx, sighted{view: p.keeper.View()}.write)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// gaugeInterval is the time between updates of the metrics of members and peers.
const gaugeInterval = time.Second

// loopGauge keeps the metrics of members and peers.
func (p *peers) loopGauge(ctx context.Context) error {
	t, x := p.host.Clock.Ticks(gaugeInterval)
	defer x.Cancel()
	var last linker.Traffic
	for {
		last = p.gauge(last)
		select {
		case <-t:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// gaugeParts counts the groups by this host's part in them.
func (p *peers) gaugeParts() {
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

// gauge updates the metrics and returns the traffic so far.
func (p *peers) gauge(last linker.Traffic) linker.Traffic {
	c := p.host.collector
	t := p.links.Traffic()
	c.PeerBytes.WithLabelValues("sent").Add(float64(t.Sent - last.Sent))
	c.PeerBytes.WithLabelValues("received").Add(float64(t.Received - last.Received))
	var n [declarer.Dead + 1]int
	for _, m := range p.host.MemberView().Members {
		n[m.State]++
	}
	p.gaugeParts()
	for s, x := range n {
		c.Members.WithLabelValues(declarer.State(s).String()).Set(float64(x))
	}
	return t
}
