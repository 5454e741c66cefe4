// Package sharer passes configurations between entry hosts while the platform doesn't answer.
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
	// DefaultInterval is how often a peer is asked while the platform fails.
	DefaultInterval = 2 * time.Second
	// maximumAttempts is how many peers are asked for one file.
	maximumAttempts = 3
	askTimeout      = 2 * time.Second
)

// ErrNoPeer says that no peer could answer.
const ErrNoPeer = errors.ConstError("no peer has it")

// Question asks a peer for its claim, and for a revision's file unless it is zero.
type Question struct {
	Revision declarer.Revision `cbor:"1,keyasint,omitempty"`
	// Wait is how long the peer may wait for the file.
	Wait time.Duration `cbor:"2,keyasint,omitempty"`
	// Consultation is set where the peer is asked as a relay.
	Consultation *follower.Consultation `cbor:"3,keyasint,omitempty"`
	// Base is a revision whose file the asking host holds, zero if it wants the whole
	// file. Hosts of versions that don't know it answer with the whole file.
	Base declarer.Revision `cbor:"4,keyasint,omitempty"`
}

// Share answers a Question.
type Share struct {
	// InForce is the revision that the peer decides by.
	InForce declarer.Revision `cbor:"1,keyasint"`
	// Claim is set where the peer's own revision is confirmed.
	Claim *adopter.Claim `cbor:"2,keyasint,omitempty"`
	// Body is the file that was asked for, nil if the peer doesn't hold it.
	Body *encoder.Body `cbor:"3,keyasint,omitempty"`
	// Advice answers a Consultation.
	Advice *follower.Advice `cbor:"4,keyasint,omitempty"`
	// Change is set instead of Body where it makes the file out of Base's.
	Change *encoder.Change `cbor:"5,keyasint,omitempty"`
}

// Sharer asks peers on behalf of one host, and answers theirs.
type Sharer struct {
	Host *follower.Host
	// Peers returns the names of peers that are believed to be live.
	Peers func() []string
	// ZoneHosts returns the live hosts of this host's zone, itself included.
	ZoneHosts func() []string
	// Ask asks one peer; see Over.
	Ask func(ctx context.Context, host string, q Question) (Share, error)
	// Random returns a number in [0, 1).
	Random func() float64
	// Interval is how often to ask while the platform fails, DefaultInterval if unset.
	Interval time.Duration
	// Clock tells when something is due, timers of its own if nil.
	Clock *scheduler.Scheduler
	Log   log.Interface
}

// AskThrough asks peers through a dialer.
func AskThrough(d *dialer.Dialer) func(context.Context, string, Question) (Share, error) {
	return func(ctx context.Context, host string, q Question) (Share, error) {
		return dialer.Call[Question, Share](ctx, d, host, peer.KindConfiguration, q)
	}
}

// Route answers the questions of peers.
func (s *Sharer) Route() listener.Route {
	return listener.Handle(peer.KindConfiguration, s.answer)
}

func (s *Sharer) answer(ctx context.Context, p peer.Sender, q Question) (Share, error) {
	// A host asks and reports for itself alone; its certificate says who it is.
	if c := q.Consultation; c != nil {
		c.Host = p.Host
	}
	if c := q.Consultation; c != nil && c.Report != nil {
		c.Report.Member.Host = p.Host
	}
	return s.Answer(ctx, q), nil
}

// Answer returns what this host can tell a peer.
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

// Fetch implements follower.Fetcher: it asks a few peers in random order.
func (s *Sharer) Fetch(ctx context.Context, r declarer.Revision) (encoder.Body, error) {
	for _, p := range s.pickPeers(maximumAttempts) {
		a, err := s.ask(ctx, p, Question{Revision: r})
		if err != nil {
			s.Log.WithError(err).WithField("peer", p).Warn("peer doesn't answer for a configuration")
			continue
		}
		if a.Body != nil && a.Body.Revision == r {
			return *a.Body, nil
		}
	}
	return encoder.Body{}, errors.Annotatef(ErrNoPeer, "revision %d", r)
}

// ask asks one peer. The peer's answer bears the very revision that this host
// is trying to reach, so the host must not wait for it before it takes the answer.
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

// Run asks a peer now and then while the platform doesn't answer.
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

// renew learns from a peer which revision is in force, and for how long that is
// confirmed.
func (s *Sharer) renew(ctx context.Context) {
	if s.Host.Status().FailingSince.IsZero() {
		return
	}
	for _, p := range s.pickPeers(1) {
		t := s.Host.Now()
		a, err := s.ask(ctx, p, Question{})
		if err != nil {
			s.Log.WithError(err).WithField("peer", p).Warn("peer doesn't answer for a configuration")
			return
		}
		s.Host.Learn(a.InForce)
		if a.Claim != nil {
			s.Host.Renew(*a.Claim, t)
		}
	}
}
