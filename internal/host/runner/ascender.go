package runner

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/peer/dialer"
	"github.com/cuminwick/cuminwick/internal/peer/encoder"
	"github.com/cuminwick/cuminwick/internal/state/blackboard"
)

// RevisionObserver is a Source that accepts revisions found in messages of peers.
type RevisionObserver interface {
	// AwaitRevision returns once the source has reached revision r or a later one. An error means
	// that ctx ended or the source stopped before.
	AwaitRevision(ctx context.Context, r uint64) error
}

// revisionWaiter waits until this host has applied the revision of a message before the message
// is handled. Otherwise one request could be processed under two configurations.
type revisionWaiter struct {
	host     *Host
	observer RevisionObserver
}

// revisionTimeout bounds the wait for a revision, after which the message is refused.
const revisionTimeout = 3 * time.Second

// awaitRevision returns once the revision of the sender is in force at this host.
func (a *revisionWaiter) awaitRevision(ctx context.Context, s encoder.Sender) error {
	if a.inForce(s.Revision) {
		return nil
	}
	c, cancel := context.WithTimeout(ctx, revisionTimeout)
	defer cancel()
	if err := a.observer.AwaitRevision(c, s.Revision); err != nil {
		return err
	}
	x := &blackboard.Subscriber[State]{Version: configurationVersion}
	a.host.board.Subscribe(x)
	defer a.host.board.Unsubscribe(x)
	for !a.inForce(s.Revision) {
		select {
		case <-x.C:
		case <-c.Done():
			return errors.Annotatef(c.Err(), "put revision %d of host %s in force", s.Revision, s.Host)
		}
	}
	return nil
}

// inForce reports whether revision r or a later one is in force, always true for zero.
func (a *revisionWaiter) inForce(r uint64) bool {
	if r == 0 {
		return true
	}
	x := a.host.runtime()
	return x != nil && x.Revision >= r
}

// PeerDialer returns the dialer for other entry hosts, nil for a host without peers.
func (h *Host) PeerDialer() *dialer.Dialer {
	if h.peers == nil {
		return nil
	}
	return h.peers.dialer
}
