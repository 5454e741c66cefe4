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
	// firstPause is the time before a server is looked for again; the driver
	// needs a status or two to see what has changed.
	firstPause = 5 * time.Millisecond
	// maximumPause bounds the pause, which doubles each time.
	maximumPause = 50 * time.Millisecond
	// indexTimeout ends the wait for a read index, so that a host that has just
	// been cut off serves what it can in time.
	indexTimeout = 500 * time.Millisecond
	// coverTimeout ends the wait for a replica; another server is taken then.
	coverTimeout = 4 * chooser.DefaultMaximumCatchUp
)

// search looks for the backend server of one request.
type search struct {
	director *Director
	runtime  *Runtime
	group    *Group
	query    server.Query
	team     string

	rule       *declarer.RoutingRule
	request    chooser.Request
	excluded   uint32
	candidates [chooser.MaximumCandidates]chooser.Candidate
	// pending is a read index that is being taken.
	pending driver.PendingIndex
}

// look chooses among the servers as they are known now.
func (s *search) look() (chooser.Decision, []chooser.Candidate) {
	g := s.group
	l := g.candidates(s.director, g.knowledge.Load(), s.candidates[:0])
	s.request.Excluded = s.excluded
	s.request.Random = s.director.Draw()
	s.request.Now = g.Driver.Now()
	return s.director.Chooser.Choose(&s.request, l), l
}

// avoid excludes the server that refused the attempt before.
func (s *search) avoid() {
	for i := range s.group.servers {
		if s.group.servers[i].declared.Name == s.query.Avoid {
			s.excluded |= 1 << i
		}
	}
}

// write looks for the primary, and waits for one as long as a majority answers.
func (s *search) write(ctx context.Context) (server.Choice, error) {
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
		x, l := s.look()
		if !x.Refused && !s.mustLookAgain(l[x.Index], since) {
			return s.chosen(&x, l), nil
		}
		if err := scheduler.Pause(ctx, backoff(n)); err != nil {
			return s.refused(chooser.ReasonNoPrimary, &x, l, err)
		}
	}
}

// mustLookAgain reports whether the chosen primary is about to change, or has
// refused the attempt before and hasn't been asked for its status since then.
// Without this a primary that was fenced would be tried again and again until
// the retry budget is spent.
func (s *search) mustLookAgain(c chooser.Candidate, since time.Duration) bool {
	return s.group.Driver.HandingOver() || c.Name == s.query.Avoid && c.Observed < since
}

// read looks for a server that may show the session what it must see.
func (s *search) read(ctx context.Context) (server.Choice, error) {
	s.ask()
	s.avoid()
	if c, ok := s.ahead(ctx); ok {
		return c, nil
	}
	since := s.group.Driver.Now()
	for n := 0; ; n++ {
		s.index(ctx)
		if s.group.Driver.Stopped() {
			return server.Choice{}, errors.Annotatef(driver.ErrStopped, "choose backend server of %s", s.query.Group)
		}
		x, l := s.look()
		switch {
		case !x.Refused && s.cover(ctx, &x) == nil:
			return s.chosen(&x, l), nil
		case !x.Refused:
			// It is behind for longer than expected, so another one may do.
			s.excluded |= 1 << x.Index
			continue
		case !s.mayCome(x.Reason, since):
			return s.refused(x.Reason, &x, l, refusals[x.Reason])
		}
		s.excluded = 0
		if err := scheduler.Pause(ctx, backoff(n)); err != nil {
			return s.refused(x.Reason, &x, l, errors.WithType(err, ErrNoServer))
		}
	}
}

// mayCome reports whether a server may turn up for a read that has looked for
// one since the given time. A host whose majority has been out of reach for
// long answers at once; a gap of a few statuses isn't taken for that yet.
func (s *search) mayCome(why chooser.Reason, since time.Duration) bool {
	v := s.group.Driver.View()
	p := s.group.Driver.Thresholds().NoMajorityTimeout
	if !v.HasMajority() && v.At-v.NoMajoritySince >= p {
		return false
	}
	return why == chooser.ReasonNoServer || why == chooser.ReasonNoFreshness && s.group.Driver.Now()-since < p
}

// ask sets what is known of the request when it arrives.
func (s *search) ask() {
	q := &s.query
	s.request.Mark, s.request.HasMark = q.Mark, q.HasMark
	s.request.ReadIndex, s.request.HasReadIndex = q.Index, q.HasIndex
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
	k := s.group.knowledge.Load()
	s.request.AgeMark, s.request.HasAgeMark = k.historian.RequiredMark(s.group.Driver.Now(), a)
}

// index asks for a read index if the read needs one and a majority can give it.
func (s *search) index(ctx context.Context) {
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

// cover waits until the chosen server holds what the read needs.
func (s *search) cover(ctx context.Context, x *chooser.Decision) error {
	if !x.WaitForMark {
		return nil
	}
	y, cancel := context.WithTimeout(ctx, coverTimeout)
	defer cancel()
	t := s.group.Driver.Now()
	err := s.group.Driver.WaitCovered(y, s.group.servers[x.Index].declared.Name, x.RequiredMark)
	s.group.waited(x.Index, s.group.Driver.Now()-t)
	return err
}

// chosen turns a decision into the session's choice.
func (s *search) chosen(x *chooser.Decision, l []chooser.Candidate) server.Choice {
	b := &s.group.servers[x.Index]
	c := &l[x.Index]
	s.note(x, l)
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
	s.director.Metrics.read(c.Confirmed)
	r.Lessor = b.reader
	if !chooser.MustAwaitMajority(c.Last, c, len(s.group.servers)) {
		r.SafeTerm = c.Last.Term
	}
	return r
}

// refusals are the errors of reads that aren't worth a wait.
var refusals = map[chooser.Reason]error{
	chooser.ReasonNoFreshness: ErrUnconfirmed,
	chooser.ReasonNoServer:    ErrNoServer,
}

// refused logs the refusal and returns its error.
func (s *search) refused(why chooser.Reason, x *chooser.Decision, l []chooser.Candidate, cause error) (server.Choice, error) {
	s.log("", why, x, l)
	s.director.Metrics.decided(why)
	return server.Choice{}, errors.Annotatef(s.group.refuse(cause), "choose backend server of %s", s.query.Group)
}

func (s *search) note(x *chooser.Decision, l []chooser.Candidate) {
	s.log(l[x.Index].Name, x.Reason, x, l)
	s.director.Metrics.decided(x.Reason)
}

// backoff returns the time before the servers are looked at again for the nth time.
func backoff(n int) time.Duration {
	const doublings = 4
	return min(firstPause<<min(n, doublings), maximumPause)
}
