package assembler

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// wire carries so many bytes a second one way, one piece after the other.
type wire struct {
	rate float64

	mu   sync.Mutex
	free time.Time
	sent int
}

// carry returns when n bytes that come to the wire at t have left it.
func (w *wire) carry(t time.Time, n int) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	if t.Before(w.free) {
		t = w.free
	}
	w.free = t.Add(time.Duration(float64(n) / w.rate * float64(time.Second)))
	w.sent += n
	return w.free
}

// slow has the wire carry x times less.
func (w *wire) slow(x float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rate /= x
}

func (w *wire) bytes() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.sent
}

// machine is one end of connections, with its own wires to and from the network.
type machine struct {
	address string
	region  string
	in, out *wire
	queue   chan net.Conn
	network *network
	// dark says that nothing comes to or from the machine.
	dark bool
}

// network is one of machines in regions, in virtual time. Regions are joined by one wire
// each way.
type network struct {
	// near and far are the delays within a region and between two.
	near, far time.Duration
	// rate is that of the wires between regions, in bytes a second.
	rate float64

	mu       sync.Mutex
	machines map[string]*machine
	between  map[string]*wire
	open     []net.Conn
	ended    chan struct{}
}

func newNetwork(rate float64) *network {
	return &network{
		near: time.Millisecond, far: 8 * time.Millisecond, rate: rate,
		machines: make(map[string]*machine), between: make(map[string]*wire), ended: make(chan struct{}),
	}
}

// add returns a new machine whose own wires carry rate bytes a second.
func (n *network) add(address, region string, rate float64) *machine {
	m := &machine{address: address, region: region, in: &wire{rate: rate}, out: &wire{rate: rate}, queue: make(chan net.Conn), network: n}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.machines[address] = m
	return m
}

// crossing returns the wire from one region to another, nil within one.
func (n *network) crossing(from, to string) *wire {
	if from == to {
		return nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	k := from + " " + to
	if n.between[k] == nil {
		n.between[k] = &wire{rate: n.rate}
	}
	return n.between[k]
}

// Accept, Close and Addr make a machine a listener.
func (m *machine) Accept() (net.Conn, error) {
	select {
	case c := <-m.queue:
		return c, nil
	case <-m.network.ended:
		return nil, net.ErrClosed
	}
}

// Close is part of a listener.
func (m *machine) Close() error { return nil }

// Addr is part of a listener.
func (m *machine) Addr() net.Addr { return &net.TCPAddr{} }

// fail takes the machine's power.
func (m *machine) fail() {
	m.network.mu.Lock()
	defer m.network.mu.Unlock()
	m.dark = true
}

func (m *machine) isDark() bool {
	m.network.mu.Lock()
	defer m.network.mu.Unlock()
	return m.dark
}

// Dial opens a connection from the machine.
func (m *machine) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	n := m.network
	n.mu.Lock()
	to := n.machines[address]
	n.mu.Unlock()
	x := path{network: n, from: m, to: to}
	back := path{network: n, from: to, to: m}
	if err := x.travel(ctx); err != nil {
		return nil, err
	}
	if err := back.travel(ctx); err != nil {
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

// close ends all connections.
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

// connectTimeout ends the opening of a connection to a dark machine.
const connectTimeout = time.Second

// travel waits as long as an empty packet takes, without end from or to a dark machine.
func (p path) travel(ctx context.Context) error {
	dark := p.from.isDark() || p.to.isDark()
	d := time.Until(p.arrival(0))
	if dark {
		d = connectTimeout
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	if dark {
		return os.ErrDeadlineExceeded
	}
	return nil
}

// arrival is when n bytes that are sent now are there.
func (p path) arrival(n int) time.Time {
	t := p.from.out.carry(time.Now(), n)
	d := p.network.near
	if w := p.network.crossing(p.from.region, p.to.region); w != nil {
		t, d = w.carry(t, n), p.network.far
	}
	return p.to.in.carry(t, n).Add(d)
}

// window is how many bytes of a connection are on their way at a time.
const window = 32 << 10 / scale

// pump carries one direction of a connection.
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
		if p.path.from.isDark() || p.path.to.isDark() {
			_, _ = io.Copy(io.Discard, p.from) // nothing of it arrives
			return
		}
		if _, err := p.to.Write(b[:n]); err != nil {
			return
		}
	}
}
