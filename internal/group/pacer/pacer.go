// Package pacer decides when an entry host polls which backend server of a database group for its status.
package pacer

import (
	"math"
	"time"
)

// Cause says why a poll is made.
type Cause int

// Causes of polls.
const (
	// CauseIdle: the server wasn't asked for the interval at rest.
	CauseIdle Cause = iota
	// CauseFailure: the last poll failed.
	CauseFailure
	// CauseNoPrimary: no primary is confirmed, or it may be lost.
	CauseNoPrimary
	// CauseRequestFailure: a request has seen a server fail.
	CauseRequestFailure
	// CausePromotion: this host is promoting.
	CausePromotion
	// CauseAcknowledgement: a commit waits until a majority holds it.
	CauseAcknowledgement
	// CauseReadIndex: a read waits for its index.
	CauseReadIndex
	// CauseCover: a read waits for the server to hold what it must see.
	CauseCover
	// CauseDrain: a hand-over waits for the end of transactions.
	CauseDrain
	// CauseCount is the number of causes.
	CauseCount
)

var causeNames = [CauseCount]string{"rest", "failure", "gap", "hurry", "promotion", "acknowledgement", "read-index", "cover", "drain"}

// String returns the cause's name as a metric's label.
func (c Cause) String() string {
	return causeNames[c]
}

// Kind says what a demand waits for.
type Kind int

// Kinds of demand.
const (
	// KindAcknowledgement waits until a majority holds a position.
	KindAcknowledgement Kind = iota
	// KindCover waits until one server holds a position.
	KindCover
	// KindReadIndex waits until a majority has answered polls that began after it came.
	KindReadIndex
	// KindDrain waits for one server's answer that no transaction is open.
	KindDrain
	// KindPrimary waits for a confirmed primary.
	KindPrimary
)

var causes = [...]Cause{
	KindAcknowledgement: CauseAcknowledgement,
	KindCover:           CauseCover,
	KindReadIndex:       CauseReadIndex,
	KindDrain:           CauseDrain,
	KindPrimary:         CauseNoPrimary,
}

// learnt is the number of kinds for which a server's usual delay is learnt.
const learnt = KindCover + 1

// Settings are the intervals between polls of one server.
type Settings struct {
	// IdleInterval is the time between two polls while nobody waits.
	IdleInterval time.Duration
	// FailureInterval is the time after a poll that failed, from the second one in a row on.
	FailureInterval time.Duration
	// NoPrimaryInterval is the time between two polls while no primary is confirmed, and the
	// longest one between two for the same demand.
	NoPrimaryInterval time.Duration
	// UrgentInterval is the time between two polls in a gap of a busy group, and the time
	// after the first poll that failed.
	UrgentInterval time.Duration
	// MinimumInterval is the least time between two polls for the same demand.
	MinimumInterval time.Duration
}

// Set is a set of servers by their number.
type Set uint64

// Has reports whether server i is in the set.
func (s Set) Has(i int) bool {
	return s&(1<<i) != 0
}

// With returns the set with server i in it.
func (s Set) With(i int) Set {
	return s | 1<<i
}

// Delays are a server's usual times from the arrival of a demand to the poll
// that shows it met, by kind of demand.
type Delays [learnt]time.Duration

// Server is what a host knows of one backend server that matters here. Times
// are of the host's monotonic clock; polls are numbered in the order in which
// they began.
type Server struct {
	// Primary says that the server is taken for the primary.
	Primary bool
	// HasAnswered says that it has answered at all.
	HasAnswered bool
	// Failures counts the polls that have failed since the last answer.
	Failures int
	// PollNow says that a request has seen a server fail and the next poll is due.
	PollNow bool
	// Polling says that a poll is under way.
	Polling bool
	// LastPoll and Began are the number and time of the last poll that began, Ended
	// is when the last one ended.
	LastPoll               uint64
	PollStarted, PollEnded time.Duration
	// LastAnswered is the number of the last poll that was answered.
	LastAnswered uint64
	// RoundTrip is the usual time of a poll.
	RoundTrip time.Duration
	Delays    Delays
}

