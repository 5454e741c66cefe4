// Package dialer connects to other entry hosts, and sends requests and forwards transactions to them.
package dialer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/quic-go/quic-go"

	"github.com/cuminwick/cuminwick/internal/clock/scheduler"
	"github.com/cuminwick/cuminwick/internal/fault/wrapper"
	"github.com/cuminwick/cuminwick/internal/peer/encoder"
	"github.com/cuminwick/cuminwick/internal/peer/linker"
	"github.com/cuminwick/cuminwick/internal/peer/securer"
)

// Errors of the dialer. A request that fails with one of them has had no effect.
const (
	// ErrUnknownHost is returned for a host whose address is unknown.
	ErrUnknownHost = errors.ConstError("address of entry host unknown")
	// ErrBackoff is returned between a failed attempt to connect and the next one.
	ErrBackoff = errors.ConstError("entry host failed to answer a moment ago")
	// ErrStreamLimit is returned when Dialer.PeerStreams streams to the host are open.
	ErrStreamLimit = errors.ConstError("too many streams to entry host")
)

// Dialer keeps one connection to each peer that this host communicates with. The exported fields
// are set before Run.
type Dialer struct {
	// Transport is the shared UDP socket. Links are first dialed from it.
	Transport *quic.Transport
	// Listen opens additional sockets. If nil, net.ListenUDP is used.
	Listen  func(a *net.UDPAddr) (net.PacketConn, error)
	Securer *securer.Securer
	// Links holds the links of this host, also those that the listener accepted.
	Links *linker.Table
	// Self returns the sender of each message: this host with its revision in force.
	Self func() encoder.Sender
	// Locate returns the address at which a host accepts peers.
	Locate func(host string) (address string, ok bool)
	// CatchUp brings this host to the revision of the sender of an answer, and returns once the
	// revision is in force. It is called for senders at a higher revision and may be nil.
	CatchUp func(ctx context.Context, s encoder.Sender) error
	// Serve serves the streams that the peer opens on a link that this host dialed, until the link
	// ends.
	Serve func(ctx context.Context, l *linker.Link)
	// ConnectTimeout is the timeout of an attempt to connect.
	ConnectTimeout time.Duration
	// ProbeInterval is the time between two checks for silent links. If zero, it is a second.
	ProbeInterval time.Duration
	// Clock provides the ticks of the checks. If nil, plain timers are used.
	Clock *scheduler.Scheduler
	// PeerStreams is the number of streams, opened by either side, at which no further transaction
	// is forwarded on a link. It is also how many forwarded transactions the peer may have open
	// here.
	PeerStreams int

	mu sync.Mutex
	// targets holds the hosts that were dialed, by name.
	targets map[string]*target
	// context is the context of Run, nil before. Attempts and links end with it.
	context context.Context
}

// Forget discards the backoff state of a host that has left permanently.
func (d *Dialer) Forget(host string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.targets, host)
}

// dialHost dials from the shared socket, or from a new one if the last attempt failed: a firewall
// that lost the state of the flow from the shared socket to the host also drops new connections
// from that socket.
func (d *Dialer) dialHost(ctx context.Context, host, address string, failures int) (*linker.Link, error) {
	if failures == 0 {
		return d.dial(ctx, d.Transport, host, address)
	}
	return d.dialFromNewSocket(ctx, host, address)
}

// dialFromNewSocket dials from a socket that is opened for this link only and closed with it.
func (d *Dialer) dialFromNewSocket(ctx context.Context, host, address string) (*linker.Link, error) {
	t, err := d.openSocket()
	if err != nil {
		return nil, err
	}
	l, err := d.dial(ctx, t, host, address)
	if err != nil {
		_ = t.Close()
		_ = t.Conn.Close()
		return nil, err
	}
	l.OwnTransport(t)
	return l, nil
}

// openSocket opens a UDP socket on the shared socket's IP address and a free port.
func (d *Dialer) openSocket() (*quic.Transport, error) {
	var i net.IP
	if a, ok := d.Transport.Conn.LocalAddr().(*net.UDPAddr); ok {
		i = a.IP
	}
	c, err := d.listen(&net.UDPAddr{IP: i})
	if err != nil {
		return nil, errors.Annotate(err, "open socket")
	}
	return &quic.Transport{Conn: c}, nil
}

func (d *Dialer) listen(a *net.UDPAddr) (net.PacketConn, error) {
	if d.Listen != nil {
		return d.Listen(a)
	}
	return net.ListenUDP("udp", a)
}

// dial connects to host at address. If host is empty, any entry host is accepted. The link is added
// to Links and served.
func (d *Dialer) dial(ctx context.Context, t *quic.Transport, host, address string) (*linker.Link, error) {
	u, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	s := d.Securer.Client(host)
	if host == "" {
		s = d.Securer.ClientForAnyHost()
	}
	c, cancel := context.WithTimeout(ctx, d.ConnectTimeout)
	defer cancel()
	q, err := t.Dial(c, u, s, linker.Configuration(d.ConnectTimeout, d.PeerStreams))
	if err != nil {
		return nil, errors.Trace(err)
	}
	n, err := securer.Identity(q.ConnectionState().TLS)
	if err != nil {
		_ = q.CloseWithError(quic.ApplicationErrorCode(linker.CodeRejected), "")
		return nil, err
	}
	l := &linker.Link{Host: n, Dialed: true, Conn: q}
	d.Links.Add(l)
	go d.runLink(l)
	return l, nil
}

// runLink serves a link until it ends.
func (d *Dialer) runLink(l *linker.Link) {
	defer d.Links.Remove(l)
	d.Serve(d.runContext(), l)
}

// runContext returns the context of Run, or the background context before Run.
func (d *Dialer) runContext() context.Context {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.context == nil {
		return context.Background()
	}
	return d.context
}

// DialSeed connects to the entry host that listens at address, whichever it is, and returns its
// name.
func (d *Dialer) DialSeed(ctx context.Context, address string) (host string, err error) {
	l, err := d.dial(ctx, d.Transport, "", address)
	if err != nil {
		return "", wrapper.Wrap(err, "dial seed", address)
	}
	return l.Host, nil
}

// Probe makes a new connection to host from a new socket and closes it. It returns an error if the
// host couldn't be reached within ConnectTimeout.
func (d *Dialer) Probe(ctx context.Context, host, address string) error {
	u, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return wrapper.Wrap(err, "probe", host)
	}
	t, err := d.openSocket()
	if err != nil {
		return wrapper.Wrap(err, "probe", host)
	}
	defer func() { _ = t.Conn.Close() }()
	defer func() { _ = t.Close() }()
	c, cancel := context.WithTimeout(ctx, d.ConnectTimeout)
	defer cancel()
	q, err := t.Dial(c, u, d.Securer.Client(host), linker.Configuration(d.ConnectTimeout, d.PeerStreams))
	if err != nil {
		return wrapper.Wrap(err, "probe", host)
	}
	return q.CloseWithError(quic.ApplicationErrorCode(linker.CodeDone), "")
}
