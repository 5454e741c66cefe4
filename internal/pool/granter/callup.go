package granter

import (
	"sync"
	"time"

	"github.com/cuminwick/cuminwick/internal/limit/gate"
	"github.com/cuminwick/cuminwick/internal/pool/messenger"
)

const (
	// batchRequestLead is how long before the expected grant the first batch is requested. It
	// covers a round trip between regions and the error of the estimate.
	batchRequestLead = 40 * time.Millisecond
	// minimumBatchRequestDelay is the minimum delay before the first batch is requested. A free
	// slot and connection are granted sooner, and the grant also makes the forwarding host send
	// its batch.
	minimumBatchRequestDelay = time.Millisecond
)

// batchRequest requests the first batch of a lease from the forwarding host, once.
//
// A write isn't sent along with the lease request, since it would be lost with an unknown outcome
// if this host were gone. If it were sent only after a slot is granted, the slot would be idle for
// a round trip, which is longer than many statements take, and the queue would grow noticeably. So
// the batch is requested shortly before the grant.
type batchRequest struct {
	conn *messenger.Conn

	mu    sync.Mutex
	ended bool
	timer *time.Timer
}

// scheduleBatchRequest schedules the request of the first batch for batchRequestLead before the
// expected grant.
func (s *service) scheduleBatchRequest() *batchRequest {
	c := &batchRequest{conn: &s.conn}
	g, ok := s.pool.(loadReporter)
	if !ok {
		return c
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.timer = time.AfterFunc(batchRequestDelay(g.Load()), c.run)
	return c
}

// batchRequestDelay returns how long to wait before requesting the first batch, given the queue l.
func batchRequestDelay(l gate.Load) time.Duration {
	w := time.Duration(l.Waiting) * l.ServiceTime / time.Duration(max(1, l.Slots))
	return max(minimumBatchRequestDelay, w-batchRequestLead)
}

func (c *batchRequest) run() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ended {
		// A failure is returned by the next message.
		_ = c.conn.Send(messenger.KindRequestBatch)
	}
}

// end prevents the batch from being requested after the grant or the refusal.
func (c *batchRequest) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
	if c.timer != nil {
		c.timer.Stop()
	}
}
