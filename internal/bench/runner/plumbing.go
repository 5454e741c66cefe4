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

// solitary sees no entry host but itself.
type solitary struct {
	host.Members
	name string
}

func alone(name string, r *host.Roster) host.Members {
	return &solitary{Members: r, name: name}
}

// Live implements host.Members.
func (s *solitary) Live() []assigner.Host {
	var l []assigner.Host
	for _, h := range s.Members.Live() {
		if h.Name == s.name {
			l = append(l, h)
		}
	}
	return l
}

// dialer makes an entry host's dialer; all backend servers listen by then.
func (d *DeployedSystem) dialer(from deployer.Place) deployer.Dial {
	for _, g := range d.deployment.Standins {
		for i, s := range g.Servers {
			d.network.SetPlace(s.Addr(), d.Deployment.Places[i])
		}
	}
	return deployer.Dial(d.network.Dialer(disturber.Place(from)))
}

// listener makes what opens an entry host's sockets for peers.
func (d *DeployedSystem) listener(at deployer.Place) func(*net.UDPAddr) (net.PacketConn, error) {
	return d.network.Listener(disturber.Place(at))
}

// controlDialer makes the dialer of an entry host's control connections, whose bytes are counted.
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
	return &counted{Conn: n, bytes: &c.deployed.control}, nil
}

// counted is a connection whose bytes are counted, both ways.
type counted struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c *counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// peerDialer makes a backend server's dialer to its peers.
func (d *DeployedSystem) peerDialer(from deployer.Place) streamer.Dial {
	p := &peerDialer{deployed: d, dial: d.network.Dialer(disturber.Place(from))}
	return p.open
}

type peerDialer struct {
	deployed *DeployedSystem
	dial     func(ctx context.Context, network, address string) (net.Conn, error)
}

// open finds the peer's place by the last letter of its name, which counts the places.
func (p *peerDialer) open(ctx context.Context, name, address string) (net.Conn, error) {
	i := int(name[len(name)-1] - 'a')
	p.deployed.network.SetPlace(address, p.deployed.Deployment.Places[i])
	return p.dial(ctx, "tcp", address)
}
