// Package pacer decides when an entry host polls which backend server of a database group for its status.
package pacer

import (
	"math"
	"time"
)

// Cause is why a poll is made.
type Cause int

// Causes of polls.
const (
	// CauseIdle: the idle interval has passed since the last poll.
	CauseIdle Cause = iota
	// CauseFailure: the last poll failed.
	CauseFailure
	// CauseNoPrimary: no primary is confirmed, or the primary may have failed.
	CauseNoPrimary
	// CauseRequestFailure: a server failed for a request.
	CauseRequestFailure
	// CausePromotion: this host is promoting.
	CausePromotion
	// CauseAcknowledgement: a commit waits until a majority holds it.
	CauseAcknowledgement
	// CauseReadIndex: a read waits for its read index.
	CauseReadIndex
	// CauseCover: a read waits until the server holds the position that the read requires.
	CauseCover
	// CauseDrain: a hand-over waits for the end of open transactions.
	CauseDrain
	// CauseCount is the number of causes.
	CauseCount
)

var causeNames = [CauseCount]string{"rest", "failure", "gap", "hurry", "promotion", "acknowledgement", "read-index", "cover", "drain"}

// String returns the cause as a metric label.
func (c Cause) String() string {
	return causeNames[c]
}

// Kind is what a demand waits for.
type Kind int

// Kinds of demand.
const (
	// KindAcknowledgement waits until a majority holds a position.
	KindAcknowledgement Kind = iota
	// KindCover waits until one server holds a position.
	KindCover
	// KindReadIndex waits until a majority has answered polls that began after it arrived.
	KindReadIndex
	// KindDrain waits until one server answers that no transaction is open.
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

// delayKinds is the number of kinds, from the first one on, for which a server has a usual delay.
const delayKinds = KindCover + 1

// Settings are the intervals between the polls of one server.
type Settings struct {
	// IdleInterval is the time between two polls while no request waits.
	IdleInterval time.Duration
	// FailureInterval is the time after the second and each further failed poll in a row.
	FailureInterval time.Duration
	// NoPrimaryInterval is the time between two polls while no primary is confirmed, and the
	// longest time between two polls for the same demand.
	NoPrimaryInterval time.Duration
	// UrgentInterval is the time between two polls while no primary is confirmed and requests
	// wait, and the time after the first failed poll.
	UrgentInterval time.Duration
	// MinimumInterval is the least time between two polls for the same demand.
	MinimumInterval time.Duration
}

// Set is a set of servers, one bit for each index in State.Servers.
type Set uint64

// Has reports whether server i is in the set.
func (s Set) Has(i int) bool {
	return s&(1<<i) != 0
}

// With returns the set with server i in it.
func (s Set) With(i int) Set {
	return s | 1<<i
}

// Delays are a server's usual times from the arrival of a demand to the start of the poll that
// meets it, by kind of demand.
type Delays [delayKinds]time.Duration

// Server is the polling state of one backend server. Times are read from the host's monotonic
// clock; polls are numbered in the order in which they begin, from 1.
type Server struct {
	// Primary reports whether the server is assumed to be the primary.
	Primary bool
	// HasAnswered reports whether the server has ever answered.
	HasAnswered bool
	// Failures counts the polls that have failed since the last answer.
	Failures int
	// PollNow reports whether the next poll is due because a server failed for a request.
	PollNow bool
	// Polling reports whether a poll is under way.
	Polling bool
	// LastPoll is the number of the last poll that began, zero before the first. PollStarted is
	// when that poll began, PollEnded when the last ended poll ended.
	LastPoll               uint64
	PollStarted, PollEnded time.Duration
	// LastAnswered is the number of the last answered poll.
	LastAnswered uint64
	// RoundTrip is the usual duration of a poll.
	RoundTrip time.Duration
	// Delays are maintained by the caller with UpdateDelay.
	Delays Delays
}

// Demand is what one request waits for.
type Demand struct {
	Kind Kind
	// ArrivedAt is when the request arrived.
	ArrivedAt time.Duration
	// AfterPoll is the number of the last poll that began before the request arrived.
	AfterPoll uint64
	// Server is the index of the only server that can meet the demand, for KindCover and
	// KindDrain.
	Server int
	// Holders are the servers known to hold the position, for KindAcknowledgement.
	Holders Set
}

// State is the input of Next: the servers and demands of a database group at one time.
type State struct {
	Settings Settings
	Servers  []Server
	Demands  []Demand
	// Busy reports whether requests wait or have waited recently.
	Busy bool
	// Promoting reports whether this host is promoting.
	Promoting bool
	// NoPrimary reports whether no primary is confirmed although a majority answers, or the
	// primary may have failed.
	NoPrimary bool
}

// ScheduledPoll is the time and cause of a server's next poll.
type ScheduledPoll struct {
	At    time.Duration
	Cause Cause
}

// Never is later than any poll.
const Never = time.Duration(math.MaxInt64)

// Earlier returns the earlier of two polls, a if they are due at the same time.
func Earlier(a, b ScheduledPoll) ScheduledPoll {
	if b.At < a.At {
		return b
	}
	return a
}

// Next returns when server i is polled next: Never while a poll is under way, after which Next is to
// be called again. A server that failed is polled at the failure intervals even if requests wait,
// so that its failure is detected after the same time as without requests.
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
		return ScheduledPoll{At: s.PollEnded + t.failureInterval(s), Cause: CauseFailure}
	}
	n := t.withoutDemand(s)
	for d := range t.Demands {
		n = Earlier(n, t.forDemand(&t.Demands[d], i))
	}
	return n
}

