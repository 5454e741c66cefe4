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
	// CauseRest: the server wasn't asked for the interval at rest.
	CauseRest Cause = iota
	// CauseFailure: the last poll failed.
	CauseFailure
	// CauseGap: no primary is confirmed, or it may be lost.
	CauseGap
	// CauseHurry: a request has seen a server fail.
	CauseHurry
	// CausePromotion: this host is promoting.
	CausePromotion
	// CauseAcknowledgement: a commit waits until a majority holds it.
	CauseAcknowledgement
	// CauseIndex: a read waits for its index.
	CauseIndex
	// CauseCover: a read waits for the server to hold what it must see.
	CauseCover
	// CauseDrain: a hand-over waits for the end of transactions.
	CauseDrain
	// Causes is the number of causes.
	Causes
)

var causeNames = [Causes]string{"rest", "failure", "gap", "hurry", "promotion", "acknowledgement", "read-index", "cover", "drain"}

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
	// KindIndex waits until a majority has answered polls that began after it came.
	KindIndex
	// KindDrain waits for one server's answer that no transaction is open.
	KindDrain
	// KindPrimary waits for a confirmed primary.
	KindPrimary
)

var causes = [...]Cause{
	KindAcknowledgement: CauseAcknowledgement,
	KindCover:           CauseCover,
	KindIndex:           CauseIndex,
	KindDrain:           CauseDrain,
	KindPrimary:         CauseGap,
}

// learnt is the number of kinds for which a server's usual delay is learnt.
const learnt = KindCover + 1

// Settings are the intervals between polls of one server.
type Settings struct {
	// Rest is the time between two polls while nobody waits.
	Rest time.Duration
	// Failure is the time after a poll that failed, from the second one in a row on.
	Failure time.Duration
	// Gap is the time between two polls while no primary is confirmed, and the
	// longest one between two for the same demand.
	Gap time.Duration
	// Held is the time between two polls in a gap of a busy group, and the time
	// after the first poll that failed.
	Held time.Duration
	// Busy is the least time between two polls for the same demand.
	Busy time.Duration
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
	// Known says that it has answered at all.
	Known bool
	// Failures counts the polls that have failed since the last answer.
	Failures int
	// Hurried says that a request has seen a server fail and the next poll is due.
	Hurried bool
	// Polling says that a poll is under way.
	Polling bool
	// Begun and Began are the number and time of the last poll that began, Ended
	// is when the last one ended.
	Begun        uint64
	Began, Ended time.Duration
	// Answered is the number of the last poll that was answered.
	Answered uint64
	// RoundTrip is the usual time of a poll.
	RoundTrip time.Duration
	Delays    Delays
}

// Demand is what one request waits for.
type Demand struct {
	Kind Kind
	// Since is when the request came, Arrived the number of the last poll begun before.
	Since   time.Duration
	Arrived uint64
	// Server is the number of the one server that can meet the demand, for
	// KindCover and KindDrain.
	Server int
	// Holders are the servers that are known to hold the position, for KindAcknowledgement.
	Holders Set
}

// Table is what the decision is made from.
type Table struct {
	Settings Settings
	Servers  []Server
	Demands  []Demand
	// Busy says that requests wait, or did a moment ago.
	Busy bool
	// Promoting says that this host is promoting.
	Promoting bool
	// Gap says that no primary is confirmed though a majority answers, or that the
	// primary may be lost.
	Gap bool
}

// Turn is when a server is polled next, and why.
type Turn struct {
	At    time.Duration
	Cause Cause
}

// Never is later than any poll.
const Never = time.Duration(math.MaxInt64)

// Sooner returns the earlier one of two turns.
func Sooner(a, b Turn) Turn {
	if b.At < a.At {
		return b
	}
	return a
}

// Next returns when server i is polled next. A server whose poll is under way has
// no turn: its end is when the next one is decided. A server that failed keeps to
// the times after failures, whoever waits, so that as much time passes before its
// loss is noticed as for a server that nobody waits for.
func Next(t *Table, i int) Turn {
	s := &t.Servers[i]
	switch {
	case s.Polling:
		return Turn{At: Never}
	case s.Hurried:
		return Turn{At: s.Ended, Cause: CauseHurry}
	case s.Begun == 0:
		return Turn{}
	case s.Failures > 0:
		return Turn{At: s.Ended + t.failure(s), Cause: CauseFailure}
	}
	n := t.unasked(s)
	for d := range t.Demands {
		n = Sooner(n, t.demanded(&t.Demands[d], i))
	}
	return n
}

// failure is the time after a failed poll. The first failure may be that of an old
// connection gone silent. A fresh one is tried nearly at once: a lost primary that
// was asked late would else be suspected late.
func (t *Table) failure(s *Server) time.Duration {
	if s.Failures == 1 {
		return t.Settings.Held
	}
	return t.Settings.Failure
}

// unasked returns the turn of a server that no demand needs.
//
// Where requests come, a lost primary must be noticed as soon as with a poll of
// each server for each request. Two polls that time out and the pause between them
// have to be over by the time from which it may be suspected, so a busy primary is
// asked twice as often as at rest.
func (t *Table) unasked(s *Server) Turn {
	n := Turn{At: s.Ended + t.Settings.Rest, Cause: CauseRest}
	if t.Busy && s.Primary {
		n.At = s.Ended + t.Settings.Rest/2
	}
	if t.Promoting {
		n = Sooner(n, Turn{At: s.Ended + t.Settings.Busy, Cause: CausePromotion})
	}
	if t.Gap {
		n = Sooner(n, Turn{At: s.Ended + t.gap(), Cause: CauseGap})
	}
	return n
}

func (t *Table) gap() time.Duration {
	if t.Busy {
		return t.Settings.Held
	}
	return t.Settings.Gap
}

// demanded returns when d needs a poll of server i.
func (t *Table) demanded(d *Demand, i int) Turn {
	n := Turn{At: Never, Cause: causes[d.Kind]}
	switch d.Kind {
	case KindAcknowledgement:
		n.At = t.acknowledgement(d, i)
	case KindIndex:
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
