package runner

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/quic-go/quic-go"
	"golang.org/x/sync/errgroup"

	"github.com/cuminwick/cuminwick/internal/backend/relayer"
	cancels "github.com/cuminwick/cuminwick/internal/cancel/forwarder"
	"github.com/cuminwick/cuminwick/internal/certificate/reloader"
	"github.com/cuminwick/cuminwick/internal/group/informer"
	"github.com/cuminwick/cuminwick/internal/member/keeper"
	"github.com/cuminwick/cuminwick/internal/peer/dialer"
	"github.com/cuminwick/cuminwick/internal/peer/encoder"
	"github.com/cuminwick/cuminwick/internal/peer/linker"
	"github.com/cuminwick/cuminwick/internal/peer/listener"
	"github.com/cuminwick/cuminwick/internal/peer/securer"
	"github.com/cuminwick/cuminwick/internal/peer/witness"
	"github.com/cuminwick/cuminwick/internal/pool/assigner"
	"github.com/cuminwick/cuminwick/internal/pool/avoider"
	"github.com/cuminwick/cuminwick/internal/pool/forwarder"
	"github.com/cuminwick/cuminwick/internal/pool/granter"
	"github.com/cuminwick/cuminwick/internal/pool/ranker"
)

// maximumPeerConnectTimeout bounds an attempt to connect to a peer, because a request may wait for
// it and can be sent to another host instead.
const maximumPeerConnectTimeout = 500 * time.Millisecond

// How long a host that didn't accept a request is avoided, first and at most.
const (
	firstAvoidance   = time.Second
	maximumAvoidance = 16 * time.Second
)

// peers holds the components by which this host communicates with other entry hosts and shares
// pools with them.
type peers struct {
	host      *Host
	transport *quic.Transport
	links     *linker.Table
	dialer    *dialer.Dialer
	listener  *listener.Listener
	ranker    *ranker.Ranker
	forwarder *forwarder.Forwarder
	granter   *granter.Granter
	avoider   avoider.Avoider
	cancels   *cancels.Forwarder
	witness   *witness.Witness
	pools     pools
	control   *relayer.Dialer
	// live holds the live entry hosts by name, nil before the first update.
	live atomic.Pointer[map[string]assigner.Host]
	// keeper discovers the other entry hosts. It is nil if Host.Members was set.
	keeper *keeper.Keeper
}

// listenPeers opens the socket for peers and creates the components that use it.
func (h *Host) listenPeers() error {
	s, err := h.securer()
	if err != nil {
		return err
	}
	a, err := net.ResolveUDPAddr("udp", h.Settings.Peers.Address)
	if err != nil {
		return errors.Annotatef(err, "address for peers %s", h.Settings.Peers.Address)
	}
	u, err := h.listenPacket(a)
	if err != nil {
		return errors.Annotatef(err, "listen for peers at %s", h.Settings.Peers.Address)
	}
	h.peers = &peers{host: h, transport: &quic.Transport{Conn: u}}
	if h.Members == nil {
		h.peers.keeper = h.newKeeper(u.LocalAddr().String())
		h.Members = h.peers.keeper
	}
	h.peers.assemble(s)
	return nil
}

// listenPacket opens a UDP socket by ListenPacket if it is set.
func (h *Host) listenPacket(a *net.UDPAddr) (net.PacketConn, error) {
	if h.ListenPacket != nil {
		return h.ListenPacket(a)
	}
	return net.ListenUDP("udp", a)
}

// securer returns Securer, or one that uses the certificate files in the settings.
func (h *Host) securer() (*securer.Securer, error) {
	if h.Securer != nil {
		return h.Securer, nil
	}
	p := h.Settings.Peers
	r := &reloader.Reloader{CertificateFile: p.CertificateFile, KeyFile: p.KeyFile, AuthorityFile: p.AuthorityFile}
	if err := r.Load(); err != nil {
		return nil, errors.Annotate(err, "secure connections between entry hosts")
	}
	return &securer.Securer{Certificate: r.Certificate, Authority: r.Authority}, nil
}

// PeerAddress returns the local address at which this host listens for peers, empty without peers.
func (h *Host) PeerAddress() string {
	if h.peers == nil {
		return ""
	}
	return h.peers.transport.Conn.LocalAddr().String()
}