// failureInterval returns the time before the next poll of a server that failed. The first failure
// may be that of a stale connection, so a fresh one is tried almost at once: a late second poll
// would delay the suspicion of a failed primary.
func (t *State) failureInterval(s *Server) time.Duration {
	if s.Failures == 1 {
		return t.Settings.UrgentInterval
	}
	return t.Settings.FailureInterval
}

// withoutDemand returns the next poll of a server that no demand needs.
//
// While requests arrive, the failure of the primary must be detected as soon as if each request
// polled each server. Two polls that time out and the interval between them must be over when the
// primary may first be suspected, so the primary of a busy group is polled at half the idle
// interval.
func (t *State) withoutDemand(s *Server) ScheduledPoll {
	n := ScheduledPoll{At: s.PollEnded + t.Settings.IdleInterval, Cause: CauseIdle}
	if t.Busy && s.Primary {
		n.At = s.PollEnded + t.Settings.IdleInterval/2
	}
	if t.Promoting {
		n = Earlier(n, ScheduledPoll{At: s.PollEnded + t.Settings.MinimumInterval, Cause: CausePromotion})
	}
	if t.NoPrimary {
		n = Earlier(n, ScheduledPoll{At: s.PollEnded + t.noPrimaryInterval(), Cause: CauseNoPrimary})
	}
	return n
}

// noPrimaryInterval returns the time between two polls while no primary is confirmed.
func (t *State) noPrimaryInterval() time.Duration {
	if t.Busy {
		return t.Settings.UrgentInterval
	}
	return t.Settings.NoPrimaryInterval
}

// forDemand returns the poll of server i that d needs, at Never if it needs none.
func (t *State) forDemand(d *Demand, i int) ScheduledPoll {
	n := ScheduledPoll{At: Never, Cause: causes[d.Kind]}
	switch d.Kind {
	case KindAcknowledgement:
		n.At = t.acknowledgementAt(d, i)
	case KindReadIndex:
		n.At = t.readIndexAt(d, i)
	case KindCover, KindDrain:
		if d.Server == i {
			n.At = t.singleServerAt(d, i)
		}
	}
	return n
}

func majority(n int) int {
	return n/2 + 1
}
