// Package promoter gives a database group another primary when it needs one.
package promoter

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/clock/scheduler"
	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/proxy/blackboard"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
	"github.com/cuminwick/cuminwick/internal/proxy/grouptracker"
	"github.com/cuminwick/cuminwick/internal/proxy/relaydialer"
	"github.com/cuminwick/cuminwick/internal/proxy/successor"
)

// Errors of claims. After any other error the claim may have been made.
const (
	// ErrNoClaim is a group that nobody has claimed.
	ErrNoClaim = errors.ConstError("no claim")
	// ErrClaimChanged is a claim that another host has changed.
	ErrClaimChanged = errors.ConstError("claim was changed by another host")
	// ErrFenced is an order that came too late, or whose server doesn't run.
	ErrFenced = errors.ConstError("promotion refused")
)

const (
	// firstClaimDelay is when after its start a host claims a group that nobody has, and
	// firstClaimSpread times its own delay is added.
	firstClaimDelay  = 2 * time.Second
	firstClaimSpread = 30
	// promoteTick is how often a group is looked at.
	promoteTick = 50 * time.Millisecond
	// outsideTick is the same at hosts that stand by for the others.
	outsideTick = 1500 * time.Millisecond
	// probeTimeout bounds a status: 250 ms for the direct way, as long for another
	// host's, and 100 ms for a new connection and a busy slot.
	probeTimeout = 600 * time.Millisecond
	// majorityGrace is how long the rest is waited for once more than half of the
	// servers have answered: one in another region may have the longest log.
	majorityGrace = 100 * time.Millisecond
	// probeInterval is the least time between two probes of a suspected primary.
	probeInterval = 150 * time.Millisecond
	// claimTimeout bounds a call about a claim, orderTimeout an order.
	claimTimeout = 500 * time.Millisecond
	orderTimeout = time.Second
	// deference is how long the host that holds a group's claim is let act. Hosts that
	// promote in turn, each by what it sees, would take the lead from one server after
	// the other. It is longer than the spread of the hosts' decisions and an order.
	deference = 1200 * time.Millisecond
	// leaseSlack is what a host waits beyond another's lease, for an order on its way.
	leaseSlack = 200 * time.Millisecond
	// claimInterval is the least time between two looks at the claim.
	claimInterval = 200 * time.Millisecond
	// moveInterval is the least time between two planned moves of which the first was given
	// up, as each leaves the group without a primary for a second or so.
	moveInterval = 3 * time.Second
	// renewInterval is the least time between two attempts to renew a claim.
	renewInterval = 2 * time.Second
	// leadTimeout bounds the wait until a promoted server leads.
	leadTimeout = 4 * time.Second
	leadStep    = 50 * time.Millisecond
	// catchUp bounds the wait for the heir in a planned move.
	catchUp     = 500 * time.Millisecond
	catchUpStep = 10 * time.Millisecond
)

// Roles says which part this entry host has among the others in looking after a group.
type Roles interface {
	// Watches reports whether it looks after the group at full rate.
	Watches(group string) bool
	// MayClaim reports whether it may claim a group that nobody has claimed.
	MayClaim(group string) bool
}

// Counter counts promotions.
type Counter interface {
	// Phase notes how long a phase of a promotion took.
	Phase(phase string, d time.Duration)
	Promotion(reason, result string)
}

// Promoter looks after the lead of one group. Its exported fields are set before Run.
type Promoter struct {
	// Host is this entry host.
	Host  string
	Group string
	Board *blackboard.Board
	Roles Roles
	// Dialer asks other hosts about a server, Prober asks servers.
	Dialer   *relaydialer.Dialer
	Prober   *Prober
	Platform Platform
	Counter  Counter
	// Lease returns how long a host that has ordered a promotion is respected.
	Lease func() time.Duration
	Log   log.Interface

	judge  successor.Detector
	probed time.Time
	// held is this host's claim, if it made the last one it knows of.
	held Claim
	// unmoved is when a planned move was last given up.
	unmoved time.Time
	// renewed is when it was last put anew.
	renewed time.Time
	// needed says that the group needs another primary.
	needed bool
	// neededAt is since when.
	neededAt time.Time
	// rival is the token of the claim that was found since, rivalAt when it was.
	rival   uint64
	rivalAt time.Time
	// warned says that the need was told already.
	warned bool
	// blind says that it was told that the claim can't be read.
	blind bool
	// looked is when the claim was last read.
	looked time.Time
}

// Run looks at the group until ctx ends.
func (p *Promoter) Run(ctx context.Context) {
	p.judge = successor.Detector{Host: p.Host, Group: p.Group}
	p.claimUnclaimed(ctx)
	for scheduler.Pause(ctx, p.tick()) == nil {
		p.step(ctx)
	}
}

// tick is how long this host waits until it looks at the group again. In a large
// deployment only some hosts look often: all of them would fill a group's few slots with
// their questions as soon as its primary is lost.
func (p *Promoter) tick() time.Duration {
	if p.Roles.Watches(p.Group) {
		return promoteTick
	}
	return outsideTick
}

func (p *Promoter) step(ctx context.Context) {
	s := p.view()
	if p.judge.ShouldProbe(s) && time.Since(p.probed) > probeInterval {
		p.probe(ctx, s)
		s = p.view()
	}
	r := p.judge.Decide(s)
	if r == successor.ReasonNone {
		p.needed = false
		p.renew(ctx)
		return
	}
	if !p.needed {
		p.needed, p.warned, p.blind, p.rivalAt = true, false, false, time.Time{}
		p.neededAt = time.Now()
	}
	if r == successor.ReasonDraining && time.Since(p.unmoved) < moveInterval {
		return
	}
	if time.Since(p.looked) >= claimInterval {
		p.looked = time.Now()
		p.replace(ctx, s, r)
	}
}

