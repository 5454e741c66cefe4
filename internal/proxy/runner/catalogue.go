package runner

import (
	"sync"
	"time"

	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

// lapsedServerRetention is how long a server that is missing from a new list is kept. Entries of
// servers lapse while the platform's store is unavailable; a running server's entry is back within
// about two seconds.
const lapsedServerRetention = 2500 * time.Millisecond

// catalogue holds the backend servers that the platform lists.
type catalogue struct {
	// publish receives the whole list after each change.
	publish func([]declarer.Server)

	mu      sync.Mutex
	servers map[string]declarer.Server
}

// reset replaces the list. A list after the first one may lack servers whose entries have lapsed
// in the meantime; these are kept for lapsedServerRetention and then removed unless they are listed
// again.
func (c *catalogue) reset(l []declarer.Server) {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.servers
	c.servers = make(map[string]declarer.Server, len(l))
	for _, s := range l {
		c.servers[s.ID] = s
	}
	missing := 0
	for id, s := range old {
		if _, ok := c.servers[id]; !ok {
			c.servers[id] = s
			missing++
			time.AfterFunc(lapsedServerRetention, expiry{catalogue: c, server: s}.run)
		}
	}
	c.emit()
}

// expiry removes a server that was missing from a list and has not been listed again since.
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

// apply applies changes to the list.
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

// emit publishes the list. The caller holds the mutex, which keeps published lists in order.
func (c *catalogue) emit() {
	l := make([]declarer.Server, 0, len(c.servers))
	for _, s := range c.servers {
		l = append(l, s)
	}
	c.publish(l)
}
