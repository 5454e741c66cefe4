package retrier

import (
	"slices"
	"time"
)

// Cause is why a server didn't run a statement.
type Cause uint8

// Causes.
const (
	// CauseQueueTooLong is a queue in front of the server that would keep the statement beyond
	// its deadline.
	CauseQueueTooLong Cause = iota
	// CauseBusy is a server that had no room at that moment.
	CauseBusy
	// CauseBehind is a replica whose log lacks what the read needs.
	CauseBehind
	// CauseUnreachable is a server to which there is no connection, or whose connection broke.
	CauseUnreachable
	// CauseNotPrimary is a server that doesn't lead, or didn't prove that it does.
	CauseNotPrimary
)

// Action is what to do next with a statement.
type Action uint8

// Actions.
const (
	// ActionChoose: choose among the servers that aren't excluded.
	ActionChoose Action = iota
	// ActionWait: wait for Delay, or for news of the group's servers, and choose then.
	ActionWait
	// ActionRefuse: answer that the statement has not run.
	ActionRefuse
)

// Step is a decision on a statement.
type Step struct {
	Action Action
	// Delay goes with ActionWait.
	Delay time.Duration
	// RetryAfter goes with ActionRefuse: when the caller had better come back, zero if
	// nothing is known.
	RetryAfter time.Duration
}

const (
	// maximumTries bounds how often one statement is sent.
	maximumTries = 8
	// firstPause is waited before a server is tried again; it doubles up to longestPause.
	firstPause   = 10 * time.Millisecond
	longestPause = 160 * time.Millisecond
	// newsPause is waited for news where no server can be tried.
	newsPause = 100 * time.Millisecond
	// unreachableHold bounds the wait for a server that can be reached. A failover that is
	// nearly over shows within it; one that has only begun outlasts most deadlines.
	unreachableHold = 150 * time.Millisecond
)

// Statement decides what becomes of one statement that servers turn away. The
// exported fields are set before use; it belongs to one goroutine.
type Statement struct {
	// Deadline is on the clock of now.
	Deadline time.Duration
	// SingleServer says that only the primary will do.
	SingleServer bool
	// Budget bounds the tries at servers that had no room, unbounded if nil.
	Budget *Budget

	// full are servers that can't run the statement by its deadline, passed those that
	// are left out until the others have been tried.
	full   []string
	passed []string
	tries  int
	pause  time.Duration
	// busy and behind say why servers of this round were passed.
	busy, behind bool
	// failing says that no server can be reached, since failingSince.
	failing      bool
	failingSince time.Duration
	retryAfter   time.Duration
}

// Excluded returns the servers that aren't to be chosen now.
func (s *Statement) Excluded() []string { return slices.Concat(s.full, s.passed) }

// CountTry counts a try.
func (s *Statement) CountTry() { s.tries++ }

// Tries returns how often the statement was sent.
func (s *Statement) Tries() int { return s.tries }

// Refused decides after the server turned the statement away. retryAfter is what the
// queue of the server said, zero for nothing; draw is a random number.
func (s *Statement) Refused(server string, c Cause, retryAfter, now time.Duration, draw uint64) Step {
	if s.tries >= maximumTries || now >= s.Deadline {
		return s.refuse()
	}
	if c != CauseUnreachable {
		s.failing = false
	}
	switch {
	case c == CauseQueueTooLong:
		s.offer(retryAfter)
		s.full = append(s.full, server)
		if s.SingleServer {
			return s.refuse()
		}
		return Step{}
	case c == CauseNotPrimary:
		return Step{}
	case s.SingleServer:
		return s.again(c, now, draw)
	}
	s.busy = s.busy || c == CauseBusy
	s.behind = s.behind || c == CauseBehind
	s.passed = append(s.passed, server)
	return Step{}
}

// Exhausted decides where no server is left to choose.
func (s *Statement) Exhausted(now time.Duration, draw uint64) Step {
	c := CauseUnreachable
	switch {
	case now >= s.Deadline:
		return s.refuse()
	case s.behind:
		c = CauseBehind
	case s.busy:
		c = CauseBusy
	case len(s.full) > 0 && len(s.passed) == 0:
		return s.refuse()
	}
	s.passed, s.busy, s.behind = s.passed[:0], false, false
	return s.again(c, now, draw)
}

// ServersUnknown decides where nothing is known yet to choose a server by: it has the statement
// wait for pause.
func (s *Statement) ServersUnknown(now, pause time.Duration) Step {
	if now >= s.Deadline {
		return s.refuse()
	}
	return Step{Action: ActionWait, Delay: min(pause, s.Deadline-now)}
}

// again decides on trying servers once more that didn't run the statement for c.
func (s *Statement) again(c Cause, now time.Duration, draw uint64) Step {
	switch c {
	case CauseBusy:
		if s.Budget != nil && !s.Budget.Allow(OutcomeNotRun, true) {
			return s.refuse()
		}
	case CauseUnreachable:
		if !s.failing {
			s.failing, s.failingSince = true, now
		}
		held := now - s.failingSince
		if held >= unreachableHold {
			return s.refuse()
		}
		return s.wait(min(newsPause, unreachableHold-held), now)
	}
	s.pause = min(max(firstPause, 2*s.pause), longestPause)
	return s.wait(s.pause/2+time.Duration(draw%uint64(s.pause)), now)
}

// wait waits, unless the statement's time would be over then.
func (s *Statement) wait(d, now time.Duration) Step {
	if now+d >= s.Deadline {
		return s.refuse()
	}
	return Step{Action: ActionWait, Delay: d}
}

// offer notes when a queue will have room; the soonest is told.
func (s *Statement) offer(d time.Duration) {
	if s.retryAfter == 0 || d > 0 && d < s.retryAfter {
		s.retryAfter = d
	}
}

func (s *Statement) refuse() Step { return Step{Action: ActionRefuse, RetryAfter: s.retryAfter} }
