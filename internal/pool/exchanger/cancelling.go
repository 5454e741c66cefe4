package exchanger

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/backend/dialer"
	"github.com/cuminwick/cuminwick/internal/pool/keeper"
	"github.com/cuminwick/cuminwick/internal/wire/batcher"
	"github.com/cuminwick/cuminwick/internal/wire/follower"
)

const (
	// cancelInterval is the time between cancel requests for one batch.
	cancelInterval = 50 * time.Millisecond
	// settleTimeout bounds the round trip after a cancel.
	settleTimeout = 5 * time.Second
)

// cancelling asks a backend server to cancel one batch.
//
// A cancel request that arrives before the statement has started does nothing,
// so it is repeated until the answer has come. One that arrives after the
// answer could hit the next use of the connection; settle prevents that, or closes the
// connection where it can't.
type cancelling struct {
	Conn      *keeper.Conn
	Canceller Canceller

	once  sync.Once
	done  chan struct{}
	ended chan struct{}
	// unseen says that a request may still arrive; it is final once ended is closed.
	unseen bool
}

func (c *cancelling) run() {
	c.once.Do(c.loop)
}

func (c *cancelling) loop() {
	defer close(c.ended)
	t := time.NewTicker(cancelInterval)
	defer t.Stop()
	for {
		select {
		case <-c.done:
			return
		default:
		}
		// A failed attempt is repeated; the answer may come without it.
		err := c.Canceller.Cancel(context.Background(), c.Conn.Address, c.Conn.ProcessID, c.Conn.SecretKey)
		c.unseen = c.unseen || errors.Is(err, dialer.ErrUnseen)
		select {
		case <-c.done:
			return
		case <-t.C:
		}
	}
}

// settle waits for the last cancel request to have been delivered and makes
// one round trip on the connection, which takes up any late effect. A request that
// wasn't seen to arrive may do so at any time, after the round trip as well, and would
// break off the request of whoever has the connection then; so the connection is closed.
func (c *cancelling) settle(ctx context.Context) error {
	select {
	case <-c.ended:
	case <-ctx.Done():
		return ctx.Err()
	}
	if c.unseen {
		c.Conn.Close()
		return errors.Trace(dialer.ErrUnseen)
	}
	return RoundTrip(c.Conn, settleTimeout)
}

// RoundTrip sends a Sync on an idle connection and awaits its answer. An error
// says that the connection is of no more use.
func RoundTrip(c *keeper.Conn, timeout time.Duration) error {
	if err := c.SetDeadline(time.Now().Add(timeout)); err != nil {
		return errors.Trace(err)
	}
	defer c.SetDeadline(time.Time{})
	var b batcher.Batch
	b.AddBody(batcher.Sync, batcher.Pass)
	if _, err := c.Write(b.Append(nil)); err != nil {
		return errors.Trace(err)
	}
	return awaitReady(c)
}

func awaitReady(c *keeper.Conn) error {
	for {
		f, err := c.Reader.Next()
		if err != nil {
			return errors.Trace(err)
		}
		if f.Type == follower.ReadyForQuery {
			return nil
		}
	}
}
