package pacer

import "time"

const (
	// A demand that isn't met is asked for again after this share of the time it
	// has waited, so that its answer comes late by no more than this share.
	repeatShare = 4
	// early is the share of the time until the last answer is expected after which
	// all others are to be there.
	early = 2
	// Polls for different demands lie apart by at least this share of the time that
	// a demand takes, so that commits in a dense row share them.
	spacingShare = 4
	// Servers that aren't needed as things usually go are asked after this many
	// times the usual time.
	hedge = 2
	// hedgeSteps of Settings.Busy are added, as for near servers the usual time is
	// less than what a busy machine takes.
	hedgeSteps = 16
)

// AddDemand adds d to the demands. Read indexes that came between the same two polls
// need the same ones, soonest for the first; of 32 reads that wait, few differ. The
// decision on each of them apart would be made with each poll while all wait for it.
func AddDemand(l []Demand, d Demand) []Demand {
	for i := range l {
		if o := &l[i]; d.Kind == KindReadIndex && o.Kind == KindReadIndex && o.AfterPoll == d.AfterPoll {
			o.ArrivedAt = min(o.ArrivedAt, d.ArrivedAt)
			return l
		}
	}
	return append(l, d)
}

// expected is the usual time until the server is known to hold a position.
func (s *Server) expected(k Kind) time.Duration {
	return s.Delays[k] + s.RoundTrip
}

// usable reports whether the server can be expected to answer.
func (s *Server) usable() bool {
	return s.HasAnswered && s.Failures == 0
}

// open are the servers that could still contribute to a demand.
func (t *State) open(d *Demand) Set {
	var o Set
	for i := range t.Servers {
		if d.Kind == KindReadIndex && t.Servers[i].LastAnswered <= d.AfterPoll ||
			d.Kind == KindAcknowledgement && !d.Holders.Has(i) {
			o = o.With(i)
		}
	}
	return o
}

// cost is what the servers are chosen by: how soon they can be expected to contribute.
func (t *State) cost(d *Demand, i int) time.Duration {
	if d.Kind == KindReadIndex {
		return t.Servers[i].RoundTrip
	}
	return t.Servers[i].expected(d.Kind)
}

// before orders the servers by how soon they can be expected to contribute.
func (t *State) before(d *Demand, i, j int) bool {
	if a, b := t.Servers[i].usable(), t.Servers[j].usable(); a != b {
		return a
	}
	if a, b := t.cost(d, i), t.cost(d, j); a != b {
		return a < b
	}
	return i < j
}

// chosen returns those of the open servers that make up a majority soonest, and
// the largest cost among them.
func (t *State) chosen(d *Demand) (chosen Set, horizon time.Duration) {
	o := t.open(d)
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

// rank counts the servers of o before i.
func (t *State) rank(d *Demand, o Set, i int) int {
	n := 0
	for j := range t.Servers {
		if o.Has(j) && t.before(d, j, i) {
			n++
		}
	}
	return n
}

// spare is when a server is asked that isn't needed as things usually go.
func (t *State) spare(d *Demand, horizon time.Duration) time.Duration {
	return d.ArrivedAt + hedge*horizon + hedgeSteps*t.Settings.MinimumInterval
}

// spareIndex is the same for a read index. Beside near servers hedgeSteps is many
// times their usual time, and all reads that come meanwhile wait for the one late
// answer too: entry hosts then serve fewer reads, without any server being busy. The
// usual time of a poll holds what a busy machine takes, so as much again will do.
func (t *State) spareIndex(d *Demand, horizon time.Duration) time.Duration {
	return min(t.spare(d, horizon), d.ArrivedAt+2*hedge*horizon)
}

// index returns when a read index needs a poll of server i.
//
// A read that came while a poll was under way needs another one. Where that poll
// is of a distant server, polling the near one at once would gain nothing, and
// the near one would be asked once for each read that comes meanwhile. So it
// waits until the distant one is expected back.
func (t *State) index(d *Demand, i int) time.Duration {
	s := &t.Servers[i]
	c, horizon := t.chosen(d)
	if s.LastAnswered > d.AfterPoll || c == 0 {
		return Never
	}
	if !c.Has(i) {
		return t.spareIndex(d, horizon)
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

// acknowledgement returns when a commit's acknowledgement needs a poll of server
// i: when it is expected to hold the commit. One that holds it long before the
// others, as the primary does, is asked later, so that one poll may serve several
// commits, but early enough not to be what the commit waits for.
func (t *State) acknowledgement(d *Demand, i int) time.Duration {
	s := &t.Servers[i]
	c, horizon := t.chosen(d)
	switch {
	case d.Holders.Has(i) || c == 0:
		return Never
	case c.Has(i):
		return t.again(d, s, d.ArrivedAt+max(s.Delays[d.Kind], horizon/early-s.RoundTrip))
	default:
		return t.again(d, s, t.spare(d, horizon))
	}
}

// single returns when a demand on the one server i needs a poll.
func (t *State) single(d *Demand, i int) time.Duration {
	s := &t.Servers[i]
	at := d.ArrivedAt
	if d.Kind < learnt {
		at += s.Delays[d.Kind]
	}
	return t.again(d, s, at)
}

// again returns when the server is asked for a demand that expects an answer
// from a poll that begins at first: then, or, if that one didn't meet the demand,
// after a time that grows.
func (t *State) again(d *Demand, s *Server, first time.Duration) time.Duration {
	if s.LastPoll > d.AfterPoll && s.PollStarted >= first {
		w := (s.PollEnded - d.ArrivedAt) / repeatShare
		return s.PollEnded + min(max(w, t.Settings.MinimumInterval), t.Settings.NoPrimaryInterval)
	}
	var usual time.Duration
	if d.Kind < learnt {
		usual = s.expected(d.Kind)
	}
	return max(first, s.PollStarted+max(usual/spacingShare, t.Settings.MinimumInterval))
}
