package dialer

import (
	"context"
	"time"

	"github.com/cuminwick/cuminwick/internal/peer/encoder"
	"github.com/cuminwick/cuminwick/internal/peer/linker"
)

// How links are looked after.
const (
	// probeInterval is the usual time between looks at busy links.
	probeInterval = time.Second
	// silentLooks without a packet have the side that dialed move the link to
	// another socket.
	silentLooks = 3
	// replaceLooks without a packet have either side try a new connection.
	replaceLooks = 6
	// idleAfter closes a link that carried no stream for so long.
	idleAfter = time.Minute
)

// KindProbe is a datagram that asks for no more than its acknowledgement.
const KindProbe encoder.Kind = "probe"

// Run looks after the links until ctx ends, and closes them then.
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
			d.look(ctx, now)
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

func (d *Dialer) look(ctx context.Context, now time.Time) {
	for _, l := range d.Links.All() {
		quiet, n := l.CheckTraffic()
		switch {
		case l.IdleSince(now.Add(-idleAfter)):
			l.Close(linker.CodeIdle)
		case n > 0 && n%replaceLooks == 0:
			go d.runReplace(ctx, l)
		case n == silentLooks && l.Dialed:
			go d.runMove(ctx, l)
		case quiet && l.Streams() > 0:
			d.probe(l)
		}
	}
}

// probe makes the peer send at least an acknowledgement, if it gets it. A full
// queue of datagrams would have it wait, but then packets are under way already.
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

// runMove carries a silent link over to a socket of its own, by QUIC's
// connection migration. Where something between the hosts has lost track of
// the old flow, the transactions on the link go on and their callers notice a
// pause; otherwise they would wait and end with an unknown outcome.
func (d *Dialer) runMove(ctx context.Context, l *linker.Link) {
	t, err := d.socket()
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

// runReplace tries a new connection beside a silent one that couldn't be
// moved. Only a new connection that works proves that the old one is dead: if
// that fails too, the host or the way to it is gone, and the old link may mend.
func (d *Dialer) runReplace(ctx context.Context, l *linker.Link) {
	a, ok := d.Locate(l.Host)
	if !ok {
		return
	}
	if _, err := d.dialFresh(ctx, l.Host, a); err != nil {
		return
	}
	d.Links.Unprefer(l)
	l.Close(linker.CodeSilent)
}