// assemble creates the components and connects them.
func (p *peers) assemble(s *securer.Securer) {
	h := p.host
	p.links = &linker.Table{Self: h.Settings.HostName}
	p.granter = &granter.Granter{Pools: &p.pools}
	p.ranker = &ranker.Ranker{Members: h.Members, Notify: p.membersChanged}
	p.dialer = &dialer.Dialer{
		Transport:      p.transport,
		Listen:         h.ListenPacket,
		Clock:          h.Clock,
		Securer:        s,
		Links:          p.links,
		Self:           p.self,
		Locate:         h.Members.Locate,
		ConnectTimeout: max(min(h.Settings.Limits.ConnectTimeout, maximumPeerConnectTimeout), h.MinimumPeerTimeout),
		PeerStreams:    h.Settings.Limits.PeerStreams,
	}
	p.avoider.FirstPause, p.avoider.MaximumPause = firstAvoidance, maximumAvoidance
	p.forwarder = &forwarder.Forwarder{Peers: p.dialer, Avoider: &p.avoider, Forwards: h.collector.PeerForwards, MinimumTimeout: h.MinimumPeerTimeout}
	p.control = &relayer.Dialer{Dialer: p.dialer}
	p.cancels = &cancels.Forwarder{
		Self:    h.Settings.HostName,
		Members: h.Members,
		Dialer:  p.dialer,
		Cancel:  h.listener.Cancel,
		Log:     h.Log,
	}
	c := &relayer.Server{Find: p.pools.relayer}
	p.listener = &listener.Listener{
		Transport:        p.transport,
		Securer:          s,
		Links:            p.links,
		Self:             p.self,
		Forwards:         p.granter,
		Routes:           []listener.Route{p.cancels.Route(), c.Route()},
		HandshakeTimeout: h.Settings.Limits.HandshakeTimeout,
		PeerStreams:      h.Settings.Limits.PeerStreams,
		Log:              h.Log,
	}
	p.listener.Routes = append(p.listener.Routes, h.Routes...)
	n := &informer.Informer{FindDriver: h.findDriver, Clock: h.Clock}
	p.listener.Routes = append(p.listener.Routes, n.Routes()...)
	p.assembleWitness()
	p.dialer.Serve = p.listener.Serve
	if o, ok := h.Source.(RevisionObserver); ok {
		a := &revisionWaiter{host: h, observer: o}
		p.dialer.CatchUp = a.awaitRevision
		p.listener.CatchUp = a.awaitRevision
	}
	if p.keeper != nil {
		p.keeper.Dialer = p.dialer
		p.listener.Routes = append(p.listener.Routes, p.keeper.Routes()...)
	}
}

// self returns the sender information that is put on each message.
func (p *peers) self() encoder.Sender {
	s := encoder.Sender{Host: p.host.Settings.HostName, Incarnation: p.incarnation()}
	if r := p.host.runtime(); r != nil {
		s.Revision = r.Revision
	}
	return s
}

// run serves peers until ctx ends.
func (p *peers) run(ctx context.Context) error {
	g, x := errgroup.WithContext(ctx)
	g.Go(func() error { return p.listener.Run(x) })
	g.Go(func() error { return p.dialer.Run(x) })
	g.Go(func() error { return p.ranker.Run(x) })
	g.Go(func() error { return p.witness.Run(x) })
	g.Go(func() error { return p.loopShrink(x) })
	g.Go(func() error { return p.loopMetrics(x) })
	if p.keeper != nil {
		g.Go(func() error { return p.keeper.Run(x) })
		g.Go(func() error { return p.loopMembers(x) })
	}
	err := g.Wait()
	_ = p.transport.Close()
	_ = p.transport.Conn.Close()
	return err
}

// membersChanged stores the live hosts and has all groups check again whether this host serves
// them. For hosts that aren't live it aborts leases, whose callers would otherwise wait for them,
// and removes recorded failures.
func (p *peers) membersChanged(live []assigner.Host) {
	l := make(map[string]bool, len(live))
	m := make(map[string]assigner.Host, len(live))
	for _, h := range live {
		l[h.Name] = true
		m[h.Name] = h
	}
	p.live.Store(&m)
	p.reconsider()
	p.avoider.Retain(l)
	for _, n := range p.forwarder.Hosts() {
		if !l[n] {
			p.forwarder.AbortLeases(n)
		}
	}
}

// shrinkInterval is the time between two calls of pools.shrink.
const shrinkInterval = 100 * time.Millisecond

// loopShrink gradually closes the idle connections of pools that this host doesn't own. Closing all
// of them together would make the new owners open all their connections together.
func (p *peers) loopShrink(ctx context.Context) error {
	t, x := p.host.Clock.Ticks(shrinkInterval)
	defer x.Cancel()
	for {
		select {
		case now := <-t:
			p.pools.shrink(ctx, now)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// leave refuses new leases and announces that this host is leaving, so that its pools get new
// owners. It is called before the wait for this host's own callers, so that the new owners have
// opened their connections by the end of that wait.
func (p *peers) leave() {
	p.granter.Leave()
	if p.keeper != nil {
		p.keeper.Leave()
	}
}

// drain waits until other hosts have returned all leased connections or ctx ends, and then
// announces that this host is stopping. It returns the number of leases that are still open.
func (p *peers) drain(ctx context.Context) int {
	if p.keeper != nil {
		defer p.keeper.Depart(ctx)
	}
	t, x := p.host.Clock.Ticks(drainInterval)
	defer x.Cancel()
	for p.granter.OpenLeases() > 0 {
		select {
		case <-t:
		case <-ctx.Done():
			return p.granter.OpenLeases()
		}
	}
	return 0
}

// drainInterval is the time between two checks for open leases.
const drainInterval = 10 * time.Millisecond

// PeerTraffic returns the traffic between this host and its peers so far.
func (h *Host) PeerTraffic() linker.Traffic {
	if h.peers == nil {
		return linker.Traffic{}
	}
	return h.peers.links.Traffic()
}

// ClosePeerSocket closes the socket for peers without notifying them, as a crash of the process
// does. The context of Run must be cancelled afterwards.
func (h *Host) ClosePeerSocket() {
	if h.peers != nil {
		_ = h.peers.transport.Conn.Close()
	}
}
