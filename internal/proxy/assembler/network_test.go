package assembler

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// link transmits one way at a limited rate, one packet after the other.
type link struct {
	rate float64

	mu   sync.Mutex
	free time.Time
	sent int
}

// transmit returns when n bytes that are handed to the link at t have left it.
func (w *link) transmit(t time.Time, n int) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	if t.Before(w.free) {
		t = w.free
	}
	w.free = t.Add(time.Duration(float64(n) / w.rate * float64(time.Second)))
	w.sent += n
	return w.free
}

// slowDown divides the link's rate by x.
func (w *link) slowDown(x float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rate /= x
}

func (w *link) bytes() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.sent
}

// machine is a network host, with links of its own to and from the network.
type machine struct {
	address string
	region  string
	in, out *link
	queue   chan net.Conn
	network *network
	// off reports that the machine has no power: nothing arrives at it or comes from it.
	off bool
}

// network connects machines in regions, in virtual time. Regions are joined by one link each way.
type network struct {
	// intraRegionDelay and interRegionDelay are the one-way delays within a region and between two.
	intraRegionDelay, interRegionDelay time.Duration
	// rate is that of the links between regions, in bytes per second.
	rate float64

	mu          sync.Mutex
	machines    map[string]*machine
	regionLinks map[string]*link
	// cuts counts the reasons for which nothing arrives between a pair of addresses, in order.
	cuts  map[[2]string]int
	open  []net.Conn
	ended chan struct{}
}

func newNetwork(rate float64) *network {
	return &network{
		intraRegionDelay: time.Millisecond, interRegionDelay: 8 * time.Millisecond, rate: rate,
		machines: make(map[string]*machine), regionLinks: make(map[string]*link), cuts: make(map[[2]string]int), ended: make(chan struct{}),
	}
}

// add returns a new machine whose own links have the given rate in bytes per second.
func (n *network) add(address, region string, rate float64) *machine {
	m := &machine{address: address, region: region, in: &link{rate: rate}, out: &link{rate: rate}, queue: make(chan net.Conn), network: n}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.machines[address] = m
	return m
}

// remove takes the machine at the address off the network: connections to it are refused.
func (n *network) remove(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.machines, address)
}

// regionLink returns the link from one region to another, nil within one region.
func (n *network) regionLink(from, to string) *link {
	if from == to {
		return nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	k := from + " " + to
	if n.regionLinks[k] == nil {
		n.regionLinks[k] = &link{rate: n.rate}
	}
	return n.regionLinks[k]
}

// Accept, Close and Addr implement net.Listener.
func (m *machine) Accept() (net.Conn, error) {
	select {
	case c := <-m.queue:
		return c, nil
	case <-m.network.ended:
		return nil, net.ErrClosed
	}
}

// Close is part of net.Listener.
func (m *machine) Close() error { return nil }

// Addr is part of net.Listener.
func (m *machine) Addr() net.Addr { return &net.TCPAddr{} }

// powerOff takes the machine's power.
func (m *machine) powerOff() { m.setPower(false) }

// setPower takes the machine's power, or gives it back: what was sent meanwhile is lost.
func (m *machine) setPower(on bool) {
	m.network.mu.Lock()
	defer m.network.mu.Unlock()
	m.off = !on
}

// separate cuts two machines off from each other, or ends one of the cuts between them: connections on which something was
// sent meanwhile stay silent.
func (n *network) separate(a, b string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	k := [2]string{min(a, b), max(a, b)}
	if cut {
		n.cuts[k]++
	} else {
		n.cuts[k]--
	}
}

func (n *network) isCut(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cuts[[2]string{min(a, b), max(a, b)}] > 0
}

// storeDialer connects one machine to the store.
type storeDialer struct {
	machine *machine

	mu      sync.Mutex
	refused bool
	open    []*storeConn
}

// Dial opens a connection to the store unless that refuses the machine.
func (d *storeDialer) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	if d.isRefused() {
		return nil, syscall.ECONNREFUSED
	}
	c, err := d.machine.Dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	x := &storeConn{Conn: c}
	d.open = append(d.open, x)
	return x, nil
}

