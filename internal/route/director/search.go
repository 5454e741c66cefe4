package director

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/caller/server"
	"github.com/cuminwick/cuminwick/internal/clock/scheduler"
	"github.com/cuminwick/cuminwick/internal/config/declarer"
	"github.com/cuminwick/cuminwick/internal/group/driver"
	"github.com/cuminwick/cuminwick/internal/route/chooser"
	"github.com/cuminwick/cuminwick/internal/route/matcher"
)

const (
	// firstPause is the time before the first repeated choice. The driver needs a status or two
	// to observe a change.
	firstPause = 5 * time.Millisecond
	// maximumPause bounds the pause, which doubles each time.
	maximumPause = 50 * time.Millisecond
	// indexTimeout bounds the wait for a read index, so that a host that has just lost its
	// connection to the majority still serves what it can within the deadlines of its requests.
	indexTimeout = 500 * time.Millisecond
	// coverTimeout bounds the wait for a replica to catch up. Another server is chosen then.
	coverTimeout = 4 * chooser.DefaultMaximumCatchUp
)

// search selects the backend server of one request.
type search struct {
	director *Director
	runtime  *Runtime
	group    *Group
	query    server.Query
	team     string

	rule    *declarer.RoutingRule
	request chooser.Request
	// excluded is a set of bits by server index.
	excluded   uint32
	candidates [chooser.MaximumCandidates]chooser.Candidate
	// pending is the read index that has been requested, nil if none has.
	pending driver.PendingIndex
}

// choose chooses among the servers by their present state.
func (s *search) choose() (chooser.Decision, []chooser.Candidate) {
	g := s.group
	l := g.candidates(s.director, g.statistics.Load(), s.candidates[:0])
	s.request.Excluded = s.excluded
	s.request.Random = s.director.Draw()
	s.request.Now = g.Driver.Now()
	return s.director.Chooser.Choose(&s.request, l), l
}

// excludeAvoided excludes the server that refused the previous attempt.
func (s *search) excludeAvoided() {
	for i := range s.group.servers {
		if s.group.servers[i].declared.Name == s.query.Avoid {
			s.excluded |= 1 << i
		}
	}
}

// chooseForWrite chooses the primary, and waits for one as long as a majority answers.
func (s *search) chooseForWrite(ctx context.Context) (server.Choice, error) {
	s.request.Write = true
	since := s.group.Driver.Now()
	if s.query.Attempt > 0 {
		s.group.Driver.PollNow()
	}
	for n := 0; ; n++ {
		_, err := s.group.Driver.WaitPrimary(ctx)
		if errors.Is(err, driver.ErrStopped) {
			return server.Choice{}, err
		}
		if err != nil {
			return s.refused(chooser.ReasonNoPrimary, nil, nil, err)
		}
		x, l := s.choose()
		if !x.Refused && !s.mustChooseAgain(l[x.Index], since) {
			return s.choice(&x, l), nil
		}
		if err := scheduler.Pause(ctx, backoff(n)); err != nil {
			return s.refused(chooser.ReasonNoPrimary, &x, l, err)
		}
	}
}

// mustChooseAgain reports whether the chosen primary is about to change, or has refused the previous
// attempt and has not been polled since. Otherwise a fenced primary would be tried again and again
// until the retry budget is spent.
func (s *search) mustChooseAgain(c chooser.Candidate, since time.Duration) bool {
	return s.group.Driver.HandingOver() || c.Name == s.query.Avoid && c.Observed < since
}

// chooseForRead chooses a server that holds the writes that the session must see.
func (s *search) chooseForRead(ctx context.Context) (server.Choice, error) {
	s.prepareRequest()
	s.excludeAvoided()
	if c, ok := s.runAhead(ctx); ok {
		return c, nil
	}
	since := s.group.Driver.Now()
	for n := 0; ; n++ {
		s.takeReadIndex(ctx)
		if s.group.Driver.Stopped() {
			return server.Choice{}, errors.Annotatef(driver.ErrStopped, "choose backend server of %s", s.query.Group)
		}
		x, l := s.choose()
		switch {
		case !x.Refused && s.waitCovered(ctx, &x) == nil:
			return s.choice(&x, l), nil
		case !x.Refused:
			// The server lags for longer than expected, so another one is chosen.
			s.excluded |= 1 << x.Index
			continue
		case !s.mayBecomeAvailable(x.Reason, since):
			return s.refused(x.Reason, &x, l, refusals[x.Reason])
		}
		s.excluded = 0
		if err := scheduler.Pause(ctx, backoff(n)); err != nil {
			return s.refused(x.Reason, &x, l, errors.WithType(err, ErrNoServer))
		}
	}
}

