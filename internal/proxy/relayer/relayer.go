// Package relayer relays other entry hosts' connections to backend servers.
package relayer

import (
	"io"
	"net"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
	"github.com/cuminwick/cuminwick/internal/proxy/successor"
)

const (
	// requestTimeout bounds the wait for the request on a new connection, and dialTimeout the
	// connection attempt to the server.
	requestTimeout = time.Second
	dialTimeout    = 200 * time.Millisecond
	// maximumConnections bounds the connections served at a time. Each takes two file descriptors.
	maximumConnections = 1024
	// recentWindow is how recent an answer of a server must be to count although it now refuses
	// connections. Another host that asks has been refused for longer than this.
	recentWindow = 250 * time.Millisecond
	// aliveWindow is the same if a connection to the server fails in another way.
	aliveWindow = 500 * time.Millisecond
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
	// RequestMayPromote asks whether this host can order a promotion of a group.
	RequestMayPromote
	// RequestRegained tells that the platform's store answers the other host again. It has no answer.
	RequestRegained
)

// Relayer serves connections from other hosts. Its fields are set before Run.
type Relayer struct {
	Listener net.Listener
	// ReadRequest reads the request on a new connection: its kind, and the id of a server, a group, a host or the
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
	// AnsweredWithin reports whether the server itself has answered this host within d.
	AnsweredWithin func(s declarer.Server, d time.Duration) bool
	// MayPromote reports whether this host can order a promotion of the group now.
	MayPromote func(group string) bool
	// Regained, if not nil, is called when the platform's store answers another host again.
	Regained func(host string)
	// Reply answers a check or question, or refuses to relay because this host has no route to the
	// server. It tells whether the server is alive, or whether this host may promote.
	Reply func(c net.Conn, id string, yes bool)
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
	case RequestMayPromote:
		r.Reply(x.from, id, r.MayPromote(id))
		return
	case RequestRegained:
		if r.Regained != nil {
			r.Regained(id)
		}
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
	switch kind {
	case RequestReachable:
		r.Reply(x.from, id, r.reaches(s))
		return
	case RequestResponding:
		r.Reply(x.from, id, r.AnsweredWithin(s, successor.DownAfter))
		return
	}
	to, err := r.Dial(s.Address, dialTimeout)
	if err != nil {
		r.Reply(x.from, id, r.AnsweredWithin(s, aliveWindow))
		return
	}
	defer to.Close()
	response := &stream{from: to, to: x.from, done: make(chan struct{})}
	go response.run()
	_, _ = io.Copy(to, x.from)
	to.Close()
	<-response.done
}

// reaches reports whether this host can connect to the server, or whether the server has recently answered
// it. An answer from before its process may have ended doesn't count once connections are refused.
func (r *Relayer) reaches(s declarer.Server) bool {
	if r.AnsweredWithin(s, recentWindow) {
		return true
	}
	c, err := r.Dial(s.Address, dialTimeout)
	if err == nil {
		c.Close()
		return true
	}
	return !errors.Is(err, syscall.ECONNREFUSED) && r.AnsweredWithin(s, aliveWindow)
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
