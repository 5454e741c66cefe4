package promoter

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/clock/scheduler"
	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
	"github.com/cuminwick/cuminwick/internal/proxy/grouptracker"
	"github.com/cuminwick/cuminwick/internal/proxy/relaydialer"
	"github.com/cuminwick/cuminwick/internal/proxy/successor"
)

const (
	// takeoverTime is how long replicas stay paused after an order was closed: the platform may have
	// accepted it just before, and the promoted server then leads within this time.
	takeoverTime = 1500 * time.Millisecond
	// oldPrimaryCheckInterval and replicaCheckInterval are how often the lost primary and the paused
	// replicas are queried until the heir leads.
	oldPrimaryCheckInterval = 20 * time.Millisecond
	replicaCheckInterval    = 100 * time.Millisecond
	// pauseCheckInterval is how often a host checks whether replicas were left paused.
	pauseCheckInterval = 2 * time.Second
)

// fence pauses the replicas of a group that replicates synchronously, and reports whether a server may be
// promoted. Once so many replicas are paused that the others can't acknowledge a commit, no primary can,
// whichever hosts reach it and however late the order is carried out. The heir is then chosen
// again, as it may have received more before it was paused. Replicas that don't support this are
// left as they are if another host has confirmed the loss.
func (p *Promoter) fence(ctx context.Context, x *promotion, l log.Interface) bool {
	if x.required.Synchronous == 0 {
		return true
	}
	p.unsettled, p.closedToken = true, 0
	c, unsupported := p.pause(ctx, worthProbing(x.view), x.claim.AboveTerm+1)
	before := x.required // by which the heir was chosen
	if reportsPrimary(c) || !p.confirmMembers(ctx, x, l) {
		return false
	}
	heir, ok := successor.Choose(c, x.required)
	switch {
	case ok:
		return p.replaceHeir(ctx, x, heir)
	case unsupported && before == x.required && (x.verdict == relaydialer.VerdictDown || x.reason == successor.ReasonNoPrimary):
		l.Warn("replicas can't be paused")
		return true
	}
	l.WithField("paused", len(c)).Warn("too few replicas paused")
	return false
}

// replaceHeir makes heir the server of the promotion and of its claim.
func (p *Promoter) replaceHeir(ctx context.Context, x *promotion, heir successor.Candidate) bool {
	x.heir = heir
	if heir.Server.ID == x.claim.Server {
		return true
	}
	n := x.claim
	n.Server, n.Base = heir.Server.ID, heir.Status.Received
	c, err := p.putClaim(ctx, n)
	if err != nil {
		return false
	}
	x.claim = c
	return true
}

// pause pauses the servers, all at once, and returns the answers of those that are paused or lead. unsupported
// is set if a server doesn't know the command.
func (p *Promoter) pause(ctx context.Context, l []*grouptracker.Server, t marker.Term) (paused []successor.Candidate, unsupported bool) {
	for _, r := range p.commandAll(ctx, l, declarer.Request{Verb: declarer.VerbPause, Term: t}) {
		switch {
		case r.err == nil && (r.candidate.Status.PauseTerm > 0 || r.candidate.Status.Primary):
			paused = append(paused, r.candidate)
		case errors.Is(r.err, ErrCommandUnsupported):
			unsupported = true
		}
	}
	return paused, unsupported
}

// commandAll sends a command to the servers, all at once, and returns their answers.
func (p *Promoter) commandAll(ctx context.Context, l []*grouptracker.Server, q declarer.Request) []reply {
	c, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	r := make(chan reply, len(l))
	var g sync.WaitGroup
	for _, s := range l {
		g.Add(1)
		go (&statusQuery{promoter: p, server: s.Server, command: q, replies: r}).run(c, &g)
	}
	g.Wait()
	close(r)
	var all []reply
	for x := range r {
		all = append(all, x)
	}
	return all
}

