package granter

import (
	"sync"
	"time"

	"github.com/cuminwick/cuminwick/internal/limit/gate"
	"github.com/cuminwick/cuminwick/internal/pool/messenger"
)

const (
	// callUpAhead is how long before the expected grant the first exchange is
	// called up. It covers a round trip between regions and the error of the
	// expectation.
	callUpAhead = 40 * time.Millisecond
	// callUpAfter is the least time to the call-up. A slot and a connection that
	// are free are granted before, which calls the exchange up as well.
	callUpAfter = time.Millisecond
)

// callUp asks the other host for its first exchange, once.
//
// A write isn't sent along with the request, since it would be lost with its
// outcome open if this host were gone. Was it sent only once there is a slot, the
// slot would stand idle for a round trip, longer than many statements take; callers
// would notice by the length of the queue. So it is asked for shortly before.
type callUp struct {
	conn *messenger.Conn

	mu    sync.Mutex
	over  bool
	timer *time.Timer
}

// announce has the first exchange called up when the grant is near.
func (s *service) announce() *callUp {
	c := &callUp{conn: &s.conn}
	g, ok := s.pool.(gauge)
	if !ok {
		return c
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.timer = time.AfterFunc(pause(g.Load()), c.run)
	return c
}

// pause returns how long to wait with the call-up behind the queue l.
func pause(l gate.Load) time.Duration {
	w := time.Duration(l.Waiting) * l.ServiceTime / time.Duration(max(1, l.Slots))
	return max(callUpAfter, w-callUpAhead)
}

func (c *callUp) run() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.over {
		// A failure is returned by the next message.
		_ = c.conn.Send(messenger.KindRequestBatch)
	}
}

// end keeps the call-up from coming after the grant or the refusal.
func (c *callUp) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.over = true
	if c.timer != nil {
		c.timer.Stop()
	}
}
