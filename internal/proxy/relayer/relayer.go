// Package relayer carries other entry hosts' connections on to backend servers.
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
	// askTimeout bounds the wait for the name of the server, and dialTimeout that for
	// a connection to it.
	askTimeout  = time.Second
	dialTimeout = 200 * time.Millisecond
	// maximumCarried bounds the connections carried at once: two descriptors each.
	maximumCarried = 1024
)

// RequestKind is what another host wants with a server.
type RequestKind uint8

// Wishes.
const (
	RequestNone RequestKind = iota
	// RequestRelay is a connection that is carried on.
	RequestRelay
	// RequestReachable is whether the server is heard here.
	RequestReachable
	// RequestResponding is whether the server itself has answered here within the last seconds.
	RequestResponding
	// RequestLink is to borrow connections of this host's.
	RequestLink
	// RequestFeed is to read what the platform lists through this host.
	RequestFeed
)

// Relayer takes connections from other hosts. Its fields are set before Run.
type Relayer struct {
	Listener net.Listener
	// ReadRequest reads the id of the server, or the kind of object, that a new connection is for,
	// and what is wanted.
	ReadRequest func(c net.Conn, deadline time.Time) (id string, w RequestKind, err error)
	// Lend serves a host that borrows connections, until it ends.
	Lend func(c net.Conn, server string)
	// Feed serves a host that reads one kind of object, until it ends.
	Feed func(c net.Conn, kind string)
	// Find returns a server that is listed.
	Find func(id string) (declarer.Server, bool)
	// Dial connects to an address within the time.
	Dial func(address string, t time.Duration) (net.Conn, error)
	// Alive reports whether the server has answered this host a moment ago.
	Alive func(s declarer.Server) bool
	// Responding reports whether the server itself has answered within the last seconds.
	Responding func(s declarer.Server) bool
	// Reply answers that there is no route to the server.
	Reply func(c net.Conn, id string, alive bool)
	Log   log.Interface

	slots chan struct{}
}

// Run serves until the listener is closed.
func (r *Relayer) Run() {
	r.slots = make(chan struct{}, maximumCarried)
	for {
		c, err := r.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			r.Log.WithError(err).Warn("connection of another host not accepted")
			time.Sleep(dialTimeout)
			continue
		}
		r.take(c)
	}
}

func (r *Relayer) take(c net.Conn) {
	select {
	case r.slots <- struct{}{}:
		go (&carriage{relayer: r, from: c}).run()
	default:
		c.Close()
	}
}

// carriage is one connection that is carried on.
type carriage struct {
	relayer *Relayer
	from    net.Conn
}

func (x *carriage) run() {
	r := x.relayer
	defer func() { <-r.slots }()
	defer x.from.Close()
	id, wish, err := r.ReadRequest(x.from, time.Now().Add(askTimeout))
	if err != nil {
		return
	}
	if wish == RequestFeed {
		r.Feed(x.from, id)
		return
	}
	s, ok := r.Find(id)
	if !ok {
		return
	}
	if wish == RequestLink {
		r.Lend(x.from, id)
		return
	}
	if wish == RequestResponding {
		r.Reply(x.from, id, r.Responding(s))
		return
	}
	question := wish == RequestReachable
	if question && r.Alive(s) {
		r.Reply(x.from, id, true)
		return
	}
	to, err := r.Dial(s.Address, dialTimeout)
	if err != nil {
		r.Reply(x.from, id, r.Alive(s))
		return
	}
	defer to.Close()
	if question {
		r.Reply(x.from, id, true)
		return
	}
	back := &stream{from: to, to: x.from, done: make(chan struct{})}
	go back.run()
	_, _ = io.Copy(to, x.from)
	to.Close()
	<-back.done
}

// stream carries bytes one way. An end of either side ends both: what is sent over a
// connection that is half gone would be lost without a word.
type stream struct {
	from, to net.Conn
	done     chan struct{}
}

func (s *stream) run() {
	defer close(s.done)
	_, _ = io.Copy(s.to, s.from)
	s.to.Close()
}
