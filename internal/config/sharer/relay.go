package sharer

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/config/declarer"
	"github.com/cuminwick/cuminwick/internal/config/follower"
	"github.com/cuminwick/cuminwick/internal/config/summarizer"
)

// maximumBodyWait bounds how long a relay waits for a file that it doesn't have yet.
const maximumBodyWait = time.Second

// Relays implements follower.Relays.
func (s *Sharer) Relays() []string {
	if s.ZoneHosts == nil {
		return nil
	}
	return summarizer.Relays(s.Host.AvailabilityZone, s.Host.Name, s.ZoneHosts())
}

// Consult implements follower.Relays.
func (s *Sharer) Consult(ctx context.Context, relay string, q follower.Consultation) (follower.Advice, error) {
	a, err := s.Ask(follower.WithoutWaiting(ctx), relay, Question{Consultation: &q})
	if err != nil {
		return follower.Advice{}, errors.Trace(err)
	}
	if a.Advice == nil {
		return follower.Advice{}, errors.Annotatef(ErrNoPeer, "relay %s gives no advice", relay)
	}
	return *a.Advice, nil
}

// FetchFrom implements follower.Relays.
func (s *Sharer) FetchFrom(ctx context.Context, relay string, r, base declarer.Revision) (follower.Delivery, error) {
	a, err := s.ask(ctx, relay, Question{Revision: r, Wait: maximumBodyWait, Base: base})
	if err != nil {
		return follower.Delivery{}, err
	}
	if a.Change != nil || a.Body != nil && a.Body.Revision == r {
		return follower.Delivery{Body: a.Body, Change: a.Change}, nil
	}
	return follower.Delivery{}, errors.Annotatef(ErrNoPeer, "revision %d at relay %s", r, relay)
}

// advise answers a host that uses this one as its relay.
func (s *Sharer) advise(ctx context.Context, c follower.Consultation) Share {
	a := s.Host.Advise(ctx, c)
	r, _ := s.Host.Current()
	return Share{InForce: declarer.Revision(r), Advice: &a}
}

// awaitFile waits until this host has the file that is asked for, for at most q.Wait.
func (s *Sharer) awaitFile(ctx context.Context, q Question) {
	if q.Revision == 0 || q.Wait <= 0 {
		return
	}
	c, cancel := context.WithTimeout(ctx, min(q.Wait, maximumBodyWait))
	defer cancel()
	s.Host.AwaitFile(c, q.Revision)
}
