package promoter

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/cuminwick/cuminwick/internal/clock/scheduler"
	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/proxy/blackboard"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
	"github.com/cuminwick/cuminwick/internal/proxy/grouptracker"
	"github.com/cuminwick/cuminwick/internal/proxy/relaydialer"
	"github.com/cuminwick/cuminwick/internal/proxy/successor"
)

// promotion is a promotion that is about to be ordered.
type promotion struct {
	view     successor.View
	reason   successor.Reason
	required successor.Requirement
	heir     successor.Candidate
	claim    Claim
	// listAge is the age of the list of servers on the board, claimRead whether the platform's claim could be read.
	listAge   time.Duration
	claimRead bool
	// confirmedAt is when the members of the group were last read, on the board's clock, zero if the promotion
	// doesn't depend on them.
	confirmedAt time.Duration
	// verdict is what other hosts have reported about the lost primary.
	verdict relaydialer.Verdict
}

// choose chooses the server to promote. A host whose list of servers may be outdated, for instance as it was cut
// off from the store, reads the entry of the server that it has chosen: a server that drains by now would
// be the primary until it stops.
func (p *Promoter) choose(ctx context.Context, l []successor.Candidate, q successor.Requirement, readable bool) (successor.Candidate, bool) {
	for {
		c, ok := successor.Choose(l, q)
		if !ok || c.Server.Draining || !readable || p.Board.Age(blackboard.SectionServers) < listStaleAfter {
			return c, ok
		}
		drains, err := p.drains(ctx, c.Server.ID)
		if err != nil {
			p.Log.WithError(err).WithFields(log.Fields{"database-group": p.Group, "heir": c.Server.ID}).Warn("entry of the server not read")
		}
		if !drains {
			return c, ok
		}
		for i := range l {
			l[i].Server.Draining = l[i].Server.Draining || l[i].Server.ID == c.Server.ID
		}
	}
}

// drains reads from the platform whether a server drains.
func (p *Promoter) drains(ctx context.Context, server string) (bool, error) {
	c, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	return p.Platform.Draining(c, server)
}

// carryOut has the server of x promoted once the old primary can acknowledge nothing more.
func (p *Promoter) carryOut(ctx context.Context, x *promotion, l log.Interface) {
	o := order{}
	if x.reason == successor.ReasonDraining {
		l := l.WithFields(x.fields())
		if !p.stepDown(ctx, x.view.Primary.Server, x.heir, x.claim.AboveTerm, l) && x.required.Synchronous > 0 {
			// Another replica may have an acknowledged commit that the candidate lacks. Once the
			// group is without a primary, the server with the longest log is chosen again.
			p.switchoverFailedAt = time.Now()
			p.Board.Do(p.Group, func(g *grouptracker.Group) { g.RecordNotLeading(x.view.Primary.ID) })
			return
		}
	} else {
		if !p.fence(ctx, x, l) {
			return
		}
		o.old, o.rivals = x.view.Primary, without(x.view.Servers, x.heir.Server.ID)
	}
	o.heir, o.claim, o.valid = x.heir.Server, x.claim, p.decisionValid(x)
	p.Counter.Phase(phaseDecide, time.Since(p.neededAt))
	p.Counter.Promotion(string(x.reason), p.promote(ctx, o, l.WithFields(x.fields())))
}

// decisionValid returns a function that reports whether the members of the group were read recently enough to
// order x, nil if that doesn't depend on them: while this process was suspended, servers may have joined.
func (p *Promoter) decisionValid(x *promotion) func() bool {
	if x.confirmedAt == 0 {
		return nil
	}
	t := x.confirmedAt
	return func() bool { return p.Board.Time()-t < decisionTimeout }
}

// fields returns the promotion's fields for log lines.
func (x *promotion) fields() log.Fields {
	return log.Fields{
		"heir": x.heir.Server.ID, "position": x.heir.Status.Received.String(), "token": x.claim.Token, "above": x.claim.AboveTerm,
		"servers": x.required.Servers, "absent": x.required.Absent, "list-age": x.listAge.String(), "claim-read": x.claimRead, "members-read": x.confirmedAt != 0,
	}
}

// requirement returns what the group requires of the server to promote, given the newest known claim and
// the servers that have answered.
func (p *Promoter) requirement(s successor.View, known Claim, l []successor.Candidate) successor.Requirement {
	q := successor.Requirement{
		Servers: len(s.Servers), Absent: s.Absent, Synchronous: p.synchronous(),
		Term: max(known.LedTerm, p.ledTerm(), successor.NewestLog(l)), Base: known.Base,
	}
	if s.Primary != nil {
		q.Zone = s.Primary.AvailabilityZone
	}
	return q
}

// ledTerm returns the newest term in which this host has seen a server of the group lead.
func (p *Promoter) ledTerm() marker.Term {
	var t marker.Term
	p.Board.Do(p.Group, func(g *grouptracker.Group) {
		if o, ok := g.LatestConfirmation(); ok {
			t = o.Mark.Term
		}
	})
	return t
}

// stepDown demotes the draining primary and reports whether the candidate then got all of its
// log. Without this step, commits made until the promotion takes effect would be dropped.
func (p *Promoter) stepDown(ctx context.Context, old declarer.Server, candidate successor.Candidate, above marker.Term, l log.Interface) bool {
	c, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	s, err := p.Prober.Demote(c, old, above+1)
	if err != nil {
		l.WithError(err).Warn("draining primary did not step down")
		return false
	}
	end := time.Now().Add(catchUpTimeout)
	for time.Now().Before(end) {
		h, err := p.Prober.Status(c, candidate.Server)
		if err == nil && h.Received.Covers(s.Received) {
			return true
		}
		if scheduler.Pause(c, catchUpPollInterval) != nil {
			break
		}
	}
	l.WithField("want", s.Received.String()).Warn("promotion candidate did not catch up")
	return false
}
