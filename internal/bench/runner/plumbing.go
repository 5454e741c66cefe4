package runner

import (
	"context"
	"net"
	"sync/atomic"

	"github.com/cuminwick/cuminwick/internal/bench/disturber"
	"github.com/cuminwick/cuminwick/internal/host/deployer"
	host "github.com/cuminwick/cuminwick/internal/host/runner"
	"github.com/cuminwick/cuminwick/internal/pool/assigner"
	"github.com/cuminwick/cuminwick/internal/standin/streamer"
)

// singleHostMembers is a membership view that contains only the entry host itself.
type singleHostMembers struct {
	host.Members
	name string
}

func newSingleHostMembers(name string, r *host.Roster) host.Members {
	return &singleHostMembers{Members: r, name: name}
}

// Live implements host.Members.
func (s *singleHostMembers) Live() []assigner.Host {
	var l []assigner.Host
	for _, h := range s.Members.Live() {
		if h.Name == s.name {
			l = append(l, h)
		}
	}
	return l
}

// dialer returns an entry host's dialer to backend servers. All backend servers must be listening.
func (d *DeployedSystem) dialer(from deployer.Place) deployer.Dial {
	for _, g := range d.deployment.Standins {
		for i, s := range g.Servers {
			d.network.SetPlace(s.Addr(), d.Deployment.Places[i])
		}
	}
	return deployer.Dial(d.network.Dialer(disturber.Place(from)))
}

// listener returns the function that opens an entry host's sockets for peers.
func (d *DeployedSystem) listener(at deployer.Place) func(*net.UDPAddr) (net.PacketConn, error) {
	return d.network.Listener(disturber.Place(at))
}

// controlDialer returns the dialer of an entry host's control connections, whose bytes are counted.
func (d *DeployedSystem) controlDialer(from deployer.Place) deployer.Dial {
	c := &controlDialer{deployed: d, dial: d.dialer(from)}
	return c.open
}

type controlDialer struct {
	deployed *DeployedSystem
	dial     deployer.Dial
}

func (c *controlDialer) open(ctx context.Context, network, address string) (net.Conn, error) {
	n, err := c.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: n, bytes: &c.deployed.controlBytes}, nil
}

// countingConn is a connection that counts the bytes it reads and writes.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// peerDialer returns a backend server's dialer to its peers.
func (d *DeployedSystem) peerDialer(from deployer.Place) streamer.Dial {
	p := &peerDialer{deployed: d, dial: d.network.Dialer(disturber.Place(from))}
	return p.open
}

type peerDialer struct {
	deployed *DeployedSystem
	dial     func(ctx context.Context, network, address string) (net.Conn, error)
}

// open dials a peer. The last letter of the peer's name gives the index of its place, starting with a.
func (p *peerDialer) open(ctx context.Context, name, address string) (net.Conn, error) {
	i := int(name[len(name)-1] - 'a')
	p.deployed.network.SetPlace(address, p.deployed.Deployment.Places[i])
	return p.dial(ctx, "tcp", address)
}
