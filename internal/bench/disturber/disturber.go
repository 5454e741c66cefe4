// Package disturber is a TCP proxy between the parts of a deployment that adds latency, shared links and faults.
package disturber

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/clock/scheduler"
)

// Place is where one end of a connection stands.
type Place struct {
	AvailabilityZone string
	Region           string
	// EntryHost is whose place it is, empty for all others in the zone.
	EntryHost string
}

// Path is what lies between two places, in one direction.
type Path struct {
	From, To Place
}

// Network carries the connections of one deployment. The exported fields are set before use.
type Network struct {
	// Latency is the one-way latency of a path.
	Latency func(p Path) time.Duration
	// BytesPerSecond is the bandwidth between two regions, each way, no limit if zero.
	BytesPerSecond int64
	// ServerKeepalive is after what time a server's end of a silent connection
	// is closed, as by TCP keepalive; the dialling end isn't told. Zero is never.
	ServerKeepalive time.Duration

	mutex  sync.Mutex
	places map[string]Place
	links  map[Path]*Link
	cuts   map[cut]bool
	// isolated are entry hosts that are cut off alone.
	isolated map[string]Isolation
	changed  chan struct{}
	proxies  map[route]*proxy
	// listeners finds a proxy by its own address: a client that cancels dials
	// the address that its connection goes to, which is the proxy's.
	listeners map[string]*proxy
	context   context.Context
}

// route is one proxied way: from a place to an address.
type route struct {
	from    Place
	address string
}

// cut is a pair of availability zones that hear nothing of each other.
type cut struct {
	a, b string
}

// Open readies the network, which lasts until ctx ends; it is called before anything else.
func (n *Network) Open(ctx context.Context) {
	n.mutex.Lock()
	n.context = ctx
	n.places = map[string]Place{}
	n.links = map[Path]*Link{}
	n.cuts = map[cut]bool{}
	n.isolated = map[string]Isolation{}
	n.proxies = map[route]*proxy{}
	n.listeners = map[string]*proxy{}
	n.changed = make(chan struct{})
	n.mutex.Unlock()
}

// SetPlace says where the address is.
func (n *Network) SetPlace(address string, p Place) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.places[address] = p
}

// Dialer returns the function by which a part in the place opens connections.
func (n *Network) Dialer(from Place) func(ctx context.Context, network, address string) (net.Conn, error) {
	d := &dialer{network: n, from: from}
	return d.dial
}

type dialer struct {
	network *Network
	from    Place
}

// dial connects through the proxy of the way, after the time that TCP's handshake takes.
func (d *dialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	p, err := d.network.proxy(route{from: d.from, address: address})
	if err != nil {
		return nil, err
	}
	if err := p.passable(ctx); err != nil {
		return nil, errors.Annotatef(err, "dial %s from %s", address, d.from.AvailabilityZone)
	}
	if err := scheduler.Pause(ctx, p.there+p.back); err != nil {
		return nil, errors.Annotatef(err, "dial %s from %s", address, d.from.AvailabilityZone)
	}
	var x net.Dialer
	return x.DialContext(ctx, network, p.listener.Addr().String())
}

// ProxyAddress returns the address by which a process in the place reaches the given one.
func (n *Network) ProxyAddress(from Place, address string) (string, error) {
	p, err := n.proxy(route{from: from, address: address})
	if err != nil {
		return "", err
	}
	return p.listener.Addr().String(), nil
}

// proxy returns the proxy of a way and starts it if there is none.
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
		network:  n,
		route:    r,
		to:       t,
		listener: l,
		there:    n.Latency(Path{From: r.from, To: t}),
		back:     n.Latency(Path{From: t, To: r.from}),
		up:       n.link(Path{From: r.from, To: t}),
		down:     n.link(Path{From: t, To: r.from}),
		flows:    map[*flow]bool{},
	}
	n.proxies[r] = p
	n.listeners[l.Addr().String()] = p
	go p.run(n.context)
	return p, nil
}

// link returns the region link on a path, nil within a region and to callers
// outside of any region; the caller holds the mutex.
func (n *Network) link(p Path) *Link {
	if p.From.Region == p.To.Region || p.From.outside() || p.To.outside() {
		return nil
	}
	k := Path{From: Place{Region: p.From.Region}, To: Place{Region: p.To.Region}}
	if n.links[k] == nil {
		n.links[k] = &Link{BytesPerSecond: n.BytesPerSecond}
	}
	return n.links[k]
}

// LinkBytes is how many bytes went between regions, both ways.
func (n *Network) LinkBytes() int64 {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	var b int64
	for _, l := range n.links {
		b += l.Bytes()
	}
	return b
}

// Cut parts two availability zones, or joins them again. Nothing passes while
// they are parted: open connections go silent and new ones aren't answered.
func (n *Network) Cut(a, b string, on bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.cuts[cut{a, b}] = on
	n.cuts[cut{b, a}] = on
	n.tell()
}

// tell wakes what waits for a change; the caller holds the mutex.
func (n *Network) tell() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// state reports whether nothing passes on a path, and a channel that is closed at the next change.
func (n *Network) state(p Path) (bool, <-chan struct{}) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	on := n.cuts[cut{p.From.AvailabilityZone, p.To.AvailabilityZone}] || n.apart(p.From, p.To) || n.apart(p.To, p.From)
	return on, n.changed
}

// Traverse returns when a call from one place has reached another, which a
// partition holds up until it ends or ctx does.
func (n *Network) Traverse(ctx context.Context, p Path) error {
	for {
		on, c := n.state(p)
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

// Silence makes the open connections between two zones silent for good; new ones work.
// It returns how many there were.
func (n *Network) Silence(a, b string) int {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	c := 0
	for r, p := range n.proxies {
		if (r.from.AvailabilityZone == a && p.to.AvailabilityZone == b) || (r.from.AvailabilityZone == b && p.to.AvailabilityZone == a) {
			c += p.silence()
		}
	}
	return c
}
