package disturber

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cuminwick/cuminwick/internal/clock/scheduler"
)

// Bounds of the buffer of one direction of a connection: the size of a chunk and the number of
// chunks queued.
const (
	chunkBytes   = 16 << 10
	queuedChunks = 64
)

// proxy forwards the connections from one place to one address.
type proxy struct {
	network                *Network
	route                  route
	target                 Place
	listener               net.Listener
	latencyTo, latencyFrom time.Duration
	linkTo, linkFrom       *Link

	mutex       sync.Mutex
	connections map[*connection]bool
}

// waitReachable waits until the route is not cut, and returns the error of ctx if that ends first.
func (p *proxy) waitReachable(ctx context.Context) error {
	for {
		c, g := p.network.cutState(Path{From: p.route.from, To: p.target})
		if !c {
			return ctx.Err()
		}
		select {
		case <-g:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// run accepts connections until ctx ends.
func (p *proxy) run(ctx context.Context) {
	defer context.AfterFunc(ctx, func() { p.listener.Close() })()
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		f := &connection{proxy: p, client: c}
		go f.run(ctx)
	}
}

func (p *proxy) add(f *connection) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.connections[f] = true
}

func (p *proxy) remove(f *connection) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.connections, f)
}

// silenceConnections silences the open connections and returns how many there were.
func (p *proxy) silenceConnections() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for f := range p.connections {
		f.silent.Store(true)
		if k := p.network.ServerKeepalive; k > 0 {
			server := f.server
			time.AfterFunc(k, func() { server.Close() })
		}
	}
	return len(p.connections)
}

// connection is one proxied connection.
type connection struct {
	proxy  *proxy
	client net.Conn
	server net.Conn
	silent atomic.Bool
}

// run connects to the address and forwards in both directions until both have ended.
func (f *connection) run(ctx context.Context) {
	defer f.client.Close()
	if f.proxy.waitReachable(ctx) != nil {
		return
	}
	var d net.Dialer
	server, err := d.DialContext(ctx, "tcp", f.proxy.route.address)
	if err != nil {
		return
	}
	defer server.Close()
	f.server = server
	f.proxy.add(f)
	defer f.proxy.remove(f)
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	defer context.AfterFunc(ctx, func() { f.close() })()
	var w sync.WaitGroup
	w.Go(func() {
		f.forward(ctx, &direction{connection: f, from: f.client, to: f.server, latency: f.proxy.latencyTo, link: f.proxy.linkTo})
	})
	w.Go(func() {
		f.forward(ctx, &direction{connection: f, from: f.server, to: f.client, latency: f.proxy.latencyFrom, link: f.proxy.linkFrom})
	})
	w.Wait()
}

func (f *connection) close() {
	f.client.Close()
	f.server.Close()
}

// forward forwards one direction until it ends, and passes on its end.
func (f *connection) forward(ctx context.Context, p *direction) {
	p.queue = make(chan chunk, queuedChunks)
	go p.loopRead(ctx)
	p.loopWrite(ctx)
}

// chunk is a sequence of bytes with its time of arrival.
type chunk struct {
	bytes     []byte
	arrivesAt time.Time
}

// direction is one direction of a connection.
type direction struct {
	connection *connection
	from       net.Conn
	to         net.Conn
	latency    time.Duration
	link       *Link
	queue      chan chunk
}

// loopRead reads bytes as they come and queues them with their time of arrival.
func (p *direction) loopRead(ctx context.Context) {
	defer close(p.queue)
	b := make([]byte, chunkBytes)
	for {
		n, err := p.from.Read(b)
		if n > 0 {
			c := chunk{bytes: append([]byte(nil), b[:n]...), arrivesAt: p.arrival(n, time.Now())}
			select {
			case p.queue <- c:
			case <-ctx.Done():
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// arrival returns when n bytes sent at the time now arrive.
func (p *direction) arrival(n int, now time.Time) time.Time {
	if p.link != nil {
		now = p.link.Reserve(n, now)
	}
	return now.Add(p.latency)
}

// loopWrite writes the bytes at their time of arrival. On a silenced connection it drops them and
// does not pass on the end of the stream, as a middlebox does that has lost the state of a connection.
func (p *direction) loopWrite(ctx context.Context) {
	defer p.closeWrite(ctx)
	for c := range p.queue {
		if scheduler.Pause(ctx, time.Until(c.arrivesAt)) != nil {
			return
		}
		if p.connection.proxy.waitReachable(ctx) != nil {
			return
		}
		if p.connection.silent.Load() {
			continue
		}
		if _, err := p.to.Write(c.bytes); err != nil {
			p.connection.close()
			return
		}
	}
}

// closeWrite passes on the end of the stream, after the latency.
func (p *direction) closeWrite(ctx context.Context) {
	if p.connection.silent.Load() {
		return
	}
	if scheduler.Pause(ctx, p.latency) != nil || p.connection.proxy.waitReachable(ctx) != nil {
		return
	}
	if t, ok := p.to.(interface{ CloseWrite() error }); ok {
		// An error means that the receiver has closed already, so nothing is left to pass on.
		_ = t.CloseWrite()
		return
	}
	_ = p.to.(io.Closer).Close()
}
