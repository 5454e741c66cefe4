package retrier

import (
	"slices"
	"time"
)

// Cause is the reason why a server didn't run a statement.
type Cause uint8

// Causes of a statement that was not run.
const (
	// CauseQueueTooLong means that the queue for the server is so long that the statement would
	// miss its deadline.
	CauseQueueTooLong Cause = iota
	// CauseBusy means that the server had no capacity at that moment.
	CauseBusy
	// CauseBehind means that the replica's log hasn't reached the position that the read requires.
	CauseBehind
	// CauseUnreachable means that there is no connection to the server, or that it broke.
	CauseUnreachable
	// CauseNotPrimary means that the server isn't the primary or didn't prove that it is.
	CauseNotPrimary
	// CauseNotSent means that the connection could not be used any more when the statement was to be
	// sent. Another connection to the same server may work.
	CauseNotSent
)

// Action is the next step for a statement.
type Action uint8

// Actions.
const (
	// ActionChoose means to choose among the servers that aren't excluded, now.
	ActionChoose Action = iota
	// ActionWait means to wait until Step.Delay has passed or the status of a server of the group
	// changes, and then to choose.
	ActionWait
	// ActionRefuse means to answer that the statement has not run.
	ActionRefuse
)

// Step is the decision on how to continue with a statement.
type Step struct {
	Action Action
	// Delay is set for ActionWait: the longest time to wait.
	Delay time.Duration
	// RetryAfter is set for ActionRefuse: the time after which the caller may retry, zero if
	// unknown.
	RetryAfter time.Duration
}

const (
	// maximumTries is the maximum number of times that one statement is sent.
	maximumTries = 8
	// initialBackoff is the mean wait before a server is first tried again. The wait doubles with
	// each further round up to maximumBackoff, and is randomized.
	initialBackoff = 10 * time.Millisecond
	maximumBackoff = 160 * time.Millisecond
	// statusWait is the longest wait for a status change while no server can be tried.
	statusWait = 100 * time.Millisecond
	// maximumUnreachableWait is the longest time that a statement waits while no server can be
	// reached. A failover that is nearly complete ends within it; one that has just begun lasts
	// longer than most deadlines.
	maximumUnreachableWait = 150 * time.Millisecond
)

// Statement holds the retry state of one statement and decides how to continue when a server refuses
// it. The exported fields are set before use. A Statement must not be used concurrently.
type Statement struct {
	// Deadline is the time by which the statement must end, on the clock that is passed to the
	// methods as now.
	Deadline time.Duration
	// SingleServer says that only one server can run the statement: the primary, or the server of
	// the open transaction.
	SingleServer bool
	// Budget limits the retries at servers that were busy, unlimited if nil.
	Budget *Budget
	// KeepReserve leaves the last quarter of Budget to more important statements.
	KeepReserve bool

	// queueTooLong are the servers that can't run the statement by its deadline. They are never
	// tried again.
	queueTooLong []string
	// skipped are the servers that are excluded until all others have been tried.
	skipped []string
	tries   int
	// backoff is the mean of the last backoff, zero before the first.
	backoff time.Duration
	// busy and behind say whether a server was skipped in this round for CauseBusy or CauseBehind.
	busy, behind bool
	// unreachable says that no server can be reached, since unreachableSince.
	unreachable      bool
	unreachableSince time.Duration
	// retryAfter is the shortest retry time that a queue has reported, zero if none.
	retryAfter time.Duration
}

// Excluded returns the servers that must not be chosen now.
func (s *Statement) Excluded() []string { return slices.Concat(s.queueTooLong, s.skipped) }

// CountTry counts one sending of the statement.
func (s *Statement) CountTry() { s.tries++ }

// Tries returns the number of times that the statement was sent.
func (s *Statement) Tries() int { return s.tries }

// Refused decides how to continue after the server refused the statement for c. retryAfter is the
// retry time that the server's queue reported, zero if none; random is any random number.
func (s *Statement) Refused(server string, c Cause, retryAfter, now time.Duration, random uint64) Step {
	if s.tries >= maximumTries || now >= s.Deadline {
		return s.refuse()
	}
	if c != CauseUnreachable {
		s.unreachable = false
	}
	switch {
	case c == CauseQueueTooLong:
		s.noteRetryAfter(retryAfter)
		s.queueTooLong = append(s.queueTooLong, server)
		if s.SingleServer {
			return s.refuse()
		}
		return Step{}
	case c == CauseNotPrimary, c == CauseNotSent:
		return Step{}
	case s.SingleServer:
		return s.retryLater(c, now, random)
	}
	s.busy = s.busy || c == CauseBusy
	s.behind = s.behind || c == CauseBehind
	s.skipped = append(s.skipped, server)
	return Step{}
}

// Exhausted decides how to continue when no server is left to choose; random is any random number.
func (s *Statement) Exhausted(now time.Duration, random uint64) Step {
	c := CauseUnreachable
	switch {
	case now >= s.Deadline:
		return s.refuse()
	case s.behind:
		c = CauseBehind
	case s.busy:
		c = CauseBusy
	case len(s.queueTooLong) > 0 && len(s.skipped) == 0:
		return s.refuse()
	}
	s.skipped, s.busy, s.behind = s.skipped[:0], false, false
	return s.retryLater(c, now, random)
}

// ServersUnknown decides how to continue while nothing is known yet to choose a server by: the
// statement waits for delay, at most until its deadline.
func (s *Statement) ServersUnknown(now, delay time.Duration) Step {
	if now >= s.Deadline {
		return s.refuse()
	}
	return Step{Action: ActionWait, Delay: min(delay, s.Deadline-now)}
}

// retryLater decides whether, and after which delay, to try servers again that didn't run the
// statement for c.
func (s *Statement) retryLater(c Cause, now time.Duration, random uint64) Step {
	switch c {
	case CauseBusy:
		if s.Budget != nil && !s.allowed() {
			return s.refuse()
		}
	case CauseUnreachable:
		if !s.unreachable {
			s.unreachable, s.unreachableSince = true, now
		}
		waited := now - s.unreachableSince
		if waited >= maximumUnreachableWait {
			return s.refuse()
		}
		return s.wait(min(statusWait, maximumUnreachableWait-waited), now)
	}
	s.backoff = min(max(initialBackoff, 2*s.backoff), maximumBackoff)
	return s.wait(s.backoff/2+time.Duration(random%uint64(s.backoff)), now)
}

// allowed takes a retry from the budget if there is one for the statement.
func (s *Statement) allowed() bool {
	if s.KeepReserve {
		return s.Budget.AllowBeyondReserve(OutcomeNotRun, true)
	}
	return s.Budget.Allow(OutcomeNotRun, true)
}

// wait returns a step that waits for d, or a refusal if the deadline would be reached by then.
func (s *Statement) wait(d, now time.Duration) Step {
	if now+d >= s.Deadline {
		return s.refuse()
	}
	return Step{Action: ActionWait, Delay: d}
}

// noteRetryAfter records after which time a queue will have room; the shortest one is reported.
func (s *Statement) noteRetryAfter(d time.Duration) {
	if s.retryAfter == 0 || d > 0 && d < s.retryAfter {
		s.retryAfter = d
	}
}

func (s *Statement) refuse() Step { return Step{Action: ActionRefuse, RetryAfter: s.retryAfter} }
