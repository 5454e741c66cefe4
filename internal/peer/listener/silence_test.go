package listener_test

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/cuminwick/cuminwick/internal/peer/dialer"
	"github.com/cuminwick/cuminwick/internal/peer/encoder"
)

// relay passes UDP packets on, with a flow for each source address. It stands
// for a firewall that can lose track of flows.
type relay struct {
	socket *net.UDPConn
	target *net.UDPAddr
	mu     sync.Mutex
	flows  map[string]*flow
	// asked, if set, gets a value when a packet comes, and held stops all packets.
	asked chan struct{}
	held  bool
}

type flow struct {
	relay  *relay
	source *net.UDPAddr
	out    *net.UDPConn
	lost   bool
}

func newRelay(t *testing.T, target string) *relay {
	t.Helper()
	u, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		t.Fatal(err)
	}
	s, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{socket: s, target: u, flows: map[string]*flow{}}
	go r.loop()
	t.Cleanup(func() { s.Close() })
	return r
}

func (r *relay) loop() {
	b := make([]byte, 65536)
	for {
		n, a, err := r.socket.ReadFromUDP(b)
		if err != nil {
			return
		}
		f := r.flow(a)
		if r.asked != nil {
			select {
			case r.asked <- struct{}{}:
			default:
			}
		}
		if !f.isLost() {
			f.out.Write(b[:n])
		}
	}
}

func (r *relay) flow(a *net.UDPAddr) *flow {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.flows[a.String()]
	if f == nil {
		o, err := net.DialUDP("udp", nil, r.target)
		if err != nil {
			panic(err)
		}
		f = &flow{relay: r, source: a, out: o}
		r.flows[a.String()] = f
		go f.loop()
	}
	return f
}

func (f *flow) isLost() bool {
	f.relay.mu.Lock()
	defer f.relay.mu.Unlock()
	return f.lost || f.relay.held
}

func (f *flow) loop() {
	b := make([]byte, 65536)
	for {
		n, err := f.out.Read(b)
		if err != nil {
			return
		}
		if !f.isLost() {
			f.relay.socket.WriteToUDP(b[:n], f.source)
		}
	}
}

// lose drops all packets of the flows so far, both ways and for good.
func (r *relay) lose() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.flows {
		f.lost = true
	}
}

// probeInterval has links that have gone silent noticed soon.
const probeInterval = 20 * time.Millisecond

// A firewall between two entry hosts loses track of their connection while a
// forwarded transaction is in progress; new flows work. The caller may notice
// a pause, but its transaction goes on, and later ones work too.
func TestForwardSurvivesLostFlow(t *testing.T) {
	a, b := authority(t), &book{}
	x := startProbing(t, a, b, "a", nil, probeInterval)
	y := startProbing(t, a, b, "b", echo{}, probeInterval)
	r := newRelay(t, y.address)
	b.Store("b", r.socket.LocalAddr().String())
	s, _, err := x.dialer.Forward(t.Context(), "b", encoder.Forward{})
	if err != nil {
		t.Fatal(err)
	}
	for _, m := range []string{"first", "other"} {
		s.Write([]byte(m))
		g := make([]byte, len(m))
		if _, err := io.ReadFull(s, g); err != nil || string(g) != m {
			t.Fatalf("echo %q, %v", g, err)
		}
		r.lose()
	}
	_, err = dialer.Call[encoder.Observe, encoder.ObserveAnswer](t.Context(), x.dialer, "b", encoder.KindObserve, encoder.Observe{Name: "s"})
	if err != nil {
		t.Errorf("call after the flow was lost: %v", err)
	}
}

// An entry host is killed and another one takes its name and address. A peer
// that still holds the old connection would wait for an answer for good.
func TestCallReachesReplacedHost(t *testing.T) {
	a, b := authority(t), &book{}
	x := startProbing(t, a, b, "a", nil, probeInterval)
	y := startProbing(t, a, b, "b", nil, probeInterval)
	r := newRelay(t, y.address)
	b.Store("b", r.socket.LocalAddr().String())
	call := func() error {
		_, err := dialer.Call[encoder.Observe, encoder.ObserveAnswer](t.Context(), x.dialer, "b", encoder.KindObserve, encoder.Observe{Name: "s"})
		return err
	}
	if err := call(); err != nil {
		t.Fatal(err)
	}
	r.lose()
	startProbing(t, a, b, "b", nil, probeInterval)
	if err := call(); err != nil {
		t.Errorf("call to the replaced host: %v", err)
	}
}

// A host asks another one for something that it needs within a moment, and gives up
// while the connection for it is still being made. Was the attempt given up as well,
// the peer could take it for whole, and requests of its own callers would go over a
// connection without another end until that counts as silent.
func TestConnectingOutlastsItsCaller(t *testing.T) {
	a, b := authority(t), &book{}
	x := start(t, a, b, "a", nil)
	y := start(t, a, b, "b", nil)
	// However slow the machine is, the attempt doesn't end by itself.
	x.dialer.ConnectTimeout = time.Minute
	r := newRelay(t, y.address)
	r.mu.Lock()
	r.asked, r.held = make(chan struct{}, 1), true
	r.mu.Unlock()
	b.Store("b", r.socket.LocalAddr().String())
	c, cancel := context.WithCancel(t.Context())
	told := make(chan error, 1)
	go func() {
		_, err := dialer.Call[encoder.Observe, encoder.ObserveAnswer](c, x.dialer, "b", encoder.KindObserve, encoder.Observe{Name: "s"})
		told <- err
	}()
	<-r.asked
	cancel()
	if err := <-told; !errors.Is(err, context.Canceled) {
		t.Errorf("the caller that gave up was told %v", err)
	}
	r.mu.Lock()
	r.held = false
	r.mu.Unlock()
	for x.links.Find("b") == nil || y.links.Find("a") == nil {
		time.Sleep(time.Millisecond)
	}
}
