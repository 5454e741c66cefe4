// Package disturber simulates the network of a deployment on loopback: its TCP proxies and UDP sockets add latency, shared links and faults.
package disturber

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/clock/scheduler"
)

// Place is the location of one end of a connection.
type Place struct {
	AvailabilityZone string
	Region           string
	// EntryHost is the name of the entry host at the place, empty for everything else in the zone.
	EntryHost string
}

// Path is the network path between two places, in one direction.
type Path struct {
	From, To Place
}

// Network carries the connections of one deployment. The exported fields are set before use.
type Network struct {
	// Latency returns the one-way latency of a path.
	Latency func(p Path) time.Duration
	// BytesPerSecond is the bandwidth between two regions, in each direction; zero is no limit.
	BytesPerSecond int64
	// ServerKeepalive is the time after which the server's end of a silenced connection is closed,
	// as by TCP keepalive; the client's end stays open. Zero is never.
	ServerKeepalive time.Duration

	mutex    sync.Mutex
	places   map[string]Place
	links    map[Path]*Link
	cutZones map[zonePair]bool
	// isolations holds how far single entry hosts are cut off, by name.
	isolations map[string]Isolation
	// changed is closed at the next change of cutZones or isolations.
	changed chan struct{}
	proxies map[route]*proxy
	// listeners holds the proxies by their own addresses. A client that cancels a request dials the
	// remote address of its connection, which is that of the proxy.
	listeners map[string]*proxy
	context   context.Context
}

// route is what one proxy serves: connections from a place to an address.
type route struct {
	from    Place
	address string
}

// zonePair is a pair of availability zones between which nothing passes.
type zonePair struct {
	a, b string
}

// Open initialises the network, which runs until ctx ends. It is called before any other method.
func (n *Network) Open(ctx context.Context) {
	n.mutex.Lock()
	n.context = ctx
	n.places = map[string]Place{}
	n.links = map[Path]*Link{}
	n.cutZones = map[zonePair]bool{}
	n.isolations = map[string]Isolation{}
	n.proxies = map[route]*proxy{}
	n.listeners = map[string]*proxy{}
	n.changed = make(chan struct{})
	n.mutex.Unlock()
}

// SetPlace sets the place of an address.
func (n *Network) SetPlace(address string, p Place) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.places[address] = p
}

// Dialer returns the function with which a component at the place opens connections.
func (n *Network) Dialer(from Place) func(ctx context.Context, network, address string) (net.Conn, error) {
	d := &dialer{network: n, from: from}
	return d.dial
}

// dialer opens connections from one place.
type dialer struct {
	network *Network
	from    Place
}

// dial connects through the proxy of the route, after one round trip for the TCP handshake.
func (d *dialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	p, err := d.network.proxy(route{from: d.from, address: address})
	if err != nil {
		return nil, err
	}
	if err := p.waitReachable(ctx); err != nil {
		return nil, errors.Annotatef(err, "dial %s from %s", address, d.from.AvailabilityZone)
	}
	if err := scheduler.Pause(ctx, p.latencyTo+p.latencyFrom); err != nil {
		return nil, errors.Annotatef(err, "dial %s from %s", address, d.from.AvailabilityZone)
	}
	var x net.Dialer
	return x.DialContext(ctx, network, p.listener.Addr().String())
}

// ProxyAddress returns the address of the proxy through which a process at the place reaches the
// given address.
func (n *Network) ProxyAddress(from Place, address string) (string, error) {
	p, err := n.proxy(route{from: from, address: address})
	if err != nil {
		return "", err
	}
	return p.listener.Addr().String(), nil
}

// proxy returns the proxy of a route and starts it if there is none.
func (n *Network) proxy(r route) (*proxy, error) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if p, ok := n.listeners[r.address]; ok {
		return p, nil
	}
	if p, ok := n.proxies[r]; ok {
		return p, nil
	}
	var c net.ListenConfig
	l, err := c.Listen(n.context, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Annotatef(err, "listen for proxy to %s", r.address)
	}
	t := n.places[r.address]
	p := &proxy{
		network:     n,
		route:       r,
		target:      t,
		listener:    l,
		latencyTo:   n.Latency(Path{From: r.from, To: t}),
		latencyFrom: n.Latency(Path{From: t, To: r.from}),
		linkTo:      n.link(Path{From: r.from, To: t}),
		linkFrom:    n.link(Path{From: t, To: r.from}),
		connections: map[*connection]bool{},
	}
	n.proxies[r] = p
	n.listeners[l.Addr().String()] = p
	go p.run(n.context)
	return p, nil
}

// link returns the link between the regions of a path, nil within a region and for paths of
// callers, which are outside of all regions. The mutex must be held.
func (n *Network) link(p Path) *Link {
	if p.From.Region == p.To.Region || p.From.isCaller() || p.To.isCaller() {
		return nil
	}
	k := Path{From: Place{Region: p.From.Region}, To: Place{Region: p.To.Region}}
	if n.links[k] == nil {
		n.links[k] = &Link{BytesPerSecond: n.BytesPerSecond}
	}
	return n.links[k]
}

// LinkBytes returns how many bytes were sent between regions, in both directions.
func (n *Network) LinkBytes() int64 {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	var b int64
	for _, l := range n.links {
		b += l.Bytes()
	}
	return b
}

// Cut partitions two availability zones from each other, or ends the partition. Nothing passes
// meanwhile: open connections receive nothing and new ones are not answered.
func (n *Network) Cut(a, b string, on bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.cutZones[zonePair{a, b}] = on
	n.cutZones[zonePair{b, a}] = on
	n.notifyChange()
}

// notifyChange wakes all that wait for a change. The mutex must be held.
func (n *Network) notifyChange() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// cutState reports whether a path is cut, and returns a channel that is closed at the next change.
func (n *Network) cutState(p Path) (bool, <-chan struct{}) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	on := n.cutZones[zonePair{p.From.AvailabilityZone, p.To.AvailabilityZone}] || n.isolatedFrom(p.From, p.To) || n.isolatedFrom(p.To, p.From)
	return on, n.changed
}

// Traverse waits as long as a message takes on a path: the latency and, before it, the rest of a
// partition. It returns the error of ctx if that ends first.
func (n *Network) Traverse(ctx context.Context, p Path) error {
	for {
		on, c := n.cutState(p)
		if !on {
			return scheduler.Pause(ctx, n.Latency(p))
		}
		select {
		case <-c:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Silence permanently silences the open connections between two zones: they stay open and deliver
// nothing, and new ones work. It returns how many there were.
func (n *Network) Silence(a, b string) int {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	c := 0
	for r, p := range n.proxies {
		if (r.from.AvailabilityZone == a && p.target.AvailabilityZone == b) || (r.from.AvailabilityZone == b && p.target.AvailabilityZone == a) {
			c += p.silenceConnections()
		}
	}
	return c
}