// hang lets nothing more arrive on the machine's open connections to the store, without closing them.
func (d *storeDialer) hang() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.open {
		c.hung.Store(true)
	}
	d.open = nil
}

// storeConn is a connection to the store that may hang.
type storeConn struct {
	net.Conn
	hung atomic.Bool
}

// Read returns nothing more once the connection hangs, until it is closed.
func (c *storeConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.hung.Load() {
			return n, err
		}
	}
}

func (d *storeDialer) isRefused() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.refused
}

// refuse has the store refuse the machine, or accept it again.
func (d *storeDialer) refuse(refused bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refused = refused
	for _, c := range d.open {
		c.Close()
	}
	d.open = nil
}

func (m *machine) isOff() bool {
	m.network.mu.Lock()
	defer m.network.mu.Unlock()
	return m.off
}

// Dial opens a connection from the machine.
func (m *machine) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	n := m.network
	n.mu.Lock()
	to := n.machines[address]
	n.mu.Unlock()
	if to == nil {
		return nil, syscall.ECONNREFUSED
	}
	x := path{network: n, from: m, to: to}
	back := path{network: n, from: to, to: m}
	if err := x.sendEmpty(ctx); err != nil {
		return nil, err
	}
	if err := back.sendEmpty(ctx); err != nil {
		return nil, err
	}
	here, a := net.Pipe()
	b, there := net.Pipe()
	n.mu.Lock()
	n.open = append(n.open, here, a, b, there)
	n.mu.Unlock()
	go (&pump{path: x, from: a, to: b}).run()
	go (&pump{path: back, from: b, to: a}).run()
	select {
	case to.queue <- there:
		return here, nil
	case <-n.ended:
	case <-ctx.Done():
	}
	here.Close()
	return nil, net.ErrClosed
}

// close closes all connections.
func (n *network) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.ended)
	for _, c := range n.open {
		c.Close()
	}
}

// path is the way from one machine to another.
type path struct {
	network  *network
	from, to *machine
}

// connectTimeout ends a connection attempt to or from a machine without power.
const connectTimeout = time.Second

// isCut reports whether nothing arrives, since either machine has no power or they are cut off from each other.
func (p path) isCut() bool {
	return p.from.isOff() || p.to.isOff() || p.network.isCut(p.from.address, p.to.address)
}

// sendEmpty waits as long as an empty packet takes, or until connectTimeout if it doesn't arrive.
func (p path) sendEmpty(ctx context.Context) error {
	off := p.isCut()
	d := time.Until(p.arrival(0))
	if off {
		d = connectTimeout
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	if off {
		return os.ErrDeadlineExceeded
	}
	return nil
}

// arrival returns when n bytes that are sent now arrive.
func (p path) arrival(n int) time.Time {
	t := p.from.out.transmit(time.Now(), n)
	d := p.network.intraRegionDelay
	if w := p.network.regionLink(p.from.region, p.to.region); w != nil {
		t, d = w.transmit(t, n), p.network.interRegionDelay
	}
	return p.to.in.transmit(t, n).Add(d)
}

// window is how many bytes of a connection are in flight at a time.
const window = 32 << 10 / scale

// pump transmits one direction of a connection.
type pump struct {
	path     path
	from, to net.Conn
}

func (p *pump) run() {
	defer p.to.Close()
	defer p.from.Close()
	b := make([]byte, window)
	for {
		n, err := p.from.Read(b)
		if err != nil {
			return
		}
		time.Sleep(time.Until(p.path.arrival(n)))
		if p.path.isCut() {
			_, _ = io.Copy(io.Discard, p.from) // no data arrives
			return
		}
		if _, err := p.to.Write(b[:n]); err != nil {
			return
		}
	}
}
