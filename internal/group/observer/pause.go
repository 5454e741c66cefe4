package observer

import "time"

// After a pause of an entry host or of the replicas, the host observes outdated state all at once:
// a primary that has not answered for a second, replicas that have received nothing from it for as
// long, a group without a primary from the time of a promotion that ended long ago. None of this
// shows that the primary has failed. A pause is detected by the time between two views of the host
// and between two answers of a replica, both of which are regular while the processes run. Time
// beyond the limits in Settings does not count as evidence.

// excess returns the part of d beyond limit. A limit of zero means no limit.
func excess(d, limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	return max(0, d-limit)
}

// discountPauses moves the start of each condition of the previous view p later by the time for
// which this host was paused since p, and sets the pauses of the servers of v.
func (v *View) discountPauses(c Settings, p *View) {
	if len(p.Servers) == 0 {
		return
	}
	d := excess(v.At-p.At, c.MaximumViewInterval)
	for _, t := range []*time.Duration{
		&p.HighestTermSince, &p.SuspectedSince, &p.PrimarySince, &p.LeavingSince,
		&p.NoMajoritySince, &p.noPrimarySince, &p.termAheadSince,
	} {
		*t = min(*t+d, v.At)
	}
	for i := range v.Servers {
		s := &v.Servers[i]
		o, _ := p.Server(s.Name)
		s.hostPaused = min(d, v.At-s.PolledAt)
		if s.PolledAt == o.PolledAt {
			s.hostPaused = min(o.hostPaused+d, v.At-s.PolledAt)
		}
		s.discountPause(o, v.At, c.MaximumAnswerInterval)
	}
}

// discountPause sets pausedSilence, the part of the reported silence during which the server did
// not answer; o is the server in the previous view. A server that has run again for half the limit
// has read what its primary sent meanwhile, so its whole silence counts as evidence. Otherwise lost
// polls would delay a suspicion for long.
func (s *Server) discountPause(o Server, now, limit time.Duration) {
	s.answeredAt, s.resumedAt, s.pausedSilence = o.answeredAt, o.resumedAt, o.pausedSilence
	if limit <= 0 || !s.Answered || s.PolledAt == o.PolledAt && o.Answered {
		return
	}
	// If this host was paused, the answer was made long before the host received it.
	s.answeredAt = min(now, s.PolledAt+limit/2)
	d := now - o.answeredAt
	if s.Status.SinceLastContact < d {
		// The server received from its primary since its previous answer, so the silence is new.
		d, s.pausedSilence = s.Status.SinceLastContact, 0
	}
	switch {
	case !o.Answered:
		s.resumedAt, s.pausedSilence = now, s.Status.SinceLastContact
	case d > limit:
		s.resumedAt = now
		s.pausedSilence += d - limit
	case now-s.resumedAt >= limit/2:
		s.pausedSilence = 0
	}
}

// primarySilence returns for how long the replica has received nothing from its primary, without
// the time for which the replica itself may have been paused.
func (s *Server) primarySilence() time.Duration {
	return s.Status.SinceLastContact - s.pausedSilence
}

// unansweredFor returns for how long the server has not answered, without the time for which this
// host was paused.
func (s *Server) unansweredFor(now time.Duration) time.Duration {
	return now - s.PolledAt - s.hostPaused
}
