package disturber

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/clock/scheduler"
)

// pathQueueLength is the number of datagrams that can be queued for one path. Further ones are
// dropped, as by a router.
const pathQueueLength = 4096

// Listener returns the function with which a component at the place opens UDP sockets. Latency,
// bandwidth and faults apply to sent datagrams; for received ones they apply at the sender.
func (n *Network) Listener(at Place) func(a *net.UDPAddr) (net.PacketConn, error) {
	l := &packetListener{network: n, at: at}
	return l.listen
}

// packetListener opens UDP sockets at one place.
type packetListener struct {
	network *Network
	at      Place
}

func (l *packetListener) listen(a *net.UDPAddr) (net.PacketConn, error) {
	c, err := net.ListenUDP("udp", a)
	if err != nil {
		return nil, errors.Annotatef(err, "listen for datagrams at %s", a)
	}
	l.network.SetPlace(c.LocalAddr().String(), l.at)
	ctx, stop := context.WithCancel(l.network.context)
	return &packetConn{PacketConn: c, socket: c, network: l.network, from: l.at, context: ctx, stop: stop, paths: map[Place]chan datagram{}}, nil
}

// datagram is a queued packet.
type datagram struct {
	bytes  []byte
	to     net.Addr
	sendAt time.Time
}

// packetConn is a UDP socket that sends its datagrams with the latency, bandwidth and faults of
// the network.
type packetConn struct {
	net.PacketConn
	socket  *net.UDPConn
	network *Network
	from    Place
	context context.Context
	stop    context.CancelFunc

	mutex sync.Mutex
	paths map[Place]chan datagram
}

// WriteTo implements net.PacketConn. Datagrams dropped by a partition or a full queue count as
// sent, because UDP does not report loss.
func (c *packetConn) WriteTo(b []byte, to net.Addr) (int, error) {
	t := c.network.place(to.String())
	p := Path{From: c.from, To: t}
	if cut, _ := c.network.cutState(p); cut {
		return len(b), nil
	}
	d := c.network.Latency(p)
	k := c.network.linkOf(p)
	if d == 0 && k == nil {
		return c.PacketConn.WriteTo(b, to)
	}
	now := time.Now()
	if k != nil {
		now = k.Reserve(len(b), now)
	}
	select {
	case c.path(t) <- datagram{bytes: append([]byte(nil), b...), to: to, sendAt: now.Add(d)}:
	default:
	}
	return len(b), nil
}

// path returns the queue of the path to a place and starts it if there is none.
func (c *packetConn) path(to Place) chan datagram {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	q, ok := c.paths[to]
	if !ok {
		q = make(chan datagram, pathQueueLength)
		c.paths[to] = q
		go c.loopSend(q)
	}
	return q
}

// loopSend sends datagrams when they are due, until the socket closes.
func (c *packetConn) loopSend(q chan datagram) {
	for {
		select {
		case d := <-q:
			if scheduler.Pause(c.context, time.Until(d.sendAt)) != nil {
				return
			}
			// An error is ignored because UDP does not guarantee delivery.
			_, _ = c.PacketConn.WriteTo(d.bytes, d.to)
		case <-c.context.Done():
			return
		}
	}
}

// SetReadBuffer sets the size of the socket's receive buffer; the QUIC implementation calls it.
func (c *packetConn) SetReadBuffer(n int) error {
	return c.socket.SetReadBuffer(n)
}

// SetWriteBuffer sets the size of the socket's send buffer; the QUIC implementation calls it.
func (c *packetConn) SetWriteBuffer(n int) error {
	return c.socket.SetWriteBuffer(n)
}

// Close implements net.PacketConn.
func (c *packetConn) Close() error {
	c.stop()
	return c.PacketConn.Close()
}

// place returns the place of an address, the zero Place if unknown.
func (n *Network) place(address string) Place {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.places[address]
}

// linkOf returns the link between the regions of a path, nil if there is none.
func (n *Network) linkOf(p Path) *Link {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.link(p)
}