// mayBecomeAvailable reports whether a server may become available for a read that has been waiting
// since the given time. A host that has not reached a majority for long refuses at once; a few
// missed statuses do not count as that.
func (s *search) mayBecomeAvailable(why chooser.Reason, since time.Duration) bool {
	v := s.group.Driver.View()
	p := s.group.Driver.Thresholds().NoMajorityTimeout
	if !v.HasMajority() && v.At-v.NoMajoritySince >= p {
		return false
	}
	return why == chooser.ReasonNoServer || why == chooser.ReasonNoFreshness && s.group.Driver.Now()-since < p
}

// prepareRequest sets the parts of the chooser's request that are known when the request arrives.
func (s *search) prepareRequest() {
	q := &s.query
	s.request.Mark, s.request.HasMark = q.Mark, q.HasMark
	s.request.ReadIndex, s.request.HasReadIndex = q.ReadIndex, q.HasReadIndex
	s.rule = s.runtime.matcher.Match(matcher.Request{
		DatabaseGroup:   q.Group,
		Role:            q.Role,
		ApplicationName: q.ApplicationName,
		Tag:             q.Tag,
	})
	if s.rule != nil {
		s.request.WhenUnconfirmed = s.rule.WhenUnconfirmed
	}
	a, ok := matcher.AllowedAge(s.rule, q.MaximumAge, q.HasMaximumAge)
	if !ok {
		return
	}
	s.request.StaleAllowed = true
	k := s.group.statistics.Load()
	s.request.AgeMark, s.request.HasAgeMark = k.historian.RequiredMark(s.group.Driver.Now(), a)
}

// takeReadIndex waits for a read index if the read needs one and a majority is reachable.
func (s *search) takeReadIndex(ctx context.Context) {
	if !chooser.NeedsReadIndex(&s.request) || !s.group.Driver.View().HasMajority() {
		return
	}
	if s.pending == nil {
		s.pending = s.group.Driver.BeginReadIndex(ctx)
	}
	m, err := awaitIndex(ctx, s.pending)
	s.pending = nil
	s.request.ReadIndex, s.request.HasReadIndex = m, err == nil
}

// waitCovered waits until the chosen server holds the writes that the read needs.
func (s *search) waitCovered(ctx context.Context, x *chooser.Decision) error {
	if !x.WaitForMark {
		return nil
	}
	y, cancel := context.WithTimeout(ctx, coverTimeout)
	defer cancel()
	t := s.group.Driver.Now()
	err := s.group.Driver.WaitCovered(y, s.group.servers[x.Index].declared.Name, x.RequiredMark)
	s.group.recordWait(x.Index, s.group.Driver.Now()-t)
	return err
}

// choice records a decision and converts it to the session's choice.
func (s *search) choice(x *chooser.Decision, l []chooser.Candidate) server.Choice {
	b := &s.group.servers[x.Index]
	c := &l[x.Index]
	s.recordDecision(x, l)
	r := server.Choice{
		Server:     c.Name,
		Lessor:     b.writer,
		Primary:    c.Confirmed,
		AgeUnknown: x.AgeUnknown,
		Team:       s.team,
	}
	if s.request.Write {
		return r
	}
	s.director.Metrics.countRead(c.Confirmed)
	r.Lessor = b.reader
	if !chooser.MustAwaitMajority(c.Last, c, len(s.group.servers)) {
		r.SafeTerm = c.Last.Term
	}
	return r
}

// refusals holds the errors of reads that are refused without a further wait.
var refusals = map[chooser.Reason]error{
	chooser.ReasonNoFreshness: ErrUnconfirmed,
	chooser.ReasonNoServer:    ErrNoServer,
}

// refused logs and counts the refusal and returns its error.
func (s *search) refused(why chooser.Reason, x *chooser.Decision, l []chooser.Candidate, cause error) (server.Choice, error) {
	s.logDecision("", why, x, l)
	s.director.Metrics.countDecision(why)
	return server.Choice{}, errors.Annotatef(s.group.refuse(cause), "choose backend server of %s", s.query.Group)
}

// recordDecision logs and counts a decision.
func (s *search) recordDecision(x *chooser.Decision, l []chooser.Candidate) {
	s.logDecision(l[x.Index].Name, x.Reason, x, l)
	s.director.Metrics.countDecision(x.Reason)
}

// backoff returns the pause before the nth repeated choice, counted from zero.
func backoff(n int) time.Duration {
	const doublings = 4
	return min(firstPause<<min(n, doublings), maximumPause)
}
