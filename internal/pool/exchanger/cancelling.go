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
	"github.com/cuminwick/cuminwick/internal/wire/framer"
)

const (
	// cancelInterval is the time between cancel requests for one batch.
	cancelInterval = 50 * time.Millisecond
	// settleTimeout bounds the round trip on the connection after a cancel.
	settleTimeout = 5 * time.Second
)

// cancellation sends the cancel requests for one batch.
//
// A cancel request that arrives before the statement has started has no effect, so it is repeated
// until the answer to the batch is complete. One that arrives after the answer could cancel a
// statement of the next user of the connection; settle prevents that, or closes the connection
// where it can't.
type cancellation struct {
	Conn      *keeper.Conn
	Canceller Canceller

	once sync.Once
	// done is closed by the exchange once the answer is complete.
	done chan struct{}
	// ended is closed once no further cancel request will be sent.
	ended chan struct{}
	// unconfirmed reports whether a cancel request may still arrive at the server. It is final
	// once ended is closed.
	unconfirmed bool
}

// run sends cancel requests until done is closed. Further calls do nothing.
func (c *cancellation) run() {
	c.once.Do(c.loop)
}

func (c *cancellation) loop() {
	defer close(c.ended)
	t := time.NewTicker(cancelInterval)
	defer t.Stop()
	for {
		select {
		case <-c.done:
			return
		default:
		}
		// The error is ignored: the request is repeated, and the answer may come without it.
		err := c.Canceller.Cancel(context.Background(), c.Conn.Address, c.Conn.ProcessID, c.Conn.SecretKey)
		c.unconfirmed = c.unconfirmed || errors.Is(err, dialer.ErrCancelUnconfirmed)
		select {
		case <-c.done:
			return
		case <-t.C:
		}
	}
}

// settle waits until the last cancel request is delivered and makes one round trip on the
// connection, which absorbs any late effect. A cancel request whose delivery is unconfirmed may
// arrive at any time, even after the round trip, and would abort a request of the connection's next
// user, so in that case the connection is closed and dialer.ErrCancelUnconfirmed returned.
func (c *cancellation) settle(ctx context.Context) error {
	select {
	case <-c.ended:
	case <-ctx.Done():
		return ctx.Err()
	}
	if c.unconfirmed {
		c.Conn.Close()
		return errors.Trace(dialer.ErrCancelUnconfirmed)
	}
	_, err := roundTrip(c.Conn, settleTimeout)
	return err
}

// RoundTrip sends a Sync on a connection outside a transaction and waits for ReadyForQuery. After an
// error the connection must be closed.
func RoundTrip(c *keeper.Conn, timeout time.Duration) error {
	s, err := roundTrip(c, timeout)
	if err == nil && s != Idle {
		err = errors.Annotatef(ErrSurplus, "state %q of an idle connection to backend server %s", s, c.Address)
	}
	return err
}

// roundTrip sends a Sync and returns the transaction state in the ReadyForQuery that answers it.
func roundTrip(c *keeper.Conn, timeout time.Duration) (byte, error) {
	if err := c.SetDeadline(time.Now().Add(timeout)); err != nil {
		return 0, errors.Trace(err)
	}
	defer c.SetDeadline(time.Time{})
	var b batcher.Batch
	b.AddBody(batcher.Sync, batcher.Pass)
	if _, err := c.Write(b.AppendTo(nil)); err != nil {
		return 0, errors.Trace(err)
	}
	return awaitReady(c)
}

// awaitReady reads up to ReadyForQuery, the answer to a Sync. Before it may be the error of a late
// cancel, and messages that the server sends by itself.
func awaitReady(c *keeper.Conn) (byte, error) {
	for {
		f, err := c.Reader.Next()
		if err != nil {
			return 0, errors.Trace(err)
		}
		switch {
		case f.Type == follower.ReadyForQuery:
			return lastStatus(c, f)
		case follower.IsAnswer(f.Type) && f.Type != follower.ErrorResponse:
			return 0, errors.Annotatef(ErrSurplus, "message %q of backend server %s instead of ready for query", f.Type, c.Address)
		}
		for f.Remaining > 0 {
			if _, err := c.Reader.Rest(&f); err != nil {
				return 0, errors.Trace(err)
			}
		}
	}
}

// lastStatus returns the transaction state in f, which must be the last message that was received.
func lastStatus(c *keeper.Conn, f framer.Frame) (byte, error) {
	s, err := parseStatus(f)
	if err == nil && c.Reader.Buffered() > 0 {
		err = errors.Annotatef(ErrSurplus, "%d bytes of backend server %s after ready for query", c.Reader.Buffered(), c.Address)
	}
	return s, err
}
