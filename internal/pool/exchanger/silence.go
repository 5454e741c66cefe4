package exchanger

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/backend/dialer"
)

const (
	// patience is how long an answer may bring no byte before the server is
	// asked over a new connection.
	patience = 300 * time.Millisecond
	// maximumPatience bounds the time to the next question about a statement that
	// the server works on, which doubles each time: a question costs a connection.
	maximumPatience = 5 * time.Second
	doublings       = 5
	// doubt is the time to the second question, in which an answer that was
	// under way arrives.
	doubt = 100 * time.Millisecond
	// denials is how often the server must deny that it works on the batch.
	denials = 2
	// abandonment is how long a cancelled batch is awaited while the server
	// can't be asked.
	abandonment = 5 * time.Second
)

// ErrSilent says that the server doesn't work on the batch, and no answer came.
const ErrSilent = errors.ConstError("connection gone silent")

// Prober asks the backend server over a new connection.
type Prober interface {
	// Working reports whether the session with this process id runs a statement.
	Working(ctx context.Context, processID uint32) (bool, error)
	// Terminate ends the sessions with these process ids.
	Terminate(ctx context.Context, processIDs []uint32) error
}

// silence judges the silence of one connection during one batch.
type silence struct {
	ctx    context.Context
	conn   *dialer.Conn
	prober Prober
	denied int
	// works counts the answers that the server works on the batch.
	works int
	since time.Time
}

// watch makes reads of the connection notice when it has gone silent, and
// returns what ends that.
func (x *Exchange) watch(ctx context.Context) func() {
	if x.Prober == nil {
		return func() {}
	}
	c := x.Conn.Conn
	s := &silence{ctx: ctx, conn: c, prober: x.Prober}
	c.Patience = patience
	c.Silence = s.judge
	return func() {
		c.Silence = nil
		c.SetReadDeadline(time.Time{})
	}
}

// judge returns an error once the server has denied twice that it works on the
// batch. A long statement, or one that waits for a lock, is never ended by it.
func (s *silence) judge() error {
	w, err := s.prober.Working(context.WithoutCancel(s.ctx), s.conn.ProcessID)
	switch {
	case err != nil:
		return s.unasked(err)
	case w:
		s.denied = 0
		s.works++
		s.conn.Patience = min(patience<<min(s.works, doublings), maximumPatience)
		return nil
	}
	s.denied++
	s.conn.Patience = doubt
	if s.denied < denials {
		return nil
	}
	return ErrSilent
}

// unasked goes on waiting for a server that can't be reached, but not for the
// sake of a caller that has given up.
func (s *silence) unasked(err error) error {
	if s.ctx.Err() == nil {
		return nil
	}
	if s.since.IsZero() {
		s.since = time.Now()
	}
	if time.Since(s.since) < abandonment {
		return nil
	}
	return errors.WithType(err, ErrSilent)
}
