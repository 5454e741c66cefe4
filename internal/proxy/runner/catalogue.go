package runner

import (
	"sync"
	"time"

	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

// ghostFor is how long a server is kept after its entry went while the platform was
// away: such entries lapse and are back within about two seconds, if the server lives.
const ghostFor = 2500 * time.Millisecond

// catalogue holds the servers as they are listed.
type catalogue struct {
	// publish is given the whole list after each change.
	publish func([]declarer.Server)

	mu      sync.Mutex
	servers map[string]declarer.Server
}

// reset takes the whole list. One that comes after the first may lack servers whose
// entries lapsed meanwhile; they are dropped by sweep unless they come back.
func (c *catalogue) reset(l []declarer.Server) {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.servers
	c.servers = make(map[string]declarer.Server, len(l))
	for _, s := range l {
		c.servers[s.ID] = s
	}
	gone := 0
	for id, s := range old {
		if _, ok := c.servers[id]; !ok {
			c.servers[id] = s
			gone++
			time.AfterFunc(ghostFor, expiry{catalogue: c, server: s}.run)
		}
	}
	c.emit()
}

// expiry drops a server that was missing from a list, and hasn't come back since.
type expiry struct {
	catalogue *catalogue
	server    declarer.Server
}

func (e expiry) run() {
	c := e.catalogue
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.servers[e.server.ID] == e.server {
		delete(c.servers, e.server.ID)
		c.emit()
	}
}

// apply takes changes.
func (c *catalogue) apply(l []Change[declarer.Server]) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, x := range l {
		if x.Removed {
			delete(c.servers, x.Name)
			continue
		}
		c.servers[x.Name] = x.Value
	}
	c.emit()
}

// emit publishes the list. The mutex is held, so that lists come in order.
func (c *catalogue) emit() {
	l := make([]declarer.Server, 0, len(c.servers))
	for _, s := range c.servers {
		l = append(l, s)
	}
	c.publish(l)
}