// Demand is what one request waits for.
type Demand struct {
	Kind Kind
	// ArrivedAt is when the request came, Arrived the number of the last poll begun before.
	ArrivedAt time.Duration
	AfterPoll uint64
	// Server is the number of the one server that can meet the demand, for
	// KindCover and KindDrain.
	Server int
	// Holders are the servers that are known to hold the position, for KindAcknowledgement.
	Holders Set
}

// State is what the decision is made from.
type State struct {
	Settings Settings
	Servers  []Server
	Demands  []Demand
	// Busy says that requests wait, or did a moment ago.
	Busy bool
	// Promoting says that this host is promoting.
	Promoting bool
	// NoPrimary says that no primary is confirmed though a majority answers, or that the
	// primary may be lost.
	NoPrimary bool
}

// ScheduledPoll is when a server is polled next, and why.
type ScheduledPoll struct {
	At    time.Duration
	Cause Cause
}

// Never is later than any poll.
const Never = time.Duration(math.MaxInt64)

// Earlier returns the earlier one of two turns.
func Earlier(a, b ScheduledPoll) ScheduledPoll {
	if b.At < a.At {
		return b
	}
	return a
}

// Next returns when server i is polled next. A server whose poll is under way has
// no turn: its end is when the next one is decided. A server that failed keeps to
// the times after failures, whoever waits, so that as much time passes before its
// loss is noticed as for a server that nobody waits for.
func Next(t *State, i int) ScheduledPoll {
	s := &t.Servers[i]
	switch {
	case s.Polling:
		return ScheduledPoll{At: Never}
	case s.PollNow:
		return ScheduledPoll{At: s.PollEnded, Cause: CauseRequestFailure}
	case s.LastPoll == 0:
		return ScheduledPoll{}
	case s.Failures > 0:
		return ScheduledPoll{At: s.PollEnded + t.failure(s), Cause: CauseFailure}
	}
	n := t.unasked(s)
	for d := range t.Demands {
		n = Earlier(n, t.demanded(&t.Demands[d], i))
	}
	return n
}

// failure is the time after a failed poll. The first failure may be that of an old
// connection gone silent. A fresh one is tried nearly at once: a lost primary that
// was asked late would else be suspected late.
func (t *State) failure(s *Server) time.Duration {
	if s.Failures == 1 {
		return t.Settings.UrgentInterval
	}
	return t.Settings.FailureInterval
}

// unasked returns the turn of a server that no demand needs.
//
// Where requests come, a lost primary must be noticed as soon as with a poll of
// each server for each request. Two polls that time out and the pause between them
// have to be over by the time from which it may be suspected, so a busy primary is
// asked twice as often as at rest.
func (t *State) unasked(s *Server) ScheduledPoll {
	n := ScheduledPoll{At: s.PollEnded + t.Settings.IdleInterval, Cause: CauseIdle}
	if t.Busy && s.Primary {
		n.At = s.PollEnded + t.Settings.IdleInterval/2
	}
	if t.Promoting {
		n = Earlier(n, ScheduledPoll{At: s.PollEnded + t.Settings.MinimumInterval, Cause: CausePromotion})
	}
	if t.NoPrimary {
		n = Earlier(n, ScheduledPoll{At: s.PollEnded + t.gap(), Cause: CauseNoPrimary})
	}
	return n
}

func (t *State) gap() time.Duration {
	if t.Busy {
		return t.Settings.UrgentInterval
	}
	return t.Settings.NoPrimaryInterval
}

// demanded returns when d needs a poll of server i.
func (t *State) demanded(d *Demand, i int) ScheduledPoll {
	n := ScheduledPoll{At: Never, Cause: causes[d.Kind]}
	switch d.Kind {
	case KindAcknowledgement:
		n.At = t.acknowledgement(d, i)
	case KindReadIndex:
		n.At = t.index(d, i)
	case KindCover, KindDrain:
		if d.Server == i {
			n.At = t.single(d, i)
		}
	}
	return n
}

func majority(n int) int {
	return n/2 + 1
}
