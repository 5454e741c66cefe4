package exchanger

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/backend/dialer"
)

const (
	// probeDelay is how long no byte of an answer may arrive before the server is probed over a
	// new connection.
	probeDelay = 300 * time.Millisecond
	// maximumProbeDelay bounds the delay between the probes of a running statement. The delay
	// doubles with each probe, because a probe costs a connection.
	maximumProbeDelay = 5 * time.Second
	maximumDoublings  = 5
	// confirmationDelay is the time from a first idle probe to the next one. An answer that was in
	// flight at the first one arrives in it.
	confirmationDelay = 100 * time.Millisecond
	// requiredIdleProbes is how many probes must find no running statement, with none in between
	// that finds one, before the connection counts as dead.
	requiredIdleProbes = 2
	// unreachableTimeout is how long the answer to a cancelled batch is awaited while the server
	// can't be probed.
	unreachableTimeout = 5 * time.Second
)

// ErrSilent is returned when no answer arrives although the server isn't running the batch, or when
// the server couldn't be probed for unreachableTimeout after the caller cancelled.
const ErrSilent = errors.ConstError("connection gone silent")

// Prober queries and ends sessions of the backend server over a new connection.
type Prober interface {
	// Working reports whether the session with this process ID runs a statement.
	Working(ctx context.Context, processID uint32) (bool, error)
	// Terminate ends the sessions with these process IDs.
	Terminate(ctx context.Context, processIDs []uint32) error
}

// silenceDetector detects a dead connection while the answer to one batch is read.
type silenceDetector struct {
	ctx    context.Context
	conn   *dialer.Conn
	prober Prober
	// idleProbes counts the probes that found no running statement since the last one that did.
	idleProbes int
	// activeProbes counts the probes that found a running statement.
	activeProbes int
	// unreachableSince is the time of the first probe that failed after ctx had ended, zero if none
	// has.
	unreachableSince time.Time
}

// detectSilence makes reads of the connection fail with ErrSilent once the connection is dead, and
// returns a function that undoes this. Without a Prober it does nothing.
func (x *Exchange) detectSilence(ctx context.Context) func() {
	if x.Prober == nil {
		return func() {}
	}
	c := x.Conn.Conn
	s := &silenceDetector{ctx: ctx, conn: c, prober: x.Prober}
	c.ReadTimeout = probeDelay
	c.OnReadTimeout = s.probe
	return func() {
		c.OnReadTimeout = nil
		c.SetReadDeadline(time.Time{})
	}
}

// probe is called when no byte has arrived for conn.ReadTimeout. It returns an error once
// requiredIdleProbes have found that the server isn't running the batch. A long-running statement,
// or one that waits for a lock, never causes an error.
func (s *silenceDetector) probe() error {
	w, err := s.prober.Working(context.WithoutCancel(s.ctx), s.conn.ProcessID)
	switch {
	case err != nil:
		return s.probeFailed(err)
	case w:
		s.idleProbes = 0
		s.activeProbes++
		s.conn.ReadTimeout = min(probeDelay<<min(s.activeProbes, maximumDoublings), maximumProbeDelay)
		return nil
	}
	s.idleProbes++
	s.conn.ReadTimeout = confirmationDelay
	if s.idleProbes < requiredIdleProbes {
		return nil
	}
	return ErrSilent
}

// probeFailed returns nil as long as to go on waiting for a server that can't be probed: without a
// limit while the caller waits, and for unreachableTimeout once ctx has ended.
func (s *silenceDetector) probeFailed(err error) error {
	if s.ctx.Err() == nil {
		return nil
	}
	if s.unreachableSince.IsZero() {
		s.unreachableSince = time.Now()
	}
	if time.Since(s.unreachableSince) < unreachableTimeout {
		return nil
	}
	return errors.WithType(err, ErrSilent)
}
