// Package sharer exchanges configuration files and confirmations between entry hosts: with peers while
// the platform doesn't answer, and with the relays of the host's zone.
package sharer

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/clock/scheduler"
	"github.com/cuminwick/cuminwick/internal/config/adopter"
	"github.com/cuminwick/cuminwick/internal/config/declarer"
	"github.com/cuminwick/cuminwick/internal/config/encoder"
	"github.com/cuminwick/cuminwick/internal/config/follower"
	"github.com/cuminwick/cuminwick/internal/peer/dialer"
	peer "github.com/cuminwick/cuminwick/internal/peer/encoder"
	"github.com/cuminwick/cuminwick/internal/peer/listener"
)

const (
	// DefaultInterval is the time between two questions to peers while the platform fails.
	DefaultInterval = 2 * time.Second
	// maximumAttempts is the maximum number of peers asked for one file.
	maximumAttempts = 3
	askTimeout      = 2 * time.Second
)

// ErrNoPeer is returned if none of the peers or relays asked has the answer.
const ErrNoPeer = errors.ConstError("no peer has it")

// Question asks a peer for its claim, and for a revision's file unless it is zero.
type Question struct {
	Revision declarer.Revision `cbor:"1,keyasint,omitempty"`
	// Wait is how long the peer may wait until it has the file itself.
	Wait time.Duration `cbor:"2,keyasint,omitempty"`
	// Consultation is set if the peer is asked as a relay.
	Consultation *follower.Consultation `cbor:"3,keyasint,omitempty"`
	// Base is a revision whose file the asking host has, zero if it needs the whole file. Hosts of
	// versions without this field answer with the whole file.
	Base declarer.Revision `cbor:"4,keyasint,omitempty"`
}

// Share answers a Question.
type Share struct {
	// InForce is the revision in force on the peer.
	InForce declarer.Revision `cbor:"1,keyasint"`
	// Claim is set if the peer's revision is confirmed.
	Claim *adopter.Claim `cbor:"2,keyasint,omitempty"`
	// Body is the file that was asked for, nil if the peer doesn't have it.
	Body *encoder.Body `cbor:"3,keyasint,omitempty"`
	// Advice answers a Consultation.
	Advice *follower.Advice `cbor:"4,keyasint,omitempty"`
	// Change is set instead of Body if the peer has the change from Base's file to the file.
	Change *encoder.Change `cbor:"5,keyasint,omitempty"`
}

// Sharer sends questions to peers on behalf of one host and answers theirs.
type Sharer struct {
	Host *follower.Host
	// Peers returns the names of the peers that are assumed to be live, as a slice that the caller
	// may change.
	Peers func() []string
	// ZoneHosts returns the live hosts of this host's zone, itself included. If it is nil, the host has
	// no relays.
	ZoneHosts func() []string
	// Ask sends a question to one peer; see AskThrough.
	Ask func(ctx context.Context, host string, q Question) (Share, error)
	// Random returns a number in [0, 1).
	Random func() float64
	// Interval is the time between two questions while the platform fails, DefaultInterval if unset.
	Interval time.Duration
	// Clock provides the timers; if it is nil, the runtime's own timers are used.
	Clock *scheduler.Scheduler
	Log   log.Interface
}

// AskThrough returns a function for Sharer.Ask that sends questions through d.
func AskThrough(d *dialer.Dialer) func(context.Context, string, Question) (Share, error) {
	return func(ctx context.Context, host string, q Question) (Share, error) {
		return dialer.Call[Question, Share](ctx, d, host, peer.KindConfiguration, q)
	}
}

// Route returns the route that answers questions of peers.
func (s *Sharer) Route() listener.Route {
	return listener.Handle(peer.KindConfiguration, s.answer)
}

func (s *Sharer) answer(ctx context.Context, p peer.Sender, q Question) (Share, error) {
	// A host asks and reports only for itself, so the host name of its certificate overrides the one
	// in the question.
	if c := q.Consultation; c != nil {
		c.Host = p.Host
	}
	if c := q.Consultation; c != nil && c.Report != nil {
		c.Report.Member.Host = p.Host
	}
	return s.Answer(ctx, q), nil
}

// Answer returns this host's answer to a peer's question.
func (s *Sharer) Answer(ctx context.Context, q Question) Share {
	if q.Consultation != nil {
		return s.advise(ctx, *q.Consultation)
	}
	s.awaitFile(ctx, q)
	r, _ := s.Host.Current()
	a := Share{InForce: declarer.Revision(r)}
	if c, ok := s.Host.Claim(); ok {
		a.Claim = &c
	}
	if d, ok := s.Host.Deliver(q.Revision, q.Base); ok {
		a.Body, a.Change = d.Body, d.Change
	}
	return a
}

// Fetch implements follower.Fetcher: it asks up to maximumAttempts peers in random order.
func (s *Sharer) Fetch(ctx context.Context, r declarer.Revision) (encoder.Body, error) {
	for _, p := range s.pickPeers(maximumAttempts) {
		a, err := s.ask(ctx, p, Question{Revision: r})
		if err != nil {
			s.Log.WithError(err).WithField("peer", p).Warn("peer did not answer a configuration question")
			continue
		}
		if a.Body != nil && a.Body.Revision == r {
			return *a.Body, nil
		}
	}
	return encoder.Body{}, errors.Annotatef(ErrNoPeer, "revision %d", r)
}

// ask sends a question to one peer. The answer carries the peer's revision, which may be the one that
// this host is fetching, so the host must not wait until that revision is in force before it processes
// the answer.
func (s *Sharer) ask(ctx context.Context, p string, q Question) (Share, error) {
	ctx, cancel := context.WithTimeout(follower.WithoutWaiting(ctx), askTimeout)
	defer cancel()
	return s.Ask(ctx, p, q)
}

// pickPeers returns up to n peers in random order.
func (s *Sharer) pickPeers(n int) []string {
	l := s.Peers()
	for i := range l {
		j := i + int(s.Random()*float64(len(l)-i))
		l[i], l[j] = l[j], l[i]
	}
	return l[:min(n, len(l))]
}

// Run asks a peer for its claim once per interval while the platform doesn't answer. It returns when
// ctx ends.
func (s *Sharer) Run(ctx context.Context) error {
	d := s.Interval
	if d <= 0 {
		d = DefaultInterval
	}
	t, x := s.Clock.Ticks(d)
	defer x.Cancel()
	for {
		select {
		case <-t:
			s.renew(ctx)
		case <-ctx.Done():
			return nil
		}
	}
}

// renew asks a peer which revision is in force and for how long that is confirmed, if the platform
// fails.
func (s *Sharer) renew(ctx context.Context) {
	if s.Host.Status().FailingSince.IsZero() {
		return
	}
	for _, p := range s.pickPeers(1) {
		t := s.Host.Now()
		a, err := s.ask(ctx, p, Question{})
		if err != nil {
			s.Log.WithError(err).WithField("peer", p).Warn("peer did not answer a configuration question")
			return
		}
		s.Host.ObserveAccepted(a.InForce)
		if a.Claim != nil {
			s.Host.Renew(*a.Claim, t)
		}
	}
}
