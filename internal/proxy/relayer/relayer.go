// Package relayer relays other entry hosts' connections to backend servers.
package relayer

import (
	"io"
	"net"
	"time"

	"github.com/apex/log"
	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

const (
	// requestTimeout bounds the wait for the request on a new connection, and dialTimeout the
	// connection attempt to the server.
	requestTimeout = time.Second
	dialTimeout    = 200 * time.Millisecond
	// maximumConnections bounds the connections served at a time. Each takes two file descriptors.
	maximumConnections = 1024
)

// RequestKind is what another host requests on a connection.
type RequestKind uint8

// Kinds of request.
const (
	RequestNone RequestKind = iota
	// RequestRelay is a connection to a server that is relayed.
	RequestRelay
	// RequestReachable asks whether this host reaches the server.
	RequestReachable
	// RequestResponding asks whether the server itself has answered this host within the last
	// seconds.
	RequestResponding
	// RequestLink borrows this host's connections to a server.
	RequestLink
	// RequestFeed reads objects of the platform through this host.
	RequestFeed
	// RequestQuota asks for tokens of customers whose operations this host counts.
	RequestQuota
)

// Relayer serves connections from other hosts. Its fields are set before Run.
type Relayer struct {
	Listener net.Listener
	// ReadRequest reads the request on a new connection: its kind, and the id of a server or the
	// kind of object that it is about.
	ReadRequest func(c net.Conn, deadline time.Time) (id string, k RequestKind, err error)
	// Lend serves a host that borrows connections to the server, until the host disconnects.
	Lend func(c net.Conn, server string)
	// Feed serves a host that reads one kind of object, until the host disconnects.
	Feed func(c net.Conn, kind string)
	// Quota serves a host that asks for tokens, until the host disconnects.
	Quota func(c net.Conn)
	// Find returns a server by id, false if the platform does not list it.
	Find func(id string) (declarer.Server, bool)
	// Dial connects to an address within the timeout.
	Dial func(address string, t time.Duration) (net.Conn, error)
	// Alive reports whether the server has recently answered this host.
	Alive func(s declarer.Server) bool
	// Responding reports whether the server itself has answered within the last seconds.
	Responding func(s declarer.Server) bool
	// Reply answers a check, or refuses to relay because this host has no route to the server. It
	// tells whether the server is alive.
	Reply func(c net.Conn, id string, alive bool)
	Log   log.Interface

	slots chan struct{}
}

// Run serves until the listener is closed.
func (r *Relayer) Run() {
	r.slots = make(chan struct{}, maximumConnections)
	for {
		c, err := r.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			r.Log.WithError(err).Warn("connection from another host not accepted")
			time.Sleep(dialTimeout)
			continue
		}
		r.serve(c)
	}
}

func (r *Relayer) serve(c net.Conn) {
	select {
	case r.slots <- struct{}{}:
		go (&peerConnection{relayer: r, from: c}).run()
	default:
		c.Close()
	}
}

// peerConnection is a connection from another host.
type peerConnection struct {
	relayer *Relayer
	from    net.Conn
}

func (x *peerConnection) run() {
	r := x.relayer
	defer func() { <-r.slots }()
	defer x.from.Close()
	id, kind, err := r.ReadRequest(x.from, time.Now().Add(requestTimeout))
	if err != nil {
		return
	}
	switch kind {
	case RequestFeed:
		r.Feed(x.from, id)
		return
	case RequestQuota:
		r.Quota(x.from)
		return
	}
	s, ok := r.Find(id)
	if !ok {
		return
	}
	if kind == RequestLink {
		r.Lend(x.from, id)
		return
	}
	if kind == RequestResponding {
		r.Reply(x.from, id, r.Responding(s))
		return
	}
	checkOnly := kind == RequestReachable
	if checkOnly && r.Alive(s) {
		r.Reply(x.from, id, true)
		return
	}
	to, err := r.Dial(s.Address, dialTimeout)
	if err != nil {
		r.Reply(x.from, id, r.Alive(s))
		return
	}
	defer to.Close()
	if checkOnly {
		r.Reply(x.from, id, true)
		return
	}
	response := &stream{from: to, to: x.from, done: make(chan struct{})}
	go response.run()
	_, _ = io.Copy(to, x.from)
	to.Close()
	<-response.done
}

// stream copies bytes in one direction. When either side closes, both connections are closed:
// data sent over a connection that is half closed would be lost without an error.
type stream struct {
	from, to net.Conn
	done     chan struct{}
}

func (s *stream) run() {
	defer close(s.done)
	_, _ = io.Copy(s.to, s.from)
	s.to.Close()
}
