package observer

import "time"

// An entry host that stood still, or whose replicas did, sees old news all at
// once: a primary that hasn't answered for a second, replicas that haven't heard
// it for as long, a group without a primary since a promotion that ended long
// ago. Nothing of that shows that a primary is lost. It is noticed by the time
// between two looks of the host, and between two answers of a replica, which are
// regular while both run. What goes beyond the limits counts for nothing.

// excess returns how much of d is beyond the limit; zero is no limit.
func excess(d, limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	return max(0, d-limit)
}

// leaveOut makes what began in p begin later by the time for which this host
// stood still since p.
func (v *View) leaveOut(c Settings, p *View) {
	if len(p.Servers) == 0 {
		return
	}
	d := excess(v.At-p.At, c.MaximumViewInterval)
	for _, t := range []*time.Duration{
		&p.HighestTermSince, &p.SuspectedSince, &p.PrimarySince, &p.LeavingSince,
		&p.NoMajoritySince, &p.noPrimarySince, &p.aheadSince,
	} {
		*t = min(*t+d, v.At)
	}
	for i := range v.Servers {
		s := &v.Servers[i]
		o, _ := p.Server(s.Name)
		s.unwatched = min(d, v.At-s.PolledAt)
		if s.PolledAt == o.PolledAt {
			s.unwatched = min(o.unwatched+d, v.At-s.PolledAt)
		}
		s.weigh(o, v.At, c.MaximumAnswerInterval)
	}
}

// weigh works out for how much of its silence the server is no witness, since it
// didn't answer meanwhile; o is the server at the look before. A server that ran
// again for half the limit has read what its primary sent, so that it is a witness
// of the whole silence: otherwise lost polls would delay a suspicion for long.
func (s *Server) weigh(o Server, now, limit time.Duration) {
	s.answered, s.resumed, s.unwitnessed = o.answered, o.resumed, o.unwitnessed
	if limit <= 0 || !s.Answered || s.PolledAt == o.PolledAt && o.Answered {
		return
	}
	// An answer that waited for a host that stood still was made long before.
	s.answered = min(now, s.PolledAt+limit/2)
	d := now - o.answered
	if s.Status.SinceHeard < d {
		// It heard its primary after the answer before: a new silence.
		d, s.unwitnessed = s.Status.SinceHeard, 0
	}
	switch {
	case !o.Answered:
		s.resumed, s.unwitnessed = now, s.Status.SinceHeard
	case d > limit:
		s.resumed = now
		s.unwitnessed += d - limit
	case now-s.resumed >= limit/2:
		s.unwitnessed = 0
	}
}

// silence is how long the replica hasn't heard its primary, as far as it is a
// witness of that.
func (s *Server) silence() time.Duration {
	return s.Status.SinceHeard - s.unwitnessed
}

// unanswered is how long the server hasn't answered while this host was asking.
func (s *Server) unanswered(now time.Duration) time.Duration {
	return now - s.PolledAt - s.unwatched
}
