package exchanger

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

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
// answer could hit the next use of the connection; settle prevents that.
type cancelling struct {
	Conn      *keeper.Conn
	Canceller Canceller

	once  sync.Once
	done  chan struct{}
	ended chan struct{}
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
		_ = c.Canceller.Cancel(context.Background(), c.Conn.Address, c.Conn.ProcessID, c.Conn.SecretKey)
		select {
		case <-c.done:
			return
		case <-t.C:
		}
	}
}

// settle waits for the last cancel request to have been delivered and makes
// one round trip on the connection, which takes up any late effect.
func (c *cancelling) settle(ctx context.Context) error {
	select {
	case <-c.ended:
	case <-ctx.Done():
		return ctx.Err()
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
