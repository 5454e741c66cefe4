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

// relay forwards UDP packets, with a flow for each source address. It simulates a firewall that can
// lose the state of its flows.
type relay struct {
	socket *net.UDPConn
	target *net.UDPAddr
	mu     sync.Mutex
	flows  map[string]*flow
	// arrived, if set, receives a value when a packet from a source arrives.
	arrived chan struct{}
	// paused makes the relay drop all packets.
	paused bool
}

// flow forwards the packets between one source address and the target.
type flow struct {
	relay  *relay
	source *net.UDPAddr
	out    *net.UDPConn
	// lost makes the relay drop all packets of the flow.
	lost bool
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
		if r.arrived != nil {
			select {
			case r.arrived <- struct{}{}:
			default:
			}
		}
		if !f.isBlocked() {
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

func (f *flow) isBlocked() bool {
	f.relay.mu.Lock()
	defer f.relay.mu.Unlock()
	return f.lost || f.relay.paused
}

func (f *flow) loop() {
	b := make([]byte, 65536)
	for {
		n, err := f.out.Read(b)
		if err != nil {
			return
		}
		if !f.isBlocked() {
			f.relay.socket.WriteToUDP(b[:n], f.source)
		}
	}
}

// dropFlows makes the relay drop all packets of the existing flows in both directions, permanently.
func (r *relay) dropFlows() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.flows {
		f.lost = true
	}
}

// probeInterval is short, so that silent links are detected soon.
const probeInterval = 20 * time.Millisecond

// A firewall between two entry hosts loses the state of their flow while a forwarded transaction is
// in progress; new flows work. Without migration of the link, the transaction would hang and end
// with an unknown outcome, and later requests would fail.
func TestForwardSurvivesLostFlow(t *testing.T) {
	a, b := authority(t), &addressBook{}
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
		r.dropFlows()
	}
	_, err = dialer.Call[encoder.Observe, encoder.ObserveAnswer](t.Context(), x.dialer, "b", encoder.KindObserve, encoder.Observe{Name: "s"})
	if err != nil {
		t.Errorf("call after the loss of the flow failed: %v", err)
	}
}

// An entry host is killed and replaced by another one with its name and address. A peer that still
// uses the old connection would wait for an answer indefinitely.
func TestCallReachesReplacedHost(t *testing.T) {
	a, b := authority(t), &addressBook{}
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
	r.dropFlows()
	startProbing(t, a, b, "b", nil, probeInterval)
	if err := call(); err != nil {
		t.Errorf("call to the replaced host failed: %v", err)
	}
}

// A caller with a short timeout gives up while the connection for its request is still being made.
// If the attempt to connect were cancelled as well, the peer could consider the connection
// established, and would send its own requests on a connection without another end until the link
// counts as silent.
func TestConnectingOutlastsItsCaller(t *testing.T) {
	a, b := authority(t), &addressBook{}
	x := start(t, a, b, "a", nil)
	y := start(t, a, b, "b", nil)
	// The attempt must not time out by itself, even on a slow machine.
	x.dialer.ConnectTimeout = time.Minute
	r := newRelay(t, y.address)
	r.mu.Lock()
	r.arrived, r.paused = make(chan struct{}, 1), true
	r.mu.Unlock()
	b.Store("b", r.socket.LocalAddr().String())
	c, cancel := context.WithCancel(t.Context())
	result := make(chan error, 1)
	go func() {
		_, err := dialer.Call[encoder.Observe, encoder.ObserveAnswer](c, x.dialer, "b", encoder.KindObserve, encoder.Observe{Name: "s"})
		result <- err
	}()
	<-r.arrived
	cancel()
	if err := <-result; !errors.Is(err, context.Canceled) {
		t.Errorf("the caller that gave up got %v, want its cancellation", err)
	}
	r.mu.Lock()
	r.paused = false
	r.mu.Unlock()
	for x.links.Find("b") == nil || y.links.Find("a") == nil {
		time.Sleep(time.Millisecond)
	}
}