func (p *Promoter) view() successor.View {
	s := successor.View{Now: p.Board.Time()}
	p.Board.Do(p.Group, func(g *grouptracker.Group) {
		if x := g.Primary(); x != nil {
			c := *x
			s.Primary = &c
		}
		for _, x := range g.Servers() {
			c := *x
			s.Servers = append(s.Servers, &c)
		}
	})
	return s
}

// replace gives the group another primary, unless another host is about to.
func (p *Promoter) replace(ctx context.Context, s successor.View, r successor.Reason) {
	l := p.Log.WithFields(log.Fields{"database-group": p.Group, "reason": r})
	others := p.inquire(ctx, s, r)
	// The claim is read before the servers are asked: where another host promotes in
	// between, this host's claim fails, and its old answers decide nothing.
	present, err := p.claim(ctx)
	if err != nil && !errors.Is(err, ErrNoClaim) && !p.blind {
		p.blind = true
		l.WithError(err).Warn("claim not read")
	}
	c := p.ask(ctx, reachable(s))
	if !confirms(r, <-others.done) {
		return
	}
	for _, x := range c {
		if x.Status.Primary && r != successor.ReasonDraining {
			return // it leads; ask has noted so
		}
	}
	zone := ""
	if s.Primary != nil {
		zone = s.Primary.AvailabilityZone
	}
	heir, ok := successor.Choose(c, len(s.Servers), p.synchronous(), zone)
	if !ok {
		if !p.warned {
			p.warned = true
			l.WithField("answers", len(c)).WithField("servers", len(s.Servers)).Warn("no server can take over")
		}
		return
	}
	claim, ok := p.win(ctx, present, err, heir.Server.ID, successor.NewestTerm(c))
	if !ok {
		return
	}
	l = l.WithFields(log.Fields{"heir": heir.Server.ID, "position": heir.Status.Received.String(), "token": claim.Token, "above": claim.AboveTerm})
	p.Counter.Phase(phaseDecide, time.Since(p.neededAt))
	if r == successor.ReasonDraining && !p.stepDown(ctx, s.Primary.Server, heir, claim.AboveTerm, l) && p.synchronous() > 0 {
		// Another replica may have an acknowledged commit that the heir lacks. Without a
		// leader the longest log is looked for anew.
		p.unmoved = time.Now()
		p.Board.Do(p.Group, func(g *grouptracker.Group) { g.RecordNotLeading(s.Primary.ID) })
		return
	}
	p.Counter.Promotion(string(r), p.order(ctx, heir.Server, claim, l))
}

// synchronous returns how many replicas have a commit of the group before it is
// acknowledged.
func (p *Promoter) synchronous() int {
	if c := p.Board.Configuration(); c != nil {
		return c.Groups[p.Group].SynchronousReplicas
	}
	return 0
}

// stepDown has the leaving primary stop leading, and waits until the heir has all of
// its log, which it reports. Commits that it made until the promotion took effect would be
// dropped.
func (p *Promoter) stepDown(ctx context.Context, old declarer.Server, heir successor.Candidate, above marker.Term, l log.Interface) bool {
	c, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	s, err := p.Prober.Demote(c, old, above+1)
	if err != nil {
		l.WithError(err).Warn("leaving primary did not step down")
		return false
	}
	end := time.Now().Add(catchUp)
	for time.Now().Before(end) {
		h, err := p.Prober.Status(c, heir.Server)
		if err == nil && h.Received.Covers(s.Received) {
			return true
		}
		if scheduler.Pause(c, catchUpStep) != nil {
			break
		}
	}
	l.WithField("want", s.Received.String()).Warn("heir did not catch up")
	return false
}

// Phases of a promotion.
const (
	// phaseDecide is from the need, which shows within a second of the loss, to the order.
	phaseDecide = "need-to-order"
	// phaseLead is from the order to the lead.
	phaseLead = "order-to-lead"
)

// Results of an order.
const (
	resultDone        = "done"
	resultRefused     = "refused"
	resultUnconfirmed = "unconfirmed"
)

// order has the platform promote the server, and waits until it leads.
func (p *Promoter) order(ctx context.Context, s declarer.Server, x Claim, l log.Interface) string {
	began := time.Now()
	l.Info("promotion ordered")
	for time.Since(began) < leadTimeout {
		err := p.orderOnce(ctx, s, x)
		switch {
		case errors.Is(err, ErrFenced):
			l.WithError(err).Warn("promotion refused")
			return resultRefused
		case err != nil:
			l.WithError(err).Warn("promotion not answered")
		}
		if p.awaitLead(ctx, s, began) {
			p.Counter.Phase(phaseLead, time.Since(began))
			l.WithField("took", time.Since(began).String()).Info("promotion done")
			return resultDone
		}
		if err == nil {
			break
		}
	}
	l.Warn("promoted server does not lead")
	return resultUnconfirmed
}

func (p *Promoter) orderOnce(ctx context.Context, s declarer.Server, x Claim) error {
	c, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return p.Platform.Promote(c, p.Group, s.ID, p.Host, x.Token)
}

// awaitLead asks the server until it leads.
func (p *Promoter) awaitLead(ctx context.Context, s declarer.Server, began time.Time) bool {
	for time.Since(began) < leadTimeout {
		for _, c := range p.ask(ctx, []*grouptracker.Server{{Server: s}}) {
			if c.Status.Primary {
				return true
			}
		}
		if scheduler.Pause(ctx, leadStep) != nil {
			return false
		}
	}
	return false
}
