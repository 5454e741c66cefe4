package driver

import (
	"context"

	"github.com/cuminwick/cuminwick/internal/platform/accessor"
)

// loopHosts keeps the list of live entry hosts up to date from the platform if there are no Peers.
// The list may be outdated, which is harmless: it only spreads the hosts' promotion delays.
func (d *Driver) loopHosts(ctx context.Context) {
	defer d.calls.Done()
	if d.Peers != nil || d.Platform == nil {
		return
	}
	t, x := d.Clock.Ticks(d.Settings.HostsInterval)
	defer x.Cancel()
	for {
		d.listHosts(ctx)
		select {
		case <-ctx.Done():
			return
		case <-t:
		}
	}
}

func (d *Driver) listHosts(ctx context.Context) {
	c, cancel := context.WithTimeout(ctx, d.Settings.CallTimeout)
	defer cancel()
	l, err := d.Platform.Hosts(c)
	if err != nil {
		return // the previous list remains in use
	}
	var s []string
	for _, h := range l {
		if h.Kind == accessor.EntryHost && h.State == accessor.HostLive {
			s = append(s, h.Name)
		}
	}
	d.listedHosts.Store(&s)
}

// hosts returns the names of the live entry hosts, nil if they aren't known.
func (d *Driver) hosts() []string {
	if d.Peers != nil {
		return d.Peers.Hosts(d.Group.Name)
	}
	if s := d.listedHosts.Load(); s != nil {
		return *s
	}
	return nil
}
