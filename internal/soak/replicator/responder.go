package replicator

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"

	"github.com/juju/errors"
)

const (
	// slots is the number of statements that run at a time.
	slots = 4
	// maximumConnections is the number of connections that a server accepts.
	maximumConnections = 24
	// proxyID is the id of the statements that entry hosts issue themselves.
	proxyID = "-"
)

// Responder accepts and serves the connections of one server. Its exported fields are set before Open.
type Responder struct {
	Group  *Group
	Server *Server

	// slots limits the statements that run at a time.
	slots chan struct{}

	mu       sync.Mutex
	listener net.Listener
	open     map[*connection]struct{}
}

// Open listens and serves until Close. The first call listens at a free port of ip; further calls
// listen at the same address again and ignore ip.
func (r *Responder) Open(ip string) error {
	a := r.Group.Address(r.Server)
	if a == "" {
		a = net.JoinHostPort(ip, "0")
	}
	l, err := net.Listen("tcp4", a)
	if err != nil {
		return errors.Annotatef(err, "listen for server %s", r.Server.ID)
	}
	r.Group.setAddress(r.Server, l.Addr().String())
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listener, r.open = l, make(map[*connection]struct{})
	if r.slots == nil {
		r.slots = make(chan struct{}, slots)
	}
	go r.run(l)
	return nil
}

// Close stops the server as a crash does: it closes the listener and all connections.
func (r *Responder) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listener.Close()
	for c := range r.open {
		c.conn.Close()
	}
}

// Silence stops all answers on the connections that are open now. New connections work.
func (r *Responder) Silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.open {
		c.silent.Store(true)
	}
}

// run accepts connections until the listener is closed.
func (r *Responder) run(l net.Listener) {
	for {
		n, err := l.Accept()
		if err != nil {
			return
		}
		c := r.connection(n)
		if !r.admit(c) {
			_, _ = fmt.Fprint(n, "ERR TOOMANY full\r\n")
			n.Close()
			continue
		}
		go c.run()
	}
}

// connection returns the state of a new connection.
func (r *Responder) connection(n net.Conn) *connection {
	r.Group.mu.Lock()
	defer r.Group.mu.Unlock()
	k := r.Group.number()
	return &connection{
		responder: r, conn: n, number: k, random: rand.New(rand.NewPCG(r.Group.Seed, uint64(k))),
		values: make(map[string]string), prepared: make(map[string]prepared),
	}
}

// admit adds the connection, or returns false if maximumConnections are open.
func (r *Responder) admit(c *connection) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.open) >= maximumConnections {
		return false
	}
	r.open[c] = struct{}{}
	return true
}

func (r *Responder) remove(c *connection) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.open, c)
}

// count returns how many connections are open.
func (r *Responder) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.open)
}
