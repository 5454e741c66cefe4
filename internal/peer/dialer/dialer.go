// Package dialer connects to other entry hosts, calls them and forwards transactions to them.
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

// Errors of the dialer. After each of them nothing of a request took effect.
const (
	// ErrUnknownHost is returned for a host whose address isn't known.
	ErrUnknownHost = errors.ConstError("address of entry host unknown")
	// ErrBackoff is returned while the next attempt to connect is still to come.
	ErrBackoff = errors.ConstError("entry host failed to answer a moment ago")
	// ErrStreamLimit is returned when too many forwarded transactions are open.
	ErrStreamLimit = errors.ConstError("too many streams to entry host")
)

// Dialer keeps one connection to each peer that this host talks to.
type Dialer struct {
	Transport *quic.Transport
	// Listen opens further sockets, net.ListenUDP if nil.
	Listen  func(a *net.UDPAddr) (net.PacketConn, error)
	Securer *securer.Securer
	Links   *linker.Table
	// Self is put on each message.
	Self func() encoder.Sender
	// Locate returns a host's peer address.
	Locate func(host string) (address string, ok bool)
	// CatchUp is told of the sender of an answer that is at a higher revision
	// than this host; it may be nil.
	CatchUp func(ctx context.Context, s encoder.Sender) error
	// Serve serves the streams that a peer opens on a link that this host
	// dialed, until the link ends.
	Serve func(ctx context.Context, l *linker.Link)
	// ConnectTimeout ends an attempt to connect.
	ConnectTimeout time.Duration
	// ProbeInterval is the time between looks for silent links, a second if zero.
	ProbeInterval time.Duration
	// Clock tells when something is due, timers of its own if nil.
	Clock *scheduler.Scheduler
	// PeerStreams bounds the forwarded transactions open at one peer.
	PeerStreams int

	mu      sync.Mutex
	targets map[string]*target
	// context is Run's, it ends the links.
	context context.Context
}

// Forget drops what is remembered of a host that has left for good.
func (d *Dialer) Forget(host string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.targets, host)
}

// dialAgain dials from the shared socket first, and after a failure from one
// of its own: a firewall that lost track of the shared socket's flow to the
// host drops a new connection from it as well.
func (d *Dialer) dialAgain(ctx context.Context, host, address string, failures int) (*linker.Link, error) {
	if failures == 0 {
		return d.dial(ctx, d.Transport, host, address)
	}
	return d.dialFresh(ctx, host, address)
}

// dialFresh dials from a socket made for the link alone.
func (d *Dialer) dialFresh(ctx context.Context, host, address string) (*linker.Link, error) {
	t, err := d.socket()
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

// socket opens a UDP socket on a port of its own.
func (d *Dialer) socket() (*quic.Transport, error) {
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

// dial connects to host at address; an empty host takes whom it finds there.
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
	d.Serve(d.lifetime(), l)
}

func (d *Dialer) lifetime() context.Context {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.context == nil {
		return context.Background()
	}
	return d.context
}

// DialSeed connects to whichever entry host listens at address and returns its name.
func (d *Dialer) DialSeed(ctx context.Context, address string) (host string, err error) {
	l, err := d.dial(ctx, d.Transport, "", address)
	if err != nil {
		return "", wrapper.Wrap(err, "dial seed", address)
	}
	return l.Host, nil
}

// Probe connects to host afresh, from a socket of its own, and closes the
// connection. An error says that the host couldn't be reached by then.
func (d *Dialer) Probe(ctx context.Context, host, address string) error {
	u, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return wrapper.Wrap(err, "probe", host)
	}
	t, err := d.socket()
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
