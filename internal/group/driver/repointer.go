package driver

import (
	"context"
	"time"

	"github.com/cuminwick/cuminwick/internal/group/promoter"
)

// loopRepoint makes instances follow the primary that don't, after the delay of this host's rank, so
// that usually only one host does it.
func (d *Driver) loopRepoint(ctx context.Context) {
	defer d.calls.Done()
	t, x := d.Clock.Ticks(d.Settings.StatusInterval)
	defer x.Cancel()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t:
			d.repoint(ctx)
		}
	}
}

func (d *Driver) repoint(ctx context.Context) {
	for _, x := range d.repointsDue() {
		d.logger().WithField("backend-server", x.Server).WithField("primary", x.Primary).Info("repoint")
		d.calls.Add(1)
		c := &call{driver: d, action: x}
		c.run(ctx)
	}
}

// repointsDue returns the actions for servers that haven't followed the primary for long enough.
func (d *Driver) repointsDue() []promoter.Action {
	v := d.View()
	w := d.Settings.RepointDelay + d.promotionDelay(v.Term)
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.repointSince
	d.repointSince = make(map[string]time.Duration)
	var s []promoter.Action
	for _, x := range promoter.Repoint(v) {
		since, ok := old[x.Server]
		if !ok {
			since = v.At
		}
		d.repointSince[x.Server] = since
		if v.At-since >= w {
			s = append(s, x)
		}
	}
	return s
}
