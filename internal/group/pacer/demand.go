package pacer

import "time"

const (
	// repeatDivisor divides the time that an unmet demand has waited to give the time before
	// the next poll for it, so that the answer is late by at most that share.
	repeatDivisor = 4
	// earlyDivisor divides the time until the last answer is expected to give the time by
	// which all other answers should be there.
	earlyDivisor = 2
	// spacingDivisor divides the usual time of a demand to give the least time between polls
	// for different demands, so that commits in quick succession share polls.
	spacingDivisor = 4
	// hedgeFactor is how many times the usual time passes before the servers outside the
	// fastest majority are polled as well.
	hedgeFactor = 2
	// hedgeIntervals is how many times Settings.MinimumInterval is added to that, since the
	// usual time of near servers is less than the delays of a busy machine.
	hedgeIntervals = 16
)

// AddDemand adds d to the demands l. Read indexes that arrived between the same two polls need the
// same polls and become one demand with the earliest arrival. Of 32 waiting reads few differ, and
// separate demands would each be evaluated again with every poll while all of them wait.
func AddDemand(l []Demand, d Demand) []Demand {
	for i := range l {
		if o := &l[i]; d.Kind == KindReadIndex && o.Kind == KindReadIndex && o.AfterPoll == d.AfterPoll {
			o.ArrivedAt = min(o.ArrivedAt, d.ArrivedAt)
			return l
		}
	}
	return append(l, d)
}

// usualTime returns the usual time from the arrival of a demand until the server is known to hold
// its position.
func (s *Server) usualTime(k Kind) time.Duration {
	return s.Delays[k] + s.RoundTrip
}

// usable reports whether the server can be expected to answer.
func (s *Server) usable() bool {
	return s.HasAnswered && s.Failures == 0
}

// openServers returns the servers that could still contribute to the demand.
func (t *State) openServers(d *Demand) Set {
	var o Set
	for i := range t.Servers {
		if d.Kind == KindReadIndex && t.Servers[i].LastAnswered <= d.AfterPoll ||
			d.Kind == KindAcknowledgement && !d.Holders.Has(i) {
			o = o.With(i)
		}
	}
	return o
}

// cost returns how long server i is expected to take to contribute to the demand. Servers are
// chosen by it.
func (t *State) cost(d *Demand, i int) time.Duration {
	if d.Kind == KindReadIndex {
		return t.Servers[i].RoundTrip
	}
	return t.Servers[i].usualTime(d.Kind)
}

// less orders the servers by how soon they are expected to contribute.
func (t *State) less(d *Demand, i, j int) bool {
	if a, b := t.Servers[i].usable(), t.Servers[j].usable(); a != b {
		return a
	}
	if a, b := t.cost(d, i), t.cost(d, j); a != b {
		return a < b
	}
	return i < j
}

// fastestMajority returns those of the open servers that are expected to complete a majority
// soonest, and the largest cost among them.
func (t *State) fastestMajority(d *Demand) (chosen Set, horizon time.Duration) {
	o := t.openServers(d)
	need := majority(len(t.Servers))
	for i := range t.Servers {
		if !o.Has(i) {
			need--
		}
	}
	for i := range t.Servers {
		if !o.Has(i) || t.rank(d, o, i) >= need {
			continue
		}
		chosen = chosen.With(i)
		horizon = max(horizon, t.cost(d, i))
	}
	return chosen, horizon
}

// rank counts the servers of o that are ordered before i.
func (t *State) rank(d *Demand, o Set, i int) int {
	n := 0
	for j := range t.Servers {
		if o.Has(j) && t.less(d, j, i) {
			n++
		}
	}
	return n
}

// hedgedAt returns when a server outside the fastest majority is polled for the demand.
func (t *State) hedgedAt(d *Demand, horizon time.Duration) time.Duration {
	return d.ArrivedAt + hedgeFactor*horizon + hedgeIntervals*t.Settings.MinimumInterval
}

// readIndexHedgedAt is the same for a read index. For near servers hedgeIntervals amounts to many
// times their usual time, and all reads that arrive meanwhile wait for the one late answer as well,
// so entry hosts would serve fewer reads without any server being busy. The usual time of a poll
// already includes the delays of a busy machine, so twice hedgeFactor times it is enough.
func (t *State) readIndexHedgedAt(d *Demand, horizon time.Duration) time.Duration {
	return min(t.hedgedAt(d, horizon), d.ArrivedAt+2*hedgeFactor*horizon)
}

// readIndexAt returns when a read index needs a poll of server i.
//
// A read that arrived while a poll was under way needs another one. If that poll is of a distant
// server, polling the near server at once would gain nothing, and the near server would be polled
// for each read that arrives meanwhile. Its poll therefore waits until the distant server's answer
// is expected.
func (t *State) readIndexAt(d *Demand, i int) time.Duration {
	s := &t.Servers[i]
	c, horizon := t.fastestMajority(d)
	if s.LastAnswered > d.AfterPoll || c == 0 {
		return Never
	}
	if !c.Has(i) {
		return t.readIndexHedgedAt(d, horizon)
	}
	at := d.ArrivedAt
	for j := range t.Servers {
		o := &t.Servers[j]
		if c.Has(j) && o.Polling && o.LastPoll <= d.AfterPoll && o.RoundTrip > s.RoundTrip {
			at = max(at, o.PollStarted+o.RoundTrip)
		}
	}
	return at
}

// acknowledgementAt returns when a commit's acknowledgement needs a poll of server i, which is when
// the server is expected to hold the commit. A server that holds it long before the others, such as
// the primary, is polled later, so that one poll may serve several commits, but early enough that
// the commit does not wait for it.
func (t *State) acknowledgementAt(d *Demand, i int) time.Duration {
	s := &t.Servers[i]
	c, horizon := t.fastestMajority(d)
	switch {
	case d.Holders.Has(i) || c == 0:
		return Never
	case c.Has(i):
		return t.repeatedAt(d, s, d.ArrivedAt+max(s.Delays[d.Kind], horizon/earlyDivisor-s.RoundTrip))
	default:
		return t.repeatedAt(d, s, t.hedgedAt(d, horizon))
	}
}

// singleServerAt returns when a demand that only server i can meet needs a poll.
func (t *State) singleServerAt(d *Demand, i int) time.Duration {
	s := &t.Servers[i]
	at := d.ArrivedAt
	if d.Kind < delayKinds {
		at += s.Delays[d.Kind]
	}
	return t.repeatedAt(d, s, at)
}

// repeatedAt returns when the server is polled for a demand that should be met by a poll beginning
// at first: at first or, if that poll did not meet the demand, after an interval that grows with
// the time waited.
func (t *State) repeatedAt(d *Demand, s *Server, first time.Duration) time.Duration {
	if s.LastPoll > d.AfterPoll && s.PollStarted >= first {
		w := (s.PollEnded - d.ArrivedAt) / repeatDivisor
		return s.PollEnded + min(max(w, t.Settings.MinimumInterval), t.Settings.NoPrimaryInterval)
	}
	var usual time.Duration
	if d.Kind < delayKinds {
		usual = s.usualTime(d.Kind)
	}
	return max(first, s.PollStarted+max(usual/spacingDivisor, t.Settings.MinimumInterval))
}
