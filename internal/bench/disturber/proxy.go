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

// Sizes of a flow's buffer.
const (
	chunkBytes = 16 << 10
	chunks     = 64
)

// proxy carries the connections from one place to one address.
type proxy struct {
	network     *Network
	route       route
	to          Place
	listener    net.Listener
	there, back time.Duration
	up, down    *Link

	mutex sync.Mutex
	flows map[*flow]bool
}

// passable returns when the zones aren't parted.
func (p *proxy) passable(ctx context.Context) error {
	for {
		c, g := p.network.state(Path{From: p.route.from, To: p.to})
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

func (p *proxy) run(ctx context.Context) {
	defer context.AfterFunc(ctx, func() { p.listener.Close() })()
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		f := &flow{proxy: p, near: c}
		go f.run(ctx)
	}
}

func (p *proxy) add(f *flow) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.flows[f] = true
}

func (p *proxy) remove(f *flow) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.flows, f)
}

// silence makes the open flows silent and returns how many there were.
func (p *proxy) silence() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for f := range p.flows {
		f.silent.Store(true)
		if k := p.network.ServerKeepalive; k > 0 {
			far := f.far
			time.AfterFunc(k, func() { far.Close() })
		}
	}
	return len(p.flows)
}

// flow is one proxied connection.
type flow struct {
	proxy  *proxy
	near   net.Conn
	far    net.Conn
	silent atomic.Bool
}

// run carries bytes both ways until both directions have ended.
func (f *flow) run(ctx context.Context) {
	defer f.near.Close()
	if f.proxy.passable(ctx) != nil {
		return
	}
	var d net.Dialer
	far, err := d.DialContext(ctx, "tcp", f.proxy.route.address)
	if err != nil {
		return
	}
	defer far.Close()
	f.far = far
	f.proxy.add(f)
	defer f.proxy.remove(f)
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	defer context.AfterFunc(ctx, func() { f.close() })()
	var w sync.WaitGroup
	w.Go(func() {
		f.carry(ctx, &pump{flow: f, from: f.near, to: f.far, latency: f.proxy.there, link: f.proxy.up})
	})
	w.Go(func() {
		f.carry(ctx, &pump{flow: f, from: f.far, to: f.near, latency: f.proxy.back, link: f.proxy.down})
	})
	w.Wait()
}

func (f *flow) close() {
	f.near.Close()
	f.far.Close()
}

// carry runs one direction and passes its end on.
func (f *flow) carry(ctx context.Context, p *pump) {
	p.queue = make(chan chunk, chunks)
	go p.loopRead(ctx)
	p.loopWrite(ctx)
}

// chunk is some bytes and when they arrive.
type chunk struct {
	bytes []byte
	due   time.Time
}

// pump is one direction of a flow.
type pump struct {
	flow    *flow
	from    net.Conn
	to      net.Conn
	latency time.Duration
	link    *Link
	queue   chan chunk
}

// loopRead takes bytes as they come and works out when they arrive.
func (p *pump) loopRead(ctx context.Context) {
	defer close(p.queue)
	b := make([]byte, chunkBytes)
	for {
		n, err := p.from.Read(b)
		if n > 0 {
			c := chunk{bytes: append([]byte(nil), b[:n]...), due: p.arrival(n, time.Now())}
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

func (p *pump) arrival(n int, now time.Time) time.Time {
	if p.link != nil {
		now = p.link.Reserve(n, now)
	}
	return now.Add(p.latency)
}

// loopWrite passes the bytes on when they are due. A silent flow swallows them,
// and its end with them, as a middlebox does that has lost track of a connection.
func (p *pump) loopWrite(ctx context.Context) {
	defer p.closeWrite(ctx)
	for c := range p.queue {
		if scheduler.Pause(ctx, time.Until(c.due)) != nil {
			return
		}
		if p.flow.proxy.passable(ctx) != nil {
			return
		}
		if p.flow.silent.Load() {
			continue
		}
		if _, err := p.to.Write(c.bytes); err != nil {
			p.flow.close()
			return
		}
	}
}

// closeWrite passes on the end of the direction.
func (p *pump) closeWrite(ctx context.Context) {
	if p.flow.silent.Load() {
		return
	}
	if scheduler.Pause(ctx, p.latency) != nil || p.flow.proxy.passable(ctx) != nil {
		return
	}
	if t, ok := p.to.(interface{ CloseWrite() error }); ok {
		// The other end may be gone already, then there is nothing to pass on.
		_ = t.CloseWrite()
		return
	}
	_ = p.to.(io.Closer).Close()
}
