package executor

import (
	"time"

	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

// stoppingText refuses what a stopping host doesn't serve any more.
const stoppingText = "not run: the host is stopping, retry at another one"

// StopTimes are the times until which a stopping host serves its callers.
type StopTimes struct {
	// BeginBy is until when transactions may begin: one that begins later would be terminated before it can end.
	BeginBy time.Time
	// AnswerBy is by when all statements are answered.
	AnswerBy time.Time
}

func (s *Session) startWaiting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.openTransaction == nil {
		s.idleSince = time.Now()
	}
}

func (s *Session) endWaiting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.idleSince = time.Time{}
}

// Stop ends the session if it has waited for its caller outside of a transaction for that long: a caller that has just
// been answered may have sent its next statement.
func (s *Session) Stop(idle time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.idleSince.IsZero() && time.Since(s.idleSince) >= idle {
		s.Terminate()
	}
}

// Idle reports whether the session waits for its caller outside of a transaction.
func (s *Session) Idle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.idleSince.IsZero()
}

// Terminate ends the session the next time it waits for its caller, even in a transaction.
func (s *Session) Terminate() {
	s.stopping.Store(true)
	s.Caller.Interrupt()
}

// stopTimes returns the times of the host's planned stop, false unless it is stopping.
func (s *Session) stopTimes() (StopTimes, bool) {
	if s.StopTimes == nil {
		return StopTimes{}, false
	}
	return s.StopTimes()
}

// refuseStopping refuses a transaction that couldn't end before the session or the host does, and ends the session, so
// that its caller retries at another host.
func (s *Session) refuseStopping(x declarer.Statement, m admission) error {
	s.Reporter.Statement(&Report{
		Group: m.route.Group, Database: s.database, Customer: m.customer, Statement: x.ID, Verb: x.Verb,
		Code: declarer.CodeBusy, Reason: stoppingText, Importance: m.importance, Ranked: m.ranked, Version: s.version(),
	})
	s.Terminate()
	return s.fail(declarer.CodeBusy, stoppingText)
}

// statementTimeout returns the route's timeout, shortened so that the caller is answered before a stopping host ends.
func (s *Session) statementTimeout(r declarer.Route, now time.Time) time.Duration {
	t, stopping := s.stopTimes()
	if !stopping {
		return r.Timeout
	}
	return max(0, min(r.Timeout, t.AnswerBy.Sub(now)))
}
