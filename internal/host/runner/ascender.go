package runner

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/peer/dialer"
	"github.com/cuminwick/cuminwick/internal/peer/encoder"
	"github.com/cuminwick/cuminwick/internal/state/blackboard"
)

// RevisionObserver is a Source that can be told that a peer is at a revision.
type RevisionObserver interface {
	// Observe returns once the source is at revision r or a later one.
	Observe(ctx context.Context, r uint64) error
}

// ascender moves this host up to the revision of a message before the message
// is handled. Otherwise one request could be decided by two configurations.
type ascender struct {
	host     *Host
	observer RevisionObserver
}

// ascendTimeout bounds the wait, after which the message is refused.
const ascendTimeout = 3 * time.Second

func (a *ascender) heard(ctx context.Context, s encoder.Sender) error {
	if a.isAt(s.Revision) {
		return nil
	}
	c, cancel := context.WithTimeout(ctx, ascendTimeout)
	defer cancel()
	if err := a.observer.Observe(c, s.Revision); err != nil {
		return err
	}
	x := &blackboard.Subscriber[State]{Version: configurationVersion}
	a.host.board.Subscribe(x)
	defer a.host.board.Unsubscribe(x)
	for !a.isAt(s.Revision) {
		select {
		case <-x.C:
		case <-c.Done():
			return errors.Annotatef(c.Err(), "put revision %d of host %s in force", s.Revision, s.Host)
		}
	}
	return nil
}

func (a *ascender) isAt(r uint64) bool {
	if r == 0 {
		return true
	}
	x := a.host.runtime()
	return x != nil && x.Revision >= r
}

// PeerDialer returns what calls other entry hosts, nil for a host alone.
func (h *Host) PeerDialer() *dialer.Dialer {
	if h.peers == nil {
		return nil
	}
	return h.peers.dialer
}
