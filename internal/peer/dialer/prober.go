package dialer

import (
	"context"
	"time"

	"github.com/cuminwick/cuminwick/internal/peer/encoder"
	"github.com/cuminwick/cuminwick/internal/peer/linker"
)

const (
	// probeInterval is the default time between two checks of the links.
	probeInterval = time.Second
	// migrateAfterChecks is the number of silent checks, as counted by Link.CheckTraffic, after
	// which the side that dialed migrates the link to another socket.
	migrateAfterChecks = 3
	// replaceAfterChecks is the number of silent checks after which either side tries a new
	// connection. It tries again after each further replaceAfterChecks.
	replaceAfterChecks = 6
	// idleAfter is how long a link without a stream or datagram is kept open.
	idleAfter = time.Minute
)

// KindProbe is the kind of a datagram that only causes an acknowledgement.
const KindProbe encoder.Kind = "probe"

// Run checks the links until ctx ends, and then closes them.
func (d *Dialer) Run(ctx context.Context) error {
	d.mu.Lock()
	d.context = ctx
	d.mu.Unlock()
	d.loop(ctx)
	for _, l := range d.Links.All() {
		l.Close(linker.CodeStopping)
	}
	return nil
}

func (d *Dialer) loop(ctx context.Context) {
	t, x := d.Clock.Ticks(d.interval())
	defer x.Cancel()
	for {
		select {
		case now := <-t:
			d.checkLinks(ctx, now)
		case <-ctx.Done():
			return
		}
	}
}

func (d *Dialer) interval() time.Duration {
	if d.ProbeInterval > 0 {
		return d.ProbeInterval
	}
	return probeInterval
}

// checkLinks closes idle links, migrates or replaces silent ones, and probes busy links on which
// nothing has been received since the last check.
func (d *Dialer) checkLinks(ctx context.Context, now time.Time) {
	for _, l := range d.Links.All() {
		quiet, n := l.CheckTraffic()
		switch {
		case l.IdleSince(now.Add(-idleAfter)):
			l.Close(linker.CodeIdle)
		case n > 0 && n%replaceAfterChecks == 0:
			go d.runReplace(ctx, l)
		case n == migrateAfterChecks && l.Dialed:
			go d.runMigrate(ctx, l)
		case quiet && l.Streams() > 0:
			d.probe(l)
		}
	}
}

// probe sends a datagram that the peer acknowledges. It doesn't wait for runProbe, which blocks
// while the queue of datagrams is full; packets are in flight anyway then.
func (d *Dialer) probe(l *linker.Link) {
	go d.runProbe(l)
}

func (d *Dialer) runProbe(l *linker.Link) {
	b, err := encoder.Marshal(encoder.Request{Kind: KindProbe, Sender: d.Self()})
	if err != nil {
		return
	}
	_ = l.Conn.SendDatagram(b)
}

// runMigrate moves a silent link to a new socket by QUIC connection migration. If a device between
// the hosts has lost the state of the old flow, the transactions on the link continue after a
// pause; without migration they would hang and end with an unknown outcome.
func (d *Dialer) runMigrate(ctx context.Context, l *linker.Link) {
	t, err := d.openSocket()
	if err != nil {
		return
	}
	l.OwnTransport(t)
	c, cancel := context.WithTimeout(ctx, d.ConnectTimeout)
	defer cancel()
	p, err := l.Conn.AddPath(t)
	if err != nil {
		return
	}
	if err := p.Probe(c); err != nil {
		_ = p.Close()
		return
	}
	_ = p.Switch()
}

// runReplace dials a new connection in addition to a silent link that couldn't be migrated, and
// closes the silent link if that succeeds. Only a new connection that works proves that the link is
// dead. If it fails too, the host or the path to it is down, and the link may recover.
func (d *Dialer) runReplace(ctx context.Context, l *linker.Link) {
	a, ok := d.Locate(l.Host)
	if !ok {
		return
	}
	if _, err := d.dialFromNewSocket(ctx, l.Host, a); err != nil {
		return
	}
	d.Links.Unprefer(l)
	l.Close(linker.CodeSilent)
}