// suppress keeps the old primary from acknowledging commits until the heir of an accepted order leads or ctx
// ends: the primary may be back before, and replicas that are started again aren't paused any more.
func (p *Promoter) suppress(ctx context.Context, o order) {
	for _, s := range o.rivals {
		x := &suppressor{promoter: p, server: s.Server, term: o.claim.AboveTerm + 1, interval: replicaCheckInterval, pauses: p.synchronous() > 0}
		if o.old != nil && s.ID == o.old.ID {
			x.interval = oldPrimaryCheckInterval
		}
		if x.pauses || x.interval == oldPrimaryCheckInterval {
			go x.run(ctx, context.WithoutCancel(ctx))
		}
	}
}

// suppressor keeps one server from leading or, if it is to be paused, from receiving.
type suppressor struct {
	promoter *Promoter
	server   declarer.Server
	term     marker.Term
	interval time.Duration
	pauses   bool
}

// run sends commands under calls, which outlasts ctx: a command that is cut off would count as a failure of
// the server.
func (x *suppressor) run(ctx, calls context.Context) {
	for scheduler.Pause(ctx, x.interval) == nil {
		s, err := x.command(calls, declarer.VerbStatus)
		switch {
		case err != nil || ctx.Err() != nil:
		case s.Primary:
			_, _ = x.command(calls, declarer.VerbDemote)
		case x.pauses && s.PauseTerm == 0:
			_, err = x.command(calls, declarer.VerbPause)
			x.pauses = !errors.Is(err, ErrCommandUnsupported)
		}
	}
}

func (x *suppressor) command(ctx context.Context, v declarer.Verb) (declarer.Status, error) {
	r := x.promoter.commandAll(ctx, []*grouptracker.Server{{Server: x.server}}, declarer.Request{Verb: v, Term: x.term})
	return r[0].candidate.Status, r[0].err
}

// resumeReplicas resumes all paused servers but the primary, and reports whether none that is listed is paused
// any more.
func (p *Promoter) resumeReplicas(ctx context.Context, primary string) bool {
	paused, done := p.paused(ctx, without(p.view().Servers, primary))
	for _, r := range p.commandAll(ctx, paused, declarer.Request{Verb: declarer.VerbResume}) {
		l := p.Log.WithFields(log.Fields{"database-group": p.Group, "server": r.candidate.Server.ID})
		if r.err != nil {
			done = false
			l.WithError(r.err).Warn("replica not resumed")
			continue
		}
		l.Info("replica resumed")
	}
	return done
}

// paused returns which of the servers report to be paused, and whether all have answered.
func (p *Promoter) paused(ctx context.Context, l []*grouptracker.Server) (paused []*grouptracker.Server, complete bool) {
	complete = true
	for _, r := range p.commandAll(ctx, l, declarer.Request{Verb: declarer.VerbStatus}) {
		switch {
		case r.err != nil:
			complete = false
		case r.candidate.Status.PauseTerm > 0:
			paused = append(paused, &grouptracker.Server{Server: r.candidate.Server})
		}
	}
	return paused, complete
}

// checkPauses looks for replicas that were left paused, for instance by a host that has failed: they
// acknowledge no commits. Servers that don't answer this host are left out, as waiting for them would hold up
// the next check of the primary.
func (p *Promoter) checkPauses(ctx context.Context) {
	if p.synchronous() == 0 || p.unsettled || !p.Roles.MayClaim(p.Group) || time.Since(p.pauseCheckedAt) < pauseCheckInterval {
		return
	}
	p.pauseCheckedAt = time.Now()
	s := p.view()
	if s.Primary == nil || p.replicasPaused {
		return
	}
	if s.Absent > 0 {
		// In a group without requests, nothing else shows that others have the commits of a server whose
		// entry has lapsed.
		p.queryStatus(ctx, []*grouptracker.Server{s.Primary})
	}
	l := slices.DeleteFunc(without(s.Servers, s.Primary.ID), func(x *grouptracker.Server) bool { return x.FailingSince != 0 })
	if paused, _ := p.paused(ctx, l); len(paused) > 0 {
		p.replicasPaused, p.suspected, p.settleAt = true, true, time.Now().Add(settleDelay)
	}
}

// reportsPrimary reports whether one of the servers says that it is the primary.
func reportsPrimary(l []successor.Candidate) bool {
	return slices.ContainsFunc(l, func(c successor.Candidate) bool { return c.Status.Primary })
}
