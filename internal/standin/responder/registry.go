package responder

import (
	"bytes"
	"sync"
)

// registry holds the open sessions by process number. The zero value is empty.
type registry struct {
	mutex sync.Mutex
	// last is the highest process number in use so far.
	last     uint32
	sessions map[uint32]*connection
}

// add assigns a process number to a connection and adds it.
func (r *registry) add(c *connection) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.sessions == nil {
		r.sessions = map[uint32]*connection{}
	}
	r.last++
	c.process = r.last
	r.sessions[r.last] = c
}

// remove removes a connection.
func (r *registry) remove(c *connection) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.sessions, c.process)
}

// cancel ends the statement in progress of the session with this process number, if the secret key
// matches.
func (r *registry) cancel(process uint32, secret []byte) {
	r.mutex.Lock()
	c := r.sessions[process]
	r.mutex.Unlock()
	if c != nil && bytes.Equal(c.secret, secret) {
		c.cancelStatement()
	}
}

// activity returns the process number and state of each session.
func (r *registry) activity() [][]any {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var l [][]any
	for n, c := range r.sessions {
		l = append(l, []any{int64(n), c.state()})
	}
	return l
}

// terminate ends the session with this process number and reports whether there is one.
func (r *registry) terminate(process uint32) bool {
	r.mutex.Lock()
	c := r.sessions[process]
	r.mutex.Unlock()
	if c == nil {
		return false
	}
	c.conn.Close()
	c.cancelStatement()
	return true
}

// closeClients ends all sessions except control connections.
func (r *registry) closeClients() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, c := range r.sessions {
		if c.control {
			continue
		}
		c.conn.Close()
		c.cancelStatement()
	}
}
